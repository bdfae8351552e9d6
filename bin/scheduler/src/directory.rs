//! Follows the workers' directory on a thread of its own, and forwards the changes to the owner.
//!
//! Thousands of workers refresh their entries every second or two. If a busy owner read them
//! between its commands and answers, it would learn of draining workers seconds late, and start
//! tasks on them. So entries are read in parallel to the owner, and unchanged ones are dropped
//! here.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event;
use cowslipchute_platform::directory;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::kv::Store;

use crate::clock;
use crate::event;
use crate::failpoint;
use crate::failpoint::Place;
use crate::inbox;
use crate::listing::Listing;
use crate::log::Log;
use crate::watcher;

/// Interval after which an unchanged entry is sent again, since the owner may have forgotten the
/// worker meanwhile.
const RESEND_INTERVAL: Duration = Duration::from_secs(4);

/// Filter that drops entries which the owner knows already.
#[derive(Debug, Default)]
pub struct Filter {
    sent: HashMap<id::Instance, (Registration, Time)>,
}

impl Filter {
    /// Returns `true` if the event has to be sent to the owner.
    pub fn should_forward(&mut self, now: Time, event: &Event) -> bool {
        match event {
            Event::Listed { registration } => {
                let known = self.sent.get(&registration.name);
                let is_repeat = known.is_some_and(|(sent, sent_at)| {
                    sent == registration && now < *sent_at + RESEND_INTERVAL
                });
                if !is_repeat {
                    let name = registration.name.clone();
                    self.sent.insert(name, (registration.clone(), now));
                }
                !is_repeat
            }
            Event::Unlisted { name } => {
                self.sent.remove(name);
                true
            }
            _ => true,
        }
    }
}

/// Starts following the directory until the receiver of its events is dropped. `store` must share
/// no connections with other threads.
///
/// # Errors
///
/// Returns an error if the system refuses the thread.
pub fn spawn<S: Store>(store: S, events: inbox::Sender, log: Log) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name(String::from("directory"));
    thread.spawn(move || runtime.block_on(follow(store, events, log)))?;
    Ok(())
}

/// Follows the directory until the receiver of its events is dropped.
pub async fn follow<S: Store>(store: S, events: inbox::Sender, log: Log) {
    let mut changes = watcher::spawn(store, directory::PREFIX, None, None, log.clone());
    let mut listing = Listing::default();
    let mut repeats = Filter::default();
    let mut pending = Vec::new();
    loop {
        let change = tokio::select! {
            Some(change) = changes.recv() => change,
            () = events.closed() => return,
            else => return,
        };
        failpoint::hit(Place::Directory);
        for (name, error) in listing.apply(change, &mut pending) {
            event!(log, LogEvent::WorkerEntryInvalid, "worker" => name.to_string(),
                "reason" => error.to_string());
        }
        let now = clock::now();
        for event in pending.drain(..).filter(|event| repeats.should_forward(now, event)) {
            events.send(event);
        }
    }
}

//! Follows the workers' directory on a thread of its own, and hands on what is news.
//!
//! Load pattern: thousands of workers refresh their entries each second or two, in a cell whose owner has more orders
//! and answers in a turn than it has processor time. Read between these, entries arrive seconds late, and tasks are
//! started on workers that are leaving. What closes a worker has to be known before a start, so entries are read beside
//! the owner's turns, however long those are, and refreshes that say nothing new end here.

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
use tokio::sync::mpsc;

use crate::clock;
use crate::event;
use crate::listing::Listing;
use crate::log::Log;
use crate::watcher;

/// How long an entry that says nothing new is held back: the owner may have forgotten its worker meanwhile.
const RESEND_INTERVAL: Duration = Duration::from_secs(4);

/// What the owner was last told of each worker.
#[derive(Debug, Default)]
pub struct Filter {
    told: HashMap<id::Instance, (Registration, Time)>,
}

impl Filter {
    /// Returns `true` if the owner has to be told.
    pub fn should_forward(&mut self, now: Time, event: &Event) -> bool {
        match event {
            Event::Listed { registration } => {
                let known = self.told.get(&registration.name);
                let repeats = known
                    .is_some_and(|(told, at)| told == registration && now < *at + RESEND_INTERVAL);
                if !repeats {
                    let name = registration.name.clone();
                    self.told.insert(name, (registration.clone(), now));
                }
                !repeats
            }
            Event::Unlisted { name } => {
                self.told.remove(name);
                true
            }
            _ => true,
        }
    }
}

/// Starts following the directory until the receiver of its events is gone. `store` must share no connections with
/// other threads.
///
/// # Errors
///
/// When the system refuses the thread.
pub fn spawn<S: Store>(store: S, events: mpsc::UnboundedSender<Event>, log: Log) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name(String::from("directory"));
    thread.spawn(move || runtime.block_on(follow(store, events, log)))?;
    Ok(())
}

/// Follows the directory until the receiver of its events is gone.
pub async fn follow<S: Store>(store: S, events: mpsc::UnboundedSender<Event>, log: Log) {
    let mut changes = watcher::spawn(store, directory::PREFIX, None, None, log.clone());
    let mut listing = Listing::default();
    let mut news = Filter::default();
    let mut found = Vec::new();
    loop {
        let change = tokio::select! {
            Some(change) = changes.recv() => change,
            () = events.closed() => return,
            else => return,
        };
        for (name, error) in listing.apply(change, &mut found) {
            event!(log, LogEvent::WorkerEntryInvalid, "worker" => name.to_string(),
                "reason" => error.to_string());
        }
        let now = clock::now();
        for event in found.drain(..).filter(|event| news.should_forward(now, event)) {
            // The receiver is gone only when the ownership is ending.
            let _ = events.send(event);
        }
    }
}

//! The watch thread: polls the platform's list and sends changes to the other threads.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::log;
use cowslipchute_daemon::ring;
use cowslipchute_follow::list::Read;
use cowslipchute_follow::list::Reader;
use cowslipchute_ports::list::List;
use cowslipchute_ports::list::Member;
use slog::Logger;
use slog::o;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::message::PeerCommand;
use crate::message::Update;
use crate::outbox::Outbox;

/// Interval between reads of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// The inputs of the watch thread.
pub struct Watch<L> {
    /// The platform's list.
    pub list: L,
    /// To the decision thread.
    pub updates: ring::Sender<Update>,
    /// To the peer thread.
    pub peer_commands: ring::Sender<PeerCommand>,
    /// To the thread that follows the configuration.
    pub members: watch::Sender<Vec<Member>>,
    /// For log events.
    pub logger: Logger,
    /// Closed by the decision thread when it ends.
    pub done: oneshot::Receiver<()>,
}

/// Starts the watch thread. It ends when the decision thread has ended.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn spawn<L: List>(watch: Watch<L>) -> io::Result<EventLoop> {
    event_loop::spawn("watch", move || run(watch))
}

/// Polls the list; after a failed read the last list stays in use.
async fn run<L: List>(watch: Watch<L>) {
    let Watch { list, updates, peer_commands, members, logger, mut done } = watch;
    let (mut updates, mut peer_commands) = (Outbox::open(updates), Outbox::open(peer_commands));
    let mut reader = Reader::open(list, Vec::new(), LIST_INTERVAL);
    loop {
        let read = tokio::select! {
            read = reader.read() => read,
            _ = &mut done => return,
        };
        match read {
            Read::Changed(view) => {
                let view = Arc::new(view);
                updates.push(Update::Listed { view: view.clone() });
                peer_commands.push(PeerCommand::Listed { view: view.clone() });
                members.send_replace(view.members.clone());
            }
            Read::Failed(error) => {
                log::emit(&logger, Event::ListStale, o!("problem" => error.to_string()));
            }
            Read::Unchanged | Read::StillFailing(_) => {}
        }
        updates.flush();
        peer_commands.flush();
    }
}

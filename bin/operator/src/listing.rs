//! The event loop that reads the platform's list of instances.

use std::io;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::log;
use cowslipchute_follow::list::Read;
use cowslipchute_follow::list::Reader;
use cowslipchute_ports::list::List;
use cowslipchute_ports::list::Member;
use slog::Logger;
use slog::o;
use tokio::sync::watch;

/// Interval between reads of the list.
const READ_EVERY: Duration = Duration::from_secs(1);

/// Starts reading the list. The event loop ends when the last receiver is dropped.
///
/// # Errors
///
/// When the system refuses the thread.
pub fn spawn<L: List>(
    list: L,
    logger: Logger,
) -> io::Result<(watch::Receiver<Vec<Member>>, EventLoop)> {
    let (sender, receiver) = watch::channel(Vec::new());
    let duty = event_loop::spawn("list", move || read(list, sender, logger))?;
    Ok((receiver, duty))
}

async fn read<L: List>(list: L, sender: watch::Sender<Vec<Member>>, logger: Logger) {
    let mut reader = Reader::open(list, Vec::new(), READ_EVERY);
    loop {
        let read = tokio::select! {
            read = reader.read() => read,
            () = sender.closed() => return,
        };
        match read {
            Read::Changed(view) => {
                sender.send_replace(view.members);
            }
            Read::Failed(error) => {
                log::emit(&logger, Event::ListStale, o!("problem" => error.to_string()));
            }
            Read::Unchanged | Read::StillFailing(_) => {}
        }
    }
}

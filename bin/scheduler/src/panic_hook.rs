//! Logs a panic and ends the process, unless the panic concerns one client alone
//! ([`cowslipchute_base::panic`], `docs/design/panics.md`).
//!
//! The panicking thread may hold a lock of the log, so the line is written by a thread of its own,
//! and the panicking one waits for it for a bounded time.

use std::panic::PanicHookInfo;
use std::sync::mpsc;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::panic;
use cowslipchute_daemon::event_loop::PANIC_EXIT_CODE;

use crate::event;
use crate::log::Log;

/// Name of the thread that logs a panic; a panic of its own isn't logged.
const LOG_THREAD: &str = "panic-log";
/// Maximum time for which a panicking thread waits for its line to be written.
const LOG_TIMEOUT: Duration = Duration::from_millis(250);

/// Handles all panics of the process from now on, after the standard library has printed them.
pub fn install(log: Log) {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        let event = if panic::is_contained() { Event::RequestPanicked } else { Event::Panicked };
        report(&log, event, info);
        if event == Event::Panicked {
            std::process::exit(PANIC_EXIT_CODE);
        }
    }));
}

fn report(log: &Log, event: Event, info: &PanicHookInfo<'_>) {
    let current = std::thread::current();
    let thread = current.name().unwrap_or("unnamed").to_owned();
    if thread == LOG_THREAD {
        return;
    }
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let message = info.payload_as_str().unwrap_or_default().to_owned();
    let log = log.clone();
    let (written, is_written) = mpsc::channel();
    let write = move || {
        event!(log, event, "thread" => thread, "place" => place, "reason" => message);
        log.flush();
        // The panicking thread may have stopped waiting.
        let _ = written.send(());
    };
    // Without the thread, what the standard library has printed is all there is.
    if std::thread::Builder::new().name(String::from(LOG_THREAD)).spawn(write).is_ok() {
        // Fails if the line couldn't be written in time, which can't be reported anywhere else.
        let _ = is_written.recv_timeout(LOG_TIMEOUT);
    }
}

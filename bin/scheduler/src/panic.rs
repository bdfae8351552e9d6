//! Logs and counts panics.
//!
//! The panicking thread may hold a lock of the log, so the line is written by a thread of its own,
//! and the panicking one waits for it for a bounded time.

use std::panic::PanicHookInfo;
use std::sync::mpsc;
use std::time::Duration;

use cowslipchute_base::event::Event;

use crate::event;
use crate::log::Log;

/// Name of the thread that logs a panic; a panic of its own isn't logged.
const LOG_THREAD: &str = "panic-log";
/// Maximum time for which a panicking thread waits for its line to be written.
const LOG_TIMEOUT: Duration = Duration::from_millis(250);

/// Logs all panics of the process from now on, in addition to what the standard library prints.
pub fn install(log: Log) {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        report(&log, info);
    }));
}

fn report(log: &Log, info: &PanicHookInfo<'_>) {
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
        event!(log, Event::Panicked, "thread" => thread, "place" => place, "reason" => message);
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

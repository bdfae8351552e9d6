//! Logs: one JSON object per line on standard error, each with the number of its event.
//!
//! `docs/EVENTS.md` lists the numbers. A full log queue drops lines instead of blocking an event loop,
//! and logs the number of dropped lines.

use std::io;

use cowslipchute_base::event::Event;
use cowslipchute_base::event::Level;
use slog::Drain;
use slog::KV;
use slog::Logger;
use slog::OwnedKV;
use slog::SendSyncRefUnwindSafeKV;
use slog::o;

/// Maximum number of lines that wait to be written to standard error.
const QUEUE_LINES: usize = 4096;

/// Opens the log of this process, which is flushed when the last clone of the handle is dropped.
pub fn open(process: &'static str, instance: &str, level: slog::Level) -> Logger {
    let json = slog_json::Json::new(io::stderr())
        .add_default_keys()
        .set_newlines(true)
        .build()
        .filter_level(level)
        .ignore_res();
    let queue = slog_async::Async::new(json).chan_size(QUEUE_LINES).build().ignore_res();
    Logger::root(queue, o!("process" => process, "instance" => instance.to_owned()))
}

/// Opens a log that discards all lines, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Logs a numbered event with its fields.
pub fn emit<T>(logger: &Logger, event: Event, fields: OwnedKV<T>)
where
    T: SendSyncRefUnwindSafeKV + KV + 'static,
{
    let logger = logger.new(fields);
    let (number, name) = (event.number(), event.name());
    match event.level() {
        Level::Debug => slog::debug!(logger, "{}", event.text(); "event" => number, "name" => name),
        Level::Info => slog::info!(logger, "{}", event.text(); "event" => number, "name" => name),
        Level::Warning => {
            slog::warn!(logger, "{}", event.text(); "event" => number, "name" => name)
        }
        Level::Error => slog::error!(logger, "{}", event.text(); "event" => number, "name" => name),
    }
}

//! The log: JSON lines on standard output, written in batches a few times a second.
//!
//! A line costs processor time and, on the smallest instances, a wake-up; and standard output may
//! block. So lines are buffered in memory and written by a separate thread. Lines are dropped if
//! that thread falls behind; lines beyond the budget of their event are dropped and counted.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::panic;
use slog::Drain as _;
use slog::Logger;
use slog::o;

use crate::metrics::Metrics;

/// Interval at which buffered lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);
/// Size of the buffer.
const BUFFER_BYTES: usize = 512 << 10;
/// Largest size of one write: a pipe takes this many bytes atomically, so that lines of several
/// processes don't interleave.
const MAX_WRITE_BYTES: usize = 4096;
/// Budget of an event, in lines per second. The busiest known deployment starts 880 tasks a second
/// on many processes; logging each start would take more processor time than the starts.
const LINES_PER_SECOND: u32 = 300;

#[derive(Clone, Debug, Default)]
struct Buffer {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut bytes = panic::lock(&self.bytes);
        if bytes.len() + line.len() > BUFFER_BYTES {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        bytes.extend_from_slice(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Debug, Default)]
struct Budget {
    second: u64,
    written: HashMap<Event, u32>,
    dropped: HashMap<Event, u32>,
}

/// The log of this process.
#[derive(Clone, Debug)]
pub struct Log {
    logger: Logger,
    buffer: Buffer,
    budget: Arc<Mutex<Budget>>,
    metrics: Metrics,
}

/// Opens the log; its events are counted in `metrics`. Lines reach standard output within a
/// fraction of a second.
///
/// # Errors
///
/// Returns an error if the system refuses the writer thread.
pub fn open(instance: &str, level: slog::Level, metrics: Metrics) -> io::Result<Log> {
    let buffer = Buffer::default();
    let json = slog_json::Json::new(buffer.clone())
        .add_default_keys()
        .set_newlines(true)
        .build()
        .filter_level(level);
    let drain = Mutex::new(json).ignore_res();
    let logger =
        Logger::root(drain, o!("process" => "scheduler", "instance" => instance.to_owned()));
    let writer = buffer.clone();
    std::thread::Builder::new().name(String::from("log")).spawn(move || {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            write_out(&writer);
        }
    })?;
    Ok(Log { logger, buffer, budget: Arc::default(), metrics })
}

fn write_out(buffer: &Buffer) {
    let bytes = {
        let mut bytes = panic::lock(&buffer.bytes);
        std::mem::take(&mut *bytes)
    };
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        let end = rest.len().min(MAX_WRITE_BYTES);
        let whole = rest[..end].iter().rposition(|&byte| byte == b'\n').map_or(end, |at| at + 1);
        let (lines, later) = rest.split_at(whole);
        // A failure of standard output can't be reported anywhere else.
        let _ = io::stdout().write_all(lines);
        rest = later;
    }
}

impl Log {
    /// Returns the metrics in which the events of this log are counted.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Writes the buffered lines, before the process exits.
    pub fn flush(&self) {
        write_out(&self.buffer);
    }

    /// Counts an event, and logs it unless its budget for this second is spent. `fields` is called
    /// only if the event is logged.
    pub fn event(&self, event: Event, fields: impl FnOnce(&Logger)) {
        self.metrics.event(event);
        let second = crate::clock::now().as_secs();
        let dropped = {
            let mut budget = panic::lock(&self.budget);
            if budget.second != second {
                budget.second = second;
                budget.written.clear();
                Some(std::mem::take(&mut budget.dropped))
            } else {
                None
            }
        };
        for (event, lines) in dropped.into_iter().flatten() {
            self.log_dropped(event, lines);
        }
        if self.admit(event) {
            fields(&self.logger);
        }
    }

    fn admit(&self, event: Event) -> bool {
        let mut budget = panic::lock(&self.budget);
        let written = budget.written.entry(event).or_insert(0);
        *written += 1;
        if *written <= LINES_PER_SECOND {
            return true;
        }
        *budget.dropped.entry(event).or_insert(0) += 1;
        false
    }

    fn log_dropped(&self, event: Event, lines: u32) {
        cowslipchute_daemon::log::emit(
            &self.logger,
            Event::EventsDropped,
            o!("of" => event.number(), "lines" => lines),
        );
    }
}

/// Logs a numbered event with fields: `event!(log, Event::Started, "key" => value)`.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:expr $(, $key:literal => $value:expr)* $(,)?) => {{
        let number = $event;
        $log.event(number, |logger| {
            cowslipchute_daemon::log::emit(logger, number, slog::o!($($key => $value),*));
        });
    }};
}

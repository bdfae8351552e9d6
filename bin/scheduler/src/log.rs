//! The log: JSON lines on standard output, written together a few times a second.
//!
//! A line costs processor time and, on the smallest instances, a wake-up; and standard output may
//! block. So lines are gathered in memory and handed to a thread of their own. When that falls
//! behind, or an event comes more often than its budget allows, lines are left out and counted.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::event::Event;
use slog::Drain as _;
use slog::Logger;
use slog::o;

use crate::metrics::Metrics;

/// How often gathered lines are written.
const FLUSH: Duration = Duration::from_millis(300);
/// Bytes that may wait to be written.
const BUFFER: usize = 512 << 10;
/// Most bytes of one write: a pipe takes so many as a whole, so that lines of several processes
/// don't cut each other.
const CHUNK: usize = 4096;
/// Lines of one event a second; the busiest deployment known starts 880 tasks a second on many
/// processes, and a log that told of each would take more of the processor than the starts.
const BUDGET: u32 = 300;

#[derive(Clone, Debug, Default)]
struct Buffer {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut bytes = self.bytes.lock().expect("nobody panics while holding the log's buffer");
        if bytes.len() + line.len() > BUFFER {
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

/// Opens the log, whose events are counted. Lines reach standard output within a fraction of a second.
///
/// # Errors
///
/// When the system refuses the thread that writes.
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
            std::thread::sleep(FLUSH);
            write_out(&writer);
        }
    })?;
    Ok(Log { logger, buffer, budget: Arc::default(), metrics })
}

fn write_out(buffer: &Buffer) {
    let bytes = {
        let mut bytes = buffer.bytes.lock().expect("nobody panics while holding the log's buffer");
        std::mem::take(&mut *bytes)
    };
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        let end = rest.len().min(CHUNK);
        let whole = rest[..end].iter().rposition(|&byte| byte == b'\n').map_or(end, |at| at + 1);
        let (lines, later) = rest.split_at(whole);
        // Nobody is left to tell when standard output is gone.
        let _ = io::stdout().write_all(lines);
        rest = later;
    }
}

impl Log {
    /// Returns the metrics that count beside this log.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Writes what is gathered, before the process ends.
    pub fn flush(&self) {
        write_out(&self.buffer);
    }

    /// Logs an event unless its budget for this second is spent. `fields` is called only if it is
    /// logged.
    pub fn event(&self, event: Event, fields: impl FnOnce(&Logger)) {
        self.metrics.event(event);
        let second = crate::clock::now().as_secs();
        let dropped = {
            let mut budget = self.budget.lock().expect("nobody panics while counting lines");
            if budget.second != second {
                budget.second = second;
                budget.written.clear();
                Some(std::mem::take(&mut budget.dropped))
            } else {
                None
            }
        };
        for (event, lines) in dropped.into_iter().flatten() {
            self.dropped(event, lines);
        }
        if self.admit(event) {
            fields(&self.logger);
        }
    }

    fn admit(&self, event: Event) -> bool {
        let mut budget = self.budget.lock().expect("nobody panics while counting lines");
        let written = budget.written.entry(event).or_insert(0);
        *written += 1;
        if *written <= BUDGET {
            return true;
        }
        *budget.dropped.entry(event).or_insert(0) += 1;
        false
    }

    fn dropped(&self, event: Event, lines: u32) {
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

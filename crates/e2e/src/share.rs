//! A share of a core for a process: it is paused for the rest of each period.
//!
//! A limit that the system enforces pauses a process only once it has used its share. This one also delays a process
//! that is idle, by less than a period.

use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::Duration;

use crate::process::Held;

/// A process runs for a part of this time and is paused for the rest.
pub const PERIOD: Duration = Duration::from_millis(50);
/// The share of a process that is never paused.
pub const WHOLE: f64 = 1.0;

/// A running limit; dropping it resumes the process.
#[derive(Debug)]
pub(crate) struct Share {
    part: f64,
    parts: mpsc::Sender<f64>,
}

/// Opens a limit of a process, which runs without a pause at first.
pub(crate) fn spawn(process: Arc<Held>) -> Share {
    let (parts, receiver) = mpsc::channel();
    thread::spawn(move || run(&process, &receiver));
    Share { part: WHOLE, parts }
}

impl Share {
    /// Sets the part of each period in which the process runs.
    pub(crate) fn set(&mut self, part: f64) {
        if part != self.part {
            self.part = part;
            self.parts.send(part).expect("the thread runs as long as this handle");
        }
    }
}

fn run(process: &Held, parts: &mpsc::Receiver<f64>) {
    let mut part = WHOLE;
    loop {
        match next_part(process, parts, part) {
            Ok(next) => part = next,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Plays one period, unless the share changes meanwhile.
fn next_part(
    process: &Held,
    parts: &mpsc::Receiver<f64>,
    part: f64,
) -> Result<f64, RecvTimeoutError> {
    if part >= WHOLE {
        return parts.recv().map_err(|_| RecvTimeoutError::Disconnected);
    }
    match parts.recv_timeout(PERIOD.mul_f64(part)) {
        Err(RecvTimeoutError::Timeout) => {}
        changed => return changed,
    }
    process.pause();
    let changed = parts.recv_timeout(PERIOD.mul_f64(WHOLE - part));
    process.resume();
    changed
}

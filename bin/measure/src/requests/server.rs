//! Fake backend server with hidden slots and speed and a bounded number of connections.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::id;

use crate::requests::case::CONNECTIONS;
use crate::requests::case::SLOTS;

/// Identifies an attempt across all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call {
    /// Index of the entry.
    pub entry: usize,
    /// Attempt number at that entry.
    pub attempt: u64,
    /// Index of the request.
    pub request: usize,
}

/// How the server processes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Normal speed.
    Healthy,
    /// Ten times slower.
    Slow,
    /// Fails immediately.
    FailFast,
    /// Never answers.
    BlackHole,
}

/// Lifecycle phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Live,
    /// Accepts requests and announces that it is leaving.
    Leaving,
    /// Finishes accepted requests and refuses new ones.
    Refusing,
    /// Stopped: accepts no connections.
    Gone,
}

/// Result of admitting an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No connection could be opened.
    NoConnection,
    /// The server refused the attempt without running it.
    Refused,
    /// The attempt waits or runs.
    Accepted,
}

/// A fake backend server.
#[derive(Debug)]
pub struct Server {
    /// Current incarnation.
    pub incarnation: id::Incarnation,
    /// Index of the failure domain.
    pub domain: usize,
    /// How requests are processed.
    pub mode: Mode,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Peak number of connections in use.
    pub connections_peak: usize,
    open: BTreeSet<Call>,
    waiting: VecDeque<Call>,
    running: usize,
}

impl Server {
    /// Creates a healthy server.
    pub fn open(domain: usize) -> Server {
        Server {
            incarnation: 1,
            domain,
            mode: Mode::Healthy,
            phase: Phase::Live,
            connections_peak: 0,
            open: BTreeSet::new(),
            waiting: VecDeque::new(),
            running: 0,
        }
    }

    /// Admits an attempt that is addressed to this incarnation, if a connection is available.
    pub fn admit(&mut self, call: Call, incarnation: id::Incarnation) -> Admission {
        let full = self.open.len() >= usize::from(CONNECTIONS);
        if self.phase == Phase::Gone || incarnation != self.incarnation || full {
            return Admission::NoConnection;
        }
        if self.phase == Phase::Refusing {
            return Admission::Refused;
        }
        self.open.insert(call);
        self.connections_peak = self.connections_peak.max(self.open.len());
        self.waiting.push_back(call);
        Admission::Accepted
    }

    /// Starts the next waiting attempt if a slot is free. A black hole starts every attempt and
    /// finishes none.
    pub fn start(&mut self) -> Option<Call> {
        let black_hole = self.mode == Mode::BlackHole;
        while black_hole || self.running < usize::from(SLOTS) {
            let call = self.waiting.pop_front()?;
            if self.open.contains(&call) {
                self.running += usize::from(!black_hole);
                return Some(call);
            }
        }
        None
    }

    /// Returns the run time of an attempt, or `None` if it never finishes.
    pub fn duration(&self, demand: Duration) -> Option<Duration> {
        match self.mode {
            Mode::Healthy => Some(demand),
            Mode::Slow => Some(demand * 10),
            Mode::FailFast => Some(Duration::from_millis(1)),
            Mode::BlackHole => None,
        }
    }

    /// Finishes a running attempt; returns `true` if its connection is still open.
    pub fn finish(&mut self, call: Call) -> bool {
        self.running = self.running.saturating_sub(1);
        self.open.remove(&call)
    }

    /// Closes the connection of an attempt. A waiting attempt won't start; a running one continues.
    pub fn close(&mut self, call: Call) {
        self.open.remove(&call);
    }

    /// Returns `true` if no attempt is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.open.is_empty()
    }

    /// Restarts the server without attempts, as the next incarnation.
    pub fn restart(&mut self) {
        debug_assert!(self.is_idle(), "a server is idle before it restarts");
        self.incarnation += 1;
        self.phase = Phase::Live;
        self.waiting.clear();
    }
}

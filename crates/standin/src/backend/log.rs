//! The record of the requests that one server ran.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

/// Number of runs kept.
const MAX_ENTRIES: usize = 4096;

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The request's id, if it had one.
    pub id: Option<Box<str>>,
    /// Its method.
    pub method: Box<str>,
    /// Its path.
    pub path: Box<str>,
    /// Its idempotency key, if it had one.
    pub key: Option<Box<str>>,
    /// Its attempt number, if it had one.
    pub attempt: Option<Box<str>>,
}

/// The latest runs, oldest first.
#[derive(Debug, Default)]
pub struct Log {
    entries: Mutex<VecDeque<Entry>>,
}

impl Log {
    /// Records a run.
    pub fn push(&self, entry: Entry) {
        let mut entries = self.entries.lock().expect("no lock holder panics");
        if entries.len() == MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Returns the latest runs, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().expect("no lock holder panics").iter().cloned().collect()
    }
}

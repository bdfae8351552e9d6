//! Changes of the planner as they are written, and how many of them one transaction takes.

use cowslipchute_planner::action::Change;
use cowslipchute_planner::record;
use cowslipchute_platform::store::MAX_TXN_BYTES;
use cowslipchute_platform::store::MAX_TXN_ENTRIES;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::kv;

use crate::keys;

/// A change of one job, encoded.
pub(super) struct Entry {
    pub(super) job: JobId,
    pub(super) record_key: String,
    value: Value,
}

enum Value {
    /// The record.
    Record(Vec<u8>),
    /// The final state, which replaces the job and its record.
    End(Vec<u8>),
}

impl Entry {
    pub(super) fn new(change: &Change) -> Entry {
        let (job, value) = match change {
            Change::Progress { job, record } => (*job, Value::Record(record.encode())),
            Change::End { job, state } => (*job, Value::End(record::encode(state))),
        };
        Entry { job, record_key: keys::for_job(keys::RECORDS, job), value }
    }

    pub(super) fn is_record(&self) -> bool {
        matches!(self.value, Value::Record(_))
    }

    pub(super) fn value_bytes(&self) -> usize {
        let (Value::Record(bytes) | Value::End(bytes)) = &self.value;
        bytes.len()
    }

    /// Returns the key of the value.
    pub(super) fn key(&self) -> String {
        match self.value {
            Value::Record(_) => self.record_key.clone(),
            Value::End(_) => keys::for_job(keys::FINAL_STATES, self.job),
        }
    }

    /// Returns the changes of the store, which holds a record of the job or not.
    pub(super) fn changes(&self, has_record: bool) -> Vec<kv::Change> {
        let (Value::Record(value) | Value::End(value)) = &self.value;
        let mut changes = vec![kv::Change::Put { key: self.key(), value: value.clone(), lease: 0 }];
        if !self.is_record() {
            changes.push(kv::Change::Delete { key: keys::for_job(keys::JOBS, self.job) });
            if has_record {
                changes.push(kv::Change::Delete { key: self.record_key.clone() });
            }
        }
        changes
    }

    /// Returns `true` if the store's record, if it holds one, is as this change leaves it.
    pub(super) fn is_applied(&self, stored: Option<&[u8]>) -> bool {
        match &self.value {
            Value::Record(value) => stored == Some(value),
            Value::End(_) => stored.is_none(),
        }
    }
}

/// Returns how many of the first entries fit into one transaction next to the guard of the owner
/// key; at least one.
pub(super) fn batch_len(entries: &[Entry]) -> usize {
    let mut count = 1;
    let mut bytes = 0;
    let fitting = entries.iter().take_while(|entry| {
        let is_first = bytes == 0;
        bytes += entry.value_bytes();
        count += match entry.value {
            // A guard and the record.
            Value::Record(_) => 2,
            // A guard, the final state, and the removals of the job and its record.
            Value::End(_) => 4,
        };
        count <= MAX_TXN_ENTRIES && (is_first || bytes <= MAX_TXN_BYTES)
    });
    fitting.count()
}

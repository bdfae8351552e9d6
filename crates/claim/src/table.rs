//! The keys granted in owned slots, bounded in number and in bytes of answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::peer::Answer;
use cowslipchute_ports::peer::Settlement;

use crate::event::Claimant;
use crate::handover::Grant;
use crate::handover::State;
use crate::slot;
use crate::slot::Key;
use crate::slot::Slot;

/// Bounds of a table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// How long a key is kept after it was granted or settled.
    pub retention: Duration,
    /// Maximum number of keys.
    pub max_claims: usize,
    /// Maximum bytes of one answer; a larger one is not kept.
    pub max_answer_bytes: usize,
    /// Maximum bytes of all answers; the oldest are evicted.
    pub max_total_answer_bytes: usize,
}

/// One key that was granted.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub claimant: Claimant,
    pub state: State,
    /// The time at which the key expires. A claimant that was stalled with a grant until then finds
    /// its request's deadline passed.
    expires_at: Time,
}

/// A key with its expiry, ordered by expiry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Time,
    key: Key,
}

#[derive(Debug)]
pub(crate) struct Table {
    limits: Limits,
    slots: Vec<BTreeMap<Key, Record>>,
    len: usize,
    /// All keys by expiry.
    expiries: BTreeSet<Expiry>,
    /// The keys whose answer is kept, by expiry.
    answer_expiries: BTreeSet<Expiry>,
    total_answer_bytes: usize,
}

impl Table {
    pub(crate) fn open(limits: Limits) -> Table {
        Table {
            limits,
            slots: vec![BTreeMap::new(); slot::COUNT],
            len: 0,
            expiries: BTreeSet::new(),
            answer_expiries: BTreeSet::new(),
            total_answer_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn find(&self, key: &Key) -> Option<&Record> {
        self.slots[usize::from(key.slot())].get(key)
    }

    /// Returns `true` if another key can be kept.
    pub(crate) fn has_capacity(&self) -> bool {
        self.len < self.limits.max_claims
    }

    /// Returns the time at which the next key expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Records a grant. The table must have capacity.
    pub(crate) fn grant(&mut self, now: Time, key: Key, claimant: Claimant) {
        debug_assert!(
            self.has_capacity() && self.find(&key).is_none(),
            "a key is granted only once and within the capacity"
        );
        self.record(now, key, claimant, State::Running);
    }

    /// Records the outcome of a request as reported by its claimant.
    ///
    /// Only the claimant that holds a key can free it. An unknown key was granted by a previous
    /// owner: its outcome is recorded, but the key is not freed, since that owner may have granted
    /// it again.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        key: Key,
        claimant: Claimant,
        settlement: Settlement,
    ) {
        let known = self.find(&key).map(|record| record.claimant == claimant);
        let has_run = self.find(&key).is_some_and(|record| matches!(record.state, State::Ran(_)));
        let state = match settlement {
            Settlement::NotRun if known == Some(true) && !has_run => {
                self.remove(&key);
                return;
            }
            Settlement::NotRun => return,
            Settlement::Ran(answer) => State::Ran(answer),
            Settlement::Unknown => State::Unknown,
        };
        match known {
            Some(false) => {}
            // A request that is known to have run must not become unknown again.
            Some(true) if has_run => {}
            Some(true) => self.record(now, key, claimant, state),
            None if self.has_capacity() => self.record(now, key, claimant, state),
            None => {}
        }
    }

    /// Removes expired keys.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(expiry) = self.expiries.first()
            && expiry.at <= now
        {
            let key = expiry.key.clone();
            self.remove(&key);
        }
    }

    /// Removes all keys of a slot.
    pub(crate) fn clear(&mut self, slot: Slot) {
        let keys: Vec<Key> = self.slots[usize::from(slot)].keys().cloned().collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Copies the grants of a slot for its next owner, with at most `bytes` of answers in total.
    pub(crate) fn export(&self, now: Time, slot: Slot, mut bytes: usize) -> Vec<Grant> {
        let mut grants = Vec::new();
        for (key, record) in &self.slots[usize::from(slot)] {
            let size = kept_answer_size(&record.state);
            let state = match &record.state {
                State::Ran(Some(_)) if size > bytes => State::Ran(None),
                state => {
                    bytes -= size;
                    state.clone()
                }
            };
            let expires_in = record.expires_at.saturating_sub(now);
            grants.push(Grant {
                key: key.clone(),
                claimant: record.claimant.clone(),
                state,
                expires_in,
            });
        }
        grants
    }

    /// Inserts the grants received from the previous owner of a slot.
    pub(crate) fn import(&mut self, now: Time, grants: Vec<Grant>) {
        for Grant { key, claimant, state, expires_in } in grants {
            self.remove(&key);
            self.insert(key, Record { claimant, state, expires_at: now + expires_in });
        }
        self.trim_answers();
    }

    fn record(&mut self, now: Time, key: Key, claimant: Claimant, state: State) {
        let state = match state {
            State::Ran(Some(answer)) if answer_size(&answer) > self.limits.max_answer_bytes => {
                State::Ran(None)
            }
            state => state,
        };
        self.remove(&key);
        let expires_at = now + self.limits.retention;
        self.insert(key, Record { claimant, state, expires_at });
        self.trim_answers();
    }

    fn insert(&mut self, key: Key, record: Record) {
        let expiry = Expiry { at: record.expires_at, key: key.clone() };
        if let State::Ran(Some(answer)) = &record.state {
            self.total_answer_bytes += answer_size(answer);
            self.answer_expiries.insert(expiry.clone());
        }
        self.expiries.insert(expiry);
        let previous = self.slots[usize::from(key.slot())].insert(key, record);
        debug_assert!(previous.is_none(), "a key is removed before it is inserted again");
        self.len += 1;
    }

    fn remove(&mut self, key: &Key) {
        let Some(record) = self.slots[usize::from(key.slot())].remove(key) else { return };
        self.len -= 1;
        let expiry = Expiry { at: record.expires_at, key: key.clone() };
        self.expiries.remove(&expiry);
        if self.answer_expiries.remove(&expiry) {
            self.total_answer_bytes -= kept_answer_size(&record.state);
        }
    }

    /// Evicts the answers that expire first; that their requests ran stays recorded.
    fn trim_answers(&mut self) {
        while self.total_answer_bytes > self.limits.max_total_answer_bytes
            && let Some(expiry) = self.answer_expiries.pop_first()
        {
            let record = self.slots[usize::from(expiry.key.slot())].get_mut(&expiry.key);
            let record = record.expect("an answer is kept only with its key");
            self.total_answer_bytes -= kept_answer_size(&record.state);
            record.state = State::Ran(None);
        }
    }
}

fn kept_answer_size(state: &State) -> usize {
    match state {
        State::Ran(Some(answer)) => answer_size(answer),
        _ => 0,
    }
}

fn answer_size(answer: &Answer) -> usize {
    size_of::<Answer>() + answer.content_type.as_ref().map_or(0, String::len) + answer.body.len()
}

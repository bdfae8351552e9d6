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
    pub claims: usize,
    /// Maximum bytes of one answer; a larger one is not kept.
    pub answer_bytes: usize,
    /// Maximum bytes of all answers; the oldest are evicted.
    pub answers_bytes: usize,
}

/// One key that was granted.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub claimant: Claimant,
    pub state: State,
    /// The time at which the key expires. A claimant that was stalled with a grant until then finds
    /// its request's deadline passed.
    until: Time,
}

/// A key with its expiry, ordered by expiry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Time,
    key: Key,
}

#[derive(Debug)]
pub(crate) struct Table {
    limits: Limits,
    slots: Vec<BTreeMap<Key, Record>>,
    len: usize,
    /// All keys by expiry.
    due: BTreeSet<Due>,
    /// The keys whose answer is kept, by expiry.
    answered: BTreeSet<Due>,
    answers_bytes: usize,
}

impl Table {
    pub(crate) fn open(limits: Limits) -> Table {
        Table {
            limits,
            slots: vec![BTreeMap::new(); slot::COUNT],
            len: 0,
            due: BTreeSet::new(),
            answered: BTreeSet::new(),
            answers_bytes: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn find(&self, key: &Key) -> Option<&Record> {
        self.slots[usize::from(key.slot())].get(key)
    }

    /// Returns `true` if another key can be kept.
    pub(crate) fn has_room(&self) -> bool {
        self.len < self.limits.claims
    }

    /// Returns the time at which the next key expires.
    pub(crate) fn next_room(&self) -> Option<Time> {
        self.due.first().map(|due| due.at)
    }

    /// Records a grant. The table must have capacity.
    pub(crate) fn grant(&mut self, now: Time, key: Key, claimant: Claimant) {
        debug_assert!(self.has_room() && self.find(&key).is_none(), "a key is granted once");
        self.put(now, key, claimant, State::Running);
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
            Some(true) => self.put(now, key, claimant, state),
            None if self.has_room() => self.put(now, key, claimant, state),
            None => {}
        }
    }

    /// Removes expired keys.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(due) = self.due.first()
            && due.at <= now
        {
            let key = due.key.clone();
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
        let mut kept = Vec::new();
        for (key, record) in &self.slots[usize::from(slot)] {
            let size = answer_bytes(&record.state);
            let state = match &record.state {
                State::Ran(Some(_)) if size > bytes => State::Ran(None),
                state => {
                    bytes -= size;
                    state.clone()
                }
            };
            let expires_in = record.until.saturating_sub(now);
            kept.push(Grant {
                key: key.clone(),
                claimant: record.claimant.clone(),
                state,
                expires_in,
            });
        }
        kept
    }

    /// Inserts the grants received from the previous owner of a slot.
    pub(crate) fn import(&mut self, now: Time, kept: Vec<Grant>) {
        for Grant { key, claimant, state, expires_in } in kept {
            self.remove(&key);
            self.insert(key, Record { claimant, state, until: now + expires_in });
        }
        self.trim_answers();
    }

    fn put(&mut self, now: Time, key: Key, claimant: Claimant, state: State) {
        let state = match state {
            State::Ran(Some(answer)) if size(&answer) > self.limits.answer_bytes => {
                State::Ran(None)
            }
            state => state,
        };
        self.remove(&key);
        let until = now + self.limits.retention;
        self.insert(key, Record { claimant, state, until });
        self.trim_answers();
    }

    fn insert(&mut self, key: Key, record: Record) {
        let due = Due { at: record.until, key: key.clone() };
        if let State::Ran(Some(answer)) = &record.state {
            self.answers_bytes += size(answer);
            self.answered.insert(due.clone());
        }
        self.due.insert(due);
        let former = self.slots[usize::from(key.slot())].insert(key, record);
        debug_assert!(former.is_none(), "a key is removed before it is put again");
        self.len += 1;
    }

    fn remove(&mut self, key: &Key) {
        let Some(record) = self.slots[usize::from(key.slot())].remove(key) else { return };
        self.len -= 1;
        let due = Due { at: record.until, key: key.clone() };
        self.due.remove(&due);
        if self.answered.remove(&due) {
            self.answers_bytes -= answer_bytes(&record.state);
        }
    }

    /// Evicts the answers that expire first; that their requests ran stays recorded.
    fn trim_answers(&mut self) {
        while self.answers_bytes > self.limits.answers_bytes
            && let Some(due) = self.answered.pop_first()
        {
            let record = self.slots[usize::from(due.key.slot())].get_mut(&due.key);
            let record = record.expect("an answer is kept only with its key");
            self.answers_bytes -= answer_bytes(&record.state);
            record.state = State::Ran(None);
        }
    }
}

fn answer_bytes(state: &State) -> usize {
    match state {
        State::Ran(Some(answer)) => size(answer),
        _ => 0,
    }
}

fn size(answer: &Answer) -> usize {
    size_of::<Answer>() + answer.content_type.as_ref().map_or(0, String::len) + answer.body.len()
}

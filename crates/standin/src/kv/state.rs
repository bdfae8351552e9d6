//! The store's keys, leases and history. Does no I/O; the caller passes the time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_gateway::kv::wire;

use crate::kv::span::Key;
use crate::kv::span::Span;

/// Changes kept for watches that start at an earlier revision.
const MAX_HISTORY: usize = 65_536;

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Time,
    keys: BTreeSet<Key>,
}

/// The store.
#[derive(Debug)]
pub struct State {
    revision: u64,
    keys: BTreeMap<Key, wire::KeyValue>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    /// Changes by ascending revision; several changes may share a revision.
    history: VecDeque<wire::watch::Event>,
    /// The highest revision whose changes are no longer kept.
    compacted: u64,
}

impl Default for State {
    fn default() -> State {
        // An empty store is at revision 1, like in etcd.
        State {
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            compacted: 0,
        }
    }
}

fn failure(code: u32, message: &str) -> wire::Failure {
    wire::Failure { code, message: message.to_owned() }
}

impl State {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns `true` if there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn header(&self) -> wire::Header {
        wire::Header { revision: self.revision }
    }

    /// Removes expired leases and their keys.
    pub fn advance(&mut self, now: Time) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: i64) {
        let Some(lease) = self.leases.remove(&id) else { return };
        if lease.keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in lease.keys {
            self.remove(&key);
        }
        self.trim_history();
    }

    /// Reads a range.
    pub fn range(&self, request: &wire::RangeRequest) -> wire::RangeResponse {
        let kvs = self.find(&Span::new(&request.key, &request.range_end));
        wire::RangeResponse { header: self.header(), count: kvs.len() as u64, kvs }
    }

    fn find(&self, span: &Span) -> Vec<wire::KeyValue> {
        if span.is_empty() {
            return Vec::new();
        }
        self.keys.range(span.bounds()).map(|(_, kv)| kv.clone()).collect()
    }

    /// Evaluates a transaction and applies its changes in one revision.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses the transaction; nothing has been changed then.
    pub fn txn(
        &mut self,
        now: Time,
        request: &wire::txn::Request,
    ) -> Result<wire::txn::Response, wire::Failure> {
        self.advance(now);
        let succeeded = request.compare.iter().all(|compare| self.is_satisfied(compare));
        let steps = if succeeded { &request.success } else { &request.failure };
        // All steps are validated before the first change, so that a transaction is atomic.
        steps.iter().try_for_each(|step| self.validate(step))?;
        let before = self.revision;
        let changes = steps.iter().any(|step| self.would_change(step));
        self.revision += u64::from(changes);
        let responses = steps.iter().map(|step| self.apply(step)).collect();
        self.trim_history();
        debug_assert!(self.revision - before <= 1, "a transaction is one revision");
        Ok(wire::txn::Response { header: self.header(), succeeded, responses })
    }

    fn is_satisfied(&self, compare: &wire::txn::Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let (found, wanted) = match compare.target {
            wire::txn::Target::Version => (kv.map(|kv| kv.version), compare.version),
            wire::txn::Target::Create => (kv.map(|kv| kv.create_revision), compare.create_revision),
            wire::txn::Target::Mod => (kv.map(|kv| kv.mod_revision), compare.mod_revision),
        };
        let (found, wanted) = (found.unwrap_or(0), wanted.unwrap_or(0));
        match compare.result {
            wire::txn::Relation::Equal => found == wanted,
            wire::txn::Relation::Greater => found > wanted,
            wire::txn::Relation::Less => found < wanted,
            wire::txn::Relation::NotEqual => found != wanted,
        }
    }

    fn validate(&self, step: &wire::txn::Step) -> Result<(), wire::Failure> {
        let Some(put) = &step.request_put else { return Ok(()) };
        if put.value.len() > wire::VALUE_MAX_BYTES {
            return Err(failure(wire::CODE_INVALID, wire::TOO_LARGE));
        }
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(failure(wire::CODE_NOT_FOUND, wire::NO_LEASE));
        }
        Ok(())
    }

    fn would_change(&self, step: &wire::txn::Step) -> bool {
        let would_remove = |delete: &wire::txn::Delete| {
            !self.find(&Span::new(&delete.key, &delete.range_end)).is_empty()
        };
        step.request_put.is_some() || step.request_delete_range.as_ref().is_some_and(would_remove)
    }

    fn apply(&mut self, step: &wire::txn::Step) -> wire::txn::Outcome {
        if let Some(put) = &step.request_put {
            self.put(put);
        }
        if let Some(delete) = &step.request_delete_range {
            for kv in self.find(&Span::new(&delete.key, &delete.range_end)) {
                self.remove(&kv.key);
            }
        }
        let response_range = step.request_range.as_ref().map(|range| self.range(range));
        wire::txn::Outcome { response_range }
    }

    fn put(&mut self, put: &wire::txn::Put) {
        let old = self.keys.get(&put.key);
        let kv = wire::KeyValue {
            key: put.key.clone(),
            create_revision: old.map_or(self.revision, |kv| kv.create_revision),
            mod_revision: self.revision,
            version: old.map_or(0, |kv| kv.version) + 1,
            value: put.value.clone(),
            lease: put.lease,
        };
        let old_lease = old.map_or(0, |kv| kv.lease);
        self.detach_lease(old_lease, &put.key);
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.clone());
        }
        self.keys.insert(put.key.clone(), kv.clone());
        self.history.push_back(wire::watch::Event { kind: wire::watch::Kind::Put, kv });
    }

    fn remove(&mut self, key: &[u8]) {
        let Some(old) = self.keys.remove(key) else { return };
        self.detach_lease(old.lease, key);
        let kv = wire::KeyValue {
            key: key.to_vec(),
            mod_revision: self.revision,
            ..wire::KeyValue::default()
        };
        self.history.push_back(wire::watch::Event { kind: wire::watch::Kind::Delete, kv });
    }

    fn detach_lease(&mut self, lease: i64, key: &[u8]) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.remove(key);
        }
    }

    fn trim_history(&mut self) {
        while self.history.len() > MAX_HISTORY {
            let oldest = self.history.front().expect("the collection exceeds its limit");
            self.compact(oldest.kv.mod_revision);
        }
    }

    /// Removes the changes up to and including a revision from the history.
    pub fn compact(&mut self, revision: u64) {
        let revision = revision.min(self.revision);
        self.compacted = self.compacted.max(revision);
        while self.history.front().is_some_and(|event| event.kv.mod_revision <= revision) {
            self.history.pop_front();
        }
    }

    /// Returns the changes of a range after a revision, by ascending revision.
    ///
    /// # Errors
    ///
    /// Returns the oldest revision that can still be read if some of these changes are compacted.
    pub fn changes_after(
        &self,
        after: u64,
        key: &[u8],
        range_end: &[u8],
    ) -> Result<Vec<wire::watch::Event>, u64> {
        if after < self.compacted {
            return Err(self.compacted + 1);
        }
        let span = Span::new(key, range_end);
        let first = self.history.partition_point(|event| event.kv.mod_revision <= after);
        let recent = self.history.range(first..);
        Ok(recent.filter(|event| span.contains(&event.kv.key)).cloned().collect())
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Time, request: &wire::Lease) -> wire::Lease {
        self.advance(now);
        let id = if request.id == 0 { self.last_lease + 1 } else { request.id };
        self.last_lease = self.last_lease.max(id);
        let ttl = Duration::from_secs(request.ttl.max(1) as u64);
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() });
        wire::Lease { id, ttl: ttl.as_secs() as i64 }
    }

    /// Renews a lease. For an expired lease, the response has a time to live of zero.
    pub fn keep_alive(&mut self, now: Time, request: &wire::Lease) -> wire::Lease {
        self.advance(now);
        let Some(lease) = self.leases.get_mut(&request.id) else {
            return wire::Lease { id: request.id, ttl: 0 };
        };
        lease.expires_at = now + lease.ttl;
        wire::Lease { id: request.id, ttl: lease.ttl.as_secs() as i64 }
    }

    /// Revokes a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Fails if there is no such lease.
    pub fn revoke(&mut self, now: Time, request: &wire::Lease) -> Result<(), wire::Failure> {
        self.advance(now);
        if !self.leases.contains_key(&request.id) {
            return Err(failure(wire::CODE_NOT_FOUND, wire::NO_LEASE));
        }
        self.end_lease(request.id);
        Ok(())
    }
}

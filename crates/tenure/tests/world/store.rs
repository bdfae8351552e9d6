//! An in-memory key-value store with revisions, guards and leases.

use std::collections::BTreeMap;

use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;

#[derive(Debug, Default)]
pub struct Memory {
    pub revision: Revision,
    pub entries: BTreeMap<String, kv::Entry>,
    leases: BTreeMap<kv::LeaseId, Lease>,
    last_lease: kv::LeaseId,
}

#[derive(Debug)]
struct Lease {
    ttl: Time,
    expires_at: Time,
}

impl Memory {
    /// Revokes expired leases and deletes their keys.
    pub fn expire(&mut self, now: Time) {
        let expired: Vec<kv::LeaseId> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(&id, _)| id).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    /// Extends every lease to its full duration, as a key-value store does after an outage.
    pub fn extend_all(&mut self, now: Time) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }

    pub fn revoke(&mut self, lease: kv::LeaseId) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.entries.retain(|_, entry| entry.lease != lease);
        }
    }

    pub fn grant(&mut self, now: Time, ttl: Time) -> kv::LeaseId {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
        self.last_lease
    }

    pub fn keep_alive(&mut self, now: Time, lease: kv::LeaseId) -> Result<Time, kv::Error> {
        let lease = self.leases.get_mut(&lease).ok_or(kv::Error::LeaseExpired)?;
        lease.expires_at = now + lease.ttl;
        Ok(lease.ttl)
    }

    pub fn read(&self, prefix: &str) -> kv::Snapshot {
        let entries = self.entries.values().filter(|entry| entry.key.starts_with(prefix));
        kv::Snapshot { revision: self.revision, entries: entries.cloned().collect() }
    }

    pub fn commit(&mut self, txn: &kv::Txn) -> Result<kv::TxnOutcome, kv::Error> {
        let applied = txn.preconditions.iter().all(|guard| self.holds(guard));
        if applied {
            self.apply(&txn.changes)?;
        }
        let current = txn.preconditions.iter().filter_map(|guard| self.entries.get(key_of(guard)));
        let current = if applied { Vec::new() } else { current.cloned().collect() };
        Ok(kv::TxnOutcome { applied, revision: self.revision, current })
    }

    fn holds(&self, guard: &kv::Precondition) -> bool {
        let entry = self.entries.get(key_of(guard));
        match guard {
            kv::Precondition::Missing(_) => entry.is_none(),
            kv::Precondition::Present(_) => entry.is_some(),
            kv::Precondition::Unchanged(_, revision) => {
                entry.is_some_and(|e| e.revision == *revision)
            }
        }
    }

    fn apply(&mut self, changes: &[kv::Change]) -> Result<(), kv::Error> {
        let bound = changes.iter().filter_map(|change| match change {
            kv::Change::Put { lease, .. } if *lease != 0 => Some(*lease),
            _ => None,
        });
        if bound.into_iter().any(|lease| !self.leases.contains_key(&lease)) {
            return Err(kv::Error::LeaseExpired);
        }
        self.revision += 1;
        for change in changes {
            match change.clone() {
                kv::Change::Put { key, value, lease } => {
                    let revision = self.revision;
                    let entry = kv::Entry { key: key.clone(), value, revision, lease };
                    self.entries.insert(key, entry);
                }
                kv::Change::Delete { key } => {
                    self.entries.remove(&key);
                }
            }
        }
        Ok(())
    }
}

fn key_of(guard: &kv::Precondition) -> &str {
    match guard {
        kv::Precondition::Missing(key)
        | kv::Precondition::Present(key)
        | kv::Precondition::Unchanged(key, _) => key,
    }
}

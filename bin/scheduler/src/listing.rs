//! The workers' directory as the store holds it: the listed workers, and the unreadable entries.
//!
//! Other processes may write there too. An unreadable entry lists no worker, even if it replaced a
//! readable one, and doesn't affect the other entries.

use std::collections::HashSet;

use cowslipchute_base::id;
use cowslipchute_planner::event::Event;
use cowslipchute_platform::directory;
use cowslipchute_ports::kv;
use smallvec::SmallVec;

use crate::watcher::Change;

/// Unreadable entries, each with its error; few at a time.
pub type Unreadable = SmallVec<[(id::Instance, directory::Error); 2]>;

/// The known content of the directory.
#[derive(Debug, Default)]
pub struct Listing {
    /// Workers with a readable entry.
    listed: HashSet<id::Instance>,
    /// Names whose entry has been reported as unreadable.
    unreadable: HashSet<id::Instance>,
}

impl Listing {
    /// Applies a change and appends the resulting planner events. Returns the entries that have
    /// become unreadable; an entry that is rewritten and stays unreadable is returned only once.
    pub fn apply(&mut self, change: Change, events: &mut Vec<Event>) -> Unreadable {
        let mut unreadable = Unreadable::new();
        match change {
            Change::Snapshot(snapshot) => {
                let mut removed = self.listed.clone();
                for entry in snapshot.entries {
                    if let Some(name) = self.apply_entry(&entry, events, &mut unreadable) {
                        removed.remove(&name);
                    }
                }
                for name in removed {
                    self.unlist(name, events);
                }
            }
            Change::Put(entry) => {
                self.apply_entry(&entry, events, &mut unreadable);
            }
            Change::Deleted { key, .. } => {
                if let Some(name) = directory::name(&key) {
                    self.unreadable.remove(&name);
                    self.unlist(name, events);
                }
            }
        }
        unreadable
    }

    /// Applies an entry; returns the worker that it lists.
    fn apply_entry(
        &mut self,
        entry: &kv::Entry,
        events: &mut Vec<Event>,
        unreadable: &mut Unreadable,
    ) -> Option<id::Instance> {
        let name = directory::name(&entry.key)?;
        match directory::registration(name.clone(), &entry.value) {
            Ok(registration) => {
                self.unreadable.remove(&name);
                self.listed.insert(name.clone());
                events.push(Event::Listed { registration });
                Some(name)
            }
            Err(error) => {
                self.unlist(name.clone(), events);
                if self.unreadable.insert(name.clone()) {
                    unreadable.push((name, error));
                }
                None
            }
        }
    }

    fn unlist(&mut self, name: id::Instance, events: &mut Vec<Event>) {
        if self.listed.remove(&name) {
            events.push(Event::Unlisted { name });
        }
    }
}

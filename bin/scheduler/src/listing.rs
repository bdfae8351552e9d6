//! The workers' directory as the store holds it: who is in it, and which entries can't be read.
//!
//! Anybody may write there. An entry that can't be read names no worker, also where it replaced one
//! that could, and the others hold.

use std::collections::HashSet;

use cowslipchute_base::id;
use cowslipchute_planner::event::Event;
use cowslipchute_platform::directory;
use cowslipchute_ports::kv;
use smallvec::SmallVec;

use crate::watcher::Change;

/// Entries that can't be read, and why; few at a time.
pub type Unreadable = SmallVec<[(id::Instance, directory::Error); 2]>;

/// What is known of the directory.
#[derive(Debug, Default)]
pub struct Listing {
    /// Workers that an entry names.
    listed: HashSet<id::Instance>,
    /// Names whose entry can't be read, once that was told.
    unreadable: HashSet<id::Instance>,
}

impl Listing {
    /// Takes a change in and appends what the planner is to be told. Returns the entries that can't be
    /// read, each once however often its writer repeats it.
    pub fn apply(&mut self, change: Change, events: &mut Vec<Event>) -> Unreadable {
        let mut unreadable = Unreadable::new();
        match change {
            Change::Snapshot(snapshot) => {
                let mut gone = self.listed.clone();
                for entry in snapshot.entries {
                    if let Some(name) = self.entry(&entry, events, &mut unreadable) {
                        gone.remove(&name);
                    }
                }
                for name in gone {
                    self.unlist(name, events);
                }
            }
            Change::Put(entry) => {
                self.entry(&entry, events, &mut unreadable);
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

    /// Takes an entry in; returns the worker that it names.
    fn entry(
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

//! The platform in the simulation: a store with one key, and the list.

use std::sync::Arc;

use cowslipchute_base::amount::Amount;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::event::ReadId;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::roster::Roster;
use cowslipchute_ports::list;

use super::World;

/// The platform's store, reduced to the roster's key.
#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub roster: Option<Arc<Roster>>,
    /// All rosters that were written, oldest first.
    pub history: Vec<Arc<Roster>>,
    pub down: bool,
    /// Whether changes take effect while their answers are lost.
    pub lossy: bool,
}

impl World {
    /// Removes an instance from the platform's list.
    pub fn unlist(&mut self, name: &str) {
        self.listed.remove(name);
        self.publish_list();
    }

    /// Adds a running instance to the platform's list again.
    pub fn relist(&mut self, name: &str) {
        self.listed.insert(name.to_owned(), self.nodes[name].member.clone());
        self.publish_list();
    }

    pub fn is_listed(&self, name: &str) -> bool {
        self.listed.contains_key(name)
    }

    pub(super) fn publish_list(&mut self) {
        self.list_version += 1;
        for name in self.names() {
            self.send_list(&name);
        }
    }

    /// Sends the platform's list to a node, unless it is cut off from the platform.
    pub fn send_list(&mut self, name: &str) {
        if !self.cut_platform.contains(name) {
            let members = self.listed.values().map(listed).collect();
            let view = list::View { version: self.list_version, members };
            self.send_event("platform", name, Event::Listed { view });
        }
    }

    /// Sends the stored roster, or an earlier version of it, to a node as a peer would.
    pub fn send_roster(&mut self, name: &str, version: Option<u64>) {
        let revision = self.store.revision;
        let rosters = &self.store.history;
        let wanted = version.unwrap_or(rosters.len() as u64);
        if let Some(roster) = rosters.iter().find(|roster| roster.version == wanted).cloned() {
            self.send_event("platform", name, Event::RosterReceived { revision, roster });
        }
    }

    fn is_store_unreachable(&self, name: &str) -> bool {
        self.store.down || self.cut_platform.contains(name)
    }

    pub(super) fn read(&mut self, from: &str, read: ReadId) {
        if self.is_store_unreachable(from) {
            return self.send_event("platform", from, Event::StoreFailed);
        }
        let roster = self.store.roster.clone();
        let revision = if roster.is_some() { self.store.revision } else { 0 };
        self.send_event("platform", from, Event::RosterRead { read, revision, roster });
    }

    pub(super) fn commit(&mut self, from: &str, revision: u64, roster: Roster) {
        if self.is_store_unreachable(from) {
            return self.send_event("platform", from, Event::StoreFailed);
        }
        self.apply(revision, roster);
        let answer = if self.store.lossy { Event::StoreFailed } else { Event::Proposed };
        self.send_event("platform", from, answer);
    }

    /// Applies a proposal if its revision is current, and notifies the watches.
    pub fn apply(&mut self, revision: u64, roster: Roster) {
        let current = if self.store.roster.is_some() { self.store.revision } else { 0 };
        if revision != current {
            return;
        }
        roster.check().expect("a proposed roster is valid");
        let stored_version = self.store.roster.as_ref().map_or(0, |roster| roster.version);
        assert_eq!(roster.version, stored_version + 1, "the version rises by one");
        self.store.revision += 10;
        let roster = Arc::new(roster);
        self.store.history.push(roster.clone());
        self.store.roster = Some(roster);
        for name in self.names() {
            if !self.is_store_unreachable(&name) {
                self.send_roster(&name, None);
            }
        }
    }
}

fn listed(member: &Member) -> list::Member {
    list::Member {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        role: list::Role::Entry,
        state: list::State::Live,
        domain: member.domain.clone(),
        rack: "".into(),
        address: member.address,
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

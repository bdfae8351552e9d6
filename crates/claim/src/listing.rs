//! The entry processes in the platform's list.

use std::collections::BTreeMap;

use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_ports::list;

use crate::roster::Member;

#[derive(Debug, Default)]
pub(crate) struct Listing {
    pub version: u64,
    entries: BTreeMap<Instance, Incarnation>,
}

impl Listing {
    /// Applies a view if it is newer. Returns `true` if it was.
    pub(crate) fn take(&mut self, view: &list::View) -> bool {
        if view.version <= self.version {
            return false;
        }
        self.version = view.version;
        let entries = view.members.iter().filter(|member| member.role == list::Role::Entry);
        self.entries = entries.map(|entry| (entry.instance.clone(), entry.incarnation)).collect();
        true
    }

    pub(crate) fn shows(&self, member: &Member) -> bool {
        self.entries.get(&member.instance) == Some(&member.incarnation)
    }

    /// Returns `true` if the list proves that a member has ended. A list older than the one that
    /// showed the member when it joined proves nothing.
    pub(crate) fn has_ended(&self, member: &Member) -> bool {
        self.version >= member.list_version && !self.shows(member)
    }
}

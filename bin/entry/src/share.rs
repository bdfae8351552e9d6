//! The numbers of active and idle connections that this entry may have to a backend server.
//!
//! All entries together must stay within a server's connection limit. The router bounds the
//! attempts in flight, but each front also keeps idle connections of its own. An entry's share is
//! split evenly into `n` for each front. The router may use `n` in all, and no front has more than
//! `n` connections, active or idle: it opens one only if none is idle there.

use std::collections::HashMap;

use cowslipchute_base::id;
use cowslipchute_ports::list;

/// Splits a server's connections into active and idle ones.
#[derive(Debug)]
pub struct Share {
    entries: u16,
    fronts: u16,
    /// Connections that each front may have to a backend server.
    each: HashMap<id::Instance, u16>,
}

impl Share {
    /// Opens a share for `entries` entries with `fronts` fronts each.
    pub fn open(entries: u16, fronts: u16) -> Share {
        Share { entries: entries.max(1), fronts: fronts.max(1), each: HashMap::new() }
    }

    /// Reduces the connections in a list to those that the router may use, and records how many
    /// each front may have.
    pub fn reserve_idle(&mut self, view: &mut list::View) {
        self.each.clear();
        for member in view.members.iter_mut().filter(|member| member.role == list::Role::Backend) {
            let each = member.connections / self.entries / self.fronts;
            // With fewer connections than fronts, none is kept idle and the router splits them.
            if each > 0 {
                member.connections = each * self.entries;
            }
            self.each.insert(member.instance.clone(), each);
        }
    }

    /// Returns the number of connections, active or idle, that a front may have to a backend
    /// server. If it is zero, the front keeps none idle, and only the router bounds the active ones.
    pub fn each(&self, instance: &str) -> usize {
        self.each.get(instance).copied().unwrap_or(0).into()
    }
}

//! The numbers of active and idle connections that this entry may have to a backend server.
//!
//! All entries together must stay within a server's connection limit. The router bounds the
//! attempts in flight, but each front also keeps idle connections of its own. With an entry's share
//! split evenly into `n` for each front, the router may use `n` and each front keeps `n - 1` idle:
//! if all attempts are at one front, `n` are in use there and at most `n - 1` idle at each other,
//! which leaves one in the share for a connection that is opened while another becomes idle.

use std::collections::HashMap;

use cowslipchute_base::id;
use cowslipchute_ports::list;

/// Splits a server's connections into active and idle ones.
#[derive(Debug)]
pub struct Share {
    entries: u16,
    fronts: u16,
    /// Idle connections that each front may keep to a backend server.
    idle: HashMap<id::Instance, u16>,
}

impl Share {
    /// Opens a share for `entries` entries with `fronts` fronts each.
    pub fn open(entries: u16, fronts: u16) -> Share {
        Share { entries: entries.max(1), fronts: fronts.max(1), idle: HashMap::new() }
    }

    /// Reduces the connections in a list to those that the router may use, and records how many
    /// idle ones each front may keep.
    pub fn reserve_idle(&mut self, view: &mut list::View) {
        self.idle.clear();
        for member in view.members.iter_mut().filter(|member| member.role == list::Role::Backend) {
            let each = member.connections / self.entries / self.fronts;
            // With fewer connections than fronts, none is kept idle and the router splits them.
            if each > 0 {
                member.connections = each * self.entries;
            }
            self.idle.insert(member.instance.clone(), each.saturating_sub(1));
        }
    }

    /// Returns the number of idle connections that a front may keep to a backend server.
    pub fn idle(&self, instance: &str) -> usize {
        self.idle.get(instance).copied().unwrap_or(0).into()
    }
}

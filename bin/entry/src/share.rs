//! How many connections to a backend server this entry may use at once, and how many stay idle.
//!
//! All entries together must stay within a server's connections. The router bounds the attempts in
//! flight, but each front keeps idle connections of its own besides. With an entry's share split
//! evenly into `n` for each front, the router is given `n` and each front keeps `n - 1` idle: when
//! all attempts are at one front, `n` are in use there and at most `n - 1` idle at each other, which
//! leaves one in the share for a connection made while another came free.

use std::collections::HashMap;

use cowslipchute_base::id;
use cowslipchute_ports::list;

/// Splits connections between what is in use and what is idle.
#[derive(Debug)]
pub struct Share {
    entries: u16,
    fronts: u16,
    /// Idle connections that each front may keep to a backend server.
    idle: HashMap<id::Instance, u16>,
}

impl Share {
    /// Shares between so many entries, each with so many fronts.
    pub fn open(entries: u16, fronts: u16) -> Share {
        Share { entries: entries.max(1), fronts: fronts.max(1), idle: HashMap::new() }
    }

    /// Sets the connections of a list to what the router may use, and keeps how many each front may
    /// leave idle.
    pub fn reserve_idle(&mut self, view: &mut list::View) {
        self.idle.clear();
        for member in view.members.iter_mut().filter(|member| member.role == list::Role::Backend) {
            let each = member.connections / self.entries / self.fronts;
            // With fewer connections than fronts none is kept, and the router splits what there is.
            if each > 0 {
                member.connections = each * self.entries;
            }
            self.idle.insert(member.instance.clone(), each.saturating_sub(1));
        }
    }

    /// Returns how many idle connections a front may keep to a backend server.
    pub fn idle(&self, instance: &str) -> usize {
        self.idle.get(instance).copied().unwrap_or(0).into()
    }
}

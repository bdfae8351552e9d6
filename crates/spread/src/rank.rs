//! The order of a failure domain's instances, on which all of them agree without talking.
//!
//! Rendezvous hashing: each name has a weight of its own, so an instance that comes or goes moves
//! no other one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An instance that follows the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub instance: Instance,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Where it is.
    pub domain: Domain,
    /// Where it answers calls.
    pub address: SocketAddr,
}

/// Returns the live instances of ours, each domain's by rising rank.
///
/// `me` is always among them, since a list that lags may not know it yet.
pub fn rank(me: &Peer, members: &[Member]) -> BTreeMap<Domain, Vec<Peer>> {
    let mut domains: BTreeMap<Domain, Vec<Peer>> = BTreeMap::new();
    let others =
        members.iter().filter(|member| is_follower(member) && member.instance != me.instance);
    for peer in others.map(peer).chain([me.clone()]) {
        domains.entry(peer.domain.clone()).or_default().push(peer);
    }
    for peers in domains.values_mut() {
        peers.sort_by_cached_key(|peer| (weight(peer), peer.instance.clone()));
    }
    domains
}

/// Tells whether a member follows the configuration and stays.
pub fn is_follower(member: &Member) -> bool {
    let ours = matches!(member.role, Role::Entry | Role::Placer | Role::Operator);
    ours && member.state == State::Live
}

fn peer(member: &Member) -> Peer {
    Peer {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        domain: member.domain.clone(),
        address: member.address,
    }
}

fn weight(peer: &Peer) -> u64 {
    let domain = xxh3_64_with_seed(peer.domain.as_bytes(), 0);
    xxh3_64_with_seed(peer.instance.as_bytes(), domain)
}

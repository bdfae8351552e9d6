//! Order of the instances of a failure domain, on which all of them agree without communication.
//!
//! Instances are ordered by a hash of their names (rendezvous hashing), so one that is added or
//! removed doesn't change the order of the others.

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
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Domain,
    /// Address at which it answers calls.
    pub address: SocketAddr,
}

/// Returns the live instances that follow the configuration, by domain and in order of rank.
///
/// Always includes `me`, which an outdated list may lack.
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

/// Returns `true` if a member follows the configuration and isn't leaving.
pub fn is_follower(member: &Member) -> bool {
    let has_role = matches!(member.role, Role::Entry | Role::Placer | Role::Operator);
    has_role && member.state == State::Live
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

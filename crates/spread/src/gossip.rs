//! Choice of the peers to pull from and push to.
//!
//! The instances of a failure domain form a tree by rank. The first responsive one, its root, holds
//! the domain's watch on the store. Each instance pushes changes to its children and periodically
//! pulls from its parent, which repairs lost pushes. The root pulls from the root of another
//! domain, so that a domain partitioned from the store still receives changes.
//!
//! Positions in the tree depend on the list only. The parent of an unresponsive instance takes over
//! its children, and they pull from it; so only the neighbours, which call the instance, have to
//! notice. If instances disagree, some changes are sent twice, which [`crate::replica`] ignores, or
//! arrive by pull instead of push.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list::Member;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use crate::rank;
use crate::rank::Peer;

/// Number of children of an instance. An instance sends a change three times whatever the size of
/// its domain, and four steps reach 121 instances.
pub const FANOUT: usize = 3;
/// Interval of pulls, before jitter.
pub const PULL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of pulls of an instance that has no configuration yet, before jitter.
pub const PULL_INTERVAL_INITIAL: Duration = Duration::from_millis(200);
/// Delay before a peer that failed a call is probed; doubles with each failed probe.
pub const SUSPECT_DELAY: Duration = Duration::from_secs(2);
/// Maximum delay before a suspect peer is probed again.
pub const SUSPECT_DELAY_MAX: Duration = Duration::from_secs(30);
/// One in this many pulls goes to another peer, in case the parent answers but receives no changes.
const RANDOM_PULL_PERIOD: u32 = 8;

/// A call to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the peer for changes.
    Pull(Peer),
    /// Check whether a suspect peer answers again.
    Probe(Peer),
}

/// The calls to be made now.
pub type Actions = SmallVec<[Action; 4]>;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    incarnation: Incarnation,
    until: Time,
    delay: Duration,
}

/// Peers of this instance: their ranks and which of them are suspect.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: Peer,
    domains: BTreeMap<Domain, Vec<Peer>>,
    suspects: BTreeMap<Instance, Suspect>,
    next_pull: Time,
    rng: SmallRng,
}

impl Gossip {
    /// Creates a state that contains only this instance.
    pub fn open(me: Peer, seed: u64) -> Gossip {
        let domains = rank::rank(&me, &[]);
        let rng = SmallRng::seed_from_u64(seed);
        Gossip { me, domains, suspects: BTreeMap::new(), next_pull: Time::ZERO, rng }
    }

    /// Sets the list of instances. A peer that is no longer listed, or has another incarnation, is
    /// no longer suspect.
    pub fn set_members(&mut self, members: &[Member]) {
        self.domains = rank::rank(&self.me, members);
        let domains = &self.domains;
        self.suspects.retain(|instance, suspect| {
            domains
                .values()
                .flatten()
                .any(|peer| peer.instance == *instance && peer.incarnation == suspect.incarnation)
        });
    }

    /// Returns `true` if this instance has to hold its domain's watch.
    pub fn holds_watch(&self) -> bool {
        self.first() == self.index()
    }

    /// Returns the peers to push changes to.
    pub fn children(&self) -> impl Iterator<Item = &Peer> {
        let mut indices = SmallVec::new();
        let index = self.index();
        self.responsive_below(index, &mut indices);
        if index > 0 && self.holds_watch() {
            // No instance of a lower rank answers, so this one takes over all their children.
            self.responsive_below(0, &mut indices);
        }
        indices.into_iter().map(|index| &self.local_peers()[index])
    }

    /// Returns the peer that pushes changes to this one; `None` if this one holds the watch.
    pub fn parent(&self) -> Option<&Peer> {
        if self.holds_watch() {
            return None;
        }
        let mut index = self.index();
        while index > 0 {
            index = (index - 1) / FANOUT;
            let peer = &self.local_peers()[index];
            if !self.is_suspect(peer) {
                return Some(peer);
            }
        }
        Some(&self.local_peers()[self.first()])
    }

    /// Returns the calls that are due. `ready` is `true` if there is a configuration already.
    pub fn tick(&mut self, now: Time, ready: bool) -> Actions {
        let mut actions = self.probes(now);
        if now >= self.next_pull {
            let interval = if ready { PULL_INTERVAL } else { PULL_INTERVAL_INITIAL };
            self.next_pull = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
            actions.extend(self.pull_target().map(Action::Pull));
        }
        actions
    }

    /// Returns when the next call is due.
    pub fn next_due(&self) -> Time {
        let probes = self.suspects.values().map(|suspect| suspect.until);
        probes.chain([self.next_pull]).min().expect("the next pull is always set")
    }

    /// Makes the next tick pull, because changes are missing.
    pub fn request_pull(&mut self, now: Time) {
        self.next_pull = self.next_pull.min(now);
    }

    /// Records that a peer answered; returns `true` if it was suspect.
    pub fn answered(&mut self, peer: &Peer) -> bool {
        self.suspects.remove(&peer.instance).is_some()
    }

    /// Records that a call to a peer failed; returns `true` if it wasn't suspect before. The next
    /// tick then pulls, as the parent may be another peer now.
    pub fn failed(&mut self, peer: &Peer, now: Time) -> bool {
        let previous = self.suspects.get(&peer.instance);
        let delay =
            previous.map_or(SUSPECT_DELAY, |previous| SUSPECT_DELAY_MAX.min(previous.delay * 2));
        let is_new = previous.is_none();
        let suspect = Suspect { incarnation: peer.incarnation, until: now + delay, delay };
        self.suspects.insert(peer.instance.clone(), suspect);
        if is_new {
            self.request_pull(now);
        }
        is_new
    }

    /// Returns the instances of this domain by rank, including this one.
    fn local_peers(&self) -> &[Peer] {
        &self.domains[&self.me.domain]
    }

    fn is_suspect(&self, peer: &Peer) -> bool {
        self.suspects.contains_key(&peer.instance)
    }

    fn index(&self) -> usize {
        let me = |peer: &Peer| peer.instance == self.me.instance;
        self.local_peers().iter().position(me).expect("an instance is in its own domain")
    }

    /// Returns the index of the first responsive instance; this one counts as responsive.
    fn first(&self) -> usize {
        let is_responsive = |peer: &Peer| !self.is_suspect(peer);
        self.local_peers()
            .iter()
            .position(is_responsive)
            .expect("an instance is never suspect to itself")
    }

    /// Adds the indices of the responsive children, descending into unresponsive ones. Indices
    /// increase from parent to child, so the recursion ends.
    fn responsive_below(&self, index: usize, indices: &mut SmallVec<[usize; 8]>) {
        let me = self.index();
        let end = self.local_peers().len().min(index * FANOUT + FANOUT + 1);
        for child in index * FANOUT + 1..end {
            if child == me {
                continue;
            }
            if self.is_suspect(&self.local_peers()[child]) {
                self.responsive_below(child, indices);
            } else {
                indices.push(child);
            }
        }
    }

    /// Returns the responsive peers of a domain by rank; this instance counts as responsive.
    fn responsive_in(&self, domain: &Domain) -> impl Iterator<Item = &Peer> {
        let peers = self.domains.get(domain).into_iter().flatten();
        peers.filter(|peer| !self.is_suspect(peer))
    }

    fn probes(&mut self, now: Time) -> Actions {
        let mut actions = Actions::new();
        for peer in self.domains.values().flatten() {
            let Some(suspect) = self.suspects.get_mut(&peer.instance) else { continue };
            if now >= suspect.until {
                // The next probe is due after the same delay unless this one ends earlier.
                suspect.until = now + suspect.delay;
                actions.push(Action::Probe(peer.clone()));
            }
        }
        actions
    }

    /// Chooses the peer to pull from.
    fn pull_target(&mut self) -> Option<Peer> {
        let is_random = self.rng.random_range(0..RANDOM_PULL_PERIOD) == 0;
        let parent = if is_random { None } else { self.parent().cloned() };
        if parent.is_some() {
            return parent;
        }
        if self.holds_watch() { self.remote_root() } else { self.random_peer() }
    }

    /// Chooses the root of a random other domain, or any random peer if there is no other domain.
    fn remote_root(&mut self) -> Option<Peer> {
        let local_domain = &self.me.domain;
        let others = self.domains.keys().filter(|domain| *domain != local_domain);
        let roots: Vec<_> =
            others.filter_map(|domain| self.responsive_in(domain).next()).cloned().collect();
        if roots.is_empty() {
            return self.random_peer();
        }
        let index = self.rng.random_range(0..roots.len());
        roots.into_iter().nth(index)
    }

    fn random_peer(&mut self) -> Option<Peer> {
        let count = self.responsive().count();
        if count == 0 {
            return None;
        }
        let index = self.rng.random_range(0..count);
        self.responsive().nth(index).cloned()
    }

    fn responsive(&self) -> impl Iterator<Item = &Peer> {
        let all = self.domains.keys().flat_map(|domain| self.responsive_in(domain));
        all.filter(|peer| peer.instance != self.me.instance)
    }
}

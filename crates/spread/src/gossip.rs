//! Whom to ask and whom to tell.
//!
//! The instances of a failure domain form a tree by rank. The first one that answers holds the domain's
//! watch on the store, and each one passes changes on to its children. Each one also pulls from its
//! parent now and then, which repairs what a push missed; the holder of the watch pulls from another
//! domain's first one, so that a domain cut off from the store still learns from the others.
//!
//! The places in the tree are those of the list, whoever answers. Where an instance doesn't, its
//! parent takes over its children and these pull from its parent; so only its neighbours, who call
//! it, need to know. When instances disagree all the same, some changes travel twice, which
//! [`crate::replica`] ignores, or come with a pull instead of a push.

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

/// Children of one instance. A change costs an instance three times its size to pass on, however
/// many instances its domain has, and four steps reach 121 of them.
pub const FANOUT: usize = 3;
/// Time between two pulls, before jitter.
pub const PULL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two pulls of an instance that has no configuration yet.
pub const PULL_INTERVAL_INITIAL: Duration = Duration::from_millis(200);
/// A peer that failed a call is left out for so long, and twice as long after each failed probe.
pub const SUSPECT_DELAY: Duration = Duration::from_secs(2);
/// The longest time that a peer is left out before it is probed again.
pub const SUSPECT_DELAY_MAX: Duration = Duration::from_secs(30);
/// One pull in so many goes to any peer, in case the parent answers but learns nothing.
const STRAY_PULLS: u32 = 8;

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the peer for what changed.
    Pull(Peer),
    /// Find out whether a peer answers again.
    Probe(Peer),
}

/// The calls to make now.
pub type Actions = SmallVec<[Action; 4]>;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    incarnation: Incarnation,
    until: Time,
    wait: Duration,
}

/// What this instance knows about its peers.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: Peer,
    domains: BTreeMap<Domain, Vec<Peer>>,
    suspects: BTreeMap<Instance, Suspect>,
    next_pull: Time,
    rng: SmallRng,
}

impl Gossip {
    /// Knows only this instance.
    pub fn open(me: Peer, seed: u64) -> Gossip {
        let domains = rank::rank(&me, &[]);
        let rng = SmallRng::seed_from_u64(seed);
        Gossip { me, domains, suspects: BTreeMap::new(), next_pull: Time::ZERO, rng }
    }

    /// Takes the list of instances. A peer that is listed no more, or with another life, is no
    /// longer suspect.
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

    /// Tells whether this instance is the one to hold its domain's watch.
    pub fn holds_watch(&self) -> bool {
        self.first() == self.place()
    }

    /// Returns the peers that changes are passed on to.
    pub fn children(&self) -> impl Iterator<Item = &Peer> {
        let mut places = SmallVec::new();
        let place = self.place();
        self.answering_below(place, &mut places);
        if place > 0 && self.holds_watch() {
            // None before this one answers, so it stands in for all of them.
            self.answering_below(0, &mut places);
        }
        places.into_iter().map(|place| &self.own()[place])
    }

    /// Returns the peer that changes come from; nothing for the one that holds the watch.
    pub fn parent(&self) -> Option<&Peer> {
        if self.holds_watch() {
            return None;
        }
        let mut place = self.place();
        while place > 0 {
            place = (place - 1) / FANOUT;
            let peer = &self.own()[place];
            if !self.suspect(peer) {
                return Some(peer);
            }
        }
        Some(&self.own()[self.first()])
    }

    /// Returns the calls that are due. `ready` tells whether there is a configuration yet.
    pub fn tick(&mut self, now: Time, ready: bool) -> Actions {
        let mut actions = self.probes(now);
        if now >= self.next_pull {
            let every = if ready { PULL_INTERVAL } else { PULL_INTERVAL_INITIAL };
            self.next_pull = now + every.mul_f64(self.rng.random_range(0.75..1.25));
            actions.extend(self.pulled().map(Action::Pull));
        }
        actions
    }

    /// Returns when the next call is due.
    pub fn next_due(&self) -> Time {
        let probes = self.suspects.values().map(|suspect| suspect.until);
        probes.chain([self.next_pull]).min().expect("the next pull is always set")
    }

    /// Notes that something is missing, so that the next tick pulls.
    pub fn request_pull(&mut self, now: Time) {
        self.next_pull = self.next_pull.min(now);
    }

    /// Notes that a peer answered; tells whether it was suspect.
    pub fn answered(&mut self, peer: &Peer) -> bool {
        self.suspects.remove(&peer.instance).is_some()
    }

    /// Notes that a call to a peer failed; tells whether that is news. The next tick pulls, from
    /// whoever has taken its place.
    pub fn failed(&mut self, peer: &Peer, now: Time) -> bool {
        let before = self.suspects.get(&peer.instance);
        let wait = before.map_or(SUSPECT_DELAY, |before| SUSPECT_DELAY_MAX.min(before.wait * 2));
        let news = before.is_none();
        let suspect = Suspect { incarnation: peer.incarnation, until: now + wait, wait };
        self.suspects.insert(peer.instance.clone(), suspect);
        if news {
            self.request_pull(now);
        }
        news
    }

    /// The instances of this domain by rank, with this one.
    fn own(&self) -> &[Peer] {
        &self.domains[&self.me.domain]
    }

    fn suspect(&self, peer: &Peer) -> bool {
        self.suspects.contains_key(&peer.instance)
    }

    fn place(&self) -> usize {
        let me = |peer: &Peer| peer.instance == self.me.instance;
        self.own().iter().position(me).expect("an instance is in its own domain")
    }

    /// The place of the first instance that answers; this one counts as answering.
    fn first(&self) -> usize {
        let answers = |peer: &Peer| !self.suspect(peer);
        self.own().iter().position(answers).expect("an instance is never suspect to itself")
    }

    /// Adds the places below one, going on below those that don't answer. Places rise from parent
    /// to child, so this ends.
    fn answering_below(&self, place: usize, places: &mut SmallVec<[usize; 8]>) {
        let me = self.place();
        let end = self.own().len().min(place * FANOUT + FANOUT + 1);
        for child in place * FANOUT + 1..end {
            if child == me {
                continue;
            }
            if self.suspect(&self.own()[child]) {
                self.answering_below(child, places);
            } else {
                places.push(child);
            }
        }
    }

    /// Walks a domain's peers that answer, by rank; this instance always counts itself.
    fn line(&self, domain: &Domain) -> impl Iterator<Item = &Peer> {
        let peers = self.domains.get(domain).into_iter().flatten();
        peers.filter(|peer| !self.suspect(peer))
    }

    fn probes(&mut self, now: Time) -> Actions {
        let mut actions = Actions::new();
        for peer in self.domains.values().flatten() {
            let Some(suspect) = self.suspects.get_mut(&peer.instance) else { continue };
            if now >= suspect.until {
                // Until the probe has failed or succeeded, the next one waits as long again.
                suspect.until = now + suspect.wait;
                actions.push(Action::Probe(peer.clone()));
            }
        }
        actions
    }

    /// Chooses whom to pull from.
    fn pulled(&mut self) -> Option<Peer> {
        let stray = self.rng.random_range(0..STRAY_PULLS) == 0;
        let parent = if stray { None } else { self.parent().cloned() };
        if parent.is_some() {
            return parent;
        }
        if self.holds_watch() { self.other_first() } else { self.anyone() }
    }

    /// Chooses the first peer of another domain, or anyone where there is no other domain.
    fn other_first(&mut self) -> Option<Peer> {
        let own = &self.me.domain;
        let others = self.domains.keys().filter(|domain| *domain != own);
        let firsts: Vec<_> =
            others.filter_map(|domain| self.line(domain).next()).cloned().collect();
        if firsts.is_empty() {
            return self.anyone();
        }
        let at = self.rng.random_range(0..firsts.len());
        firsts.into_iter().nth(at)
    }

    fn anyone(&mut self) -> Option<Peer> {
        let count = self.answering().count();
        if count == 0 {
            return None;
        }
        let at = self.rng.random_range(0..count);
        self.answering().nth(at).cloned()
    }

    fn answering(&self) -> impl Iterator<Item = &Peer> {
        let all = self.domains.keys().flat_map(|domain| self.line(domain));
        all.filter(|peer| peer.instance != self.me.instance)
    }
}

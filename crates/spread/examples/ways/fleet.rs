//! Simulation of instances that distribute the changes of one store, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_ports::peer::Item;
use cowslipchute_spread::batch::Batch;
use cowslipchute_spread::batch::Scope;
use cowslipchute_spread::gossip::Action;
use cowslipchute_spread::gossip::Gossip;
use cowslipchute_spread::pull::Pull;
use cowslipchute_spread::pull::Step;
use cowslipchute_spread::push::Children;
use cowslipchute_spread::push::Push;
use cowslipchute_spread::rank::Peer;
use cowslipchute_spread::replica::Continuity;
use cowslipchute_spread::replica::PAGE_BYTES;
use cowslipchute_spread::replica::Page;
use cowslipchute_spread::replica::Replica;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::queue::Queue;
use crate::traffic;
use crate::way::Way;

/// Interval of changes, for 46,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1878);
/// Number of resources that exist at the start.
const RESOURCES: u64 = 1000;
/// Size of a stored resource in bytes.
const VALUE_BYTES: usize = 400;
/// One-way latency within a domain.
const LATENCY_LOCAL: Duration = Duration::from_micros(200);
/// One-way latency between domains.
const LATENCY_REMOTE: Duration = Duration::from_micros(1500);
/// One-way latency to the store, including its processing time.
const LATENCY_STORE: Duration = Duration::from_millis(3);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Changes in the last seconds of a run aren't evaluated, because they have no time to spread.
const EVALUATION_MARGIN: Duration = Duration::from_secs(15);
/// Time of the first change, at which every instance has its list.
const FIRST_CHANGE: Duration = Duration::from_secs(3);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of instances.
    pub instances: usize,
    /// Number of failure domains.
    pub domains: usize,
}

/// Fault injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One in ten calls between peers gets no answer.
    LostCalls,
    /// Every instance that holds a watch crashes after a third of the run, but stays listed.
    KilledHolders,
    /// The first domain is partitioned from the store after a third of the run.
    CutFromStore,
}

impl Fault {
    /// Returns the text in the table.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::LostCalls => "one call in ten lost",
            Fault::KilledHolders => "all holders killed at once",
            Fault::CutFromStore => "a domain cut off from the store",
        }
    }
}

/// Measurements of a run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Number of open watches at the end.
    pub watches: usize,
    /// Calls to the store per second, including those that open watches.
    pub store_calls: f64,
    /// Bytes to and from the store per second.
    pub store_bytes: f64,
    /// Bytes of the busiest instance per second, in both directions.
    pub busiest_bytes: f64,
    /// Median time until a change was in force at every live instance.
    pub in_force_p50: Duration,
    /// Maximum of these times.
    pub in_force_max: Duration,
}

enum Event {
    Change,
    Fault,
    Tick(usize),
    Update(usize, Item),
    Pull { from: usize, to: usize, after: Revision },
    Pulled { at: usize, peer: usize, page: Option<Page> },
    Push { from: usize, to: usize, batch: Batch },
    Pushed { at: usize, peer: usize, accepted: bool },
}

struct Instance {
    peer: Peer,
    replica: Replica,
    gossip: Gossip,
    pull: Pull,
    children: Children,
    watching: bool,
    alive: bool,
    bytes: usize,
}

/// A run of the simulation.
pub struct Fleet {
    way: Way,
    fault: Fault,
    now: Time,
    queue: Queue<Event>,
    instances: Vec<Instance>,
    history: Vec<Item>,
    changed_at: BTreeMap<Revision, Time>,
    in_force: BTreeMap<Revision, Time>,
    is_cut: bool,
    rng: SmallRng,
    store_calls: usize,
    store_bytes: usize,
}

fn item(revision: Revision) -> Item {
    let key = format!("/cowslipchute/config/job/{:06}", revision % RESOURCES);
    Item { key, value: Some(vec![0; VALUE_BYTES]), revision }
}

impl Fleet {
    /// Creates the instances, which all start with the same configuration.
    pub fn open(size: Size, way: Way, fault: Fault, seed: u64) -> Fleet {
        let history: Vec<Item> = (1..=RESOURCES).map(item).collect();
        let members: Vec<Member> = (0..size.instances).map(|at| member(at, size.domains)).collect();
        let mut instances: Vec<Instance> =
            members.iter().enumerate().map(|(at, instance)| open(instance, at, seed)).collect();
        let mut queue = Queue::open();
        queue.push(FIRST_CHANGE, Event::Change);
        for (at, instance) in instances.iter_mut().enumerate() {
            instance.gossip.set_members(&members);
            let (items, scope) = (history.clone(), Scope::Whole);
            instance.replica.apply(Batch { items, revision: RESOURCES, scope });
            queue.push(Duration::from_micros(1013 * at as u64 % 1_000_000), Event::Tick(at));
        }
        Fleet {
            way,
            fault,
            now: Duration::ZERO,
            queue,
            instances,
            history,
            changed_at: BTreeMap::new(),
            in_force: BTreeMap::new(),
            is_cut: false,
            rng: SmallRng::seed_from_u64(seed),
            store_calls: 0,
            store_bytes: 0,
        }
    }

    /// Runs to the end and returns the measurements.
    pub fn run(mut self, length: Duration) -> Outcome {
        self.queue.push(length / 3, Event::Fault);
        while let Some((at, event)) = self.queue.pop(length) {
            self.now = at;
            self.step(event);
        }
        let is_evaluated = |changed_at: &Time| *changed_at + EVALUATION_MARGIN < length;
        let mut times: Vec<Duration> = Vec::new();
        for (revision, changed_at) in
            self.changed_at.iter().filter(|(_, changed_at)| is_evaluated(changed_at))
        {
            let done = self.in_force.get(revision).unwrap_or(&length);
            times.push(*done - *changed_at);
        }
        times.sort();
        let seconds = length.as_secs_f64();
        let busiest = self.instances.iter().map(|instance| instance.bytes).max().unwrap_or(0);
        Outcome {
            watches: self
                .instances
                .iter()
                .filter(|instance| instance.watching && instance.alive)
                .count(),
            store_calls: self.store_calls as f64 / seconds,
            store_bytes: self.store_bytes as f64 / seconds,
            busiest_bytes: busiest as f64 / seconds,
            in_force_p50: times[times.len() / 2],
            in_force_max: times[times.len() - 1],
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Change => self.change(),
            Event::Fault => self.inject_fault(),
            Event::Tick(at) if self.instances[at].alive => self.tick(at),
            Event::Update(at, item) if self.instances[at].alive => {
                let after = self.instances[at].replica.in_force();
                let revision = item.revision;
                self.count_store_call(at, traffic::store_entry(&item), 0);
                let scope = Scope::After(after);
                self.apply(at, Batch { items: vec![item], revision, scope });
            }
            Event::Pull { from, to, after } => self.pull(from, to, after),
            Event::Pulled { at, peer, page } => self.pulled(at, peer, page),
            Event::Push { from, to, batch } => self.push(from, to, batch),
            Event::Pushed { at, peer, accepted } => self.pushed(at, peer, accepted),
            Event::Tick(_) | Event::Update(..) => {}
        }
    }

    fn change(&mut self) {
        let revision = self.history.len() as Revision + 1;
        self.history.push(item(revision));
        self.changed_at.insert(revision, self.now);
        self.queue.push(self.now + CHANGE_INTERVAL, Event::Change);
        for at in 0..self.instances.len() {
            if self.instances[at].watching && !self.is_cut_off(at) {
                self.queue.push(self.now + LATENCY_STORE, Event::Update(at, item(revision)));
            }
        }
    }

    fn inject_fault(&mut self) {
        match self.fault {
            Fault::KilledHolders => {
                self.instances.iter_mut().for_each(|instance| instance.alive &= !instance.watching);
            }
            Fault::CutFromStore => self.is_cut = true,
            Fault::None | Fault::LostCalls => {}
        }
    }

    fn is_cut_off(&self, at: usize) -> bool {
        self.is_cut && *self.instances[at].peer.domain == *"d0"
    }

    fn tick(&mut self, at: usize) {
        let now = self.now;
        let watches = match self.way {
            Way::WatchEach => true,
            Way::Poll => false,
            _ => self.instances[at].gossip.holds_watch(),
        };
        self.watch(at, watches);
        let next = match self.way {
            Way::WatchEach => Duration::from_secs(3600),
            Way::Poll => self.poll(at),
            Way::RandomPull => {
                let peer = self.rng.random_range(0..self.instances.len());
                self.start_pull(at, peer);
                Duration::from_secs(1).mul_f64(self.rng.random_range(0.75..1.25))
            }
            Way::Star | Way::Shipped => {
                for action in self.instances[at].gossip.tick(now, true) {
                    let (Action::Pull(peer) | Action::Probe(peer)) = action;
                    let peer = index_of(&peer);
                    self.start_pull(at, peer);
                }
                let due = self.instances[at].gossip.next_due().saturating_sub(now);
                due.max(Duration::from_millis(1))
            }
        };
        self.queue.push(now + next, Event::Tick(at));
    }

    /// Opens or closes an instance's watch. A new watch receives the changes that it missed.
    fn watch(&mut self, at: usize, watches: bool) {
        let opened = watches && !self.instances[at].watching;
        self.instances[at].watching = watches;
        if !opened || self.is_cut_off(at) {
            return;
        }
        self.count_store_call(at, traffic::STORE_CALL, 1);
        let after = self.instances[at].replica.in_force() as usize;
        let arrives = self.now + LATENCY_STORE;
        for missed in &self.history[after..] {
            self.queue.push(arrives, Event::Update(at, missed.clone()));
        }
    }

    fn poll(&mut self, at: usize) -> Duration {
        let whole: usize =
            self.history[..RESOURCES as usize].iter().map(traffic::store_entry).sum();
        self.count_store_call(at, traffic::STORE_CALL + whole, 1);
        let after = self.instances[at].replica.in_force() as usize;
        let items = self.history[after..].to_vec();
        let revision = self.history.len() as Revision;
        self.apply(at, Batch { items, revision, scope: Scope::After(after as Revision) });
        Duration::from_secs(1).mul_f64(self.rng.random_range(0.75..1.25))
    }

    fn count_store_call(&mut self, at: usize, bytes: usize, calls: usize) {
        self.store_calls += calls;
        self.store_bytes += bytes;
        self.instances[at].bytes += bytes;
    }

    fn one_way(&self, a: usize, b: usize) -> Duration {
        let same = self.instances[a].peer.domain == self.instances[b].peer.domain;
        if same { LATENCY_LOCAL } else { LATENCY_REMOTE }
    }

    /// Returns `true` if a call is answered; otherwise it times out.
    fn answered(&mut self, to: usize) -> bool {
        let lost = self.fault == Fault::LostCalls && self.rng.random_range(0..10) == 0;
        self.instances[to].alive && !lost
    }

    fn count_bytes(&mut self, a: usize, b: usize, bytes: usize) {
        self.instances[a].bytes += bytes;
        self.instances[b].bytes += bytes;
    }

    fn start_pull(&mut self, at: usize, peer: usize) {
        if at == peer {
            return;
        }
        let to = self.instances[peer].peer.clone();
        let asker = &mut self.instances[at];
        if let Some(after) = asker.pull.begin(&to, asker.replica.in_force()) {
            self.request_page(at, peer, after);
        }
    }

    fn request_page(&mut self, at: usize, peer: usize, after: Revision) {
        let arrives = self.now + self.one_way(at, peer);
        self.queue.push(arrives, Event::Pull { from: at, to: peer, after });
    }

    fn pull(&mut self, from: usize, to: usize, after: Revision) {
        let page = self.answered(to).then(|| self.instances[to].replica.page(after, PAGE_BYTES));
        let items = page.as_ref().map_or(0, |page| traffic::peer_items(&page.batch.items));
        self.count_bytes(from, to, traffic::PEER_CALL + items);
        let back = if page.is_some() { self.one_way(from, to) } else { CALL_TIMEOUT };
        self.queue.push(self.now + back, Event::Pulled { at: from, peer: to, page });
    }

    fn pulled(&mut self, at: usize, peer: usize, page: Option<Page>) {
        let Some(page) = page else { return self.record_failure(at, peer) };
        self.record_answer(at, peer);
        let Batch { items, revision, .. } = page.batch;
        match self.instances[at].pull.receive(items, revision, page.lacks_removals) {
            Some(Step::Ask(after)) => self.request_page(at, peer, after),
            Some(Step::Apply(batch)) => self.apply(at, batch),
            None => {}
        }
    }

    fn push(&mut self, from: usize, to: usize, batch: Batch) {
        let accepted = self.answered(to);
        self.count_bytes(from, to, traffic::PEER_CALL + traffic::peer_items(&batch.items));
        if accepted {
            self.apply(to, batch);
        }
        let back = if accepted { self.one_way(from, to) } else { CALL_TIMEOUT };
        self.queue.push(self.now + back, Event::Pushed { at: from, peer: to, accepted });
    }

    fn pushed(&mut self, at: usize, peer: usize, accepted: bool) {
        if !accepted {
            return self.record_failure(at, peer);
        }
        self.record_answer(at, peer);
        let to = self.instances[peer].peer.clone();
        let Instance { children, replica, .. } = &mut self.instances[at];
        let next = children.accepted(replica, &to);
        self.send(at, next);
    }

    fn record_answer(&mut self, at: usize, peer: usize) {
        let peer = self.instances[peer].peer.clone();
        self.instances[at].gossip.answered(&peer);
    }

    fn record_failure(&mut self, at: usize, peer: usize) {
        let (peer, now) = (self.instances[peer].peer.clone(), self.now);
        let instance = &mut self.instances[at];
        instance.children.failed(&peer);
        instance.pull.failed(&peer);
        if instance.gossip.failed(&peer, now) {
            self.queue.push(now, Event::Tick(at));
        }
    }

    fn apply(&mut self, at: usize, batch: Batch) {
        let now = self.now;
        let instance = &mut self.instances[at];
        if !instance.alive {
            return;
        }
        let (before, last) = (instance.replica.in_force(), instance.replica.last_change());
        if instance.replica.apply(batch).continuity == Continuity::Gap {
            instance.gossip.request_pull(now);
            self.queue.push(now, Event::Tick(at));
        }
        let instance = &mut self.instances[at];
        let pushes = match self.way {
            Way::Shipped => {
                instance.children.changed(&instance.replica, last, instance.gossip.children())
            }
            Way::Star if instance.watching => {
                let domain = instance.peer.domain.clone();
                let others: Vec<Peer> =
                    self.instances.iter().map(|instance| instance.peer.clone()).collect();
                let others = others.iter().filter(|peer| peer.domain == domain);
                let others = others.filter(|peer| index_of(peer) != at);
                let instance = &mut self.instances[at];
                instance.children.changed(&instance.replica, last, others)
            }
            _ => Default::default(),
        };
        self.send(at, pushes);
        if self.instances[at].replica.in_force() > before {
            self.record_in_force();
        }
    }

    fn send(&mut self, at: usize, pushes: impl IntoIterator<Item = Push>) {
        for push in pushes {
            let to = index_of(&push.peer);
            let arrives = self.now + self.one_way(at, to);
            self.queue.push(arrives, Event::Push { from: at, to, batch: push.batch });
        }
    }

    /// Records the changes that have come into force at every live instance.
    fn record_in_force(&mut self) {
        let living = self.instances.iter().filter(|instance| instance.alive);
        let everywhere = living.map(|instance| instance.replica.in_force()).min().unwrap_or(0);
        let from = self.in_force.last_key_value().map_or(0, |(revision, _)| revision + 1);
        for (revision, _) in self.changed_at.range(from..=everywhere.max(from)) {
            if *revision <= everywhere {
                self.in_force.insert(*revision, self.now);
            }
        }
    }
}

fn member(at: usize, domains: usize) -> Member {
    Member {
        instance: format!("i{at}").into(),
        incarnation: 1,
        role: Role::Entry,
        state: State::Live,
        domain: format!("d{}", at % domains).into(),
        rack: "".into(),
        address: SocketAddr::from(([127, 0, 0, 1], at as u16)),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

fn open(member: &Member, at: usize, seed: u64) -> Instance {
    let peer = Peer {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        domain: member.domain.clone(),
        address: member.address,
    };
    Instance {
        gossip: Gossip::open(peer.clone(), seed ^ at as u64),
        peer,
        replica: Replica::default(),
        children: Children::default(),
        pull: Pull::default(),
        watching: false,
        alive: true,
        bytes: 0,
    }
}

/// Returns the index of an instance, which is encoded in its address.
fn index_of(peer: &Peer) -> usize {
    peer.address.port().into()
}

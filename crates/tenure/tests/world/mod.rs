//! Several ownership managers of one failure domain with an in-memory store, in virtual time.
//!
//! After every step the world checks the invariants: no two placers run a cell under the same
//! epoch; epochs in the store only rise; and while a placer considers all previous owners of its
//! cell stopped, no other placer runs the cell.

#![allow(dead_code)]

mod store;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_cell::event::Former;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;
use cowslipchute_ports::peer;
use cowslipchute_tenure::action::Action;
use cowslipchute_tenure::event::Event;
use cowslipchute_tenure::event::Ticket;
use cowslipchute_tenure::key;
use cowslipchute_tenure::owner::Claim;
use cowslipchute_tenure::owner::Owner;
use cowslipchute_tenure::ownership::Manager;
use cowslipchute_tenure::ownership::Settings;
use cowslipchute_tenure::plan::Plan;

use store::Memory;

pub const DOMAIN: &str = "d";
pub const LEASE: Duration = Duration::from_millis(5000);

/// The fault of a placer's next commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The commit takes effect; the answer is lost.
    Applied,
    /// The commit takes no effect; the answer is lost.
    Dropped,
    /// The answer is lost now; the commit may take effect later, on `land`.
    Late,
}

/// One placer process.
#[derive(Debug)]
pub struct Node {
    pub manager: Manager,
    pub incarnation: id::Incarnation,
    pub inbox: VecDeque<Event>,
    pub frozen: bool,
    pub store_cut: bool,
    pub peers_cut: bool,
    /// Whether incoming events wait while the process still gets ticks.
    pub lagging: bool,
    pub fault: Option<Fault>,
    /// The cells that it runs, with the epoch and what it knows of previous owners.
    pub running: BTreeMap<id::Cell, Running>,
    pub drained: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Running {
    pub epoch: id::Epoch,
    pub former: Former,
}

/// A call between placers that is not answered yet.
#[derive(Clone, Debug)]
struct Call {
    caller: String,
    cell: id::Cell,
    epoch: id::Epoch,
    owner: Owner,
}

#[derive(Debug)]
pub struct World {
    /// Delay per rank before a free cell is taken.
    pub rank_delay: Duration,
    /// The length of one step of virtual time.
    pub tick: Duration,
    pub now: Time,
    pub store: Memory,
    pub down: bool,
    pub view: list::View,
    pub nodes: BTreeMap<String, Node>,
    pub trace: Vec<String>,
    /// Commits whose answer was lost and that have not taken effect yet.
    pub late_commits: Vec<kv::Txn>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    epochs: BTreeMap<String, id::Epoch>,
}

impl World {
    pub fn open(rank_delay: Duration, tick: Duration) -> World {
        World {
            rank_delay,
            tick,
            now: Time::ZERO,
            store: Memory::default(),
            down: false,
            view: list::View::default(),
            nodes: BTreeMap::new(),
            trace: Vec::new(),
            late_commits: Vec::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            epochs: BTreeMap::new(),
        }
    }

    pub fn start(&mut self, name: &str, incarnation: id::Incarnation) {
        let port = 7000 + name.bytes().map(u16::from).sum::<u16>();
        let manager = Manager::open(Settings {
            instance: name.into(),
            incarnation,
            address: ([127, 0, 0, 1], port).into(),
            domain: DOMAIN.into(),
            lease: LEASE,
            max_cell_workers: 4,
            rank_delay: self.rank_delay,
            handover_delay: Duration::from_secs(20),
            query_interval: Duration::from_secs(1),
        });
        let node = Node {
            manager,
            incarnation,
            inbox: VecDeque::new(),
            frozen: false,
            store_cut: false,
            peers_cut: false,
            lagging: false,
            fault: None,
            running: BTreeMap::new(),
            drained: false,
        };
        self.nodes.insert(name.to_owned(), node);
        self.deliver_list(name);
    }

    pub fn publish(&mut self, view: list::View) {
        self.view = view;
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            self.deliver_list(&name);
        }
    }

    pub fn deliver_list(&mut self, name: &str) {
        let view = self.view.clone();
        self.node(name).inbox.push_back(Event::Listed { view });
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).expect("the placer was started")
    }

    /// Advances virtual time and steps all placers.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += self.tick;
            self.expire_leases();
            let names: Vec<String> = self.nodes.keys().cloned().collect();
            for name in names {
                self.step_node(&name);
            }
        }
    }

    pub fn expire_leases(&mut self) {
        if !self.down {
            let before = self.store.revision;
            self.store.expire(self.now);
            self.announce(before);
        }
    }

    /// Sends one placer a tick and delivers the events in its inbox.
    pub fn step_node(&mut self, name: &str) {
        self.step(name, Event::Tick);
        if self.nodes[name].lagging {
            return;
        }
        for _ in 0..self.nodes[name].inbox.len() {
            self.deliver(name);
        }
    }

    /// Delivers the oldest event in a placer's inbox.
    pub fn deliver(&mut self, name: &str) {
        if self.nodes[name].frozen {
            return;
        }
        let Some(event) = self.node(name).inbox.pop_front() else { return };
        if let Event::Quiesced { cell, .. } = &event {
            // Until this event, requests of the process for the cell may be in flight.
            self.node(name).running.remove(cell);
        }
        self.step(name, event);
    }

    pub fn step(&mut self, name: &str, event: Event) {
        let now = self.now;
        let node = self.node(name);
        if node.frozen {
            return;
        }
        let mut actions = Vec::new();
        node.manager.step(now, event, &mut actions);
        for action in actions {
            self.perform(name, action);
        }
        let node = &self.nodes[name];
        // A manager that is due again immediately would keep its process in a busy loop.
        assert!(node.drained || node.manager.next_due(now) > now, "{name} is always due");
        self.check();
    }

    fn perform(&mut self, name: &str, action: Action) {
        match action {
            Action::ReadDomain { ticket } => {
                let prefix = key::domain(DOMAIN);
                let outcome = self.check_store(name).map(|()| self.store.read(&prefix));
                self.node(name).inbox.push_back(Event::DomainRead { ticket, outcome });
            }
            Action::Commit { ticket, txn } => self.commit(name, ticket, txn),
            Action::Grant { ticket, ttl } => {
                let now = self.now;
                let outcome = self.check_store(name).map(|()| self.store.grant(now, ttl));
                self.node(name).inbox.push_back(Event::Granted { ticket, outcome });
            }
            Action::Renew { ticket, lease } => {
                let now = self.now;
                let outcome =
                    self.check_store(name).and_then(|()| self.store.keep_alive(now, lease));
                self.node(name).inbox.push_back(Event::Renewed { ticket, outcome });
            }
            Action::Revoke { lease } => {
                if self.check_store(name).is_ok() {
                    self.store.revoke(lease);
                }
            }
            Action::Own { cell, epoch, former, .. } => {
                self.record(name, format!("owns {cell} epoch {epoch} former {former:?}"));
                self.node(name).running.insert(cell, Running { epoch, former });
            }
            Action::PreviousOwners { cell, former } => {
                self.record(name, format!("learns of {cell} former {former:?}"));
                let running = self.node(name).running.get_mut(&cell);
                running.expect("only an owner is notified of its previous owners").former = former;
            }
            Action::Quiesce { cell, epoch } | Action::Stop { cell, epoch } => {
                self.record(name, format!("stops {cell} epoch {epoch}"));
                self.node(name).inbox.push_back(Event::Quiesced { cell, epoch });
            }
            Action::QueryStopped { cell, epoch, owner } => self.ask(name, cell, epoch, owner),
            Action::Answer { call, reply } => self.answer(call, &reply),
            Action::Note { event, reason, subject } => {
                self.record(name, format!("notes {} {subject}: {reason}", event.name()));
            }
            Action::Drained => {
                self.record(name, String::from("is drained"));
                self.node(name).drained = true;
            }
        }
    }

    fn record(&mut self, name: &str, text: String) {
        let at = self.now.as_millis();
        self.trace.push(format!("{at} {name} {text}"));
    }

    fn check_store(&self, name: &str) -> Result<(), kv::Error> {
        if self.down || self.nodes[name].store_cut {
            return Err(kv::Error::Unavailable(String::from("refused")));
        }
        Ok(())
    }

    fn commit(&mut self, name: &str, ticket: Ticket, txn: kv::Txn) {
        let before = self.store.revision;
        let lost = || Err(kv::Error::Unknown(String::from("lost")));
        let reached = self.check_store(name);
        let fault = self.node(name).fault.take();
        let outcome = match (reached, fault) {
            (Err(error), _) => Err(error),
            (Ok(()), None) => self.store.commit(&txn).inspect(|verdict| {
                if verdict.applied {
                    self.check_taken(name, &txn);
                }
            }),
            (Ok(()), Some(Fault::Applied)) => self.store.commit(&txn).and(lost()),
            (Ok(()), Some(Fault::Dropped)) => lost(),
            (Ok(()), Some(Fault::Late)) => {
                self.late_commits.push(txn);
                lost()
            }
        };
        self.node(name).inbox.push_back(Event::Committed { ticket, outcome });
        self.announce(before);
    }

    /// Checks that a placer that takes a cell knows all racks that a previous owner may have used.
    fn check_taken(&self, name: &str, txn: &kv::Txn) {
        let puts = txn.changes.iter().filter_map(|change| match change {
            kv::Change::Put { key, value, .. } if key::parse_cell(key).is_some() => Some(value),
            _ => None,
        });
        let takes = puts.filter_map(|value| Claim::from_bytes(value)).any(|claim| !claim.released);
        let stored = self.store.entries.get(&key::plan(DOMAIN));
        let stored = stored.and_then(|entry| Plan::from_bytes(&entry.value)).unwrap_or_default();
        let known = self.nodes[name].manager.plan();
        assert!(
            !takes || *known == stored,
            "{name} takes a cell under an outdated plan: {known:?}"
        );
    }

    /// Delivers a change of the store to the watches of all placers.
    fn announce(&mut self, before: id::Revision) {
        if self.store.revision == before || self.down {
            return;
        }
        for node in self.nodes.values_mut().filter(|node| !node.store_cut && !node.frozen) {
            node.inbox.push_back(Event::Changed);
        }
    }

    /// Applies the oldest late commit.
    pub fn apply_late_commit(&mut self) {
        if !self.late_commits.is_empty() {
            let txn = self.late_commits.remove(0);
            let _ = self.store.commit(&txn);
        }
    }

    fn ask(&mut self, name: &str, cell: id::Cell, epoch: id::Epoch, owner: Owner) {
        let Some(target) = self.nodes.get_mut(&*owner.instance) else { return };
        if target.incarnation != owner.incarnation || target.peers_cut || target.frozen {
            return;
        }
        self.last_call += 1;
        let call = self.last_call;
        target.inbox.push_back(Event::StoppedQueried { call, cell: cell.clone(), epoch });
        self.calls.insert(call, Call { caller: name.to_owned(), cell, epoch, owner });
    }

    fn answer(&mut self, call: u64, reply: &peer::Reply) {
        let call = self.calls.remove(&call).expect("a call is answered exactly once");
        if *reply != peer::Reply::Released {
            return;
        }
        let Call { caller, cell, epoch, owner } = call;
        if let Some(node) = self.nodes.get_mut(&caller) {
            node.inbox.push_back(Event::StopConfirmed { cell, epoch, owner });
        }
    }

    /// Checks the invariants.
    fn check(&mut self) {
        let mut terms: Vec<(&str, &id::Cell, Running)> = Vec::new();
        for (name, node) in &self.nodes {
            terms.extend(node.running.iter().map(|(cell, running)| (&**name, cell, *running)));
        }
        for (index, (name, cell, running)) in terms.iter().enumerate() {
            for (other, same, other_running) in terms[index + 1..].iter().filter(|t| t.1 == *cell) {
                let trace = self.trace.join("\n");
                assert_ne!(
                    running.epoch, other_running.epoch,
                    "{name} and {other} own {same}\n{trace}"
                );
                let later =
                    if running.epoch > other_running.epoch { running } else { other_running };
                assert_eq!(
                    later.former,
                    Former::Unheard,
                    "{name} and {other} act for {same}\n{trace}"
                );
            }
        }
        for entry in self.store.entries.values() {
            let Some(claim) = Claim::from_bytes(&entry.value) else { continue };
            let last = self.epochs.entry(entry.key.clone()).or_insert(0);
            assert!(claim.epoch >= *last, "the epoch of {} decreased", entry.key);
            *last = claim.epoch;
        }
    }

    /// Describes which placers run each cell, and the contents of the store.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for (name, node) in &self.nodes {
            for status in node.manager.cell_statuses().filter(|s| s.stage != "vacant") {
                let epoch = status.epoch.map_or(String::new(), |e| format!(" epoch {e}"));
                lines.push(format!("{name} {} {}{epoch}", status.cell, status.stage));
            }
        }
        for (key, entry) in &self.store.entries {
            let Some(claim) = Claim::from_bytes(&entry.value) else { continue };
            let released = if claim.released { " released" } else { "" };
            let previous_owners: Vec<&str> =
                claim.previous_owners.iter().map(|f| &*f.instance).collect();
            let previous_owners = match previous_owners.is_empty() {
                true => String::new(),
                false => format!(" after {}", previous_owners.join(" ")),
            };
            let owner = &claim.owner.instance;
            lines.push(format!(
                "store {key} {owner} epoch {}{released}{previous_owners}",
                claim.epoch
            ));
        }
        let plan = self.store.entries.get(&key::plan(DOMAIN));
        if let Some(plan) = plan.and_then(|entry| Plan::from_bytes(&entry.value)) {
            let racks = plan.racks.iter().map(|(rack, index)| format!(" {rack}={index}"));
            lines.push(format!("plan{}", racks.collect::<String>()));
        }
        lines.join("\n")
    }
}

/// Returns a listed instance: a placer, or a worker if it has a rack.
pub fn member(name: &str, incarnation: id::Incarnation, rack: &str) -> list::Member {
    let role = if rack.is_empty() { list::Role::Placer } else { list::Role::Worker };
    list::Member {
        instance: name.into(),
        incarnation,
        role,
        state: list::State::Live,
        domain: DOMAIN.into(),
        rack: rack.into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Default::default(),
    }
}

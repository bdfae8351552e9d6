//! Owners with a minimal store, list and network, in virtual time.
//!
//! Every message stays on the wire until a test delivers it, so that tests control order, loss and
//! delay. A ledger of all grants fails the test when a key is granted twice.

#![allow(dead_code, reason = "each test uses its own part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_claim::action::Action;
use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::handover::Handover;
use cowslipchute_claim::owner::Owner;
use cowslipchute_claim::owner::Settings;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Settlement;

mod message;
mod platform;

pub use message::Message;
use platform::Store;

pub const LEASE: Duration = Duration::from_secs(8);
pub const TICK: Duration = Duration::from_secs(1);

/// One entry process.
pub struct Node {
    pub owner: Owner,
    pub member: Member,
    pub frozen: bool,
    pub froze_at: Duration,
    /// Requests up to this number belong to an earlier process of the instance.
    requests_before: u64,
    inbox: VecDeque<Message>,
}

/// A grant that its claimant has not freed by `NotRun`.
struct Grant {
    at: Duration,
    claimant: Claimant,
    by: String,
}

pub struct World {
    pub now: Duration,
    pub settings: Settings,
    pub nodes: BTreeMap<String, Node>,
    pub store: Store,
    pub cut_peers: BTreeSet<String>,
    pub cut_platform: BTreeSet<String>,
    pub wire: VecDeque<Message>,
    /// The verdicts and answers received by claimants, oldest first.
    pub log: Vec<String>,
    /// Grants that claimants have received and not settled.
    pub open_grants: BTreeMap<Claimant, Key>,
    ledger: BTreeMap<Key, Grant>,
    listed: BTreeMap<String, Member>,
    list_version: u64,
    starts: u64,
    requests: u64,
    pub grants: u64,
}

pub fn member(name: &str, domain: &str, started_at: u64) -> Member {
    let port = 1000 + started_at as u16;
    Member {
        instance: name.into(),
        incarnation: 1,
        started_at,
        domain: domain.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        list_version: 0,
    }
}

pub fn settings(retention: Duration) -> Settings {
    Settings {
        member: member("nobody", "nowhere", 0),
        retention,
        lease: LEASE,
        handover_timeout: TICK,
        takeover_delay: TICK,
        max_claims: 1000,
        max_answer_bytes: 200,
        max_total_answer_bytes: 1000,
    }
}

impl World {
    pub fn open(settings: Settings) -> World {
        World {
            now: Duration::from_secs(1),
            settings,
            nodes: BTreeMap::new(),
            store: Store::default(),
            cut_peers: BTreeSet::new(),
            cut_platform: BTreeSet::new(),
            wire: VecDeque::new(),
            log: Vec::new(),
            open_grants: BTreeMap::new(),
            ledger: BTreeMap::new(),
            listed: BTreeMap::new(),
            list_version: 0,
            starts: 0,
            requests: 0,
            grants: 0,
        }
    }

    /// Starts a process, replacing one of the same name, and lists it. With `replaced`, it gets a
    /// new incarnation.
    pub fn start(&mut self, name: &str, domain: &str, replaced: bool) {
        self.starts += 1;
        let mut member = member(name, domain, self.starts);
        let previous = self.listed.get(name).map_or(1, |previous| previous.incarnation);
        member.incarnation = previous + u64::from(replaced);
        let owner = Owner::open(Settings { member: member.clone(), ..self.settings.clone() });
        let (inbox, froze_at) = (VecDeque::new(), Duration::ZERO);
        let requests_before = self.requests;
        let own_member = member.clone();
        let node =
            Node { owner, member: own_member, frozen: false, froze_at, requests_before, inbox };
        self.nodes.insert(name.to_owned(), node);
        self.open_grants.retain(|claimant, _| &*claimant.instance != name);
        self.listed.insert(name.to_owned(), member);
        self.publish_list();
        self.step(name, Event::Tick);
    }

    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
        self.open_grants.retain(|claimant, _| &*claimant.instance != name);
    }

    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    pub fn freeze(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).expect("a running process is frozen");
        node.frozen = true;
        node.froze_at = self.now;
    }

    pub fn thaw(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).expect("a frozen process is thawed");
        node.frozen = false;
        for message in std::mem::take(&mut node.inbox) {
            self.receive(name, message);
        }
    }

    /// Advances time by one tick and steps every running owner.
    pub fn tick(&mut self) {
        self.now += TICK;
        for name in self.names() {
            if !self.nodes[&name].frozen {
                self.step(&name, Event::Tick);
            }
        }
    }

    /// Delivers messages in the order of sending until the wire is empty.
    pub fn settle_down(&mut self) {
        while !self.wire.is_empty() {
            self.deliver(0);
        }
    }

    /// Claims a key for a new request through an entry process, by the roster known there.
    pub fn claim(&mut self, via: &str, key: &Key) {
        self.requests += 1;
        let node = &self.nodes[via];
        let claimant = Claimant {
            instance: via.into(),
            incarnation: node.member.incarnation,
            started_at: node.member.started_at,
            request: self.requests,
        };
        let Some(roster) = node.owner.roster() else {
            return self.log.push(format!("{via} knows no owner"));
        };
        let to = roster.owner_of(&key.service, &key.key).instance.to_string();
        let (from, version) = (via.to_owned(), roster.version);
        self.wire.push_back(Message::Claim { from, to, claimant, key: key.clone(), version });
    }

    /// Sends the outcome of a grant to the owner by the roster known to the claimant's process.
    pub fn settle(&mut self, claimant: &Claimant, key: &Key, settlement: Settlement) {
        if settlement == Settlement::NotRun
            && self.ledger.get(key).is_some_and(|grant| grant.claimant == *claimant)
        {
            self.ledger.remove(key);
        }
        let from = claimant.instance.to_string();
        let Some(roster) = self.nodes.get(&from).and_then(|node| node.owner.roster()) else {
            return;
        };
        let to = roster.owner_of(&key.service, &key.key).instance.to_string();
        let (claimant, key) = (claimant.clone(), key.clone());
        self.wire.push_back(Message::Settle { from, to, claimant, key, settlement });
    }

    /// Delivers one message from the wire.
    pub fn deliver(&mut self, index: usize) {
        let message = self.wire.remove(index).expect("the index is on the wire");
        match message {
            Message::Read { from, read } => self.read(&from, read),
            Message::Commit { from, revision, roster } => self.commit(&from, revision, roster),
            Message::LateCommit { revision, roster } => self.apply(revision, roster),
            message => self.route(message),
        }
    }

    fn route(&mut self, message: Message) {
        let (from, to) = message.endpoints().expect("the message is between two nodes");
        let (from, to) = (from.to_owned(), to.to_owned());
        let is_cut = from != to && (self.cut_peers.contains(&from) || self.cut_peers.contains(&to));
        let is_platform = from == "platform";
        if (is_cut && !is_platform) || !self.nodes.contains_key(&to) {
            return self.drop_message(message);
        }
        let node = self.nodes.get_mut(&to).expect("the node is running");
        if node.frozen {
            node.inbox.push_back(message);
        } else {
            self.receive(&to, message);
        }
    }

    /// Drops a message, and reports the failure to a sender that waits for an answer.
    pub fn drop_message(&mut self, message: Message) {
        match message {
            Message::Read { from, .. } => self.send_event("platform", &from, Event::StoreFailed),
            Message::Commit { from, revision, roster } => {
                self.send_event("platform", &from, Event::StoreFailed);
                self.wire.push_back(Message::LateCommit { revision, roster });
            }
            Message::Event { to, event: Event::RosterRead { .. } | Event::Proposed, .. } => {
                self.send_event("platform", &to, Event::StoreFailed);
            }
            Message::HandOver { from, handover, .. } => {
                let Handover { transfer, message_number, .. } = handover;
                self.send_event(
                    "platform",
                    &from,
                    Event::HandedOver { transfer, message_number, accepted: false },
                );
            }
            Message::Claim { from, to, .. } => {
                self.log.push(format!("{from} asks {to}: no answer"));
            }
            // A claimant that never received the verdict has not run the request.
            Message::Verdict { to, claimant, key, .. } if self.nodes.contains_key(&to) => {
                self.settle(&claimant, &key, Settlement::NotRun);
            }
            _ => {}
        }
    }

    fn receive(&mut self, to: &str, message: Message) {
        match message {
            Message::Event { event, .. } => self.step(to, event),
            Message::HandOver { from, handover, .. } => {
                let (transfer, message_number) = (handover.transfer, handover.message_number);
                let accepted = self.acknowledged(to, Event::HandoverReceived { ask: 0, handover });
                self.send_event(
                    to,
                    &from,
                    Event::HandedOver { transfer, message_number, accepted },
                );
            }
            Message::Claim { from, claimant, key, version, .. } => {
                self.receive_claim(to, from, claimant, key, version);
            }
            Message::Settle { from, claimant, key, settlement, .. } => {
                let event = Event::Settle {
                    ask: 0,
                    claimant: claimant.clone(),
                    key: key.clone(),
                    settlement: settlement.clone(),
                };
                let accepted = self.acknowledged(to, event);
                let (from, to) = (to.to_owned(), from);
                let reply =
                    Message::SettlementReply { from, to, claimant, key, settlement, accepted };
                self.wire.push_back(reply);
            }
            Message::Verdict { claimant, .. }
                if claimant.request <= self.nodes[to].requests_before => {}
            Message::Verdict { from, claimant, key, verdict, retry, .. } => {
                self.log.push(format!("{to} asks {from}: {}", describe(&verdict, retry)));
                if verdict == Claimed::Granted {
                    self.open_grants.insert(claimant, key);
                }
            }
            Message::SettlementReply {
                accepted: false, claimant, key, settlement, from, ..
            } => {
                self.log.push(format!("{from} does not take {to}'s settlement"));
                // The settlement is sent again only if the roster has changed meanwhile.
                let roster = self.nodes[to].owner.roster().cloned();
                let owner = roster.map(|roster| roster.owner_of(&key.service, &key.key).clone());
                if owner.is_some_and(|owner| *owner.instance != *from) {
                    self.settle(&claimant, &key, settlement);
                }
            }
            Message::SettlementReply { .. }
            | Message::Read { .. }
            | Message::Commit { .. }
            | Message::LateCommit { .. } => {}
        }
    }

    fn receive_claim(
        &mut self,
        to: &str,
        from: String,
        claimant: Claimant,
        key: Key,
        version: u64,
    ) {
        let event =
            Event::Claim { ask: 7, claimant: claimant.clone(), key: key.clone(), roster: version };
        for action in self.actions(to, event) {
            let Action::Verdict { ask: 7, verdict, retry_after } = action else {
                self.perform(to, action);
                continue;
            };
            if verdict == Claimed::Granted {
                self.check_grant(to, &claimant, &key);
            }
            let (claimant, key, to) = (claimant.clone(), key.clone(), to.to_owned());
            let (from, to) = (to, from.clone());
            let retry = retry_after;
            let reply = Message::Verdict { from, to, claimant, key, verdict, retry };
            self.wire.push_back(reply);
        }
    }

    /// Checks that no key is granted again within the retention time unless its claimant settled it
    /// as `NotRun`.
    fn check_grant(&mut self, by: &str, claimant: &Claimant, key: &Key) {
        self.grants += 1;
        let grant = Grant { at: self.now, claimant: claimant.clone(), by: by.to_owned() };
        if let Some(previous) = self.ledger.insert(key.clone(), grant) {
            let since = self.now - previous.at;
            assert!(
                since >= self.settings.retention,
                "{key:?} granted by {by} to {claimant:?} {since:?} after {} granted it to {:?}",
                previous.by,
                previous.claimant,
            );
        }
    }

    fn acknowledged(&mut self, name: &str, event: Event) -> bool {
        let mut acknowledged = false;
        for action in self.actions(name, event) {
            match action {
                Action::Acknowledge { ask: 0, accepted } => acknowledged = accepted,
                action => self.perform(name, action),
            }
        }
        acknowledged
    }

    pub fn step(&mut self, name: &str, event: Event) {
        for action in self.actions(name, event) {
            self.perform(name, action);
        }
    }

    fn actions(&mut self, name: &str, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(node) = self.nodes.get_mut(name) {
            node.owner.step(self.now, event, &mut actions);
        }
        actions
    }

    fn perform(&mut self, name: &str, action: Action) {
        let from = name.to_owned();
        match action {
            Action::ReadRoster { read } => self.wire.push_back(Message::Read { from, read }),
            Action::ProposeRoster { revision, roster } => {
                self.wire.push_back(Message::Commit { from, revision, roster });
            }
            Action::HandOver { to, handover } => {
                let to = to.instance.to_string();
                self.wire.push_back(Message::HandOver { from, to, handover });
            }
            Action::Note { .. } => {}
            Action::Verdict { .. } | Action::Acknowledge { .. } => {
                panic!("an answer without a request: {action:?}");
            }
        }
    }

    fn send_event(&mut self, from: &str, to: &str, event: Event) {
        let (from, to) = (from.to_owned(), to.to_owned());
        self.wire.push_back(Message::Event { from, to, event });
    }
}

fn describe(verdict: &Claimed, retry: Option<Duration>) -> String {
    let word = match verdict {
        Claimed::Granted => "granted".to_owned(),
        Claimed::Ran(Some(answer)) => format!("ran, {}", String::from_utf8_lossy(&answer.body)),
        Claimed::Ran(None) => "ran, answer not kept".to_owned(),
        Claimed::InDoubt => "in doubt".to_owned(),
        Claimed::NotOwner => "can't tell".to_owned(),
    };
    match retry {
        Some(retry) => format!("{word}, retry after {}s", retry.as_secs()),
        None => word,
    }
}

//! Idempotency keys at this process: drives its [`Owner`] and asks the other owners.
//!
//! `docs/design/keys.md` says what is decided; here is only who is asked, and what a lost reply
//! means. A claim without a verdict is `NotOwner`. A settlement is told once: again only when the
//! owner surely did not take it, and never when its fate is unknown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_claim::action::Action;
use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::event::RequestId;
use cowslipchute_claim::handover::Handover;
use cowslipchute_claim::owner;
use cowslipchute_claim::owner::Owner;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::roster::StartTime;
use cowslipchute_claim::slot::Key;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_daemon::log;
use cowslipchute_peer::node;
use cowslipchute_peer::node::Incoming;
use cowslipchute_peer::node::Node;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Reply;
use cowslipchute_ports::peer::Settlement;
use slog::Logger;
use slog::o;
use tokio::sync::mpsc;

use crate::message::PeerEvent;
use crate::roster;

/// Settlements that an owner did not take are told again this often, and this soon.
const MAX_SETTLE_ATTEMPTS: u8 = 10;
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long keys are remembered: longer than any request's deadline, which is ten minutes at most.
const RETENTION: Duration = Duration::from_secs(660);
/// Longer than twice the time for which a claimant waits for a peer's reply.
const LEASE: Duration = Duration::from_secs(4);
/// How long handovers are waited for, and the store is left alone after a failed call.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer each member waits than the one before it to take over from one that ended.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Keys kept at most, and the bytes of their answers.
const MAX_CLAIMS: usize = 200_000;
const MAX_TOTAL_ANSWER_BYTES: usize = 64 << 20;
/// The largest answer that is kept for a repeated key.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// What a call that was under way came to.
pub enum Outcome {
    /// To be told to the owner.
    Event(Event),
    /// A peer's verdict, or the lack of one.
    Claimed {
        /// The request.
        request: id::Request,
        /// The verdict.
        verdict: Claimed,
    },
    /// A claim whose verdict got lost; if it was a grant, the request did not run by it.
    Lost {
        /// The request.
        request: id::Request,
        /// The key.
        key: Key,
    },
    /// A settlement that its owner surely did not take.
    Undelivered(Delivery),
}

/// A settlement on its way to the owner of its key.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The request.
    pub request: id::Request,
    /// The key.
    pub key: Key,
    /// What became of its request.
    pub settlement: Settlement,
    /// How often it was told already.
    pub attempts: u8,
}

/// Who waits for what the owner of this process says.
enum Waiter {
    Request(id::Request),
    Peer(Incoming),
    Settlement(Delivery),
}

/// The keys at this process.
pub struct Keys<S> {
    owner: Owner,
    me: Member,
    /// Which start of this process. Its owner may have later lives, its requests are counted on.
    started_at: StartTime,
    clock: Clock,
    store: S,
    node: Option<Node>,
    logger: Logger,
    outcomes: mpsc::Sender<Outcome>,
    waiters: HashMap<RequestId, Waiter>,
    next_request: RequestId,
}

impl<S: Store> Keys<S> {
    /// Opens the keys of a process that knows no roster yet.
    pub fn open(
        me: Member,
        store: S,
        node: Option<Node>,
        logger: Logger,
        outcomes: mpsc::Sender<Outcome>,
    ) -> Keys<S> {
        Keys {
            owner: Owner::open(settings(&me)),
            started_at: me.started_at,
            me,
            clock: Clock::start(),
            store,
            node,
            logger,
            outcomes,
            waiters: HashMap::new(),
            next_request: 0,
        }
    }

    /// Tells when the owner next wants to look at the time, on the runtime's clock.
    pub fn next_due(&self) -> tokio::time::Instant {
        let soon = || self.clock.now() + LEASE / 16;
        self.clock.at(self.owner.next_due().unwrap_or_else(soon))
    }

    /// Tells whether every slot has been given up.
    pub fn is_drained(&self) -> bool {
        self.owner.is_drained() || self.owner.roster().is_none()
    }

    /// Takes in the platform's list of all failure domains.
    pub fn listed(&mut self, view: list::View, peer_events: &mut Vec<PeerEvent>) {
        self.step(Event::Listed { view }, peer_events);
    }

    /// Gives the owner an event and sees to what it wants done.
    pub fn step(&mut self, event: Event, peer_events: &mut Vec<PeerEvent>) {
        let mut actions = Vec::new();
        self.owner.step(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action, peer_events);
        }
        if self.owner.is_ended() {
            self.me.started_at += 1;
            self.owner = Owner::open(settings(&self.me));
        }
    }

    /// Claims a key for a request.
    pub fn claim(&mut self, request: id::Request, key: Key, peer_events: &mut Vec<PeerEvent>) {
        let Some(roster) = self.owner.roster().cloned() else {
            return peer_events.push(PeerEvent::Claimed { request, verdict: Claimed::NotOwner });
        };
        let owner = roster.owner_of(&key.service, &key.key);
        if owner.is_same(&self.me) {
            let ask = self.register(Waiter::Request(request));
            let claimant = self.claimant(request);
            self.step(Event::Claim { ask, claimant, key, roster: roster.version }, peer_events);
            return;
        }
        let call = Call::Claim {
            service: key.service.clone(),
            key: key.key.clone(),
            claimant: self.claimant(request),
            roster: roster.version,
        };
        let verdict = self.ask_peer(owner.address, call);
        self.spawn(async move {
            match verdict.await {
                Ok(Reply::Claimed(verdict)) => Outcome::Claimed { request, verdict },
                // It may have been a grant, which would keep its key in doubt until it is forgotten.
                Err(node::Error::Unknown(_)) => Outcome::Lost { request, key },
                _ => Outcome::Claimed { request, verdict: Claimed::NotOwner },
            }
        });
    }

    /// Tells the owner of a key what became of its request.
    pub fn settle(&mut self, mut delivery: Delivery, peer_events: &mut Vec<PeerEvent>) {
        delivery.attempts += 1;
        if delivery.attempts > MAX_SETTLE_ATTEMPTS {
            return;
        }
        let Some(roster) = self.owner.roster().cloned() else { return };
        let owner = roster.owner_of(&delivery.key.service, &delivery.key.key);
        if owner.is_same(&self.me) {
            let (key, settlement) = (delivery.key.clone(), delivery.settlement.clone());
            let claimant = self.claimant(delivery.request);
            let ask = self.register(Waiter::Settlement(delivery));
            self.step(Event::Settle { ask, claimant, key, settlement }, peer_events);
            return;
        }
        let call = Call::Settle {
            service: delivery.key.service.clone(),
            key: delivery.key.key.clone(),
            claimant: self.claimant(delivery.request),
            settlement: delivery.settlement.clone(),
            roster: roster.version,
        };
        let reply = self.ask_peer(owner.address, call);
        let outcomes = self.outcomes.clone();
        tokio::spawn(async move {
            match reply.await {
                Ok(Reply::Noted) | Err(node::Error::Unknown(_)) => {}
                _ => retry_later(delivery, &outcomes).await,
            }
        });
    }

    /// Sees to a peer's claim, settlement or handover; anything else comes back.
    pub fn handle_call(
        &mut self,
        incoming: Incoming,
        peer_events: &mut Vec<PeerEvent>,
    ) -> Option<Incoming> {
        let event = match incoming.call.clone() {
            Call::Claim { service, key, claimant, roster } => {
                let (ask, key) = (self.next_request, Key { service, key });
                Event::Claim { ask, claimant, key, roster }
            }
            Call::Settle { service, key, claimant, settlement, .. } => {
                let (ask, key) = (self.next_request, Key { service, key });
                Event::Settle { ask, claimant, key, settlement }
            }
            Call::Adopt { handover } => {
                let Some(handover) = Handover::from_bytes(&handover) else {
                    incoming.answer(Reply::Misdirected);
                    return None;
                };
                Event::HandoverReceived { ask: self.next_request, handover }
            }
            _ => return Some(incoming),
        };
        self.register(Waiter::Peer(incoming));
        self.step(event, peer_events);
        None
    }

    fn register(&mut self, waiter: Waiter) -> RequestId {
        let ask = self.next_request;
        self.next_request += 1;
        self.waiters.insert(ask, waiter);
        ask
    }

    fn claimant(&self, request: id::Request) -> Claimant {
        Claimant {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            life: self.started_at,
            request,
        }
    }

    fn ask_peer(
        &self,
        to: SocketAddr,
        call: Call,
    ) -> impl Future<Output = Result<Reply, node::Error>> + Send + 'static {
        let node = self.node.clone();
        async move {
            match node {
                Some(node) => node.call(to, &call).await,
                None => Err(node::Error::Unsent("this process has no links to peers".to_owned())),
            }
        }
    }

    fn spawn(&self, work: impl Future<Output = Outcome> + Send + 'static) {
        let outcomes = self.outcomes.clone();
        tokio::spawn(async move {
            let _ = outcomes.send(work.await).await;
        });
    }

    fn execute(&mut self, action: Action, peer_events: &mut Vec<PeerEvent>) {
        match action {
            Action::Verdict { ask, verdict, .. } => match self.waiters.remove(&ask) {
                Some(Waiter::Request(request)) => {
                    peer_events.push(PeerEvent::Claimed { request, verdict })
                }
                Some(Waiter::Peer(incoming)) => incoming.answer(Reply::Claimed(verdict)),
                _ => {}
            },
            Action::Acknowledge { ask, accepted } => match self.waiters.remove(&ask) {
                Some(Waiter::Peer(incoming)) => {
                    incoming.answer(if accepted { Reply::Noted } else { Reply::Misdirected });
                }
                Some(Waiter::Settlement(delivery)) if !accepted => {
                    let outcomes = self.outcomes.clone();
                    tokio::spawn(async move { retry_later(delivery, &outcomes).await });
                }
                _ => {}
            },
            Action::ReadRoster { read } => {
                let store = self.store.clone();
                self.spawn(async move { Outcome::Event(roster::read(store, read).await) });
            }
            Action::ProposeRoster { revision, roster } => {
                let store = self.store.clone();
                let proposing = roster::propose(store, revision, roster);
                self.spawn(async move { Outcome::Event(proposing.await) });
            }
            Action::HandOver { to, handover } => {
                let (transfer, message_number) = (handover.transfer, handover.message_number);
                let call = Call::Adopt { handover: handover.to_bytes() };
                let reply = self.ask_peer(to.address, call);
                self.spawn(async move {
                    // One whose answer got lost may be held there, but is used only if the slots
                    // are given up with it.
                    let accepted = matches!(reply.await, Ok(Reply::Noted));
                    Outcome::Event(Event::HandedOver { transfer, message_number, accepted })
                });
            }
            Action::Note { event, subject, reason } => {
                log::emit(
                    &self.logger,
                    event,
                    o!("subject" => subject.to_string(), "reason" => reason),
                );
            }
        }
    }
}

async fn retry_later(delivery: Delivery, outcomes: &mpsc::Sender<Outcome>) {
    tokio::time::sleep(SETTLE_RETRY_DELAY).await;
    let _ = outcomes.send(Outcome::Undelivered(delivery)).await;
}

fn settings(me: &Member) -> owner::Settings {
    owner::Settings {
        member: me.clone(),
        retention: RETENTION,
        lease: LEASE,
        handover_timeout: HANDOVER_TIMEOUT,
        takeover_delay: TAKEOVER_DELAY,
        max_claims: MAX_CLAIMS,
        max_answer_bytes: MAX_ANSWER_BYTES,
        max_total_answer_bytes: MAX_TOTAL_ANSWER_BYTES,
    }
}

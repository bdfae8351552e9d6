//! Idempotency keys at this process: drives its [`Owner`] and calls the other owners.
//!
//! `docs/design/keys.md` describes the decisions; this module only sends the calls and interprets
//! lost replies. A claim without a verdict is `NotOwner`. A settlement is sent again only if the
//! owner certainly did not accept it, never if its outcome is unknown.

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

/// Maximum number of times that a settlement is sent to an owner that does not accept it.
const MAX_SETTLE_ATTEMPTS: u8 = 10;
/// Delay before a settlement is sent again.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retention of keys: longer than any request's deadline, which is at most ten minutes.
const RETENTION: Duration = Duration::from_secs(660);
/// Lease of an owner: more than twice the time for which a claimant waits for a peer's reply.
const LEASE: Duration = Duration::from_secs(4);
/// Timeout of handovers, and delay before the store is called again after a failure.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Additional delay of each member over the one before it, before it takes over from a member
/// that ended.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of stored keys.
const MAX_CLAIMS: usize = 200_000;
/// Maximum total size of the answers stored with keys.
const MAX_TOTAL_ANSWER_BYTES: usize = 64 << 20;
/// Maximum size of an answer that is stored for a repeated key.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The result of an asynchronous call.
pub enum Outcome {
    /// An event for the owner.
    Event(Event),
    /// A peer's verdict, or the lack of one.
    Claimed {
        /// The request.
        request: id::Request,
        /// The verdict.
        verdict: Claimed,
    },
    /// A claim whose verdict was lost. If it was granted, the request did not run under the grant.
    Lost {
        /// The request.
        request: id::Request,
        /// The key.
        key: Key,
    },
    /// A settlement that its owner certainly did not accept.
    Undelivered(Delivery),
}

/// A settlement on its way to the owner of its key.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The request.
    pub request: id::Request,
    /// The key.
    pub key: Key,
    /// The outcome of its request.
    pub settlement: Settlement,
    /// The number of times it was sent.
    pub attempts: u8,
}

/// The recipient of a response from this process's owner.
enum Waiter {
    Request(id::Request),
    Peer(Incoming),
    Settlement(Delivery),
}

/// The keys at this process.
pub struct Keys<S> {
    owner: Owner,
    me: Member,
    /// The start time of this process. Its owner may be reopened with a later one, while request
    /// numbers continue.
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

    /// Returns the time of the owner's next timer, on the runtime's clock.
    pub fn next_due(&self) -> tokio::time::Instant {
        let soon = || self.clock.now() + LEASE / 16;
        self.clock.at(self.owner.next_due().unwrap_or_else(soon))
    }

    /// Returns `true` if every slot has been released.
    pub fn is_drained(&self) -> bool {
        self.owner.is_drained() || self.owner.roster().is_none()
    }

    /// Applies the platform's list of all failure domains.
    pub fn apply_list(&mut self, view: list::View, peer_events: &mut Vec<PeerEvent>) {
        self.step(Event::Listed { view }, peer_events);
    }

    /// Passes an event to the owner and executes the actions that it returns.
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
                // It may have been granted, which would leave the key in doubt until its retention
                // ends.
                Err(node::Error::Unknown(_)) => Outcome::Lost { request, key },
                _ => Outcome::Claimed { request, verdict: Claimed::NotOwner },
            }
        });
    }

    /// Reports the outcome of a request to the owner of its key.
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

    /// Handles a peer's claim, settlement or handover; returns any other call.
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
            started_at: self.started_at,
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
                None => {
                    Err(node::Error::Unsent("this process has no connections to peers".to_owned()))
                }
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
                    // If the reply was lost, the peer may hold the handover, but it uses it only if
                    // the slots are released with it.
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

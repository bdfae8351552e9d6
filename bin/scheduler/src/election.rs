//! Runs the seat: whether this process owns the cell.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_tenure::seat;
use cowslipchute_tenure::seat::Action;
use cowslipchute_tenure::seat::Event;
use cowslipchute_tenure::seat::Seat;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock;
use crate::health::Health;
use crate::keys;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::precedence::Precedence;
use crate::watcher;
use crate::watcher::Change;

/// How long an owner's lease lasts. It bounds how long the cell has no owner after one has died, in
/// which nothing starts; five renewals a lease outlast a few that are lost, and one that is answered
/// within a second.
const TTL: Duration = Duration::from_millis(1200);
/// Longest sleep between two looks at what is due.
const TICK: Duration = Duration::from_millis(500);
/// Spread of the claims of equal processes: a few times what a claim takes, so that most are spared.
const SPREAD: Duration = Duration::from_millis(20);

/// What the seat's key holds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// The owner.
    pub instance: id::Instance,
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Tells this incarnation of it from others.
    pub incarnation: u64,
    /// The part of a core that it has.
    pub cpu_share: f64,
}

/// What the seat tells the rest of the process.
#[derive(Clone, Debug)]
pub enum Transition {
    /// This process owns the cell from now on.
    Own {
        /// Rank of the ownership, and the revision that guards its writes.
        epoch: Revision,
        /// The lease lasts at least until then.
        until: Time,
    },
    /// The lease lasts at least until then.
    Extend {
        /// The time.
        until: Time,
    },
    /// This process owns the cell no more.
    Disown,
}

/// A word to the seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A write as the owner was refused.
    WriteFenced,
    /// Give the cell up for a planned stop.
    Drain,
}

/// The running seat.
#[derive(Debug)]
pub struct Handle {
    /// What happens to the ownership.
    pub transitions: mpsc::UnboundedReceiver<Transition>,
    /// Says something to the seat.
    pub notices: mpsc::UnboundedSender<Notice>,
    /// Who owns the cell, as far as is known here.
    pub holder: watch::Receiver<Option<Holder>>,
}

/// Starts the seat of this process.
pub fn spawn<S: Store>(store: S, holder: Holder, health: Health, log: Log) -> Handle {
    let precedence = Precedence::open(holder.cpu_share);
    let mark = cowslipchute_planner::record::encode(&holder);
    let settings = seat::Settings { ttl: TTL, delay: claim_delay(precedence), mark };
    let (turn_sender, transitions) = mpsc::unbounded_channel();
    let (notices, word_receiver) = mpsc::unbounded_channel();
    let (holder_sender, holder) = watch::channel(None);
    let (result_sender, results) = mpsc::unbounded_channel();
    let changes = watcher::spawn(store.clone(), keys::OWNER, None, Some(health), log.clone());
    let runner = Runner {
        store,
        mark: settings.mark.clone(),
        precedence,
        seat: Seat::open(settings),
        turns: turn_sender,
        holder: holder_sender,
        results: result_sender,
        metrics: log.metrics().clone(),
    };
    tokio::spawn(runner.run(changes, word_receiver, results));
    Handle { transitions, notices, holder }
}

struct Runner<S> {
    store: S,
    mark: Vec<u8>,
    precedence: Precedence,
    seat: Seat,
    turns: mpsc::UnboundedSender<Transition>,
    holder: watch::Sender<Option<Holder>>,
    results: mpsc::UnboundedSender<Event>,
    metrics: Metrics,
}

impl<S: Store> Runner<S> {
    async fn run(
        mut self,
        mut changes: mpsc::Receiver<Change>,
        mut words: mpsc::UnboundedReceiver<Notice>,
        mut results: mpsc::UnboundedReceiver<Event>,
    ) {
        loop {
            let pause = match self.seat.next_due() {
                Some(due) => due.saturating_sub(clock::now()).min(TICK),
                None => TICK,
            };
            let due = Instant::now() + pause;
            let event = tokio::select! {
                Some(change) = changes.recv() => self.seen(change),
                Some(word) = words.recv() => Some(match word {
                    Notice::WriteFenced => Event::Refused,
                    Notice::Drain => Event::Drain,
                }),
                Some(result) = results.recv() => Some(result),
                () = tokio::time::sleep_until(due) => {
                    self.metrics.loop_lag(due.elapsed());
                    Some(Event::Tick)
                }
            };
            let Some(event) = event else { continue };
            let mut actions = Vec::new();
            self.seat.step(clock::now(), event, &mut actions);
            for action in actions {
                if !self.act(action) {
                    return;
                }
            }
        }
    }

    /// Turns a change of the key into an event, and tells who owns the cell.
    fn seen(&mut self, change: Change) -> Option<Event> {
        let (at, entry) = match change {
            Change::Snapshot(snapshot) => {
                let entry = snapshot.entries.into_iter().find(|entry| entry.key == keys::OWNER);
                (snapshot.revision, entry)
            }
            Change::Put(entry) if entry.key == keys::OWNER => (entry.revision, Some(entry)),
            Change::Deleted { key, revision } if key == keys::OWNER => (revision, None),
            Change::Put(_) | Change::Deleted { .. } => return None,
        };
        let holder = entry
            .as_ref()
            .and_then(|entry| cowslipchute_planner::record::decode::<Holder>(&entry.value).ok());
        if let Some(holder) = &holder {
            self.precedence.observe_owner(holder.cpu_share);
            self.seat.set_delay(claim_delay(self.precedence));
        }
        self.holder.send_replace(holder);
        Some(Event::Seen { at, entry })
    }

    /// Carries an action out; false when the process is ending.
    fn act(&self, action: Action) -> bool {
        let turn = match action {
            Action::Own { epoch, until } => Transition::Own { epoch, until },
            Action::Extend { until } => Transition::Extend { until },
            Action::Disown => Transition::Disown,
            call => {
                self.call(call);
                return true;
            }
        };
        self.turns.send(turn).is_ok()
    }

    fn call(&self, action: Action) {
        let store = self.store.clone();
        let results = self.results.clone();
        let mark = self.mark.clone();
        tokio::spawn(async move {
            let event = match action {
                Action::Grant { ticket, ttl } => {
                    Event::Granted { ticket, outcome: store.grant(ttl).await }
                }
                Action::Claim { ticket, lease } => {
                    let outcome = store.commit(claim(mark, lease)).await;
                    Event::Claimed { ticket, outcome }
                }
                Action::Look => match store.read(keys::OWNER).await {
                    Ok(snapshot) => Event::Seen {
                        at: snapshot.revision,
                        entry: snapshot.entries.into_iter().find(|entry| entry.key == keys::OWNER),
                    },
                    // It is looked again soon.
                    Err(_) => return,
                },
                Action::Renew { ticket, lease } => {
                    Event::Renewed { ticket, outcome: store.keep_alive(lease).await }
                }
                Action::Revoke { lease } => {
                    // If it is lost the lease lapses by itself.
                    let _ = store.revoke(lease).await;
                    return;
                }
                Action::Own { .. } | Action::Extend { .. } | Action::Disown => return,
            };
            // The seat is gone only when the process is ending.
            let _ = results.send(event);
        });
    }
}

/// Returns how long to wait before a claim, a little longer or shorter each time.
fn claim_delay(precedence: Precedence) -> Duration {
    precedence.delay() + SPREAD.mul_f64(rand::random_range(0.0..1.0))
}

fn claim(mark: Vec<u8>, lease: kv::LeaseId) -> kv::Txn {
    kv::Txn {
        guards: vec![kv::Guard::Missing(keys::OWNER.to_owned())],
        changes: vec![kv::Change::Put { key: keys::OWNER.to_owned(), value: mark, lease }],
    }
}

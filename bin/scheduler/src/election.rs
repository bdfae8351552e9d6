//! Leader election: decides through the store whether this process owns the cell, and reports each
//! change of the ownership to the rest of the process. It runs on a thread of its own, so that the
//! lease is renewed however busy the cell is ([`crate::lease`]).

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_tenure::election;
use cowslipchute_tenure::election::Action;
use cowslipchute_tenure::election::Cause;
use cowslipchute_tenure::election::Election;
use cowslipchute_tenure::election::Event;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock;
use crate::event;
use crate::failpoint;
use crate::failpoint::Place;
use crate::health::Health;
use crate::keys;
use crate::lease::Lease;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::precedence::Precedence;
use crate::watcher;
use crate::watcher::Change;

/// Duration of the owner's lease. It bounds the time for which the cell has no owner after a crash,
/// during which no task starts. With five renewals per lease, the lease survives a few lost
/// renewals, or one that is answered within a second.
const LEASE_TTL: Duration = Duration::from_millis(1200);
/// Longest sleep between two checks for due work.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Maximum jitter of the claim delay: a few times the duration of a claim, so that most processes
/// of equal size see another's claim before they send their own.
const CLAIM_JITTER: Duration = Duration::from_millis(20);

/// Value of the key that names the owner.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// Instance that owns the cell.
    pub instance: id::Instance,
    /// Address at which it answers requests of its peers.
    pub address: SocketAddr,
    /// Random number of the instance's incarnation.
    pub incarnation: u64,
    /// CPU share of the instance, as a fraction of a core.
    pub cpu_share: f64,
}

/// A change of the ownership.
#[derive(Clone, Debug)]
pub enum Transition {
    /// This process owns the cell from now on.
    Own {
        /// Epoch of the ownership, which is the revision that guards its writes.
        epoch: Revision,
    },
    /// This process no longer owns the cell.
    Disown {
        /// Why the ownership ended.
        cause: Cause,
        /// Earliest end of the lease that was held until now.
        lease_until: Time,
    },
}

/// A notice from the rest of the process to the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A write as the owner was rejected, since the owner key has changed.
    WriteFenced {
        /// Epoch of the ownership that made the write; a later one isn't concerned.
        epoch: Revision,
    },
    /// The process is about to stop: give the cell up.
    Drain,
}

/// A handle to the running election.
#[derive(Debug)]
pub struct Handle {
    /// Receives the changes of the ownership.
    pub transitions: mpsc::UnboundedReceiver<Transition>,
    /// Sends notices to the election.
    pub notices: mpsc::UnboundedSender<Notice>,
    /// Last known owner of the cell.
    pub holder: watch::Receiver<Option<Holder>>,
    /// The lease while this process owns the cell.
    pub lease: Lease,
}

/// Starts the election of this process on a thread of its own, and shows it the progress of the
/// calling thread. `store` must share no connections with other threads, and grants no lease that
/// is shorter than `min_lease`.
///
/// # Errors
///
/// Returns an error if the system refuses the thread.
pub fn spawn<S: Store>(
    store: S,
    holder: Holder,
    min_lease: Duration,
    health: Health,
    log: Log,
) -> io::Result<Handle> {
    let precedence = Precedence::open(holder.cpu_share);
    let mark = cowslipchute_planner::record::encode(&holder);
    let settings = election::Settings {
        ttl: lease_ttl(min_lease),
        claim_delay: claim_delay(precedence),
        holder: mark,
    };
    let (transition_sender, transitions) = mpsc::unbounded_channel();
    let (notices, notice_receiver) = mpsc::unbounded_channel();
    let (holder_sender, holder) = watch::channel(None);
    let (result_sender, results) = mpsc::unbounded_channel();
    let lease = Lease::default();
    tokio::spawn(lease.clone().pulse(log.metrics().clone()));
    let runner = Runner {
        store,
        owner_value: settings.holder.clone(),
        precedence,
        election: Election::open(settings),
        transitions: transition_sender,
        holder: holder_sender,
        results: result_sender,
        lease: lease.clone(),
        metrics: log.metrics().clone(),
        log: log.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name(String::from("lease"));
    thread.spawn(move || runtime.block_on(runner.run(notice_receiver, results, health, log)))?;
    Ok(Handle { transitions, notices, holder, lease })
}

/// Returns the duration of the owner's lease at a store that grants none shorter than `min_lease`.
pub fn lease_ttl(min_lease: Duration) -> Duration {
    LEASE_TTL.max(min_lease)
}

struct Runner<S> {
    store: S,
    owner_value: Vec<u8>,
    precedence: Precedence,
    election: Election,
    transitions: mpsc::UnboundedSender<Transition>,
    holder: watch::Sender<Option<Holder>>,
    results: mpsc::UnboundedSender<Event>,
    lease: Lease,
    metrics: Metrics,
    log: Log,
}

impl<S: Store> Runner<S> {
    async fn run(
        mut self,
        mut notices: mpsc::UnboundedReceiver<Notice>,
        mut results: mpsc::UnboundedReceiver<Event>,
        health: Health,
        log: Log,
    ) {
        let mut changes = watcher::spawn(self.store.clone(), keys::OWNER, None, Some(health), log);
        loop {
            failpoint::hit(Place::Lease);
            let pause = match self.election.next_due() {
                Some(due) => due.saturating_sub(clock::now()).min(MAX_SLEEP),
                None => MAX_SLEEP,
            };
            let due = Instant::now() + pause;
            let event = tokio::select! {
                Some(change) = changes.recv() => self.observe(change),
                Some(notice) = notices.recv() => match notice {
                    Notice::WriteFenced { epoch } => {
                        (self.election.epoch() == Some(epoch)).then_some(Event::Refused)
                    }
                    Notice::Drain => Some(Event::Drain),
                },
                Some(result) = results.recv() => Some(result),
                () = tokio::time::sleep_until(due) => Some(Event::Tick),
            };
            let Some(event) = event else { continue };
            let mut actions = Vec::new();
            self.election.step(clock::now(), event, &mut actions);
            for action in actions {
                if !self.execute(action) {
                    return;
                }
            }
        }
    }

    /// Converts a change of the owner key into an event, and publishes the owner.
    fn observe(&mut self, change: Change) -> Option<Event> {
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
            self.election.set_claim_delay(claim_delay(self.precedence));
        }
        self.holder.send_replace(holder);
        Some(Event::Seen { at, entry })
    }

    /// Executes an action; returns `false` if the process is exiting.
    fn execute(&mut self, action: Action) -> bool {
        let transition = match action {
            Action::Own { epoch, until } => {
                self.lease.extend(epoch, until);
                Transition::Own { epoch }
            }
            Action::Extend { until } => {
                self.extend_lease(until);
                return true;
            }
            Action::Stop { cause } => {
                let lease_until = self.lease.end();
                Transition::Disown { cause, lease_until }
            }
            // A stalled process neither keeps the cell nor claims it.
            Action::Renew { ticket, .. } if self.lease.is_stalled(clock::now()) => {
                self.report(Event::Renewed { ticket, outcome: Err(stalled()) });
                return true;
            }
            Action::Grant { ticket, .. } if self.lease.is_stalled(clock::now()) => {
                self.report(Event::Granted { ticket, outcome: Err(stalled()) });
                return true;
            }
            call => {
                self.call(call);
                return true;
            }
        };
        self.transitions.send(transition).is_ok()
    }

    fn report(&self, result: Event) {
        // The receiver is dropped only when the process exits.
        let _ = self.results.send(result);
    }

    fn extend_lease(&self, until: Time) {
        let Some(epoch) = self.election.epoch() else { return };
        if let Some(previous) = self.lease.extend(epoch, until) {
            self.metrics.lease_renewed(previous.saturating_sub(clock::now()));
        }
    }

    fn call(&self, action: Action) {
        let store = self.store.clone();
        let results = self.results.clone();
        let owner_value = self.owner_value.clone();
        let log = self.log.clone();
        tokio::spawn(async move {
            let event = match action {
                Action::Grant { ticket, ttl } => {
                    let outcome = store.grant(ttl).await;
                    log_refusal("grant", &outcome, &log);
                    Event::Granted { ticket, outcome }
                }
                Action::Claim { ticket, lease } => {
                    let outcome = store.commit(claim(owner_value, lease)).await;
                    log_refusal("claim", &outcome, &log);
                    Event::Claimed { ticket, outcome }
                }
                Action::ReadKey => match store.read(keys::OWNER).await {
                    Ok(snapshot) => Event::Seen {
                        at: snapshot.revision,
                        entry: snapshot.entries.into_iter().find(|entry| entry.key == keys::OWNER),
                    },
                    // The read is retried soon.
                    Err(_) => return,
                },
                Action::Renew { ticket, lease } => {
                    let outcome = store.keep_alive(lease).await;
                    log_refusal("renewal", &outcome, &log);
                    Event::Renewed { ticket, outcome }
                }
                Action::Revoke { lease } => {
                    // If the call is lost, the lease expires by itself.
                    let _ = store.revoke(lease).await;
                    return;
                }
                Action::Own { .. } | Action::Extend { .. } | Action::Stop { .. } => return,
            };
            // The receiver is dropped only when the process exits.
            let _ = results.send(event);
        });
    }
}

/// Logs a call that the store refuses permanently. It is made again, with the election's delays: no
/// other process would get another answer, and a cell without an owner serves nobody.
fn log_refusal<V>(call: &'static str, outcome: &Result<V, kv::Error>, log: &Log) {
    if let Err(error @ kv::Error::Refused(_)) = outcome {
        event!(log, LogEvent::StoreRefused, "key" => keys::OWNER, "call" => call,
            "reason" => error.to_string());
    }
}

fn stalled() -> kv::Error {
    kv::Error::Unavailable(String::from("the cell's thread makes no progress"))
}

/// Returns the delay before a claim, with random jitter.
fn claim_delay(precedence: Precedence) -> Duration {
    precedence.delay() + CLAIM_JITTER.mul_f64(rand::random_range(0.0..1.0))
}

fn claim(owner_value: Vec<u8>, lease: kv::LeaseId) -> kv::Txn {
    kv::Txn {
        preconditions: vec![kv::Precondition::Missing(keys::OWNER.to_owned())],
        changes: vec![kv::Change::Put { key: keys::OWNER.to_owned(), value: owner_value, lease }],
    }
}

//! Leader election for a cell that exactly one process owns at a time: a key in the store, attached
//! to its holder's lease.
//!
//! The key's revision is the owner's epoch. So a later owner always has a higher epoch, and a write
//! guarded by that revision fails for any previous owner. An owner counts its lease from before
//! each renewal was sent, so that it never considers the lease valid for longer than the store
//! does. A claim whose answer was lost is resolved by the watch: the key's value identifies the
//! holder.

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;

use crate::event::Ticket;
use crate::lease::Sent;
use crate::lease::Tickets;

/// A lease is renewed after its duration divided by this.
const RENEW_FRACTION: u32 = 5;
/// A failed call is retried after the lease's duration divided by this.
const RETRY_FRACTION: u32 = 12;

/// An event handled by an election.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The key was read or changed, or is absent, as of a revision.
    Seen {
        /// The store's revision of the read or of the change.
        at: Revision,
        /// The key.
        entry: Option<kv::Entry>,
    },
    /// A `Grant` ended.
    Granted {
        /// The call.
        ticket: Ticket,
        /// The lease.
        outcome: Result<kv::LeaseId, kv::Error>,
    },
    /// A `Claim` ended.
    Claimed {
        /// The call.
        ticket: Ticket,
        /// The outcome of the transaction.
        outcome: Result<kv::TxnOutcome, kv::Error>,
    },
    /// A `Renew` ended.
    Renewed {
        /// The call.
        ticket: Ticket,
        /// The duration of the lease.
        outcome: Result<Duration, kv::Error>,
    },
    /// A write as the owner was rejected because the key has changed.
    Refused,
    /// The process was asked to stop: release the cell and never claim it again.
    Drain,
}

/// An action requested by an election.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Grant a lease.
    Grant {
        /// Identifier of the call.
        ticket: Ticket,
        /// The duration of the lease.
        ttl: Duration,
    },
    /// Write the key, attached to the lease, if it doesn't exist.
    Claim {
        /// Identifier of the call.
        ticket: Ticket,
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Renew the lease.
    Renew {
        /// Identifier of the call.
        ticket: Ticket,
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Read the key and report it as `Seen`; a failed read is not reported.
    ReadKey,
    /// Revoke the lease; the outcome is not reported back.
    Revoke {
        /// The lease.
        lease: kv::LeaseId,
    },
    /// Start running the cell.
    Own {
        /// The key's revision, which guards every write of this owner.
        epoch: Revision,
        /// Earliest possible expiry of the lease.
        until: Time,
    },
    /// Earliest possible expiry of the lease.
    Extend {
        /// Earliest possible expiry of the lease.
        until: Time,
    },
    /// Stop running the cell immediately.
    Stop {
        /// Why the ownership ended.
        cause: Cause,
    },
}

/// Why an ownership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The store no longer knows the lease.
    LeaseExpired,
    /// The key is absent or has changed, so another process may own the cell.
    KeyChanged,
    /// A write as the owner was rejected.
    WriteFenced,
    /// The process is about to stop.
    Draining,
}

impl Cause {
    /// Returns the text for logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Cause::LeaseExpired => "lease expired",
            Cause::KeyChanged => "key changed",
            Cause::WriteFenced => "write fenced",
            Cause::Draining => "draining",
        }
    }
}

/// Settings of an election.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The duration of the lease.
    pub ttl: Duration,
    /// Delay between seeing that the key is absent and claiming it. It only saves writes and lets
    /// the preferred process claim first.
    pub claim_delay: Duration,
    /// The value of the key, which identifies this start of this process.
    pub holder: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Another process owns the cell, or the owner is not known.
    Watching,
    /// No process owns the cell; it is claimed at `claim_at`.
    Vacant {
        claim_at: Time,
    },
    Granting {
        sent: Sent,
    },
    Claiming {
        lease: kv::LeaseId,
        until: Time,
        sent: Ticket,
    },
    /// The answer to the claim was lost; the watch shows its outcome, or the lease expires.
    Unsettled {
        lease: kv::LeaseId,
        until: Time,
    },
    Owning {
        lease: kv::LeaseId,
        epoch: Revision,
        until: Time,
        renew_at: Time,
        sent: Option<Sent>,
    },
}

/// Decides whether this process owns a cell.
#[derive(Clone, Debug)]
pub struct Election {
    settings: Settings,
    state: State,
    /// Revision of the newest read of the key.
    seen_revision: Revision,
    vacant: bool,
    draining: bool,
    tickets: Tickets,
}

impl Election {
    /// Opens an election that has not read the key yet.
    pub fn open(settings: Settings) -> Election {
        Election {
            settings,
            state: State::Watching,
            seen_revision: 0,
            vacant: false,
            draining: false,
            tickets: Tickets::default(),
        }
    }

    /// Sets the delay before a claim, for a cell that becomes vacant from now on.
    pub fn set_claim_delay(&mut self, delay: Duration) {
        self.settings.claim_delay = delay;
    }

    /// Returns the epoch if this process owns the cell, even if its lease may have expired.
    pub fn epoch(&self) -> Option<Revision> {
        match self.state {
            State::Owning { epoch, .. } => Some(epoch),
            _ => None,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Seen { at, entry } => self.key_read(now, at, entry, actions),
            Event::Granted { ticket, outcome } => self.granted(now, ticket, outcome, actions),
            Event::Claimed { ticket, outcome } => self.claimed(now, ticket, outcome, actions),
            Event::Renewed { ticket, outcome } => self.renewed(now, ticket, outcome, actions),
            Event::Refused => self.lose(now, Cause::WriteFenced, actions),
            Event::Drain => self.drain(actions),
        }
        self.advance(now, actions);
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn next_due(&self) -> Option<Time> {
        match self.state {
            State::Vacant { claim_at } => Some(claim_at),
            State::Unsettled { until, .. } => Some(until),
            State::Owning { renew_at, sent: None, .. } => Some(renew_at),
            _ => None,
        }
    }

    fn key_read(
        &mut self,
        now: Time,
        at: Revision,
        entry: Option<kv::Entry>,
        actions: &mut Vec<Action>,
    ) {
        if at < self.seen_revision {
            return;
        }
        self.seen_revision = at;
        self.vacant = entry.is_none();
        let ours = entry.as_ref().filter(|entry| entry.value == self.settings.holder);
        match (self.state, ours) {
            (State::Owning { epoch, .. }, Some(entry)) if entry.revision == epoch => {
                self.renew_again(now, actions);
            }
            (State::Owning { epoch, .. }, _) if at > epoch => {
                self.lose(now, Cause::KeyChanged, actions);
            }
            (State::Owning { .. }, _) => {}
            (State::Unsettled { lease, until }, Some(entry))
            | (State::Claiming { lease, until, .. }, Some(entry))
                if entry.lease == lease =>
            {
                self.take(now, lease, entry.revision, until, actions);
            }
            (State::Watching, None) if self.vacant => self.state = self.vacancy(now),
            (State::Vacant { .. }, _) if !self.vacant => self.state = State::Watching,
            _ => {}
        }
    }

    fn vacancy(&self, now: Time) -> State {
        match self.draining {
            true => State::Watching,
            false => State::Vacant { claim_at: now + self.settings.claim_delay },
        }
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        let retry = self.retry_delay();
        match &mut self.state {
            State::Vacant { claim_at } if *claim_at <= now => {
                let ticket = self.tickets.issue();
                self.state = State::Granting { sent: Sent { ticket, at: now } };
                actions.push(Action::Grant { ticket, ttl: self.settings.ttl });
            }
            State::Unsettled { until, .. } if *until <= now => {
                self.state = self.after_failed_claim(now)
            }
            State::Owning { lease, until, renew_at, sent: sent @ None, .. } if *renew_at <= now => {
                if *until <= now {
                    *renew_at = now + retry;
                    actions.push(Action::ReadKey);
                    return;
                }
                let ticket = self.tickets.issue();
                *sent = Some(Sent { ticket, at: now });
                actions.push(Action::Renew { ticket, lease: *lease });
            }
            _ => {}
        }
    }

    /// Renews a lease that has expired by this process's count, because the store answers again and
    /// the key still exists. Until then nothing is renewed: renewals that reach the store while
    /// their answers are lost would keep the cell from a process that can run it.
    fn renew_again(&mut self, now: Time, actions: &mut Vec<Action>) {
        let State::Owning { lease, until, sent: sent @ None, .. } = &mut self.state else { return };
        if *until > now {
            return;
        }
        let ticket = self.tickets.issue();
        *sent = Some(Sent { ticket, at: now });
        actions.push(Action::Renew { ticket, lease: *lease });
    }

    /// Returns the state after a claim that failed.
    fn after_failed_claim(&self, now: Time) -> State {
        match self.vacant && !self.draining {
            true => State::Vacant { claim_at: now + self.retry_delay() },
            false => State::Watching,
        }
    }

    fn granted(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Result<kv::LeaseId, kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        let State::Granting { sent } = self.state else { return };
        if sent.ticket != ticket {
            return;
        }
        match outcome {
            Ok(lease) if !self.draining => {
                let ticket = self.tickets.issue();
                let until = sent.at + self.settings.ttl;
                self.state = State::Claiming { lease, until, sent: ticket };
                actions.push(Action::Claim { ticket, lease });
            }
            // A lease that is attached to no key expires.
            _ => self.state = self.after_failed_claim(now),
        }
    }

    fn claimed(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Result<kv::TxnOutcome, kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        let State::Claiming { lease, until, sent } = self.state else { return };
        if sent != ticket {
            return;
        }
        match outcome {
            Ok(verdict) if verdict.applied => {
                self.take(now, lease, verdict.revision, until, actions);
            }
            Err(kv::Error::Unknown(_)) => self.state = State::Unsettled { lease, until },
            outcome => {
                // Another process claimed the key first. The watch shows that, and may already
                // have shown that the key is absent again.
                if let Ok(verdict) = &outcome {
                    let newer =
                        verdict.current.iter().any(|entry| entry.revision > self.seen_revision);
                    self.vacant &= !newer;
                }
                actions.push(Action::Revoke { lease });
                self.state = self.after_failed_claim(now);
            }
        }
    }

    fn take(
        &mut self,
        now: Time,
        lease: kv::LeaseId,
        epoch: Revision,
        until: Time,
        actions: &mut Vec<Action>,
    ) {
        self.seen_revision = self.seen_revision.max(epoch);
        self.vacant = false;
        if self.draining {
            self.state = State::Watching;
            actions.push(Action::Revoke { lease });
            return;
        }
        self.state = State::Owning { lease, epoch, until, renew_at: now, sent: None };
        actions.push(Action::Own { epoch, until });
    }

    fn renewed(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Result<Duration, kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        let retry = self.retry_delay();
        let renew_gap = self.settings.ttl / RENEW_FRACTION;
        let State::Owning { until, renew_at, sent, .. } = &mut self.state else { return };
        let Some(call) = sent.filter(|sent| sent.ticket == ticket) else { return };
        *sent = None;
        match outcome {
            Ok(ttl) => {
                *until = (*until).max(call.at + ttl);
                *renew_at = call.at + renew_gap;
                actions.push(Action::Extend { until: *until });
            }
            Err(kv::Error::LeaseExpired) => self.lose(now, Cause::LeaseExpired, actions),
            Err(_) => *renew_at = now + retry,
        }
    }

    fn lose(&mut self, now: Time, cause: Cause, actions: &mut Vec<Action>) {
        if let State::Owning { .. } = self.state {
            actions.push(Action::Stop { cause });
            // The watch shows whether the key is absent or held by another process; a claim made
            // too early fails its guard.
            self.state = match self.draining {
                true => State::Watching,
                false => {
                    State::Vacant { claim_at: now + self.settings.claim_delay + self.retry_delay() }
                }
            };
        }
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        self.draining = true;
        match self.state {
            State::Owning { lease, .. } => {
                actions.push(Action::Stop { cause: Cause::Draining });
                actions.push(Action::Revoke { lease });
                self.state = State::Watching;
            }
            State::Vacant { .. } => self.state = State::Watching,
            State::Unsettled { lease, .. } => {
                actions.push(Action::Revoke { lease });
                self.state = State::Watching;
            }
            // Handled when the call ends.
            State::Granting { .. } | State::Claiming { .. } | State::Watching => {}
        }
    }

    fn retry_delay(&self) -> Duration {
        self.settings.ttl / RETRY_FRACTION
    }
}

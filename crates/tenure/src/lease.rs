//! The lease that keeps a placer's liveness key in the store.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;

use crate::action::Action;
use crate::event::Ticket;

/// A lease is renewed after its duration divided by this.
const RENEW_FRACTION: u32 = 3;
/// A failed call is retried after the lease's duration divided by this.
const RETRY_FRACTION: u32 = 10;

/// A generator of store call identifiers.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    last: Ticket,
}

impl Tickets {
    /// Returns the next identifier.
    pub fn issue(&mut self) -> Ticket {
        self.last += 1;
        self.last
    }
}

/// A call in flight. The lease is counted from before the call was sent, so that the holder never
/// considers the lease valid for longer than the store does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) ticket: Ticket,
    pub(crate) at: Time,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Absent { retry_at: Time },
    Granting { sent: Sent },
    Publishing { lease: kv::LeaseId, until: Time, sent: Option<Ticket>, retry_at: Time },
    Valid { lease: kv::LeaseId, until: Time, renew_at: Time, sent: Option<Sent> },
}

/// A lease, which is granted, then attached to the liveness key, then renewed.
#[derive(Clone, Debug)]
pub struct Lease {
    ttl: Duration,
    state: State,
}

impl Lease {
    /// Opens the state without a lease.
    pub fn open(ttl: Duration) -> Lease {
        Lease { ttl, state: State::Absent { retry_at: Duration::ZERO } }
    }

    /// Returns `true` if the liveness key is certain to exist at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        matches!(self.state, State::Valid { until, .. } if now < until)
    }

    /// Returns the identifier of the lease, if there is one.
    pub fn id(&self) -> Option<kv::LeaseId> {
        match self.state {
            State::Publishing { lease, .. } | State::Valid { lease, .. } => Some(lease),
            State::Absent { .. } | State::Granting { .. } => None,
        }
    }

    /// Drops the lease; a new one is requested at `retry_at`.
    pub fn drop_lease(&mut self, retry_at: Time) {
        self.state = State::Absent { retry_at };
    }

    /// Renews the lease when the renewal is due. No cell can have been taken over while the lease
    /// is valid, so the domain doesn't have to be read first.
    pub fn renew(&mut self, now: Time, tickets: &mut Tickets, actions: &mut Vec<Action>) {
        let State::Valid { lease, renew_at, sent, .. } = &mut self.state else { return };
        if sent.is_some() || now < *renew_at {
            return;
        }
        let ticket = tickets.issue();
        *sent = Some(Sent { ticket, at: now });
        actions.push(Action::Renew { ticket, lease: *lease });
    }

    /// Performs the next step towards a lease that is attached to the liveness key.
    pub fn obtain(
        &mut self,
        now: Time,
        liveness: &Liveness,
        tickets: &mut Tickets,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.state {
            State::Absent { retry_at } if *retry_at <= now => {
                let ticket = tickets.issue();
                self.state = State::Granting { sent: Sent { ticket, at: now } };
                actions.push(Action::Grant { ticket, ttl: self.ttl });
            }
            State::Publishing { lease, sent, retry_at, .. }
                if sent.is_none() && *retry_at <= now =>
            {
                let ticket = tickets.issue();
                *sent = Some(ticket);
                actions.push(Action::Commit { ticket, txn: liveness.txn(*lease) });
            }
            _ => {}
        }
    }

    /// Handles the outcome of a grant.
    pub fn granted(&mut self, now: Time, ticket: Ticket, outcome: Result<kv::LeaseId, kv::Error>) {
        let State::Granting { sent } = self.state else { return };
        if sent.ticket != ticket {
            return;
        }
        self.state = match outcome {
            Ok(lease) => {
                State::Publishing { lease, until: sent.at + self.ttl, sent: None, retry_at: now }
            }
            // A lease whose grant was lost is attached to no key and expires.
            Err(_) => State::Absent { retry_at: now + self.retry_delay() },
        };
    }

    /// Handles the outcome of the write of the liveness key. Returns `true` if `ticket` was that
    /// write.
    pub fn published(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: &Result<kv::TxnOutcome, kv::Error>,
    ) -> bool {
        let State::Publishing { lease, until, sent, .. } = self.state else { return false };
        if sent != Some(ticket) {
            return false;
        }
        self.state = match outcome {
            Ok(_) => State::Valid { lease, until, renew_at: self.renew_at(until), sent: None },
            Err(kv::Error::LeaseExpired) => State::Absent { retry_at: now },
            // The write is idempotent, so it can be repeated whether or not it took effect.
            Err(_) => {
                State::Publishing { lease, until, sent: None, retry_at: now + self.retry_delay() }
            }
        };
        true
    }

    /// Handles the outcome of a renewal.
    pub fn renewed(&mut self, now: Time, ticket: Ticket, outcome: Result<Duration, kv::Error>) {
        let State::Valid { lease, until, sent: Some(sent), .. } = self.state else { return };
        if sent.ticket != ticket {
            return;
        }
        self.state = match outcome {
            Ok(ttl) => {
                let until = sent.at + ttl;
                State::Valid { lease, until, renew_at: self.renew_at(until), sent: None }
            }
            Err(kv::Error::LeaseExpired) => State::Absent { retry_at: now },
            Err(_) => State::Valid { lease, until, renew_at: now + self.retry_delay(), sent: None },
        };
    }

    /// Returns the time at which `renew` or `obtain` next has something to do.
    pub fn next_due(&self) -> Option<Time> {
        match self.state {
            State::Absent { retry_at } => Some(retry_at),
            State::Publishing { sent: None, retry_at, .. } => Some(retry_at),
            State::Valid { sent: None, renew_at, .. } => Some(renew_at),
            _ => None,
        }
    }

    fn renew_at(&self, until: Time) -> Time {
        until.saturating_sub(self.ttl - self.ttl / RENEW_FRACTION)
    }

    fn retry_delay(&self) -> Duration {
        self.ttl / RETRY_FRACTION
    }
}

/// The liveness key and its value.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// The key.
    pub key: String,
    /// The value, for information only: liveness depends on the existence of the key.
    pub value: Vec<u8>,
}

impl Liveness {
    fn txn(&self, lease: kv::LeaseId) -> kv::Txn {
        let put = kv::Change::Put { key: self.key.clone(), value: self.value.clone(), lease };
        kv::Txn { preconditions: Vec::new(), changes: vec![put] }
    }
}

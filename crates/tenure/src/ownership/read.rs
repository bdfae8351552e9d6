//! Reads of the domain's prefix, and the validity of what was read.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;

use crate::action::Action;
use crate::event::Ticket;
use crate::snapshot::Snapshot;

use super::Manager;

/// The store is read at least at an interval of the lease divided by this, in case the watch missed
/// a change.
const READ_FRACTION: u32 = 2;
/// A failed read is retried after the lease divided by this.
const RETRY_FRACTION: u32 = 10;
/// After an outage longer than the lease divided by this, other owners get the duration of a lease
/// to renew their liveness before their cells are taken.
const OUTAGE_FRACTION: u32 = 2;

/// The state of the reads of the store.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    /// The read in flight; the result of any other read is ignored as outdated.
    ticket: Option<Ticket>,
    due: Time,
    /// Whether a change was announced while a read was in flight.
    reread: bool,
    /// Whether a read begun after the last failure or stall has returned.
    fresh: bool,
    suspended: bool,
    down_since: Option<Time>,
    grace_until: Time,
}

impl Reader {
    pub(super) fn open() -> Reader {
        Reader {
            ticket: None,
            due: Time::ZERO,
            reread: false,
            fresh: false,
            suspended: false,
            down_since: None,
            grace_until: Time::ZERO,
        }
    }

    /// Requests a read, after the one in flight if there is one.
    pub(super) fn request(&mut self, now: Time) {
        self.reread = self.ticket.is_some();
        self.due = self.due.min(now);
    }

    /// Blocks all writes until a read has returned; a read in flight counts.
    pub(super) fn require_reread(&mut self, now: Time) {
        self.fresh = false;
        self.due = self.due.min(now);
    }

    pub(super) fn suspend(&mut self) {
        self.suspended = true;
    }

    pub(super) fn is_suspended(&self) -> bool {
        self.suspended
    }

    pub(super) fn is_fresh(&self) -> bool {
        self.fresh
    }

    pub(super) fn is_down(&self) -> bool {
        self.down_since.is_some()
    }

    /// Returns `true` if owners with an expired lease still have time to renew their liveness.
    pub(super) fn in_grace_period(&self, now: Time) -> bool {
        now < self.grace_until
    }

    pub(super) fn next_due(&self) -> Option<Time> {
        self.ticket.is_none().then_some(self.due)
    }
}

impl Manager {
    /// Invalidates what is known about the store. A read already in flight may have read it too
    /// early and is ignored.
    pub(super) fn invalidate(&mut self, now: Time) {
        self.reader.fresh = false;
        self.reader.ticket = None;
        self.reader.due = self.reader.due.min(now);
    }

    pub(super) fn begin_read(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.reader.ticket.is_some() || now < self.reader.due {
            return;
        }
        let ticket = self.tickets.issue();
        self.reader.ticket = Some(ticket);
        self.reader.reread = false;
        self.reader.due = now + self.settings.lease / READ_FRACTION;
        actions.push(Action::ReadDomain { ticket });
    }

    pub(super) fn domain_read(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Result<kv::Snapshot, kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        if self.reader.ticket != Some(ticket) {
            return;
        }
        self.reader.ticket = None;
        // Without the store no cell can have been taken over, and no further read can show more.
        self.reader.suspended = false;
        match outcome {
            Ok(snapshot) => self.apply_snapshot(now, &snapshot, actions),
            Err(error) => self.store_failed(now, &error, actions),
        }
    }

    fn apply_snapshot(&mut self, now: Time, snapshot: &kv::Snapshot, actions: &mut Vec<Action>) {
        self.store_answered(now, actions);
        self.reader.fresh = true;
        if self.reader.reread {
            self.reader.due = now;
        }
        let parsed = Snapshot::parse(&self.settings.domain, snapshot, &self.plan);
        self.plan = parsed.plan.clone();
        self.snapshot = Some(parsed);
        self.reconcile(now, actions);
    }

    pub(super) fn store_answered(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(since) = self.reader.down_since.take() else { return };
        if now.saturating_sub(since) > self.settings.lease / OUTAGE_FRACTION {
            self.reader.grace_until = now + self.settings.lease;
        }
        let instance = self.settings.instance.clone();
        self.log(LogEvent::StoreBack, &instance, String::from("a call was answered"), actions);
    }

    pub(super) fn store_failed(&mut self, now: Time, error: &kv::Error, actions: &mut Vec<Action>) {
        if self.reader.down_since.is_none() {
            self.reader.down_since = Some(now);
            let instance = self.settings.instance.clone();
            self.log(LogEvent::StoreLost, &instance, error.to_string(), actions);
        }
        self.reset_outranked();
        // Nothing is written until the store has been read again. A read in flight counts.
        self.reader.fresh = false;
        self.reader.due = self.reader.due.min(now + self.settings.lease / RETRY_FRACTION);
    }
}

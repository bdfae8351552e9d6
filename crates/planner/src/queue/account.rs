//! The account of one queue and size class: how much of its work of the last seconds was in time.
//!
//! A job is booked when its outcome is known, not when it arrives, so that jobs that are being
//! worked on don't look as if they had not been served.

use std::iter::Sum;
use std::time::Duration;

use cowslipchute_base::id::Time;

/// Time constant with which bookings decay. After a calm period, an account of which nothing is
/// served any more is behind within a second; a queue that sends a large job a second still has
/// several in its account.
const DECAY: Duration = Duration::from_secs(5);
/// Number of booked jobs below which an account isn't judged: a single late job shows no pattern.
const MIN_JOBS: f64 = 1.5;
/// Shortest time between two logged periods of one account, which bounds the log to two lines in
/// this time for each queue and class.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What was booked lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Core-seconds of jobs with a known outcome.
    pub arrived: f64,
    /// Core-seconds of those that were in time.
    pub served: f64,
    /// Number of jobs with a known outcome.
    pub jobs: f64,
    /// Number of those that were in time.
    pub jobs_served: f64,
}

impl Balance {
    /// Returns the fraction of the work that was in time.
    pub fn fraction(&self) -> f64 {
        if self.arrived > 0.0 { self.served / self.arrived } else { 0.0 }
    }

    /// Returns the fraction of the jobs that were in time.
    pub fn job_fraction(&self) -> f64 {
        if self.jobs > 0.0 { self.jobs_served / self.jobs } else { 0.0 }
    }

    fn scaled(&self, factor: f64) -> Balance {
        Balance {
            arrived: self.arrived * factor,
            served: self.served * factor,
            jobs: self.jobs * factor,
            jobs_served: self.jobs_served * factor,
        }
    }
}

impl Sum for Balance {
    fn sum<I: Iterator<Item = Balance>>(balances: I) -> Balance {
        balances.fold(Balance::default(), |a, b| Balance {
            arrived: a.arrived + b.arrived,
            served: a.served + b.served,
            jobs: a.jobs + b.jobs,
            jobs_served: a.jobs_served + b.jobs_served,
        })
    }
}

/// An account with what it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// What was booked lately.
    pub balance: Balance,
    /// Fraction of the work that should have been served.
    pub target: f64,
    /// Since when it has been behind.
    pub behind_since: Option<Time>,
    /// Whether its jobs go ahead.
    pub ahead: bool,
}

impl Status {
    /// Returns the core-seconds that are missing to the target; none if it is exceeded.
    pub fn deficit(&self) -> f64 {
        (self.target * self.balance.arrived - self.balance.served).max(0.0)
    }
}

/// The begin or end of a time in which the jobs of an account go ahead, with the inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The account has been behind for long, and its jobs go ahead from now on.
    Begun(Status),
    /// The account has caught up, or has too few jobs to be judged.
    Ended(Status),
}

/// The account of one queue and size class.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    balance: Balance,
    updated_at: Time,
    behind_since: Option<Time>,
    ahead: bool,
    /// When the latest logged period began.
    logged_at: Option<Time>,
    /// Whether the end of the current period is to be logged.
    logs_end: bool,
}

impl Account {
    pub(crate) fn open(now: Time) -> Account {
        Account {
            balance: Balance::default(),
            updated_at: now,
            behind_since: None,
            ahead: false,
            logged_at: None,
            logs_end: false,
        }
    }

    pub(crate) fn is_ahead(&self) -> bool {
        self.ahead
    }

    /// Returns what was booked, decayed until now.
    pub(crate) fn balance(&self, now: Time) -> Balance {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.balance.scaled((-age / DECAY.as_secs_f64()).exp())
    }

    /// Books a job whose outcome is known.
    pub(crate) fn book(&mut self, now: Time, work: f64, served: bool) {
        self.balance = self.balance(now);
        self.updated_at = now;
        self.balance.arrived += work;
        self.balance.jobs += 1.0;
        if served {
            self.balance.served += work;
            self.balance.jobs_served += 1.0;
        }
    }

    pub(crate) fn status(&self, now: Time, target: f64) -> Status {
        let Account { behind_since, ahead, .. } = *self;
        Status { balance: self.balance(now), target, behind_since, ahead }
    }

    /// Updates whether the account is behind, which it is below the first bound until it reaches the
    /// second. Returns the change if it is to be logged.
    pub(crate) fn update(
        &mut self,
        now: Time,
        target: f64,
        [behind, caught_up]: [f64; 2],
        max_time_behind: Duration,
    ) -> Option<Change> {
        let balance = self.balance(now);
        let bound = if self.behind_since.is_some() { caught_up } else { behind };
        if balance.jobs < MIN_JOBS || balance.fraction() >= bound {
            let change = Change::Ended(self.status(now, target));
            self.behind_since = None;
            let was_ahead = std::mem::take(&mut self.ahead);
            return (was_ahead && self.logs_end).then_some(change);
        }
        let since = *self.behind_since.get_or_insert(now);
        if self.ahead || now < since + max_time_behind {
            return None;
        }
        self.ahead = true;
        self.logs_end = self.logged_at.is_none_or(|logged_at| now >= logged_at + LOG_INTERVAL);
        if self.logs_end {
            self.logged_at = Some(now);
        }
        self.logs_end.then(|| Change::Begun(self.status(now, target)))
    }
}

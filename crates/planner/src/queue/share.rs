//! Shares of contended capacity, by queue and by size of the job within its queue.
//!
//! With more work than capacity, rank alone decides, and the same kind of job can come last for as
//! long as the contention lasts: jobs of many tasks get their capacity piece by piece and are late
//! before they have all of it, and the queue with the lower value density waits for the other. This
//! module keeps an account for each queue and size class and decides which accounts have fallen
//! behind, and which of their jobs go ahead of their rank. The load it answers is a cell that one
//! priority's queues, or many small jobs of one queue, keep full for longer than
//! [`MAX_TIME_BEHIND`]. `docs/design/queue-shares.md` has the reasons.
//!
//! Nothing here does I/O or reads a clock. The accounts hold what was decided about jobs in the last
//! seconds; they are lost with the owner and come back with the next jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id::Service;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use foldhash::HashMap;
use smallvec::SmallVec;

pub use crate::queue::account::Balance;
pub use crate::queue::account::Change;
pub use crate::queue::account::Status;

use crate::queue::account::Account;

/// Time for which an account stays below its share before its jobs go ahead. Bursts last three to
/// six seconds, so most of a burst is left to catch up in; a shorter time would react to single jobs
/// of a queue that sends a few a second.
pub const MAX_TIME_BEHIND: Duration = Duration::from_secs(1);
/// Fraction of the target below which an account is behind. The requirement is 0.75 over a period of
/// contention, in which the account is below the target until it goes ahead.
const BEHIND_FRACTION: f64 = 0.9;
/// Fraction of the target at which an account has caught up. The distance to [`BEHIND_FRACTION`]
/// keeps single jobs from switching it on and off. It is below 1, which an account that was behind only
/// approaches once everything is in time.
const CAUGHT_UP_FRACTION: f64 = 0.99;
/// Shortest time between two updates of the accounts, so that their cost doesn't grow with the number
/// of placement passes. It is short beside [`MAX_TIME_BEHIND`].
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the capacity that a group's jobs that go ahead may use at once. The largest tenth makes
/// up 0.2 to 0.4 of the work of a queue, and rank serves a part of it anyway. The rest of the
/// capacity goes by value.
const MAX_AHEAD_FRACTION: f64 = 0.25;
/// Number of recent jobs of a queue from which its size classes are computed: seven seconds of a
/// queue with 14 jobs a second.
const SIZE_SAMPLES: usize = 100;
/// Minimum number of jobs of a queue before it has size classes: two jobs in the largest tenth.
const MIN_SIZE_SAMPLES: usize = 20;
/// Quantiles by work above which a job belongs to the fifth below the largest tenth, and to the
/// largest tenth.
const CLASS_QUANTILES: [f64; 2] = [0.7, 0.9];

/// Size of a job within its queue, by work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// The largest tenth.
    Largest,
    /// The fifth below it.
    Large,
    /// All others.
    Rest,
}

impl Class {
    /// Every class, in the order of a queue's accounts.
    pub const ALL: [Class; 3] = [Class::Largest, Class::Large, Class::Rest];

    /// Returns the name of the class in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Class::Largest => "largest",
            Class::Large => "large",
            Class::Rest => "rest",
        }
    }
}

/// Queues that compete with each other: those of one priority on the workers of one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Priority of the queue.
    pub priority: u8,
    /// Service whose workers run its jobs.
    pub service: Service,
}

/// What an account needs to know about a job.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Queue to which it was submitted.
    pub queue: Arc<str>,
    /// Queues with which it competes.
    pub group: Group,
    /// Its work in core-seconds.
    pub work: f64,
    /// Largest amount of CPU that it uses at once, in millicores.
    pub milli: u64,
}

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has completed in time.
    InTime,
    /// It can no longer complete in time, or didn't.
    Late,
    /// It ended for a reason that says nothing about its share, such as a cancellation.
    Withdrawn,
}

/// A job whose outcome is open.
#[derive(Clone, Debug)]
struct Open {
    queue: Arc<str>,
    class: Class,
    work: f64,
    milli: u64,
}

/// Work of a queue's recent jobs.
#[derive(Clone, Debug, Default)]
struct Sizes {
    recent: SmallVec<[f64; SIZE_SAMPLES]>,
    next: usize,
}

impl Sizes {
    /// Adds a job and returns its class.
    fn classify(&mut self, work: f64) -> Class {
        match self.recent.get_mut(self.next) {
            Some(oldest) => *oldest = work,
            None => self.recent.push(work),
        }
        self.next = (self.next + 1) % SIZE_SAMPLES;
        if self.recent.len() < MIN_SIZE_SAMPLES {
            return Class::Rest;
        }
        let mut sorted = self.recent.clone();
        let [large, largest] = CLASS_QUANTILES.map(|quantile| {
            let index = (sorted.len() as f64 * quantile) as usize - 1;
            *sorted.select_nth_unstable_by(index, f64::total_cmp).1
        });
        match work {
            work if work > largest => Class::Largest,
            work if work > large => Class::Large,
            _ => Class::Rest,
        }
    }
}

/// A queue with its accounts.
#[derive(Clone, Debug)]
struct Queue {
    group: Group,
    sizes: Sizes,
    accounts: [Account; Class::ALL.len()],
    /// Fraction of its work that each account should have served, as of the last update.
    target: f64,
}

impl Queue {
    fn open(now: Time, group: Group) -> Queue {
        let accounts = std::array::from_fn(|_| Account::open(now));
        Queue { group, sizes: Sizes::default(), accounts, target: 0.0 }
    }

    fn total(&self, now: Time) -> Balance {
        self.accounts.iter().map(|account| account.balance(now)).sum()
    }
}

/// The accounts of a cell, and the jobs that go ahead of their rank.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    queues: BTreeMap<Arc<str>, Queue>,
    /// Jobs that were received and whose outcome is open.
    open: HashMap<JobId, Open>,
    /// Those of them that go ahead, until their outcome is known.
    ahead: HashMap<JobId, u64>,
    updated_at: Option<Time>,
}

impl Shares {
    /// Adds a job that was received.
    pub fn arrive(&mut self, now: Time, job: JobId, arrival: Arrival) {
        let Arrival { queue: name, group, work, milli } = arrival;
        let queue =
            self.queues.entry(name.clone()).or_insert_with(|| Queue::open(now, group.clone()));
        queue.group = group;
        let class = queue.sizes.classify(work);
        self.open.insert(job, Open { queue: name, class, work, milli });
    }

    /// Books the outcome of a job. Only the first one counts: a job that became late before it
    /// completed was late.
    pub fn settle(&mut self, now: Time, job: JobId, outcome: Outcome) {
        self.ahead.remove(&job);
        let Some(open) = self.open.remove(&job) else { return };
        let Some(queue) = self.queues.get_mut(&open.queue) else { return };
        if outcome != Outcome::Withdrawn {
            let served = outcome == Outcome::InTime;
            queue.accounts[open.class as usize].book(now, open.work, served);
        }
    }

    /// Returns `true` if the outcome of a job is open.
    pub fn is_open(&self, job: JobId) -> bool {
        self.open.contains_key(&job)
    }

    /// Returns `true` if a job goes ahead of its rank.
    pub fn is_ahead(&self, job: JobId) -> bool {
        self.ahead.contains_key(&job)
    }

    /// Returns the groups in which an account goes ahead.
    pub fn groups_ahead(&self) -> BTreeSet<Group> {
        let is_ahead = |queue: &&Queue| queue.accounts.iter().any(Account::is_ahead);
        self.queues.values().filter(is_ahead).map(|queue| queue.group.clone()).collect()
    }

    /// Returns the accounts with what they are due, by queue and class.
    pub fn statuses(&self, now: Time) -> Vec<(Arc<str>, Class, Status)> {
        let mut statuses = Vec::new();
        for (name, queue) in &self.queues {
            for (class, account) in Class::ALL.into_iter().zip(&queue.accounts) {
                statuses.push((name.clone(), class, account.status(now, queue.target)));
            }
        }
        statuses
    }

    /// Updates which accounts are behind and which go ahead. Returns those that changed and are to
    /// be logged.
    pub fn update(&mut self, now: Time) -> SmallVec<[(Arc<str>, Class, Change); 2]> {
        let mut changes = SmallVec::new();
        if self.updated_at.is_some_and(|updated_at| now < updated_at + UPDATE_INTERVAL) {
            return changes;
        }
        self.updated_at = Some(now);
        self.update_targets(now);
        for (name, queue) in &mut self.queues {
            let target = queue.target;
            let bounds = [target * BEHIND_FRACTION, target * CAUGHT_UP_FRACTION];
            for (class, account) in Class::ALL.into_iter().zip(&mut queue.accounts) {
                if let Some(change) = account.update(now, target, bounds, MAX_TIME_BEHIND) {
                    changes.push((name.clone(), class, change));
                }
            }
        }
        changes
    }

    /// Updates the target of each queue: as many of its jobs as of the queue, or the queue's max-min
    /// fair share of what its group served if that is more.
    fn update_targets(&mut self, now: Time) {
        let mut groups: BTreeMap<Group, SmallVec<[Balance; 8]>> = BTreeMap::new();
        for queue in self.queues.values() {
            groups.entry(queue.group.clone()).or_default().push(queue.total(now));
        }
        let level = |totals: &SmallVec<[Balance; 8]>| {
            let demands: SmallVec<[f64; 8]> = totals.iter().map(|total| total.arrived).collect();
            max_min_level(&demands, totals.iter().map(|total| total.served).sum())
        };
        for queue in self.queues.values_mut() {
            let totals = &groups[&queue.group];
            let own = queue.total(now);
            // A single queue has no rival; only its own size classes are compared.
            let fair = match totals.len() {
                1 => 0.0,
                _ if own.arrived > 0.0 => (level(totals) / own.arrived).min(1.0),
                _ => 1.0,
            };
            queue.target = own.job_fraction().max(fair);
        }
    }

    /// Chooses which jobs of a group go ahead, from candidates that wait, can be in time and are
    /// given in the order of their arrival. Jobs go ahead until their outcome is known, since
    /// capacity that was given to half of a job is lost. One may always go, however large it is,
    /// and a large one isn't passed by smaller ones.
    pub fn choose(&mut self, now: Time, group: &Group, candidates: &[JobId], group_milli: u64) {
        let limit = (group_milli as f64 * MAX_AHEAD_FRACTION) as u64;
        let taken = self.ahead.iter().filter(|&(&job, _)| {
            self.open_queue(job).is_some_and(|(_, queue)| queue.group == *group)
        });
        let mut taken: u64 = taken.map(|(_, milli)| milli).sum();
        for (_, job, milli) in self.by_shortfall(now, group, candidates) {
            if taken > 0 && taken + milli > limit {
                return;
            }
            self.ahead.insert(job, milli);
            taken += milli;
        }
    }

    /// Returns the candidates of accounts that go ahead, those of the account furthest behind first.
    fn by_shortfall(
        &self,
        now: Time,
        group: &Group,
        candidates: &[JobId],
    ) -> Vec<(f64, JobId, u64)> {
        let mut chosen: Vec<(f64, JobId, u64)> = Vec::new();
        for &job in candidates.iter().filter(|&&job| !self.is_ahead(job)) {
            let Some((open, queue)) = self.open_queue(job) else { continue };
            let account = &queue.accounts[open.class as usize];
            if account.is_ahead() && queue.group == *group {
                let fraction = account.balance(now).fraction() / queue.target;
                chosen.push((fraction, job, open.milli));
            }
        }
        chosen.sort_by(|a, b| a.0.total_cmp(&b.0));
        chosen
    }

    fn open_queue(&self, job: JobId) -> Option<(&Open, &Queue)> {
        let open = self.open.get(&job)?;
        Some((open, self.queues.get(&open.queue)?))
    }
}

/// Returns the level up to which each demand is met if an amount is divided by max-min fairness:
/// whoever asks for less gets all of it, and the others get the same.
pub fn max_min_level(demands: &[f64], amount: f64) -> f64 {
    let mut sorted: SmallVec<[f64; 8]> = demands.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let mut left = amount;
    for (index, &demand) in sorted.iter().enumerate() {
        let equal = left / (sorted.len() - index) as f64;
        if demand > equal {
            return equal;
        }
        left -= demand;
    }
    f64::INFINITY
}

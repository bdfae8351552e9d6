//! What the owner of a cell knows about waiting work, for the instances that accept jobs.
//!
//! A forecast is sent in one datagram, so the constants below bound its lists.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_ports::job::JobId;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use smallvec::SmallVec;

use crate::demand::Lane;

/// Number of brackets into which the waiting work of a lane is divided by value density.
pub const MAX_BRACKETS: usize = 8;
/// Number of seconds for which retries are booked.
pub const BOOKED_SECONDS: usize = 16;
/// Maximum number of lanes. Further ones are left out, and their jobs are admitted.
pub const MAX_LANES: usize = 16;
/// Maximum number of queues whose mean work is sent.
pub const MAX_QUEUES: usize = 32;
/// Maximum number of returning jobs that are named.
pub const MAX_RETURNING: usize = 64;

/// Waiting work of the jobs with a similar value density.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Bracket {
    /// Lowest value density of these jobs.
    pub min_density: f32,
    /// Their waiting work in core-seconds.
    pub work: f32,
}

/// Waiting work of a lane, and how fast it is done.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Backlog {
    /// The lane.
    pub lane: Lane,
    /// Waiting work of jobs that can still be of value, in descending order of density. Short jobs
    /// that can be in time, or have started, have the density zero; late ones, which go after new
    /// ones, have a lower one.
    pub brackets: SmallVec<[Bracket; MAX_BRACKETS]>,
    /// Throughput in core-seconds per second: recent completions, or the cores of running tasks if
    /// that is more. It is what the lane can do only while work waits.
    pub rate: f32,
    /// Core-seconds that arrive per second.
    pub arrival_rate: f32,
    /// Core-seconds of rejected jobs that may be submitted again in each of the next seconds.
    pub booked: SmallVec<[f32; BOOKED_SECONDS]>,
}

impl Backlog {
    /// Returns the waiting core-seconds that go before a job of a density.
    pub fn work_before(&self, density: f64) -> f64 {
        let denser =
            self.brackets.iter().filter(|bracket| f64::from(bracket.min_density) >= density);
        denser.map(|bracket| f64::from(bracket.work)).sum()
    }

    /// Returns all waiting core-seconds.
    pub fn work(&self) -> f64 {
        self.work_before(f64::NEG_INFINITY)
    }

    /// Returns `true` if more work waits than is done in a moment.
    pub fn is_contended(&self) -> bool {
        /// Waiting work, in seconds of the lane's rate, that isn't yet a backlog.
        const MOMENT_SECONDS: f64 = 0.5;
        self.work() > f64::from(self.rate) * MOMENT_SECONDS
    }

    /// Returns the core-seconds that are booked for one of the next seconds.
    pub fn booked_in(&self, second: usize) -> f64 {
        self.booked.get(second).copied().map_or(0.0, f64::from)
    }
}

/// What the owner of a cell knows about waiting work.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Forecast {
    /// Whether the owner reaches the store; without it nothing starts.
    pub reaches_store: bool,
    /// How late the owner handles events.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lag: Duration,
    /// The lanes that have jobs.
    pub backlogs: Vec<Backlog>,
    /// Mean core-seconds of the jobs of each queue.
    pub mean_work: Vec<(Arc<str>, f32)>,
    /// Rejected jobs that are due to be submitted again.
    pub returning: Vec<JobId>,
    /// Number of rejected jobs that were given a time at which to return.
    pub booked_jobs: u32,
}

impl Forecast {
    /// Returns the backlog of a lane, if it has one.
    pub fn backlog(&self, lane: &Lane) -> Option<&Backlog> {
        self.backlogs.iter().find(|backlog| backlog.lane == *lane)
    }

    /// Returns the mean work of the jobs of a queue, if it is known.
    pub fn mean_work(&self, queue: &str) -> Option<f64> {
        let known = self.mean_work.iter().find(|(name, _)| &**name == queue);
        known.map(|&(_, work)| f64::from(work))
    }

    /// Returns `true` if a lane has a backlog, so that the forecast is worth a refresh soon.
    pub fn is_contended(&self) -> bool {
        self.backlogs.iter().any(Backlog::is_contended)
    }
}

/// Divides the waiting work of jobs, given as pairs of density and core-seconds, into brackets of
/// about equal work.
pub fn brackets(mut jobs: Vec<(f64, f64)>) -> SmallVec<[Bracket; MAX_BRACKETS]> {
    jobs.sort_by(|a, b| b.0.total_cmp(&a.0));
    let total: f64 = jobs.iter().map(|(_, work)| work).sum();
    let size = total / MAX_BRACKETS as f64;
    let mut brackets: SmallVec<[Bracket; MAX_BRACKETS]> = SmallVec::new();
    let mut before = 0.0;
    for (density, work) in jobs {
        let index = ((before / size.max(f64::MIN_POSITIVE)) as usize).min(MAX_BRACKETS - 1);
        before += work;
        if index >= brackets.len() {
            brackets.push(Bracket { min_density: density as f32, work: work as f32 });
        } else if let Some(last) = brackets.last_mut() {
            last.min_density = density as f32;
            last.work += work as f32;
        }
    }
    brackets
}

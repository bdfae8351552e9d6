//! A model of interference, learnt online: how much a task of one job slows a paying task of
//! another on the same worker.
//!
//! A measured slowdown is modelled as the sum of the neighbours' effects. Each pair of jobs has an
//! estimate with a variance; a new pair starts from its class's mean and a class from a prior, so
//! that estimates with little data stay close to them (shrinkage). The error of a prediction is
//! distributed over the neighbours by their variances: a Kalman filter with a diagonal covariance.

use std::collections::HashMap;

use cowslipchute_base::class::Class;
use cowslipchute_base::entity::Table;
use smallvec::SmallVec;

use crate::job::Job;
use crate::job::JobId;

/// Prior mean of a neighbour's effect on a paying task's slowdown, in thousandths.
const PRIOR_MEAN: f32 = 2.0;
/// Prior variance of a pair.
const PRIOR_VARIANCE: f32 = 900.0;
/// Variance of one measurement.
const MEASUREMENT_VARIANCE: f32 = 100.0;
/// Maximum variance of a pair that counts as measured.
const MEASURED_VARIANCE_MAX: f32 = 300.0;
/// Variance added to a pair with each measurement, so that the estimate follows a changing load.
const DRIFT_VARIANCE: f32 = 0.5;
/// Learning rate of a class's mean for each measurement of one of its pairs.
const CLASS_RATE: f32 = 0.02;
/// Number of pairs above which those of removed jobs are dropped.
const PAIRS_MAX: usize = 65_536;

/// A paying job and a neighbour that may slow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Pair {
    victim: JobId,
    neighbour: JobId,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f32,
    variance: f32,
}

/// One job's runs on the same worker as a measured run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Neighbour {
    pub(crate) job: JobId,
    pub(crate) class: Class,
    /// Number of runs, each weighted by its share of its processors.
    pub(crate) share: f32,
}

pub(crate) type Neighbours = SmallVec<[Neighbour; 16]>;

/// Jobs whose effect on another one has just become measured.
pub(crate) type Measured = SmallVec<[JobId; 4]>;

/// The interference model.
#[derive(Debug)]
pub(crate) struct Model {
    pairs: HashMap<Pair, Estimate>,
    /// Mean effect by the class of the neighbour.
    classes: [f32; Class::ALL.len()],
}

impl Default for Model {
    fn default() -> Self {
        Model { pairs: HashMap::new(), classes: [PRIOR_MEAN; Class::ALL.len()] }
    }
}

impl Model {
    /// Returns the effect of one unthrottled run on the slowdown of another job's run, in
    /// thousandths.
    pub(crate) fn effect(&self, victim: JobId, neighbour: JobId, class: Class) -> f32 {
        let pair = Pair { victim, neighbour };
        self.pairs.get(&pair).map_or(self.classes[class as usize], |estimate| estimate.mean)
    }

    /// Returns `true` if the effect of a job on another one has been measured well enough.
    pub(crate) fn is_measured(&self, victim: JobId, neighbour: JobId) -> bool {
        let pair = Pair { victim, neighbour };
        self.pairs.get(&pair).is_some_and(|estimate| estimate.variance <= MEASURED_VARIANCE_MAX)
    }

    /// Updates the model with one measured slowdown, in thousandths above none; returns the
    /// neighbours whose effect has become measured.
    pub(crate) fn learn(&mut self, victim: JobId, neighbours: &Neighbours, extra: f32) -> Measured {
        let mut predicted = 0.0;
        let mut uncertainty = MEASUREMENT_VARIANCE;
        for neighbour in neighbours {
            let estimate = self.estimate(victim, neighbour);
            predicted += neighbour.share * estimate.mean;
            uncertainty += neighbour.share * neighbour.share * estimate.variance;
        }
        let error = extra - predicted;
        let mut newly_measured = Measured::new();
        for neighbour in neighbours {
            let mut estimate = self.estimate(victim, neighbour);
            let gain = estimate.variance * neighbour.share / uncertainty;
            // A neighbour never makes a run faster.
            estimate.mean = (estimate.mean + gain * error).max(0.0);
            estimate.variance = (1.0 - gain * neighbour.share) * estimate.variance + DRIFT_VARIANCE;
            let class = &mut self.classes[neighbour.class as usize];
            *class += CLASS_RATE * (estimate.mean - *class);
            let pair = Pair { victim, neighbour: neighbour.job };
            let before = self.pairs.insert(pair, estimate);
            let was_measured =
                before.is_some_and(|before| before.variance <= MEASURED_VARIANCE_MAX);
            if !was_measured && estimate.variance <= MEASURED_VARIANCE_MAX {
                newly_measured.push(neighbour.job);
            }
        }
        newly_measured
    }

    fn estimate(&self, victim: JobId, neighbour: &Neighbour) -> Estimate {
        let pair = Pair { victim, neighbour: neighbour.job };
        let mean = self.classes[neighbour.class as usize];
        let new = Estimate { mean, variance: PRIOR_VARIANCE };
        self.pairs.get(&pair).copied().unwrap_or(new)
    }

    /// Drops the pairs of removed jobs once there are many pairs.
    pub(crate) fn trim(&mut self, jobs: &Table<Job>) {
        if self.pairs.len() > PAIRS_MAX {
            let exists = |job: JobId| jobs.get(job).is_some();
            self.pairs.retain(|pair, _| exists(pair.victim) && exists(pair.neighbour));
        }
    }

    /// Returns the memory used by the pairs in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.pairs.capacity() * (size_of::<Pair>() + size_of::<Estimate>())
    }
}

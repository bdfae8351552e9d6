//! Interference of best-effort tasks with latency-critical tasks, learnt for each pair of images.
//!
//! Most pairs hardly interfere, a few interfere strongly, and which ones isn't known beforehand.
//! The model uses the *headroom*, the latency target divided by the tail latency: 1 is exactly at
//! the target, and each best-effort image takes away the pair's weight times the fraction of the
//! worker's CPU that it uses. [`crate::colocation::load`] estimates the task's own load.

use std::sync::Arc;

use foldhash::HashMap;
use foldhash::fast::RandomState;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::colocation::load::Load;
use crate::colocation::load::clamp_error;

/// Name of an image.
pub(crate) type Image = Arc<str>;
/// Fractions of a worker's CPU that best-effort images use.
pub(crate) type Shares = SmallVec<[(Image, f64); 8]>;

/// Weight of a pair that nothing is known about.
const INITIAL_WEIGHT: f64 = 2.0;
/// Variance of that weight. Observed weights range from 0 to 12.
const INITIAL_VARIANCE: f64 = 16.0;
/// Headroom of an image that nothing is known about: half of the capacity is free, and the target
/// is six times the unloaded tail latency.
const INITIAL_HEADROOM: f64 = 2.5;
/// Variance of that headroom.
const INITIAL_HEADROOM_VARIANCE: f64 = 1.0;
/// Variance of the load of an image's tasks around its usual headroom. Observed loads vary by half.
const LOAD_VARIANCE: f64 = 1.0;
/// Variance of a sample apart from the uncertainty of load and weights: measurements are off by a
/// few percent, and the best-effort tasks beside a task change within the time that they cover.
pub(crate) const SAMPLE_VARIANCE: f64 = 0.04;
/// Variance added with each sample, since the behaviour of tasks changes over time.
const DRIFT: f64 = 0.002;
/// A sample with a smaller CPU fraction says nothing about its image.
const MIN_SHARE: f64 = 0.005;
/// With this headroom or less the queue is saturated: lower values can't be told apart.
const SATURATED_HEADROOM: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Estimate {
    mean: f64,
    variance: f64,
}

impl Estimate {
    /// Corrects the estimate for an error of a sum in which it has the coefficient `share`. `total`
    /// is the variance of the sum.
    fn correct(&mut self, error: f64, share: f64, total: f64) {
        let gain = self.variance * share / total;
        self.mean = (self.mean + gain * error).max(0.0);
        self.variance = self.variance * (1.0 - gain * share) + DRIFT;
    }
}

const INITIAL_ESTIMATE: Estimate = Estimate { mean: INITIAL_WEIGHT, variance: INITIAL_VARIANCE };

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Sensitivity {
    headroom: Estimate,
    weights: HashMap<Image, Estimate>,
}

impl Default for Sensitivity {
    fn default() -> Sensitivity {
        let headroom = Estimate { mean: INITIAL_HEADROOM, variance: INITIAL_HEADROOM_VARIANCE };
        Sensitivity { headroom, weights: HashMap::default() }
    }
}

impl Sensitivity {
    fn weight(&self, image: &Image) -> Estimate {
        self.weights.get(image).copied().unwrap_or(INITIAL_ESTIMATE)
    }

    fn headroom_loss(&self, shares: &Shares) -> f64 {
        shares.iter().map(|(image, share)| self.weight(image).mean * share).sum()
    }

    /// Corrects the weights for an error in the headroom, which decreases with each share.
    fn correct(&mut self, error: f64, shares: &Shares, total: f64) {
        for (best_effort, share) in shares.iter().filter(|(_, share)| *share >= MIN_SHARE) {
            let weight = self.weights.entry(best_effort.clone()).or_insert(INITIAL_ESTIMATE);
            weight.correct(error, -share, total);
        }
    }

    /// Returns the variance of the headroom loss that these shares cause.
    fn headroom_loss_variance(&self, shares: &Shares) -> f64 {
        shares
            .iter()
            .map(|(best_effort, share)| self.weight(best_effort).variance * share * share)
            .sum()
    }

    /// Updates the weights from a sample of a task whose headroom without interference is `own`,
    /// known with the variance `own_variance`.
    fn learn(&mut self, sample: &Sample, own: f64, own_variance: f64) {
        let shares = &sample.shares;
        let error = sample.headroom - (own - self.headroom_loss(shares));
        let total = SAMPLE_VARIANCE + own_variance + self.headroom_loss_variance(shares);
        if !sample.is_saturated() {
            self.correct(clamp_error(error, total), shares, total);
        } else if error < 0.0 {
            self.raise_weights(clamp_error(error, total), shares, total);
        }
    }

    /// Raises the weights for a saturated queue: they are at least this high, and their variance
    /// doesn't change.
    fn raise_weights(&mut self, error: f64, shares: &Shares, total: f64) {
        for (best_effort, share) in shares.iter().filter(|(_, share)| *share >= MIN_SHARE) {
            let weight = self.weights.entry(best_effort.clone()).or_insert(INITIAL_ESTIMATE);
            weight.mean -= weight.variance * share / total * error;
        }
    }
}

/// A sample of a latency-critical task.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Its latency target divided by its tail latency.
    pub(crate) headroom: f64,
    /// CPU fractions of the best-effort images beside it.
    pub(crate) shares: Shares,
}

impl Sample {
    /// Returns `true` if the queue was saturated, so that the sample only gives an upper bound.
    pub(crate) fn is_saturated(&self) -> bool {
        self.headroom <= SATURATED_HEADROOM
    }
}

/// Estimates for all pairs of images.
///
/// Response times in a queue grow as the inverse of its remaining capacity, so the headroom falls
/// in proportion to the load, both the task's own and what others add to it. Tail latencies are
/// noisy and vary with the load, so the weights are estimated by a Kalman filter, which keeps a
/// variance for each weight but no covariances.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Model {
    images: IndexMap<Image, Sensitivity, RandomState>,
}

/// Index of a latency-critical image in a model, which never removes one.
pub(crate) type ImageIndex = usize;

/// Interference of one best-effort image with each latency-critical image, looked up once for many
/// workers: a placement pass asks for the same pairs thousands of times.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    /// Weight and standard deviation by [`ImageIndex`].
    weights: SmallVec<[(f64, f64); 16]>,
    mean: f64,
}

impl Profile {
    /// Returns the weight on a latency-critical image, and its standard deviation.
    pub(crate) fn weight_on(&self, index: Option<ImageIndex>) -> (f64, f64) {
        let weight = index.and_then(|index| self.weights.get(index));
        weight.copied().unwrap_or((INITIAL_ESTIMATE.mean, INITIAL_ESTIMATE.variance.sqrt()))
    }

    /// Returns the mean weight over the latency-critical images.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }
}

impl Model {
    /// Updates the weights on an image from a sample.
    pub(crate) fn learn(&mut self, image: &Image, sample: &Sample, load: &Load) {
        let sensitivity = self.images.entry(image.clone()).or_default();
        sensitivity.learn(sample, load.level(), load.variance());
    }

    /// Updates an image's usual headroom from a task's headroom without best-effort tasks.
    pub(crate) fn learn_usual_headroom(&mut self, image: &Image, own: f64) {
        let usual = &mut self.images.entry(image.clone()).or_default().headroom;
        usual.correct(own - usual.mean, 1.0, LOAD_VARIANCE + usual.variance);
    }

    /// Returns the variance of [`Model::headroom_loss`].
    pub(crate) fn headroom_loss_variance(&self, image: &Image, shares: &Shares) -> f64 {
        match self.images.get(image) {
            Some(sensitivity) => sensitivity.headroom_loss_variance(shares),
            None => shares.iter().map(|(_, share)| INITIAL_VARIANCE * share * share).sum(),
        }
    }

    /// Returns how much of an image's headroom these shares take away.
    pub(crate) fn headroom_loss(&self, image: &Image, shares: &Shares) -> f64 {
        match self.images.get(image) {
            Some(sensitivity) => sensitivity.headroom_loss(shares),
            None => shares.iter().map(|(_, share)| INITIAL_WEIGHT * share).sum(),
        }
    }

    /// Returns a pair's weight and its standard deviation.
    pub(crate) fn weight(&self, image: &Image, best_effort: &Image) -> (f64, f64) {
        let weight = self
            .images
            .get(image)
            .map_or(INITIAL_ESTIMATE, |sensitivity| sensitivity.weight(best_effort));
        (weight.mean, weight.variance.sqrt())
    }

    /// Returns an image's usual headroom without best-effort tasks.
    pub(crate) fn usual_headroom(&self, image: &Image) -> f64 {
        self.images.get(image).map_or(INITIAL_HEADROOM, |sensitivity| sensitivity.headroom.mean)
    }

    /// Returns the index of a latency-critical image, once it has been measured.
    pub(crate) fn image_index(&self, image: &Image) -> Option<ImageIndex> {
        self.images.get_index_of(image)
    }

    /// Returns the interference of a best-effort image with each latency-critical image.
    pub(crate) fn profile(&self, best_effort: &Image) -> Profile {
        let estimates = self.images.values().map(|sensitivity| sensitivity.weight(best_effort));
        let weights: SmallVec<[(f64, f64); 16]> =
            estimates.map(|weight| (weight.mean, weight.variance.sqrt())).collect();
        let mean = match weights.len() {
            0 => INITIAL_WEIGHT,
            known => weights.iter().map(|(mean, _)| mean).sum::<f64>() / known as f64,
        };
        Profile { weights, mean }
    }
}

/// Adds a CPU fraction to an image's share.
pub(crate) fn add_share(shares: &mut Shares, image: &Image, fraction: f64) {
    match shares.iter_mut().find(|(known, _)| known == image) {
        Some((_, sum)) => *sum += fraction,
        None => shares.push((image.clone(), fraction)),
    }
}

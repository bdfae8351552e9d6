//! How much tasks that fill slow tasks that serve, learnt by pairs of images.
//!
//! Pattern answered: most pairs hardly touch each other, a few press hard, and which ones do can't
//! be known beforehand; tails are rough and swing with the load. A queue's response times grow like
//! one over what is left of its capacity, so a tail's inverse falls in proportion to the load, its
//! own and what others press on it. The model therefore works with the *headroom*, the target over
//! the tail: one is just at the target, and each filling image takes away a weight of the pair
//! times the part of the worker's processors that it uses. Weights are followed by a filter of
//! Kalman's kind that keeps a variance for each and no covariances; the task's own load comes from
//! [`crate::load`].

use std::sync::Arc;

use foldhash::HashMap;
use foldhash::fast::RandomState;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::load::Load;
use crate::load::clamp_error;

/// Name of an image.
pub(crate) type Image = Arc<str>;
/// Parts of a worker's processors that filling images use.
pub(crate) type Shares = SmallVec<[(Image, f64); 8]>;

/// Weight that a pair is given before anything is known of it.
const INITIAL_WEIGHT: f64 = 2.0;
/// Variance of a pair's weight before anything is known: weights from none to a dozen were seen.
const INITIAL_VARIANCE: f64 = 16.0;
/// Headroom of an image before anything is known: half the capacity left, target at six times the
/// unloaded tail.
const INITIAL_HEADROOM: f64 = 2.5;
/// Its variance.
const INITIAL_HEADROOM_VARIANCE: f64 = 1.0;
/// Variance of the load of an image's tasks around its usual headroom: loads that swing by half were
/// seen.
const LOAD_VARIANCE: f64 = 1.0;
/// Variance of a reading, beside what isn't known of load and weights: figures are off by a few
/// parts in a hundred, and what fills beside a task changes within the time that they are of.
pub(crate) const SAMPLE_VARIANCE: f64 = 0.04;
/// Added to a variance with each reading, since what tasks do changes with time.
const DRIFT: f64 = 0.002;
/// A smaller part of the processors tells nothing about its image.
const MIN_SHARE: f64 = 0.005;
/// Below this the queue is full: a lower headroom can't be told from this one.
const SATURATED_HEADROOM: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Estimate {
    mean: f64,
    variance: f64,
}

impl Estimate {
    /// Takes in an error of the whole, of which this estimate had the part `share`; `total` is the
    /// variance of the whole.
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

    /// Corrects the weights for an error in the headroom, which falls with each share.
    fn correct(&mut self, error: f64, shares: &Shares, total: f64) {
        for (filling, share) in shares.iter().filter(|(_, share)| *share >= MIN_SHARE) {
            let weight = self.weights.entry(filling.clone()).or_insert(INITIAL_ESTIMATE);
            weight.correct(error, -share, total);
        }
    }

    /// Returns the variance of what these shares take away.
    fn headroom_loss_variance(&self, shares: &Shares) -> f64 {
        shares.iter().map(|(filling, share)| self.weight(filling).variance * share * share).sum()
    }

    /// Corrects the weights for a reading of a task whose own load is known this well.
    fn learn(&mut self, reading: &Sample, own: f64, own_variance: f64) {
        let shares = &reading.shares;
        let error = reading.headroom - (own - self.headroom_loss(shares));
        let total = SAMPLE_VARIANCE + own_variance + self.headroom_loss_variance(shares);
        if !reading.is_saturated() {
            self.correct(clamp_error(error, total), shares, total);
        } else if error < 0.0 {
            self.raise_weights(clamp_error(error, total), shares, total);
        }
    }

    /// Raises weights for a queue that was full: they are at least that high, and no better known.
    fn raise_weights(&mut self, error: f64, shares: &Shares, total: f64) {
        for (filling, share) in shares.iter().filter(|(_, share)| *share >= MIN_SHARE) {
            let weight = self.weights.entry(filling.clone()).or_insert(INITIAL_ESTIMATE);
            weight.mean -= weight.variance * share / total * error;
        }
    }
}

/// One reading of a serving task.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Its target over its tail.
    pub(crate) headroom: f64,
    /// What filled beside it.
    pub(crate) shares: Shares,
}

impl Sample {
    /// Tells whether the queue was full, so that the reading shows no more than that.
    pub(crate) fn is_saturated(&self) -> bool {
        self.headroom <= SATURATED_HEADROOM
    }
}

/// What is known of all pairs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Model {
    images: IndexMap<Image, Sensitivity, RandomState>,
}

/// Index of an image that serves in a model, which forgets none.
pub(crate) type ImageIndex = usize;

/// How hard one image that fills presses on each that serves, looked up once for many workers: a
/// placing pass asks for the same pairs thousands of times.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    /// Weight and standard deviation by [`ImageIndex`].
    weights: SmallVec<[(f64, f64); 16]>,
    mean: f64,
}

impl Profile {
    /// Returns the weight on an image that serves, and its standard deviation.
    pub(crate) fn weight_on(&self, served: Option<ImageIndex>) -> (f64, f64) {
        let weight = served.and_then(|served| self.weights.get(served));
        weight.copied().unwrap_or((INITIAL_ESTIMATE.mean, INITIAL_ESTIMATE.variance.sqrt()))
    }

    /// Returns the mean weight on those that serve.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }
}

impl Model {
    /// Learns from a reading what presses on an image, and how well that is known.
    pub(crate) fn learn(&mut self, image: &Image, reading: &Sample, load: &Load) {
        let serving = self.images.entry(image.clone()).or_default();
        serving.learn(reading, load.level(), load.variance());
    }

    /// Learns an image's usual headroom from that of a task without what fills beside it.
    pub(crate) fn learn_usual_headroom(&mut self, image: &Image, own: f64) {
        let usual = &mut self.images.entry(image.clone()).or_default().headroom;
        usual.correct(own - usual.mean, 1.0, LOAD_VARIANCE + usual.variance);
    }

    /// Returns the variance of [`Model::headroom_loss`].
    pub(crate) fn headroom_loss_variance(&self, image: &Image, shares: &Shares) -> f64 {
        match self.images.get(image) {
            Some(serving) => serving.headroom_loss_variance(shares),
            None => shares.iter().map(|(_, share)| INITIAL_VARIANCE * share * share).sum(),
        }
    }

    /// Returns how much of an image's headroom these shares take away.
    pub(crate) fn headroom_loss(&self, image: &Image, shares: &Shares) -> f64 {
        match self.images.get(image) {
            Some(serving) => serving.headroom_loss(shares),
            None => shares.iter().map(|(_, share)| INITIAL_WEIGHT * share).sum(),
        }
    }

    /// Returns a pair's weight and its standard deviation.
    pub(crate) fn weight(&self, image: &Image, filling: &Image) -> (f64, f64) {
        let weight =
            self.images.get(image).map_or(INITIAL_ESTIMATE, |serving| serving.weight(filling));
        (weight.mean, weight.variance.sqrt())
    }

    /// Returns an image's usual headroom without tasks that fill.
    pub(crate) fn usual_headroom(&self, image: &Image) -> f64 {
        self.images.get(image).map_or(INITIAL_HEADROOM, |serving| serving.headroom.mean)
    }

    /// Returns the index of an image that serves, once it was read.
    pub(crate) fn image_index(&self, image: &Image) -> Option<ImageIndex> {
        self.images.get_index_of(image)
    }

    /// Looks up how hard an image presses on each that serves.
    pub(crate) fn profile(&self, filling: &Image) -> Profile {
        let estimates = self.images.values().map(|serving| serving.weight(filling));
        let weights: SmallVec<[(f64, f64); 16]> =
            estimates.map(|weight| (weight.mean, weight.variance.sqrt())).collect();
        let mean = match weights.len() {
            0 => INITIAL_WEIGHT,
            known => weights.iter().map(|(mean, _)| mean).sum::<f64>() / known as f64,
        };
        Profile { weights, mean }
    }
}

/// Adds a part to an image's share.
pub(crate) fn add_share(shares: &mut Shares, image: &Image, part: f64) {
    match shares.iter_mut().find(|(known, _)| known == image) {
        Some((_, sum)) => *sum += part,
        None => shares.push((image.clone(), part)),
    }
}

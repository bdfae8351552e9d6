//! How much tasks that fill slow tasks that serve, learnt by pairs of images.
//!
//! Pattern answered: most pairs hardly touch each other, a few press hard, and which ones do can't
//! be known beforehand; tails are rough and swing with the load. A queue's response times grow like
//! one over what is left of its capacity, so a tail's inverse falls in proportion to the load, its
//! own and what others press on it. The model therefore works with the *headroom*, the target over
//! the tail: one is just at the target, and each filling image takes away a weight of the pair
//! times the part of the worker's processors that it uses. Weights are followed by a filter of
//! Kalman's kind that keeps a variance for each and no covariances. Each reading is used twice:
//! against the image's usual headroom, and against the same task's reading before, whose load is
//! nearly the same.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Name of an image.
pub(crate) type Image = Arc<str>;
/// Parts of a worker's processors that filling images use.
pub(crate) type Shares = SmallVec<[(Image, f64); 8]>;

/// Weight that a pair is given before anything is known of it.
const FIRST_WEIGHT: f64 = 2.0;
/// Variance of a pair's weight before anything is known: weights from none to a dozen were seen.
const FIRST_VARIANCE: f64 = 16.0;
/// Headroom of an image before anything is known: half the capacity left, target at six times the
/// unloaded tail.
const FIRST_HEADROOM: f64 = 2.5;
/// Its variance.
const HEADROOM_VARIANCE: f64 = 1.0;
/// Variance of a reading around its image's usual headroom, from the load's swing.
const READING_VARIANCE: f64 = 1.0;
/// Variance of the difference of two readings half a second apart.
const STEP_VARIANCE: f64 = 0.3;
/// Added to a variance with each reading, since what tasks do changes with time.
const DRIFT: f64 = 0.002;
/// Below this the queue is full: a lower headroom can't be told from this one.
const FULL: f64 = 0.25;

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

const FIRST: Estimate = Estimate { mean: FIRST_WEIGHT, variance: FIRST_VARIANCE };

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Serving {
    headroom: Estimate,
    weights: HashMap<Image, Estimate>,
}

impl Default for Serving {
    fn default() -> Serving {
        let headroom = Estimate { mean: FIRST_HEADROOM, variance: HEADROOM_VARIANCE };
        Serving { headroom, weights: HashMap::new() }
    }
}

impl Serving {
    fn weight(&self, image: &Image) -> Estimate {
        self.weights.get(image).copied().unwrap_or(FIRST)
    }

    fn pressure(&self, shares: &Shares) -> f64 {
        shares.iter().map(|(image, share)| self.weight(image).mean * share).sum()
    }

    /// Corrects the weights for an error in the headroom, which falls with each share.
    fn correct(&mut self, error: f64, shares: &Shares, noise: f64) {
        let mut total = noise;
        for (filling, share) in shares {
            total += self.weight(filling).variance * share * share;
        }
        for (filling, share) in shares {
            let weight = self.weights.entry(filling.clone()).or_insert(FIRST);
            weight.correct(error, -share, total);
        }
    }

    fn learn_level(&mut self, reading: &Reading) {
        let expected = self.headroom.mean - self.pressure(&reading.shares);
        let error = reading.headroom - expected;
        // A full queue shows no less, however hard it is pressed.
        if reading.headroom <= FULL && error > 0.0 {
            return;
        }
        let total = READING_VARIANCE + self.headroom.variance;
        self.correct(error, &reading.shares, total);
        self.headroom.correct(error, 1.0, total);
    }

    fn learn_step(&mut self, before: &Reading, reading: &Reading) {
        if before.headroom <= FULL || reading.headroom <= FULL {
            return;
        }
        let change = difference(&reading.shares, &before.shares);
        let expected = -self.pressure(&change);
        let error = reading.headroom - before.headroom - expected;
        self.correct(error, &change, STEP_VARIANCE);
    }
}

/// One reading of a serving task.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    /// Its target over its tail.
    pub(crate) headroom: f64,
    /// What filled beside it.
    pub(crate) shares: Shares,
}

/// What is known of all pairs.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Model {
    images: HashMap<Image, Serving>,
}

impl Model {
    /// Learns from a reading, and from what changed since the one before.
    pub(crate) fn learn(&mut self, image: &Image, before: Option<&Reading>, reading: &Reading) {
        let serving = self.images.entry(image.clone()).or_default();
        if let Some(before) = before {
            serving.learn_step(before, reading);
        }
        serving.learn_level(reading);
    }

    /// Returns how much of an image's headroom these shares take away.
    pub(crate) fn pressure(&self, image: &Image, shares: &Shares) -> f64 {
        match self.images.get(image) {
            Some(serving) => serving.pressure(shares),
            None => shares.iter().map(|(_, share)| FIRST_WEIGHT * share).sum(),
        }
    }

    /// Returns a pair's weight and its standard deviation.
    pub(crate) fn weight(&self, image: &Image, filling: &Image) -> (f64, f64) {
        let weight = self.images.get(image).map_or(FIRST, |serving| serving.weight(filling));
        (weight.mean, weight.variance.sqrt())
    }

    /// Returns an image's usual headroom without tasks that fill.
    pub(crate) fn headroom(&self, image: &Image) -> f64 {
        self.images.get(image).map_or(FIRST_HEADROOM, |serving| serving.headroom.mean)
    }

    /// Returns how hard an image presses on those that serve, on average.
    pub(crate) fn press(&self, filling: &Image) -> f64 {
        if self.images.is_empty() {
            return FIRST_WEIGHT;
        }
        let sum: f64 = self.images.values().map(|serving| serving.weight(filling).mean).sum();
        sum / self.images.len() as f64
    }
}

/// Returns the first shares less the second.
fn difference(now: &Shares, before: &Shares) -> Shares {
    let mut shares = now.clone();
    for (image, part) in before {
        add(&mut shares, image, -part);
    }
    shares
}

/// Adds a part to an image's share.
pub(crate) fn add(shares: &mut Shares, image: &Image, part: f64) {
    match shares.iter_mut().find(|(known, _)| known == image) {
        Some((_, sum)) => *sum += part,
        None => shares.push((image.clone(), part)),
    }
}

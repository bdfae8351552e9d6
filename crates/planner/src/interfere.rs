//! How much tasks that fill slow tasks that serve, learnt by pairs of images.
//!
//! Pattern answered: most pairs hardly touch each other, a few press hard, and which ones do can't
//! be known beforehand; tails are noisy and swing with the load. So the logarithm of a tail over
//! its target is taken as a level of the image's own, plus a weight for each pair times the part of
//! the worker's processors that the filling image uses. The weights are followed by a filter of
//! Kalman's kind that keeps a variance for each pair and no covariances: a few dozen readings, a
//! few seconds of a busy cell, tell the pairs that press from those that don't.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

/// Name of an image.
pub(crate) type Image = Arc<str>;
/// Parts of a worker's processors that filling images use.
pub(crate) type Shares = SmallVec<[(Image, f64); 8]>;

/// Weight that a pair is given before anything is known of it: an image that fills a third of a
/// worker then raises a tail by a third.
const FIRST_WEIGHT: f64 = 1.0;
/// Variance of a pair's weight before anything is known: weights from none to seven were seen.
const FIRST_VARIANCE: f64 = 9.0;
/// Variance of one reading: the load's swing and the roughness of the figure, as measured on a
/// cell without any filling task (standard deviation 0.4 to 0.5).
const READING_VARIANCE: f64 = 0.25;
/// Added to a pair's variance with each reading, since what tasks do changes with time.
const DRIFT: f64 = 0.0005;
/// Weight of one reading in an image's own level; a cell gives some hundred a second.
const LEVEL_PART: f64 = 0.01;
/// Level of an image before anything is known: a tail at four tenths of its target.
const FIRST_LEVEL: f64 = -0.9;
/// Spread of an image's level before anything is known.
const FIRST_SPREAD: f64 = 0.35;

#[derive(Clone, Copy, Debug)]
struct Weight {
    mean: f64,
    variance: f64,
}

impl Default for Weight {
    fn default() -> Weight {
        Weight { mean: FIRST_WEIGHT, variance: FIRST_VARIANCE }
    }
}

#[derive(Clone, Debug)]
struct Serving {
    level: f64,
    spread: f64,
    weights: HashMap<Image, Weight>,
}

impl Default for Serving {
    fn default() -> Serving {
        Serving { level: FIRST_LEVEL, spread: FIRST_SPREAD, weights: HashMap::new() }
    }
}

impl Serving {
    fn pressure(&self, shares: &Shares) -> f64 {
        shares.iter().map(|(image, share)| self.weight(image).mean * share).sum()
    }

    fn weight(&self, image: &Image) -> Weight {
        self.weights.get(image).copied().unwrap_or_default()
    }
}

/// What is known of all pairs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Model {
    images: HashMap<Image, Serving>,
}

impl Model {
    /// Learns from one reading: the logarithm of a tail over its target, beside these shares.
    pub(crate) fn learn(&mut self, image: &Image, reading: f64, shares: &Shares) {
        let serving = self.images.entry(image.clone()).or_default();
        let error = reading - serving.level - serving.pressure(shares);
        let mut total = READING_VARIANCE;
        for (filling, share) in shares {
            total += serving.weight(filling).variance * share * share;
        }
        for (filling, share) in shares {
            let weight = serving.weights.entry(filling.clone()).or_default();
            let gain = weight.variance * share / total;
            weight.mean = (weight.mean + gain * error).max(0.0);
            weight.variance = weight.variance * (1.0 - gain * share) + DRIFT;
        }
        let rest = reading - serving.pressure(shares);
        serving.level += LEVEL_PART * (rest - serving.level);
        serving.spread += LEVEL_PART * ((rest - serving.level).abs() - serving.spread);
    }

    /// Returns by how much these shares raise the logarithm of an image's tail.
    pub(crate) fn pressure(&self, image: &Image, shares: &Shares) -> f64 {
        match self.images.get(image) {
            Some(serving) => serving.pressure(shares),
            None => shares.iter().map(|(_, share)| FIRST_WEIGHT * share).sum(),
        }
    }

    /// Returns a pair's weight and its standard deviation.
    pub(crate) fn weight(&self, image: &Image, filling: &Image) -> (f64, f64) {
        let weight = self.images.get(image).map(|serving| serving.weight(filling));
        let weight = weight.unwrap_or_default();
        (weight.mean, weight.variance.sqrt())
    }

    /// Returns an image's usual level without tasks that fill, and how far it swings.
    pub(crate) fn level(&self, image: &Image) -> (f64, f64) {
        match self.images.get(image) {
            Some(serving) => (serving.level, serving.spread),
            None => (FIRST_LEVEL, FIRST_SPREAD),
        }
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

//! Random distributions of the simulations.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

/// A lognormal distribution, for service times and task run times.
#[derive(Clone, Copy, Debug)]
pub struct Lognormal {
    mu: f64,
    sigma: f64,
}

impl Lognormal {
    /// Creates a distribution with a mean and the standard deviation of the logarithm.
    pub fn with_mean(mean: f64, sigma: f64) -> Lognormal {
        Lognormal { mu: mean.ln() - sigma * sigma / 2.0, sigma }
    }

    /// Draws a value, in the unit of the mean.
    pub fn draw(&self, rng: &mut StdRng) -> f64 {
        (self.mu + self.sigma * normal(rng)).exp()
    }
}

/// Draws from the standard normal distribution, by the Box-Muller transform.
pub fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * open_unit(rng).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}

/// Draws the time to the next arrival of a Poisson process.
pub fn interval(rng: &mut StdRng, per_second: f64) -> Duration {
    Duration::from_secs_f64(-open_unit(rng).ln() / per_second)
}

/// Draws from (0, 1], so that its logarithm is finite.
fn open_unit(rng: &mut StdRng) -> f64 {
    1.0 - rng.random::<f64>()
}

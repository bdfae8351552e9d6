//! The hidden behavior of tasks, which the system under test has to find out: real resource usage,
//! real duration and mutual interference.

use std::collections::BTreeSet;
use std::hash::Hasher as _;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Job;
use cowslipchute_ports::worker::Run;

use crate::backend::plan::mix;

/// A factor of one, in thousandths.
const UNIT_PERMILLE: u64 = 1000;

/// The hidden property for which a number is drawn.
#[derive(Clone, Copy, Debug)]
enum Property {
    Size = 1,
    Time = 2,
    Pair = 3,
}

/// The hidden behavior of tasks, which is determined by the seed and the names of jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behavior {
    /// The seed of all draws.
    pub seed: u64,
    /// The maximum slowdown that a task which takes the whole worker adds to another task, in
    /// thousandths.
    pub pair_permille: u32,
    /// The maximum factor by which the usage of a job's tasks differs from the declared one; 1 for
    /// none.
    pub size_spread: u32,
    /// The maximum factor by which the duration of a job's tasks differs from the declared one; 1
    /// for none.
    pub time_spread: u32,
    /// Jobs all of whose runs fail.
    pub failing: BTreeSet<Job>,
}

impl Default for Behavior {
    fn default() -> Behavior {
        Behavior {
            seed: 1,
            pair_permille: 0,
            size_spread: 1,
            time_spread: 1,
            failing: BTreeSet::new(),
        }
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

impl Behavior {
    fn draw(&self, property: Property, words: [&str; 2]) -> u64 {
        let mut number = mix(self.seed ^ property as u64);
        for word in words {
            number = mix(number ^ hash(word));
        }
        number
    }

    /// Draws a factor between `1 / spread` and `spread`, uniformly on a logarithmic scale.
    fn factor(&self, property: Property, spread: u32, job: &str) -> f64 {
        let unit = (self.draw(property, [job, ""]) >> 11) as f64 / (1u64 << 53) as f64;
        f64::from(spread.max(1)).powf(2.0 * unit - 1.0)
    }

    /// Returns the amount that a run uses of its granted amount.
    pub fn used(&self, run: &Run, granted: Amount) -> Amount {
        if self.size_spread <= 1 {
            return granted;
        }
        let factor = self.factor(Property::Size, self.size_spread, &run.job);
        let scale = |amount: u32| (f64::from(amount) * factor).min(f64::from(amount)) as u32;
        Amount {
            cpu_milli: scale(granted.cpu_milli),
            memory_mib: scale(granted.memory_mib),
            accelerators: granted.accelerators,
        }
    }

    /// Returns the duration of a run at full speed.
    pub fn duration(&self, run: &Run, declared: Duration) -> Duration {
        if self.time_spread <= 1 {
            return declared;
        }
        declared.mul_f64(self.factor(Property::Time, self.time_spread, &run.job))
    }

    /// Returns the slowdown of a run by the others on its worker, in thousandths; 1000 for none.
    /// Each of them adds the weight drawn for the pair of jobs, times its fraction of the worker's
    /// processors.
    pub fn slowdown<'a>(
        &self,
        run: &Run,
        others: impl Iterator<Item = (&'a Run, Amount)>,
        capacity: Amount,
    ) -> u64 {
        if self.pair_permille == 0 || capacity.cpu_milli == 0 {
            return UNIT_PERMILLE;
        }
        let added_slowdown = |(other, amount): (&Run, Amount)| {
            let weight = self.draw(Property::Pair, [&run.job, &other.job])
                % (u64::from(self.pair_permille) + 1);
            weight * u64::from(amount.cpu_milli) / u64::from(capacity.cpu_milli)
        };
        UNIT_PERMILLE + others.filter(|(other, _)| *other != run).map(added_slowdown).sum::<u64>()
    }
}

//! How tasks that serve respond on a worker, and for how long those that fill beside them have kept
//! them over their targets.
//!
//! A tail grows like one over what is left of its queue's capacity, which its own users and what
//! fills beside it take away; so tails in tests behave as on real workers, in the simplest form.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;

/// Targets are this many times the tail of a task without any load.
const TARGET_FACTOR: f64 = 6.0;
/// Reported tails are of so much time.
const FIGURE_TIME: Duration = Duration::from_millis(500);
/// Load of a worker's tasks by their own users, in percent.
const USUAL_LOAD: u32 = 40;

/// Load of the tasks that serve on a worker, and what filling images add to it.
#[derive(Clone, Debug)]
pub struct Serving {
    /// Mean load by their own users, in percent.
    pub load: u32,
    /// How far it swings to both sides, in percent.
    pub swing: u32,
    /// How long a swing takes.
    pub period: Duration,
    /// By how much reported tails are off, by turns to both sides, in percent.
    pub rough: u32,
    /// What a filling image that uses all processors adds to the load of the worker's tasks; an image
    /// that isn't named adds all of it.
    pub presses: BTreeMap<String, f64>,
    /// The reported tail of each task, in seconds.
    reported: BTreeMap<Run, f64>,
    /// For how long each task has been over its target because of those that fill, at a stretch.
    over: BTreeMap<Run, Duration>,
    /// The longest such stretch.
    pub longest: Duration,
    /// All of them together.
    pub harmed: Duration,
}

impl Default for Serving {
    fn default() -> Serving {
        Serving {
            load: USUAL_LOAD,
            swing: 0,
            period: Duration::from_secs(20),
            rough: 0,
            presses: BTreeMap::new(),
            reported: BTreeMap::new(),
            over: BTreeMap::new(),
            longest: Duration::ZERO,
            harmed: Duration::ZERO,
        }
    }
}

impl Serving {
    /// Returns the load by the tasks' own users, as a part of their capacity.
    fn own(&self, now: Time) -> f64 {
        let turn = now.as_secs_f64() / self.period.as_secs_f64() * std::f64::consts::TAU;
        (f64::from(self.load) + f64::from(self.swing) * turn.sin()) / 100.0
    }

    fn added(&self, fills: &[(String, f64)]) -> f64 {
        let press = |image: &str| self.presses.get(image).copied().unwrap_or(1.0);
        fills.iter().map(|(image, part)| press(image) * part).sum()
    }

    /// Returns the tail that is reported for a task, of the last half second or so.
    pub fn reported(&self, run: Run, now: Time) -> Duration {
        let tail = self.reported.get(&run).copied().unwrap_or_default();
        let turn = now.as_millis() / FIGURE_TIME.as_millis();
        let off = f64::from(self.rough) / 100.0;
        Duration::from_secs_f64(tail * if turn.is_multiple_of(2) { 1.0 + off } else { 1.0 - off })
    }

    /// Returns a task's tail beside fills that use these parts of the worker's processors.
    fn tail(&self, target: Duration, fills: &[(String, f64)], now: Time) -> Duration {
        let load = self.own(now) + self.added(fills);
        target.div_f64(TARGET_FACTOR * (1.0 - load.min(0.99)))
    }

    /// Lets time pass for a task; what it is over its target counts if it wouldn't be without the
    /// fills.
    pub fn advance(
        &mut self,
        run: Run,
        target: Duration,
        fills: &[(String, f64)],
        now: Time,
        passed: Duration,
    ) {
        let tail = self.tail(target, fills, now);
        let reported = self.reported.entry(run).or_insert(tail.as_secs_f64());
        let part = (passed.as_secs_f64() / FIGURE_TIME.as_secs_f64() * 2.0).min(1.0);
        *reported += (tail.as_secs_f64() - *reported) * part;
        if tail <= target || self.tail(target, &[], now) > target {
            self.over.remove(&run);
            return;
        }
        let over = self.over.entry(run).or_default();
        *over += passed;
        self.longest = self.longest.max(*over);
        self.harmed += passed;
    }
}

//! The tail latency of latency-critical tasks on a worker, and the time for which best-effort tasks
//! made them violate their latency targets.
//!
//! The tail latency is inversely proportional to the free fraction of the task's capacity, which
//! its own load and the interference of best-effort tasks reduce. This is the simplest model in
//! which tails behave as on real workers.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;

/// Ratio of the latency target to the tail latency of a task without any load.
const TARGET_TO_IDLE_TAIL: f64 = 6.0;
/// The time window of reported tail latencies.
const REPORT_WINDOW: Duration = Duration::from_millis(500);
/// The load of a worker's latency-critical tasks by their own users, in percent.
const DEFAULT_LOAD_PERCENT: u32 = 40;

/// The load of the latency-critical tasks on a worker, and the interference of best-effort images.
#[derive(Clone, Debug)]
pub struct Serving {
    /// The mean load by their own users, in percent.
    pub load: u32,
    /// The amplitude of the load's sine wave, in percent.
    pub amplitude: u32,
    /// The period of the sine wave.
    pub period: Duration,
    /// How much later the sine wave begins than the clock.
    pub phase: Duration,
    /// The error of reported tail latencies, alternately above and below, in percent.
    pub error_percent: u32,
    /// The fraction of capacity that a best-effort image adds to the load of the worker's tasks if
    /// it uses all processors; 1 for an image that isn't listed.
    pub interference_weights: BTreeMap<String, f64>,
    /// The reported tail latency of each task, in seconds.
    reported: BTreeMap<Run, f64>,
    /// The time for which each task has been violating its target without interruption because of
    /// best-effort tasks.
    violating: BTreeMap<Run, Duration>,
    /// The longest uninterrupted violation.
    pub longest_violation: Duration,
    /// The total time of all violations.
    pub total_violation: Duration,
    /// The work of best-effort tasks, in seconds of the worker's processors.
    pub best_effort_work: f64,
}

impl Default for Serving {
    fn default() -> Serving {
        Serving {
            load: DEFAULT_LOAD_PERCENT,
            amplitude: 0,
            period: Duration::from_secs(20),
            phase: Duration::ZERO,
            error_percent: 0,
            interference_weights: BTreeMap::new(),
            reported: BTreeMap::new(),
            violating: BTreeMap::new(),
            longest_violation: Duration::ZERO,
            total_violation: Duration::ZERO,
            best_effort_work: 0.0,
        }
    }
}

impl Serving {
    /// Returns the load by the tasks' own users, as a fraction of their capacity.
    fn own_load(&self, now: Time) -> f64 {
        let elapsed = now.as_secs_f64() - self.phase.as_secs_f64();
        let turn = elapsed / self.period.as_secs_f64() * std::f64::consts::TAU;
        (f64::from(self.load) + f64::from(self.amplitude) * turn.sin()) / 100.0
    }

    fn interference(&self, best_effort: &[(String, f64)]) -> f64 {
        let factor = |image: &str| self.interference_weights.get(image).copied().unwrap_or(1.0);
        best_effort.iter().map(|(image, fraction)| factor(image) * fraction).sum()
    }

    /// Returns the reported tail latency of a task, over about the last half second.
    pub fn reported(&self, run: Run, now: Time) -> Duration {
        let tail = self.reported.get(&run).copied().unwrap_or_default();
        let turn = now.as_millis() / REPORT_WINDOW.as_millis();
        let error = f64::from(self.error_percent) / 100.0;
        Duration::from_secs_f64(
            tail * if turn.is_multiple_of(2) { 1.0 + error } else { 1.0 - error },
        )
    }

    /// Returns a task's tail latency beside best-effort images that use these fractions of the
    /// worker's processors.
    fn tail(&self, target: Duration, best_effort: &[(String, f64)], now: Time) -> Duration {
        let load = self.own_load(now) + self.interference(best_effort);
        target.div_f64(TARGET_TO_IDLE_TAIL * (1.0 - load.min(0.99)))
    }

    /// Advances a task by `elapsed`. A violation of its target counts only if it wouldn't occur
    /// without the best-effort images.
    pub fn advance(
        &mut self,
        run: Run,
        target: Duration,
        best_effort: &[(String, f64)],
        now: Time,
        elapsed: Duration,
    ) {
        let tail = self.tail(target, best_effort, now);
        let reported = self.reported.entry(run).or_insert(tail.as_secs_f64());
        let weight = (elapsed.as_secs_f64() / REPORT_WINDOW.as_secs_f64() * 2.0).min(1.0);
        *reported += (tail.as_secs_f64() - *reported) * weight;
        if tail <= target || self.tail(target, &[], now) > target {
            self.violating.remove(&run);
            return;
        }
        let stretch = self.violating.entry(run).or_default();
        *stretch += elapsed;
        self.longest_violation = self.longest_violation.max(*stretch);
        self.total_violation += elapsed;
    }
}

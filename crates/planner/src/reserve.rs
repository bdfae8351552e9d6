//! Room that tasks which last leave to those that don't.
//!
//! Pattern answered: tasks that last come first and stay, until the cell is full of them and the
//! short tasks of equal priority, worth several times as much for each core-second, find no room
//! for the rest of the day. So the processors that short tasks have needed lately, and some more
//! for their bursts, stay free of tasks that last for a moment. Where no short task comes, the
//! reserve fades; and a task that lasts never waits for long beside room that stays free.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Spec;

/// Work of the last so many seconds decides: a few times what a short job takes.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Reserve over the mean need, for bursts and for gaps that are too small to use.
const BURST_FACTOR: f64 = 1.7;
/// Part of the cell reserved before anything is known of short tasks.
const INITIAL_FRACTION: f64 = 0.12;
/// How fast that fades.
const INITIAL_DECAY_TIME: Duration = Duration::from_secs(20);
/// The reserve never takes more of the cell than this: what lasts is also served.
const MAX_FRACTION: f64 = 0.2;

/// What short tasks have needed lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reserve {
    /// Core-seconds, fading.
    work: f64,
    at: Time,
    since: Time,
}

impl Reserve {
    pub(crate) fn open(now: Time) -> Reserve {
        Reserve { work: 0.0, at: now, since: now }
    }

    fn decayed_work(&self, now: Time) -> f64 {
        self.work * decay(now.saturating_sub(self.at), DECAY_TIME)
    }

    /// Counts the work of a job that has come.
    pub(crate) fn add_job(&mut self, now: Time, spec: &Spec) {
        let short = spec.steps.iter().filter(|step| !step.long_running && !step.fills);
        let work = short.map(|step| {
            let cores = f64::from(step.demand.cpu_milli) / 1e3;
            f64::from(step.count) * cores * step.estimate.as_secs_f64()
        });
        self.work = self.decayed_work(now) + work.sum::<f64>();
        self.at = now;
    }

    /// Returns `true` if no job has come for so long.
    pub(crate) fn is_idle_for(&self, now: Time, span: Duration) -> bool {
        now >= self.at + span
    }

    /// Returns the thousandths of a processor to keep free of tasks that last, of `capacity`.
    pub(crate) fn milli(&self, now: Time, capacity: f64) -> f64 {
        let need = self.decayed_work(now) / DECAY_TIME.as_secs_f64() * 1e3 * BURST_FACTOR;
        let first =
            INITIAL_FRACTION * capacity * decay(now.saturating_sub(self.since), INITIAL_DECAY_TIME);
        need.max(first).min(MAX_FRACTION * capacity)
    }
}

fn decay(passed: Duration, memory: Duration) -> f64 {
    (-passed.as_secs_f64() / memory.as_secs_f64()).exp()
}

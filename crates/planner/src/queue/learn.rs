//! Where learnt durations ([`crate::queue::durations`]) meet the runs of the cell.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;

use crate::planner::Planner;
use crate::queue::durations::Distribution;
use crate::queue::durations::Kind;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;

impl Planner {
    /// Learns from a run that has completed. Only runs that this owner has followed from their
    /// start to their end, and that were left to run, show their duration.
    pub(crate) fn learn_duration(&mut self, run: Run, hosted: &Hosted) {
        let Some(queue) = &hosted.queue else { return };
        let is_followed = hosted.is_whole && matches!(hosted.stage, Stage::Running { .. });
        if !is_followed || hosted.long_running || hosted.estimate.is_zero() {
            return;
        }
        let worked = hosted.worked(self.now);
        let job = self.jobs.get_mut(&run.task.job);
        if let Some(step) = job.and_then(|job| job.step_mut(run.task.step_id())) {
            step.longest_run = step.longest_run.max(worked);
        }
        let ratio = worked.as_secs_f64() / hosted.estimate.as_secs_f64();
        let kind = Kind::of(hosted.best_effort);
        let changed = self.durations.record(self.now, queue, kind, ratio);
        let Some([median, tail]) = changed else { return };
        let kind = kind.name();
        let detail = format!("{queue} {kind}: median {median:.2}, tail {tail:.2} of the estimate");
        self.note(LogEvent::DurationsLearnt, None, None, None, detail);
    }

    /// Learns from a job of short tasks that has completed how long it took beyond its actual critical
    /// path. A long tail of durations is part of that path, and not of the delay.
    pub(crate) fn learn_delay(&mut self, job: JobId) {
        let Some(job) = self.jobs.get(&job) else { return };
        let spec = &job.accepted.spec;
        let is_short = spec.schedule.is_none()
            && spec.steps.iter().all(|step| !step.best_effort && !step.long_running);
        let (true, Some(placed_at), Some(path)) = (is_short, job.placed_at, job.actual_path())
        else {
            return;
        };
        let delay = self.now.saturating_sub(placed_at).saturating_sub(path);
        let queue = job.accepted.queue.clone();
        self.durations.record(self.now, &queue, Kind::Delay, delay.as_secs_f64());
    }

    /// Returns the expected remaining time of a short run: by its client's estimate, or as the median
    /// of what is learnt.
    pub(crate) fn expected_remaining(&self, hosted: &Hosted) -> Duration {
        let learnt = self.learnt_remaining(hosted, 0.5);
        learnt.unwrap_or_else(|| {
            let worked = match hosted.stage {
                Stage::Running { since } => self.now.saturating_sub(since),
                _ => Duration::ZERO,
            };
            hosted.estimate.saturating_sub(worked)
        })
    }

    /// Returns the quantile of this rank of the remaining times of runs that have taken as long, if
    /// durations of its queue are known.
    pub(crate) fn learnt_remaining(&self, hosted: &Hosted, rank: f64) -> Option<Duration> {
        Some(self.learnt(hosted)?.remaining(hosted.estimate, hosted.worked(self.now), rank))
    }

    /// Returns the learnt durations of runs like this one, if they are known.
    pub(crate) fn learnt(&self, hosted: &Hosted) -> Option<&Distribution> {
        self.durations.of_queue(hosted.queue.as_ref()?)?.of(hosted.best_effort)
    }
}

//! Log of the steps with a task that found no worker, and of the capacity that is free meanwhile.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::planner::Planner;
use crate::queue::bypass::BYPASS_INTERVAL;

impl Planner {
    /// Logs that a step's tasks wait and what is free, and at an interval that they still wait.
    pub(crate) fn log_wait(&mut self, step: StepId, spec: &Step) {
        let now = self.now;
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        let Some(state) = state else { return };
        if let Some(logged_at) = state.waiting_logged_at {
            if now >= logged_at + BYPASS_INTERVAL && !spec.best_effort {
                state.waiting_logged_at = Some(now);
                self.log_bypass(step, spec);
            }
            return;
        }
        state.waiting_logged_at = Some(now);
        let waiting = state.waiting;
        let on_probation = state.tasks.iter().filter(|task| task.is_on_probation());
        let probation = match on_probation.count() {
            0 => String::new(),
            count => format!("; {count} on probation"),
        };
        let room = self.room_for(step.task(0), spec, &self.service(step.job));
        let detail = format!(
            "step {}: {waiting} waiting {} tasks of {} millicores and {} MiB each; {room}{probation}",
            step.step,
            if spec.best_effort { "best-effort" } else { "reserving" },
            spec.demand.cpu_milli,
            spec.demand.memory_mib,
        );
        self.note(LogEvent::StepWaits, Some(step.job), None, None, detail);
    }
}

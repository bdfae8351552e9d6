//! Workers that crash, and what had been started there.

use std::time::Duration;

use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;

use crate::host::Hosted;
use crate::host::Order;
use crate::host::Stage;
use crate::planner::Planner;
use crate::worker::Contact;
use crate::worker::Worker;
use crate::worker::WorkerId;

impl Hosted {
    /// Tells whether its worker may have begun it.
    fn may_have_begun(&self) -> bool {
        match self.stage {
            Stage::Intended { .. } | Stage::Starting { order: Order::Due(_), unsettled: false } => {
                false
            }
            Stage::Starting { .. }
            | Stage::Running { .. }
            | Stage::Stopping { .. }
            | Stage::Inherited => true,
        }
    }
}

impl Worker {
    /// When it last answered, if it ever did.
    fn last_answer(&self) -> Option<Time> {
        let held = match self.contact {
            Contact::Answering { at } | Contact::Silent { at } => Some(at),
            Contact::Unfenced { .. } => None,
        };
        held.max(self.reading.map(|reading| reading.at))
    }

    /// Returns for how long a run is known to have worked here.
    fn survived(&self, hosted: &Hosted) -> Option<Duration> {
        Some(self.last_answer()?.saturating_sub(hosted.ordered?))
    }
}

impl Planner {
    /// Tells which run had been started last on a worker whose life is over without notice.
    pub(crate) fn note_crash(&mut self, worker: WorkerId) {
        let state = &self.workers[worker];
        let begun = || state.runs.iter().filter(|(_, hosted)| hosted.may_have_begun());
        let youngest: Option<(Run, Option<Duration>)> = begun()
            .max_by_key(|(_, hosted)| hosted.ordered)
            .map(|(run, hosted)| (*run, state.survived(hosted)));
        let name = state.name.clone();
        let count = begun().count();
        let detail = match youngest {
            Some((_, Some(age))) => format!(
                "{count} runs; the youngest was ordered {} ms before the last answer",
                age.as_millis()
            ),
            Some((_, None)) => format!("{count} runs that an earlier owner placed"),
            None => String::from("no runs"),
        };
        let run = youngest.map(|(run, _)| run);
        self.note(Number::WorkerCrashed, run.map(|run| run.task.job), run, Some(name), detail);
    }
}

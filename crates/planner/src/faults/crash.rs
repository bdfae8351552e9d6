//! Detection of tasks that crash the workers which start them.
//!
//! A run that is lost with its worker reports no end, so its task is started elsewhere at once. A
//! task that caused the crash then crashes the next worker too, with everything that runs there. So
//! a crash is counted against the runs that began just before it, whose tasks become suspects. Most
//! of them didn't cause the crash and are cleared once they have run for a while elsewhere;
//! suspects aren't placed together on a worker if that can be avoided. A task that is one crash
//! short of [`CRASH_LIMIT`] in a row is on *probation* ([`crate::faults::probation`]): it is started on a
//! worker where nothing else has begun recently, and nothing else begins there for a while. A crash
//! then counts against this task alone, and its job is ended as crashed.
//!
//! While machines crash by themselves one after the other, some tasks meet several of these crashes
//! in a row. In such a *storm* a crash says little about the runs that it hit: only what began just
//! before counts, and a job is ended after as many crashes as the limit on starts allows.
//!
//! Incarnations that end with notice (a drain, maintenance) aren't counted, nor are workers that
//! can't be reached, since they may be partitioned. The counts are part of the job's record, so
//! they outlive the owner.

use std::collections::BinaryHeap;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::StepId;

use crate::placement::candidate::Candidate;
use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::workers::host::Command;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Crashes in a row after which a job is ended as crashed, if the last one is conclusive.
const CRASH_LIMIT: usize = 3;
/// Starts beyond [`CRASH_LIMIT`] that are allowed for a task that crashes its workers.
const EXTRA_STARTS: usize = 2;
/// Maximum number of crashes that are counted against a task.
pub(crate) const MAX_CRASHES: usize = CRASH_LIMIT + EXTRA_STARTS;
/// Number of other machines with an unexplained crash within [`STORM_WINDOW`] that make a storm:
/// more than a few tasks that crash their workers account for before they are suspects.
const STORM_MACHINES: usize = 8;
/// Age of the oldest crash that counts towards a storm.
const STORM_WINDOW: Duration = Duration::from_secs(10);
/// Time within which crashes of several machines may have one cause.
const CORRELATION_WINDOW: Duration = Duration::from_millis(200);
/// A worker that is known to have survived a start for this long may have crashed for another
/// reason.
pub(crate) const SURVIVAL_THRESHOLD: Duration = Duration::from_millis(100);
/// Maximum delay of the response to a heartbeat by a worker with a task on probation.
pub(crate) const PROBATION_HEARTBEAT_WAIT: Duration = Duration::from_millis(75);
/// A worker that survives a start for this long did not crash because of the start itself.
pub(crate) const START_CRASH_WINDOW: Duration = Duration::from_millis(500);
/// Time during which nothing else begins beside a task on probation. In a small cell other jobs may
/// have to wait that long, so it stays well below the seconds within which every task starts.
const PROBATION_ISOLATION: Duration = Duration::from_millis(1000);
/// Running time without a crash after which a task is no longer a suspect.
const CLEARED_AFTER: Duration = Duration::from_millis(1500);
/// Time for which a crash counts against the machine.
pub(crate) const MACHINE_CRASH_WINDOW: Duration = Duration::from_secs(20);
/// A worker that answered this shortly before a start which it left unanswered was alive when the
/// start was sent.
const LIVENESS_WINDOW: Duration = Duration::from_millis(100);

/// Strength of the evidence that a run caused the crash of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// It is unknown whether and when the run began: its worker has never listed it to this owner,
    /// and a previous owner placed it or its start is unanswered. Or there is a storm.
    Unconfirmed,
    /// Another run may have caused the crash, the worker may have survived the start, or another
    /// machine crashed at the same moment.
    Circumstantial,
    /// Only the run explains the crash.
    Conclusive,
}

impl Evidence {
    /// Returns how many crashes in a row end a job, given the evidence of the last one.
    fn crash_limit(self) -> usize {
        match self {
            Evidence::Conclusive => CRASH_LIMIT,
            Evidence::Circumstantial => CRASH_LIMIT + 1,
            Evidence::Unconfirmed => CRASH_LIMIT + EXTRA_STARTS,
        }
    }
}

/// The last crash of a machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash {
    pub(crate) at: Time,
    /// Whether the crash is attributed to a run.
    attributed: bool,
    /// Whether it is, or a suspect may have caused it.
    explained: bool,
}

impl Hosted {
    /// Returns `true` if the worker may have begun the run.
    fn may_have_begun(&self) -> bool {
        if self.carried_over {
            return false;
        }
        match self.stage {
            Stage::Intended { .. }
            | Stage::Starting { command: Command::Due(_), unsettled: false } => false,
            Stage::Starting { .. }
            | Stage::Running { .. }
            | Stage::Stopping { .. }
            | Stage::Inherited => true,
        }
    }

    /// Returns `true` if the run is about to be started.
    pub(crate) fn is_starting(&self) -> bool {
        matches!(self.stage, Stage::Intended { .. } | Stage::Starting { .. })
    }

    /// Returns `true` if the start is to be resent as a liveness probe, which is harmless: the
    /// response to a heartbeat may take longer.
    pub(crate) fn needs_probe(&self) -> bool {
        is_on_probation(self.crashes) && !self.probed && matches!(self.stage, Stage::Running { .. })
    }

    /// Returns `true` if the run has been running for at least `span`.
    fn has_run_for(&self, span: Duration, now: Time) -> bool {
        matches!(self.stage, Stage::Running { since } if now >= since + span)
    }
}

impl Task {
    /// Counts a failed run; returns `true` if the task may not be started again. After
    /// [`CRASH_LIMIT`] crashes, a failed run counts like a crash of its worker.
    pub(crate) fn count_failed_run(&mut self, attempt: id::Attempt) -> bool {
        if self.crashed.len() >= CRASH_LIMIT && !self.crashed.contains(&attempt) {
            self.crashed.push(attempt);
        }
        self.crashed.len() >= CRASH_LIMIT + EXTRA_STARTS
    }

    /// Returns `true` if the next crash of its worker may end the job.
    pub(crate) fn is_on_probation(&self) -> bool {
        is_on_probation(self.crashed.len())
    }
}

/// Returns the latest time at which a run can have begun, if it is known. Until their worker has
/// listed them, it is unknown for a run whose start is unanswered, which may be carried out at any
/// time, and for a run that a previous owner placed.
fn known_start(hosted: &Hosted) -> Option<Time> {
    match hosted.stage {
        Stage::Starting { unsettled: true, .. } => None,
        Stage::Running { since } => Some(hosted.start_first_sent.unwrap_or(since)),
        _ => hosted.start_first_sent,
    }
}

fn is_on_probation(crashes: usize) -> bool {
    crashes + 1 >= CRASH_LIMIT
}

impl Worker {
    /// Returns how long the worker is known to have survived the start of a run: zero for a run
    /// that a previous owner placed and that was never listed to this one.
    fn survival_time(&self, hosted: &Hosted) -> Duration {
        let (Some(answer), Some(started)) = (self.last_answer, known_start(hosted)) else {
            return Duration::ZERO;
        };
        answer.saturating_sub(started)
    }

    /// Returns `true` if any task on the worker is on probation.
    pub(crate) fn has_task_on_probation(&self) -> bool {
        self.suspects > 0 && self.runs.values().any(|hosted| is_on_probation(hosted.crashes))
    }

    /// Returns `true` if a task on probation has begun on the worker too recently for anything else
    /// to begin, except for other tasks of its step if they share their probation.
    pub(crate) fn has_recent_probation_start(&self, step: StepId, shares: bool, now: Time) -> bool {
        let is_member = |run: &Run| shares && run.task.step_id() == step;
        let is_recent = |hosted: &Hosted| {
            is_on_probation(hosted.crashes) && !hosted.has_run_for(PROBATION_ISOLATION, now)
        };
        self.suspects > 0
            && self.runs.iter().any(|(run, hosted)| is_recent(hosted) && !is_member(run))
    }

    /// Returns the runs that may have crashed the worker: suspects that aren't cleared and runs
    /// that had begun just before, or, if none had, runs that hadn't run for long. In a storm, only
    /// runs that had begun just before.
    fn crash_candidates(&self, is_storm: bool) -> Vec<Run> {
        let within = |span: Duration| {
            self.runs.iter().filter(move |(_, hosted)| {
                hosted.may_have_begun() && self.survival_time(hosted) < span
            })
        };
        let is_suspect = |(_, hosted): &(&Run, &Hosted)| hosted.crashes > 0;
        // A run that began just before explains a crash better than a suspect that had run for a
        // while. A run whose start time is unknown explains nothing.
        let has_known_start = |(_, hosted): &(&Run, &Hosted)| known_start(hosted).is_some();
        let (recent_span, suspect_span) = match within(START_CRASH_WINDOW).find(has_known_start) {
            _ if is_storm => (START_CRASH_WINDOW, START_CRASH_WINDOW),
            Some(_) => (START_CRASH_WINDOW, PROBATION_ISOLATION),
            None => (CLEARED_AFTER, CLEARED_AFTER),
        };
        let suspects = within(suspect_span).filter(is_suspect);
        let others = within(recent_span).filter(|hosted_run| !is_suspect(hosted_run));
        suspects.chain(others).map(|(run, _)| *run).collect()
    }

    /// Returns the evidence of a crash against a run, one of the `candidates` that may have caused
    /// it.
    fn evidence(&self, run: Run, candidates: &[Run], is_correlated: bool) -> Evidence {
        if known_start(&self.runs[&run]).is_none() {
            Evidence::Unconfirmed
        } else if self.blames_single_job(candidates) && !is_correlated {
            Evidence::Conclusive
        } else {
            Evidence::Circumstantial
        }
    }

    /// Returns `true` if the crash counts against a single job: no run of another job may have
    /// caused it, no uncleared suspect of another job was there, and the worker was alive when this
    /// owner started the run.
    fn blames_single_job(&self, candidates: &[Run]) -> bool {
        let Some(first) = candidates.first() else { return false };
        let crashed_at_start = |run: &Run| {
            let start = self.runs[run].start_first_sent.zip(self.last_answer);
            start.is_some_and(|(sent, answer)| {
                sent <= answer + LIVENESS_WINDOW && answer < sent + SURVIVAL_THRESHOLD
            })
        };
        let is_other_job = |run: &Run| run.task.job != first.task.job;
        let mut suspects = self.runs.iter().filter(|(_, hosted)| hosted.crashes > 0);
        candidates.iter().all(crashed_at_start)
            && !candidates.iter().any(is_other_job)
            && !suspects.any(|(run, _)| is_other_job(run))
    }
}

impl Planner {
    /// Handles the end of a worker's incarnation. If it was a crash, counts it against the runs
    /// that may have caused it; returns the jobs that are to be ended for it once their runs there
    /// have ended.
    pub(crate) fn count_crash(&mut self, worker: WorkerId) -> Vec<JobId> {
        let state = &self.workers[worker];
        if state.draining || state.maintenance_ordered || state.runs.is_empty() {
            return Vec::new();
        }
        self.log_crash(worker);
        let state = &self.workers[worker];
        let is_storm = self.is_crash_storm(state);
        let candidates = state.crash_candidates(is_storm);
        let is_correlated = self.is_correlated(state);
        let evidence = |&run: &Run| match is_storm {
            true => Evidence::Unconfirmed,
            false => state.evidence(run, &candidates, is_correlated),
        };
        let evidence: Vec<Evidence> = candidates.iter().map(evidence).collect();
        let attributed = evidence.contains(&Evidence::Conclusive);
        let explained = attributed || candidates.iter().any(|run| state.runs[run].crashes > 0);
        self.record_crash(worker, attributed, explained);
        let mut to_end = Vec::new();
        for (run, evidence) in candidates.into_iter().zip(evidence) {
            if self.count_crash_against(worker, run, evidence) && !to_end.contains(&run.task.job) {
                to_end.push(run.task.job);
            }
        }
        to_end
    }

    /// Returns `true` if a worker's crash may have the same cause as that of another machine just
    /// before, which isn't attributed to a run.
    fn is_correlated(&self, worker: &Worker) -> bool {
        self.crashed_at.iter().any(|(address, crash)| {
            let is_other = worker.address != Some(*address);
            is_other && !crash.attributed && self.now < crash.at + CORRELATION_WINDOW
        })
    }

    /// Returns `true` if other machines than a worker's crash by themselves one after the other.
    fn is_crash_storm(&self, worker: &Worker) -> bool {
        let unexplained = self.crashed_at.iter().filter(|(address, crash)| {
            let is_other = worker.address != Some(**address);
            is_other && !crash.explained && self.now < crash.at + STORM_WINDOW
        });
        unexplained.count() >= STORM_MACHINES
    }

    fn record_crash(&mut self, worker: WorkerId, attributed: bool, explained: bool) {
        let now = self.now;
        let Some(address) = self.workers[worker].address else { return };
        self.crashed_at.retain(|_, crash| now < crash.at + MACHINE_CRASH_WINDOW);
        self.crashed_at.insert(address, Crash { at: now, attributed, explained });
    }

    /// Counts a crash against a task; returns `true` if its job is to be ended as crashed.
    fn count_crash_against(&mut self, worker: WorkerId, run: Run, evidence: Evidence) -> bool {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return false };
        let current = |task: &Task| task.place == Place::At(worker) && task.attempt == run.attempt;
        if job.end.is_some() || !job.task(run.task).is_some_and(current) {
            return false;
        }
        let task = job.task_mut(run.task);
        if task.crashed.contains(&run.attempt) {
            // Counted by a previous owner that crashed before it placed the task again.
            return false;
        }
        task.crashed.push(run.attempt);
        let count = task.crashed.len();
        let is_enough = count >= evidence.crash_limit();
        let name = self.workers[worker].name.clone();
        self.mark_dirty(run.task.job);
        let detail = format!("{count} of {CRASH_LIMIT}");
        self.note(LogEvent::TaskSuspected, Some(run.task.job), Some(run), Some(name), detail);
        is_enough
    }

    /// Withdraws a crash from a task whose run has begun on the next incarnation only.
    pub(crate) fn withdraw_crash(&mut self, run: Run) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let is_counted = |task: &Task| task.crashed.contains(&run.attempt);
        if job.end.is_none() && job.task(run.task).is_some_and(is_counted) {
            job.task_mut(run.task).crashed.retain(|attempt| *attempt != run.attempt);
            self.mark_dirty(run.task.job);
            self.note(LogEvent::CrashWithdrawn, Some(run.task.job), Some(run), None, "");
        }
    }

    /// Ends jobs whose tasks crash workers.
    pub(crate) fn end_crashed_jobs(&mut self, jobs: Vec<JobId>) {
        for job in jobs {
            if self.jobs.get(&job).is_some_and(|job| job.end.is_none()) {
                self.finish_job(job, State::Crashed);
            }
        }
    }

    /// Clears the suspects on a worker that have run there for long enough.
    pub(crate) fn clear_suspects(&mut self, worker: WorkerId) {
        let now = self.now;
        if self.workers[worker].suspects == 0 {
            return;
        }
        let cleared = self.workers[worker]
            .runs_where(|hosted| hosted.crashes > 0 && hosted.has_run_for(CLEARED_AFTER, now));
        self.room_changed |= !cleared.is_empty();
        for run in cleared {
            self.workers[worker].clear_suspect(run);
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            if job.end.is_none() && job.task(run.task).is_some() {
                job.task_mut(run.task).crashed.clear();
                self.mark_dirty(run.task.job);
            }
        }
    }

    /// Chooses a worker without a suspect for a suspect that isn't on probation, if one of the
    /// candidates has none and still has room. A crashed rack leaves hundreds of suspects, so only
    /// the chosen worker is scored again.
    pub(crate) fn choose_without_suspect(
        &self,
        request: &Request<'_>,
        candidates: &BinaryHeap<Candidate>,
    ) -> Option<WorkerId> {
        let without_suspect =
            candidates.iter().filter(|candidate| self.workers[candidate.worker].suspects == 0);
        let best = without_suspect.max()?.worker;
        self.may_take(&self.workers[best], request).then_some(best)
    }

    /// Logs which run was started last on a worker whose incarnation has ended without notice.
    fn log_crash(&mut self, worker: WorkerId) {
        let state = &self.workers[worker];
        let started = || state.runs.iter().filter(|(_, hosted)| hosted.may_have_begun());
        let newest = started().max_by_key(|(_, hosted)| hosted.start_first_sent);
        let count = started().count();
        let detail = match newest {
            Some((_, hosted)) if hosted.start_first_sent.is_some() => format!(
                "{count} runs; the newest start was sent {} ms before the last answer",
                state.survival_time(hosted).as_millis()
            ),
            Some(_) => format!("{count} runs that a previous owner placed"),
            None => String::from("no runs"),
        };
        let run = newest.map(|(run, _)| *run);
        let name = state.name.clone();
        self.note(LogEvent::WorkerCrashed, run.map(|run| run.task.job), run, Some(name), detail);
    }
}

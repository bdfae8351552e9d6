//! Tasks that crash the workers which start them.
//!
//! Pattern answered: a worker dies of what it was given. Nobody lists an end for the run, so its task looks like
//! a victim, is started elsewhere at once and takes the next worker down, with all that runs there. So a crash is
//! counted against whatever had begun just before it. Most of that are victims, which are cleared once they have
//! worked for a while elsewhere; they aren't started side by side if that can be helped. A task that is one crash
//! short of [`CRASH_LIMIT`] in a row is on *probation* ([`crate::probation`]): it is started on a worker where nothing else
//! has begun just now, and nothing else begins there until it is cleared. A crash then speaks against it alone, and its
//! job is given up.
//!
//! Not counted are incarnations that end with notice (a drain, an upkeep), and workers that can't be reached: those may
//! be cut off. The counts are part of the job's record, so they outlive the owner.

use std::collections::BinaryHeap;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::StepId;

use crate::candidate::Candidate;
use crate::fit::Request;
use crate::host::Command;
use crate::host::Hosted;
use crate::host::Stage;
use crate::job::Place;
use crate::job::Task;
use crate::planner::Planner;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Crashes in a row after which a job is given up, if the last one is conclusive.
const CRASH_LIMIT: usize = 3;
/// Starts of a task that crashes its workers that are allowed after [`CRASH_LIMIT`].
const EXTRA_STARTS: usize = 2;
/// Crashes of several machines within this span may have one cause.
const CORRELATION_WINDOW: Duration = Duration::from_millis(200);
/// A worker that is known to have outlived a start for this long may well have crashed by itself.
pub(crate) const SURVIVAL_THRESHOLD: Duration = Duration::from_millis(100);
/// How long a worker that has a task on probation may let a hold wait.
pub(crate) const PROBATION_HEARTBEAT_WAIT: Duration = Duration::from_millis(75);
/// A worker that outlives a start by this long did not die of the start itself.
pub(crate) const START_CRASH_WINDOW: Duration = Duration::from_millis(500);
/// How long nothing else begins beside a task on probation. Jobs of a small cell wait for that long wherever they
/// would go, so it stays well below the seconds within which every task starts.
const PROBATION_ISOLATION: Duration = Duration::from_millis(1000);
/// A task that has worked for this long without a crash is no suspect any more.
const CLEARED_AFTER: Duration = Duration::from_millis(1500);
/// How long a crash speaks against the machine.
pub(crate) const MACHINE_CRASH_WINDOW: Duration = Duration::from_secs(20);
/// A worker that answered this long before a start which it didn't answer was alive when the start was sent.
const LIVENESS_WINDOW: Duration = Duration::from_millis(100);

/// How far a crash of its worker speaks against a run that may have caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Nobody knows when the run began, if it did: its worker has never listed it to this owner, and an earlier owner placed
    /// it or its start went unanswered.
    Unconfirmed,
    /// The run isn't the only one that may have caused it, its worker may have outlived its start, or another machine crashed
    /// at the same moment.
    Circumstantial,
    /// Nothing but the run explains it.
    Conclusive,
}

impl Evidence {
    /// Returns how many crashes in a row are enough to give a job up, the last of which speaks so far against it.
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
    /// Whether a run was shown to have caused it.
    attributed: bool,
}

impl Hosted {
    /// Tells whether its worker may have begun it.
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

    /// Tells whether it is about to be started.
    pub(crate) fn is_starting(&self) -> bool {
        matches!(self.stage, Stage::Intended { .. } | Stage::Starting { .. })
    }

    /// Tells whether its start is to be repeated, which is harmless, to see that its worker has outlived it: the answer
    /// to a hold may wait for longer.
    pub(crate) fn needs_probe(&self) -> bool {
        is_on_probation(self.crashes) && !self.probed && matches!(self.stage, Stage::Running { .. })
    }

    /// Tells whether it has run for so long.
    fn has_run_for(&self, span: Duration, now: Time) -> bool {
        matches!(self.stage, Stage::Running { since } if now >= since + span)
    }
}

impl Task {
    /// Counts a run that ended failed; returns `true` if the task may not be started once more. After [`CRASH_LIMIT`] such a run
    /// counts like one that crashed its worker.
    pub(crate) fn count_failed_run(&mut self, attempt: id::Attempt) -> bool {
        if self.crashed.len() >= CRASH_LIMIT && !self.crashed.contains(&attempt) {
            self.crashed.push(attempt);
        }
        self.crashed.len() >= CRASH_LIMIT + EXTRA_STARTS
    }

    /// Tells whether the next crash under it may be the last.
    pub(crate) fn is_on_probation(&self) -> bool {
        is_on_probation(self.crashed.len())
    }
}

/// Returns when a run was begun at the latest, if that is known: neither of one whose start went unanswered, which may be
/// carried out at any time, nor of one that an earlier owner placed, until their worker has listed them.
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
    /// Returns for how long it is known to have outlived the start of a run; none at all for one that an earlier
    /// owner placed and that was never listed to this one.
    fn survival_time(&self, hosted: &Hosted) -> Duration {
        let (Some(answer), Some(begun)) = (self.last_answer, known_start(hosted)) else {
            return Duration::ZERO;
        };
        answer.saturating_sub(begun)
    }

    /// Tells whether any task is on probation there.
    pub(crate) fn has_task_on_probation(&self) -> bool {
        self.suspects > 0 && self.runs.values().any(|hosted| is_on_probation(hosted.crashes))
    }

    /// Returns `true` if a task on probation has begun there too lately for anything else to begin, unless it is another
    /// member of a gang.
    pub(crate) fn has_recent_probation_start(&self, step: StepId, gang: bool, now: Time) -> bool {
        let member = |run: &Run| gang && run.task.step_id() == step;
        let keeps = |hosted: &Hosted| {
            is_on_probation(hosted.crashes) && !hosted.has_run_for(PROBATION_ISOLATION, now)
        };
        self.suspects > 0 && self.runs.iter().any(|(run, hosted)| keeps(hosted) && !member(run))
    }

    /// Returns the runs that may have crashed it: suspects that aren't cleared, and beside them what had begun just
    /// before; where nothing had, what hadn't worked for long.
    fn crash_candidates(&self) -> Vec<Run> {
        let within = |span: Duration| {
            self.runs.iter().filter(move |(_, hosted)| {
                hosted.may_have_begun() && self.survival_time(hosted) < span
            })
        };
        let is_suspect = |(_, hosted): &(&Run, &Hosted)| hosted.crashes > 0;
        // What has begun just before explains a crash better than a suspect that had worked for a while. A run of which
        // nobody knows when it began explains nothing.
        let is_dated = |(_, hosted): &(&Run, &Hosted)| known_start(hosted).is_some();
        let (young, suspected) = match within(START_CRASH_WINDOW).find(is_dated) {
            Some(_) => (START_CRASH_WINDOW, PROBATION_ISOLATION),
            None => (CLEARED_AFTER, CLEARED_AFTER),
        };
        let suspects = within(suspected).filter(is_suspect);
        let fresh = within(young).filter(|row| !is_suspect(row));
        suspects.chain(fresh).map(|(run, _)| *run).collect()
    }

    /// Returns how far its crash speaks against a run, one of those that may have caused it.
    fn evidence(&self, run: Run, candidates: &[Run], is_coincident: bool) -> Evidence {
        if known_start(&self.runs[&run]).is_none() {
            Evidence::Unconfirmed
        } else if self.blames_single_job(candidates) && !is_coincident {
            Evidence::Conclusive
        } else {
            Evidence::Circumstantial
        }
    }

    /// Tells whether its crash speaks against one job alone: nothing else may have caused it, nor was a suspect of
    /// another job there that isn't cleared; and it was alive when this owner started the run.
    fn blames_single_job(&self, candidates: &[Run]) -> bool {
        let Some(first) = candidates.first() else { return false };
        let died_of_it = |run: &Run| {
            let start = self.runs[run].start_first_sent.zip(self.last_answer);
            start.is_some_and(|(ordered, answer)| {
                ordered <= answer + LIVENESS_WINDOW && answer < ordered + SURVIVAL_THRESHOLD
            })
        };
        let other = |run: &Run| run.task.job != first.task.job;
        let mut suspects = self.runs.iter().filter(|(_, hosted)| hosted.crashes > 0);
        candidates.iter().all(died_of_it)
            && !candidates.iter().any(other)
            && !suspects.any(|(run, _)| other(run))
    }
}

impl Planner {
    /// A worker's incarnation is over. Counts the crash against what may have caused it, if it was one; returns the jobs
    /// that are to be given up for it once their runs there have ended.
    pub(crate) fn count_crash(&mut self, worker: WorkerId) -> Vec<JobId> {
        let state = &self.workers[worker];
        if state.draining || state.maintenance_ordered || state.runs.is_empty() {
            return Vec::new();
        }
        self.log_crash(worker);
        let state = &self.workers[worker];
        let candidates = state.crash_candidates();
        let is_coincident = self.is_correlated(state);
        let evidence: Vec<Evidence> =
            candidates.iter().map(|&run| state.evidence(run, &candidates, is_coincident)).collect();
        self.record_crash(worker, evidence.contains(&Evidence::Conclusive));
        let mut over = Vec::new();
        for (run, evidence) in candidates.into_iter().zip(evidence) {
            if self.count_crash_against(worker, run, evidence) && !over.contains(&run.task.job) {
                over.push(run.task.job);
            }
        }
        over
    }

    /// Returns `true` if a worker's crash may share its cause with that of another machine just before, which no run was
    /// shown to have caused.
    fn is_correlated(&self, worker: &Worker) -> bool {
        self.crashed_at.iter().any(|(address, crash)| {
            let is_other = worker.address != Some(*address);
            is_other && !crash.attributed && self.now < crash.at + CORRELATION_WINDOW
        })
    }

    fn record_crash(&mut self, worker: WorkerId, attributed: bool) {
        let now = self.now;
        let Some(address) = self.workers[worker].address else { return };
        self.crashed_at.retain(|_, crash| now < crash.at + MACHINE_CRASH_WINDOW);
        self.crashed_at.insert(address, Crash { at: now, attributed });
    }

    /// Counts a crash against a task; returns `true` if its job is to be given up.
    fn count_crash_against(&mut self, worker: WorkerId, run: Run, evidence: Evidence) -> bool {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return false };
        let current = |task: &Task| task.place == Place::At(worker) && task.attempt == run.attempt;
        if job.end.is_some() || !job.task(run.task).is_some_and(current) {
            return false;
        }
        let task = job.task_mut(run.task);
        if task.crashed.contains(&run.attempt) {
            // Counted by an earlier owner, which didn't live to place the task again.
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

    /// Gives jobs up whose tasks crash workers.
    pub(crate) fn end_crashed_jobs(&mut self, jobs: Vec<JobId>) {
        for job in jobs {
            if self.jobs.get(&job).is_some_and(|job| job.end.is_none()) {
                self.finish_job(job, State::Crashed);
            }
        }
    }

    /// Clears the suspects on a worker that have worked there for long enough.
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

    /// Chooses a worker without another suspect for one that isn't on probation, if there is any among the rated ones
    /// that still has room. A crashed rack leaves hundreds of suspects, so no worker is rated anew but the chosen.
    pub(crate) fn choose_without_suspect(
        &self,
        request: &Request<'_>,
        rated: &BinaryHeap<Candidate>,
    ) -> Option<WorkerId> {
        let unshared = rated.iter().filter(|rated| self.workers[rated.worker].suspects == 0);
        let best = unshared.max()?.worker;
        self.may_take(&self.workers[best], request).then_some(best)
    }

    /// Tells which run had been started last on a worker whose incarnation is over without notice.
    fn log_crash(&mut self, worker: WorkerId) {
        let state = &self.workers[worker];
        let begun = || state.runs.iter().filter(|(_, hosted)| hosted.may_have_begun());
        let youngest = begun().max_by_key(|(_, hosted)| hosted.start_first_sent);
        let count = begun().count();
        let detail = match youngest {
            Some((_, hosted)) if hosted.start_first_sent.is_some() => format!(
                "{count} runs; the youngest was ordered {} ms before the last answer",
                state.survival_time(hosted).as_millis()
            ),
            Some(_) => format!("{count} runs that an earlier owner placed"),
            None => String::from("no runs"),
        };
        let run = youngest.map(|(run, _)| *run);
        let name = state.name.clone();
        self.note(LogEvent::WorkerCrashed, run.map(|run| run.task.job), run, Some(name), detail);
    }
}

//! Jobs that are placed ahead of their rank because their queue or size has been below its share
//! ([`crate::queue::share`]), if the deployment turned the feature on.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;

use crate::planner::Planner;
use crate::queue::job::Job;
use crate::queue::share::Arrival;
use crate::queue::share::Change;
use crate::queue::share::Group;
use crate::queue::share::Outcome;
use crate::workers::worker::WorkerId;

impl Planner {
    /// Adds a job to the account of its queue and size. Service tasks have capacity of their own, and
    /// occurrences of a schedule have no arrival that could be behind, so neither is counted.
    pub(crate) fn add_to_share(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.end.is_none()) else { return };
        let is_counted = !job.has_service_step() && job.accepted.spec.schedule.is_none();
        if !self.settings.features.queue_shares || !is_counted {
            return;
        }
        let group = Group { priority: job.policy.priority, service: self.service(id) };
        let queue = job.accepted.queue.clone();
        let arrival = Arrival { queue, group, work: job.work, milli: max_milli(job) };
        self.shares.arrive(self.now, id, arrival);
    }

    /// Books the outcome of a job that ends.
    pub(crate) fn settle_share(&mut self, id: JobId, state: State) {
        let Some(job) = self.jobs.get(&id) else { return };
        let elapsed = self.now.saturating_sub(job.since);
        let outcome = match state {
            State::Completed if elapsed <= job.objective() => Outcome::InTime,
            State::Completed => Outcome::Late,
            _ => Outcome::Withdrawn,
        };
        self.shares.settle(self.now, id, outcome);
    }

    /// Books the waiting jobs that have become late, and decides which jobs go ahead.
    pub(crate) fn update_shares(&mut self, open: &[(id::Service, Vec<WorkerId>)]) {
        if !self.settings.features.queue_shares {
            return;
        }
        let (late, mut candidates) = self.open_by_lateness();
        for id in late {
            self.shares.settle(self.now, id, Outcome::Late);
        }
        for (queue, class, change) in self.shares.update(self.now) {
            self.note_share(&queue, class.name(), change);
        }
        let groups = self.shares.groups_ahead();
        if groups.is_empty() {
            return;
        }
        candidates.sort_by_key(|id| self.jobs[id].arrival);
        for group in groups {
            let workers = open.iter().filter(|(service, _)| *service == group.service);
            let milli = workers.flat_map(|(_, ids)| ids).map(|&id| self.unreserved_milli(id)).sum();
            self.shares.choose(self.now, &group, &candidates, milli);
        }
    }

    /// Returns the millicores of a worker that aren't held by service tasks.
    fn unreserved_milli(&self, worker: WorkerId) -> u64 {
        let worker = &self.workers[worker];
        u64::from(worker.capacity.minus(worker.reserved_by_services).cpu_milli)
    }

    /// Returns the waiting jobs whose outcome is open: those that can't be in time any more, and
    /// those that can.
    fn open_by_lateness(&self) -> (Vec<JobId>, Vec<JobId>) {
        let open = self.waiting.iter().copied().filter(|&id| self.shares.is_open(id));
        let known = open.filter(|id| self.jobs.contains_key(id));
        known.partition(|id| self.is_late(&self.jobs[id]))
    }

    fn note_share(&mut self, queue: &str, class: &str, change: Change) {
        let (event, status) = match change {
            Change::Begun(status) => (LogEvent::ShareBehind, status),
            Change::Ended(status) => (LogEvent::ShareRestored, status),
        };
        let since = status.behind_since.unwrap_or(self.now);
        let detail = format!(
            "queue {queue}, size {class}: {:.1} of {:.1} core-seconds in time, {:.2} of them due, deficit {:.1}, {:.1} of {:.1} jobs; behind for {} ms",
            status.balance.served,
            status.balance.arrived,
            status.target,
            status.deficit(),
            status.balance.jobs_served,
            status.balance.jobs,
            self.now.saturating_sub(since).as_millis()
        );
        self.note(event, None, None, None, detail);
    }
}

/// Returns the largest amount of CPU that a step of a job uses at once, in millicores.
fn max_milli(job: &Job) -> u64 {
    let steps = job.accepted.spec.steps.iter();
    let milli = steps.map(|step| u64::from(step.count) * u64::from(step.demand.cpu_milli));
    milli.max().unwrap_or(0)
}

//! First-fit and best-fit schedulers by declared size, with the cell's interface.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_cell::action::Action;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Sequence;
use cowslipchute_ports::list;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Phase;
use cowslipchute_resource::job;
use cowslipchute_resource::policy;

use crate::tasks::policy::Policy;
use crate::tasks::worker_state::Assignment;
use crate::tasks::worker_state::Worker;
use crate::tasks::worker_state::new_worker;
use crate::tasks::worker_state::reclaimable;

/// Unplaceable tasks at the head of the batch queue that end a placement pass.
const BATCH_LOOKAHEAD: usize = 32;
/// Time a task waits for requested evictions before it requests more.
const EVICTION_WAIT: Duration = Duration::from_secs(10);
/// Time beyond the lease before tasks of an unreachable worker are started elsewhere.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Selection among workers with enough free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The first worker.
    First,
    /// The worker with the least free CPU.
    Best,
}

/// A task: its job and its index within the job.
type Key = (id::Job, id::TaskIndex);

#[derive(Debug, Default)]
struct Task {
    attempt: id::Attempt,
    failures: u32,
    checkpoint: Option<id::Checkpoint>,
    evictions_requested: Option<Time>,
}

/// Baseline scheduler of one cell.
#[derive(Debug)]
pub struct Baseline {
    fit: Fit,
    evicts: bool,
    cell: id::Cell,
    epoch: id::Epoch,
    spec: Arc<policy::Spec>,
    view_version: u64,
    workers: Vec<Worker>,
    jobs: BTreeMap<id::Job, Arc<job::Spec>>,
    tasks: BTreeMap<Key, Task>,
    paying_queue: VecDeque<Key>,
    other_queue: VecDeque<Key>,
    timers: BTreeSet<(Time, usize)>,
    pending_exchanges: BTreeMap<Sequence, usize>,
    sequence: Sequence,
}

impl Baseline {
    /// Creates a scheduler without workers and jobs.
    pub fn open(fit: Fit, evicts: bool) -> Baseline {
        Baseline {
            fit,
            evicts,
            cell: "cell".into(),
            epoch: 0,
            spec: Arc::new(policy::Spec::default()),
            view_version: 0,
            workers: Vec::new(),
            jobs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            paying_queue: VecDeque::new(),
            other_queue: VecDeque::new(),
            timers: BTreeSet::new(),
            pending_exchanges: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn update_workers(&mut self, now: Time, view: &list::View) {
        if view.version <= self.view_version {
            return;
        }
        self.view_version = view.version;
        for member in &view.members {
            let known = self.workers.iter().position(|w| w.instance == member.instance);
            match known {
                Some(index) if self.workers[index].incarnation == member.incarnation => {}
                Some(index) => {
                    self.lose_worker(index);
                    self.timers.remove(&(self.workers[index].next_heartbeat, index));
                    self.workers[index] = new_worker(now, member);
                    self.timers.insert((now, index));
                }
                None => {
                    self.workers.push(new_worker(now, member));
                    self.timers.insert((now, self.workers.len() - 1));
                }
            }
        }
    }

    /// Drops all runs of a worker and requeues their tasks.
    fn lose_worker(&mut self, index: usize) {
        self.workers[index].usable = false;
        let runs = std::mem::take(&mut self.workers[index].runs);
        self.workers[index].commands.clear();
        for run in runs.into_keys() {
            self.enqueue((run.job, run.task));
        }
    }

    fn enqueue(&mut self, key: Key) {
        let spec = &self.jobs[&key.0];
        if spec.class == Class::Paying { &mut self.paying_queue } else { &mut self.other_queue }
            .push_back(key);
    }

    fn add_job(&mut self, name: id::Job, spec: Arc<job::Spec>) {
        let count = spec.tasks;
        self.jobs.insert(name.clone(), spec);
        for task in 0..count {
            self.tasks.insert((name.clone(), task), Task::default());
            self.enqueue((name.clone(), task));
        }
    }

    fn handle_report(&mut self, now: Time, sequence: Sequence, report: worker::Report) {
        let Some(index) = self.pending_exchanges.remove(&sequence) else { return };
        let worker = &mut self.workers[index];
        worker.exchange_pending = false;
        if worker.incarnation != report.incarnation {
            return;
        }
        worker.usable = true;
        worker.stamp = Some(report.stamp);
        worker.last_report = now;
        worker.known_version = report.version;
        for held in report.held {
            self.update_run(index, held);
        }
        if self.evicts {
            self.evict_for_slowdown(index, &report.usage);
        }
    }

    fn update_run(&mut self, index: usize, held: worker::Held) {
        let key = (held.run.job.clone(), held.run.task);
        let ended = !matches!(held.phase, Phase::Running | Phase::Stopping);
        if !ended {
            return;
        }
        let worker = &mut self.workers[index];
        if held.phase != Phase::Forgotten {
            worker.acks.push(held.run.clone());
        }
        let Some(assignment) = worker.runs.remove(&held.run) else { return };
        worker.free = worker.free.plus(assignment.amount);
        let task = self.tasks.get_mut(&key).expect("an assigned task is known");
        match held.phase {
            Phase::Done => {
                self.tasks.remove(&key);
                return;
            }
            Phase::Failed { .. } => {
                task.failures += 1;
                if task.failures >= self.jobs[&key.0].failures_max {
                    self.tasks.remove(&key);
                    return;
                }
            }
            Phase::Evicted { checkpoint } => task.checkpoint = checkpoint,
            _ => {}
        }
        self.enqueue(key);
    }

    fn evict_for_slowdown(&mut self, index: usize, usage: &[worker::Usage]) {
        let worker = &mut self.workers[index];
        let slowed = usage.iter().any(|sample| {
            let is_paying =
                worker.runs.get(&sample.run).is_some_and(|run| run.class == Class::Paying);
            is_paying && sample.slowdown_permille > self.spec.slowdown_permille
        });
        if !slowed || worker.runs.values().any(|run| run.evicting) {
            return;
        }
        let others = worker.runs.iter_mut().filter(|(_, run)| run.class != Class::Paying);
        if let Some((name, run)) = others.max_by_key(|(_, run)| run.since) {
            run.evicting = true;
            worker.commands.push(Command::Evict { run: name.clone() });
        }
    }

    fn place_tasks(&mut self, now: Time) {
        for _ in 0..self.paying_queue.len() {
            let Some(key) = self.paying_queue.pop_front() else { break };
            if !self.start_task(now, &key) {
                self.evict_for_task(now, &key);
                self.paying_queue.push_back(key);
            }
        }
        let mut unplaced = Vec::new();
        while unplaced.len() < BATCH_LOOKAHEAD {
            let Some(key) = self.other_queue.pop_front() else { break };
            if !self.start_task(now, &key) {
                unplaced.push(key);
            }
        }
        for key in unplaced.into_iter().rev() {
            self.other_queue.push_front(key);
        }
    }

    fn start_task(&mut self, now: Time, key: &Key) -> bool {
        let spec = &self.jobs[&key.0];
        let amount = spec.amount;
        let mut usable = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.usable && amount.fits_within(worker.free));
        let chosen = match self.fit {
            Fit::First => usable.next(),
            Fit::Best => usable.min_by_key(|(_, worker)| worker.free.cpu_milli),
        };
        let Some(index) = chosen.map(|(index, _)| index) else { return false };
        let task = self.tasks.get_mut(key).expect("a queued task is known");
        task.attempt += 1;
        task.evictions_requested = None;
        let run = worker::Run { job: key.0.clone(), task: key.1, attempt: task.attempt };
        let worker = &mut self.workers[index];
        worker.free = worker.free.minus(amount);
        worker.commands.push(Command::Start {
            run: run.clone(),
            amount,
            checkpoint: task.checkpoint.clone(),
            duration: spec.duration,
        });
        let assignment = Assignment { amount, class: spec.class, evicting: false, since: now };
        worker.runs.insert(run, assignment);
        true
    }

    /// Evicts the newest batch and trial tasks of one worker until the task fits. The worker is the
    /// one with the most free CPU.
    fn evict_for_task(&mut self, now: Time, key: &Key) {
        let task = self.tasks.get_mut(key).expect("a queued task is known");
        if task.evictions_requested.is_some_and(|requested| now < requested + EVICTION_WAIT) {
            return;
        }
        task.evictions_requested = Some(now);
        let amount = self.jobs[&key.0].amount;
        let usable = self.workers.iter_mut().filter(|worker| worker.usable);
        let candidates = usable.filter(|worker| amount.fits_within(reclaimable(worker)));
        let Some(worker) = candidates.max_by_key(|worker| worker.free.cpu_milli) else { return };
        let mut free = worker.free;
        let mut others: Vec<_> = worker
            .runs
            .iter_mut()
            .filter(|(_, run)| run.class != Class::Paying && !run.evicting)
            .collect();
        others.sort_by_key(|(_, run)| std::cmp::Reverse(run.since));
        for (name, run) in others {
            if amount.fits_within(free) {
                return;
            }
            free = free.plus(run.amount);
            run.evicting = true;
            worker.commands.push(Command::Evict { run: name.clone() });
        }
    }

    fn handle_failure(&mut self, now: Time, sequence: Sequence) {
        let Some(index) = self.pending_exchanges.remove(&sequence) else { return };
        let worker = &mut self.workers[index];
        worker.exchange_pending = false;
        if now > worker.last_report + self.spec.lease + LEASE_MARGIN && worker.usable {
            self.lose_worker(index);
        }
    }

    fn send_exchanges(&mut self, now: Time, actions: &mut Vec<Action>) {
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let heartbeat_needed = worker.next_heartbeat <= now || !worker.commands.is_empty();
            if worker.exchange_pending || !heartbeat_needed {
                continue;
            }
            self.sequence += 1;
            worker.exchange_pending = true;
            let grant = worker.stamp.map(|stamp| worker::Grant { stamp, valid: self.spec.lease });
            let exchange = worker::Exchange {
                cell: self.cell.clone(),
                epoch: self.epoch,
                incarnation: worker.incarnation,
                grant,
                commands: std::mem::take(&mut worker.commands),
                acks: std::mem::take(&mut worker.acks),
                known: worker.known_version,
            };
            self.timers.remove(&(worker.next_heartbeat, index));
            worker.next_heartbeat = now + self.spec.heartbeat;
            self.timers.insert((worker.next_heartbeat, index));
            self.pending_exchanges.insert(self.sequence, index);
            actions.push(Action::Exchange {
                sequence: self.sequence,
                worker: worker.instance.clone(),
                address: worker.address,
                exchange,
            });
        }
    }
}

impl Policy for Baseline {
    fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::OwnershipAcquired { epoch, .. } => self.epoch = epoch,
            Event::Policy { spec } => self.spec = spec,
            Event::Job { name, spec } => self.add_job(name, spec),
            Event::Listed { view } => self.update_workers(now, &view),
            Event::Reported { sequence, report } => self.handle_report(now, sequence, report),
            Event::Failed { sequence, .. } => self.handle_failure(now, sequence),
            _ => {}
        }
        self.place_tasks(now);
        self.send_exchanges(now, actions);
    }

    fn next_due(&self) -> Option<Time> {
        let mut free =
            self.timers.iter().filter(|(_, index)| !self.workers[*index].exchange_pending);
        free.next().map(|(time, _)| *time)
    }
}

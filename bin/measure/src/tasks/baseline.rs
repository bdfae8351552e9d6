//! First fit and best fit behind the cell's door: what a plain scheduler by declared sizes does.

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

use crate::tasks::held::Placed;
use crate::tasks::held::Worker;
use crate::tasks::held::could_free;
use crate::tasks::held::fresh;
use crate::tasks::policy::Policy;

/// Tasks at the head of the batch queue that are tried before giving up until room is made.
const HEADS: usize = 32;
/// How long a task waits for evictions made for it before others are made.
const ROOM_WAIT: Duration = Duration::from_secs(10);
/// Beyond the lease, how long until an unheard worker's tasks are started elsewhere.
const MARGIN: Duration = Duration::from_secs(1);

/// How a worker with room is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The first.
    First,
    /// The one that is left with the least room.
    Best,
}

/// A task, by its job and its place there.
type Key = (id::Job, id::TaskIndex);

#[derive(Debug, Default)]
struct Task {
    attempt: id::Attempt,
    failures: u32,
    checkpoint: Option<id::Checkpoint>,
    room_asked: Option<Time>,
}

/// A plain scheduler for one cell.
#[derive(Debug)]
pub struct Baseline {
    fit: Fit,
    evicts: bool,
    cell: id::Cell,
    epoch: id::Epoch,
    spec: Arc<policy::Spec>,
    view: u64,
    workers: Vec<Worker>,
    jobs: BTreeMap<id::Job, Arc<job::Spec>>,
    tasks: BTreeMap<Key, Task>,
    first: VecDeque<Key>,
    rest: VecDeque<Key>,
    timers: BTreeSet<(Time, usize)>,
    exchanges: BTreeMap<Sequence, usize>,
    sequence: Sequence,
}

impl Baseline {
    /// Opens the scheduler with no worker and no job.
    pub fn open(fit: Fit, evicts: bool) -> Baseline {
        Baseline {
            fit,
            evicts,
            cell: "cell".into(),
            epoch: 0,
            spec: Arc::new(policy::Spec::default()),
            view: 0,
            workers: Vec::new(),
            jobs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            first: VecDeque::new(),
            rest: VecDeque::new(),
            timers: BTreeSet::new(),
            exchanges: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn listed(&mut self, now: Time, view: &list::View) {
        if view.version <= self.view {
            return;
        }
        self.view = view.version;
        for member in &view.members {
            let known = self.workers.iter().position(|w| w.instance == member.instance);
            match known {
                Some(index) if self.workers[index].incarnation == member.incarnation => {}
                Some(index) => {
                    self.lose(index);
                    self.timers.remove(&(self.workers[index].due, index));
                    self.workers[index] = fresh(now, member);
                    self.timers.insert((now, index));
                }
                None => {
                    self.workers.push(fresh(now, member));
                    self.timers.insert((now, self.workers.len() - 1));
                }
            }
        }
    }

    /// Takes all runs of a worker for gone and queues their tasks again.
    fn lose(&mut self, index: usize) {
        self.workers[index].usable = false;
        let runs = std::mem::take(&mut self.workers[index].runs);
        self.workers[index].commands.clear();
        for run in runs.into_keys() {
            self.queue((run.job, run.task));
        }
    }

    fn queue(&mut self, key: Key) {
        let spec = &self.jobs[&key.0];
        if spec.class == Class::Paying { &mut self.first } else { &mut self.rest }.push_back(key);
    }

    fn job(&mut self, name: id::Job, spec: Arc<job::Spec>) {
        let count = spec.tasks;
        self.jobs.insert(name.clone(), spec);
        for task in 0..count {
            self.tasks.insert((name.clone(), task), Task::default());
            self.queue((name.clone(), task));
        }
    }

    fn reported(&mut self, now: Time, sequence: Sequence, report: worker::Report) {
        let Some(index) = self.exchanges.remove(&sequence) else { return };
        let worker = &mut self.workers[index];
        worker.busy = false;
        if worker.incarnation != report.incarnation {
            return;
        }
        worker.usable = true;
        worker.stamp = Some(report.stamp);
        worker.heard = now;
        worker.known = report.version;
        for held in report.held {
            self.changed(index, held);
        }
        if self.evicts {
            self.relieve(index, &report.usage);
        }
    }

    fn changed(&mut self, index: usize, held: worker::Held) {
        let key = (held.run.job.clone(), held.run.task);
        let gone = !matches!(held.phase, Phase::Running | Phase::Stopping);
        if !gone {
            return;
        }
        let worker = &mut self.workers[index];
        if held.phase != Phase::Forgotten {
            worker.acks.push(held.run.clone());
        }
        let Some(placed) = worker.runs.remove(&held.run) else { return };
        worker.free = worker.free.plus(placed.amount);
        let task = self.tasks.get_mut(&key).expect("a placed task is known");
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
        self.queue(key);
    }

    fn relieve(&mut self, index: usize, usage: &[worker::Usage]) {
        let worker = &mut self.workers[index];
        let slowed = usage.iter().any(|sample| {
            let paying = worker.runs.get(&sample.run).is_some_and(|run| run.class == Class::Paying);
            paying && sample.slowdown_permille > self.spec.slowdown_permille
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

    fn place(&mut self, now: Time) {
        for _ in 0..self.first.len() {
            let Some(key) = self.first.pop_front() else { break };
            if !self.start(now, &key) {
                self.make_room(now, &key);
                self.first.push_back(key);
            }
        }
        let mut failed = Vec::new();
        while failed.len() < HEADS {
            let Some(key) = self.rest.pop_front() else { break };
            if !self.start(now, &key) {
                failed.push(key);
            }
        }
        for key in failed.into_iter().rev() {
            self.rest.push_front(key);
        }
    }

    fn start(&mut self, now: Time, key: &Key) -> bool {
        let spec = &self.jobs[&key.0];
        let amount = spec.amount;
        let mut usable = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.usable && amount.fits_within(worker.free));
        let found = match self.fit {
            Fit::First => usable.next(),
            Fit::Best => usable.min_by_key(|(_, worker)| worker.free.cpu_milli),
        };
        let Some(index) = found.map(|(index, _)| index) else { return false };
        let task = self.tasks.get_mut(key).expect("a queued task is known");
        task.attempt += 1;
        task.room_asked = None;
        let run = worker::Run { job: key.0.clone(), task: key.1, attempt: task.attempt };
        let worker = &mut self.workers[index];
        worker.free = worker.free.minus(amount);
        worker.commands.push(Command::Start {
            run: run.clone(),
            amount,
            checkpoint: task.checkpoint.clone(),
            duration: spec.duration,
        });
        let placed = Placed { amount, class: spec.class, evicting: false, since: now };
        worker.runs.insert(run, placed);
        true
    }

    /// Evicts the newest batch and trial tasks of the roomiest worker until the task fits.
    fn make_room(&mut self, now: Time, key: &Key) {
        let task = self.tasks.get_mut(key).expect("a queued task is known");
        if task.room_asked.is_some_and(|asked| now < asked + ROOM_WAIT) {
            return;
        }
        task.room_asked = Some(now);
        let amount = self.jobs[&key.0].amount;
        let usable = self.workers.iter_mut().filter(|worker| worker.usable);
        let enough = usable.filter(|worker| amount.fits_within(could_free(worker)));
        let Some(worker) = enough.max_by_key(|worker| worker.free.cpu_milli) else { return };
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

    fn failed(&mut self, now: Time, sequence: Sequence) {
        let Some(index) = self.exchanges.remove(&sequence) else { return };
        let worker = &mut self.workers[index];
        worker.busy = false;
        if now > worker.heard + self.spec.lease + MARGIN && worker.usable {
            self.lose(index);
        }
    }

    fn send(&mut self, now: Time, actions: &mut Vec<Action>) {
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let wanted = worker.due <= now || !worker.commands.is_empty();
            if worker.busy || !wanted {
                continue;
            }
            self.sequence += 1;
            worker.busy = true;
            let grant = worker.stamp.map(|stamp| worker::Grant { stamp, valid: self.spec.lease });
            let exchange = worker::Exchange {
                cell: self.cell.clone(),
                epoch: self.epoch,
                incarnation: worker.incarnation,
                grant,
                commands: std::mem::take(&mut worker.commands),
                acks: std::mem::take(&mut worker.acks),
                known: worker.known,
            };
            self.timers.remove(&(worker.due, index));
            worker.due = now + self.spec.heartbeat;
            self.timers.insert((worker.due, index));
            self.exchanges.insert(self.sequence, index);
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
            Event::Job { name, spec } => self.job(name, spec),
            Event::Listed { view } => self.listed(now, &view),
            Event::Reported { sequence, report } => self.reported(now, sequence, report),
            Event::Failed { sequence, .. } => self.failed(now, sequence),
            _ => {}
        }
        self.place(now);
        self.send(now, actions);
    }

    fn next_due(&self) -> Option<Time> {
        let mut free = self.timers.iter().filter(|(_, index)| !self.workers[*index].busy);
        free.next().map(|(time, _)| *time)
    }
}

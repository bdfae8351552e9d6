//! Summary for the log of the workers that could run a step's tasks: free capacity, and the
//! restrictions that prevent its use.

use std::fmt;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;

use crate::capacity::idle;
use crate::placement::fit::Misfit;
use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::workers::worker::Worker;

/// Obstacles that room for a task may have on an open worker.
const MISFITS: [Misfit; 5] =
    [Misfit::Reserved, Misfit::Isolated, Misfit::Probation, Misfit::Label, Misfit::MaxPerWorker];

/// Reasons why a worker that may be used again soon takes no new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closed {
    Maintenance,
    Quarantine,
    SlowRuns,
    StoppedRuns,
}

impl Closed {
    const ALL: [Closed; 4] =
        [Closed::Maintenance, Closed::Quarantine, Closed::SlowRuns, Closed::StoppedRuns];

    fn text(self) -> &'static str {
        match self {
            Closed::Maintenance => "draining for maintenance",
            Closed::Quarantine => "in quarantine",
            Closed::SlowRuns => "slow",
            Closed::StoppedRuns => "stopping runs",
        }
    }
}

/// Free capacity of a service's workers, in tasks of a step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    /// Number of open workers.
    workers: usize,
    /// Tasks for which open workers have the free capacity.
    pub(crate) slots: u32,
    /// Slots on workers with each of the [`MISFITS`].
    unfit: [u32; MISFITS.len()],
    /// Tasks for which open workers have the CPU but lack memory or accelerators.
    cpu_only: u32,
    /// Slots on workers that are closed for each reason of [`Closed::ALL`].
    closed: [u32; Closed::ALL.len()],
    /// Most free millicores of an open worker.
    max_free: u32,
}

impl Room {
    /// Returns the obstacle that most of the room has, unless some of it has none.
    pub(crate) fn obstacle(&self) -> Option<Misfit> {
        let most = MISFITS.into_iter().zip(self.unfit).max_by_key(|&(_, slots)| slots);
        most.filter(|&(_, slots)| slots > 0 && self.slots <= self.unfit.iter().sum())
            .map(|(misfit, _)| misfit)
    }
}

impl fmt::Display for Room {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "room for {} on {} open workers", self.slots, self.workers)?;
        for (misfit, slots) in MISFITS.into_iter().zip(self.unfit) {
            if slots > 0 {
                write!(f, ", {slots} of it: {}", misfit_text(misfit))?;
            }
        }
        if self.cpu_only > 0 {
            write!(f, ", CPU without memory for {}", self.cpu_only)?;
        }
        for (closed, slots) in Closed::ALL.into_iter().zip(self.closed) {
            if slots > 0 {
                write!(f, ", {slots} on closed workers: {}", closed.text())?;
            }
        }
        write!(f, ", at most {} millicores free on one", self.max_free)
    }
}

/// Returns how the log names an obstacle.
pub(crate) fn misfit_text(misfit: Misfit) -> &'static str {
    match misfit {
        Misfit::Room | Misfit::BestEffort => "no room",
        Misfit::Reserved => "reserved for others",
        Misfit::Isolated => "isolated for others",
        Misfit::Probation => "another task's probation",
        Misfit::Label => "label",
        Misfit::MaxPerWorker => "most per worker",
    }
}

/// Returns the part of a demand that is CPU.
fn cpu_of(demand: Amount) -> Amount {
    Amount { cpu_milli: demand.cpu_milli, ..Amount::ZERO }
}

impl Planner {
    /// Returns the free capacity of a service's workers for a task.
    pub(crate) fn room_for(&self, task: TaskId, spec: &Step, service: &id::Service) -> Room {
        let request = Request::new(&self.interference, task, spec);
        let mut room = Room::default();
        for (_, worker) in self.workers.iter().filter(|(_, worker)| worker.service == *service) {
            let slots = idle::slots(worker.room(), spec.demand);
            match self.closed(worker) {
                Some(closed) => room.closed[closed as usize] += slots,
                None if self.is_open(worker) => {
                    room.workers += 1;
                    room.slots += slots;
                    room.cpu_only += idle::slots(worker.room(), cpu_of(spec.demand)) - slots;
                    room.max_free = room.max_free.max(worker.room().cpu_milli);
                    self.add_unfit(worker, &request, slots, &mut room);
                }
                None => {}
            }
        }
        room
    }

    fn add_unfit(&self, worker: &Worker, request: &Request<'_>, slots: u32, room: &mut Room) {
        if slots == 0 {
            return;
        }
        let misfit = self.misfit(worker, request);
        let index = MISFITS.iter().position(|&known| misfit == Some(known));
        if let Some(index) = index {
            room.unfit[index] += slots;
        }
    }

    /// Returns why a usable worker takes no new tasks, if it is closed.
    fn closed(&self, worker: &Worker) -> Option<Closed> {
        let now = self.now;
        match worker {
            _ if !self.is_usable(worker) => None,
            worker if worker.draining_for_maintenance => Some(Closed::Maintenance),
            worker if worker.quarantined_until > now => Some(Closed::Quarantine),
            worker if worker.slow_until > now => Some(Closed::SlowRuns),
            worker if worker.closed_until > now => Some(Closed::StoppedRuns),
            _ => None,
        }
    }
}

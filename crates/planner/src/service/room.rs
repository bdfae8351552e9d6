//! Free capacity of the open workers for a service task, as the log gives it.

use std::fmt;

use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;

use crate::capacity::idle;
use crate::placement::fit::Misfit;
use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::workers::worker::WorkerId;

/// Obstacles that room for a task may have.
const MISFITS: [Misfit; 5] =
    [Misfit::Reserved, Misfit::Isolated, Misfit::Probation, Misfit::Label, Misfit::MaxPerWorker];

/// Free capacity of the open workers, in tasks of a step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    workers: usize,
    pub(crate) slots: u32,
    /// Slots on workers with each of the [`MISFITS`].
    unfit: [u32; MISFITS.len()],
    /// Most free millicores of a worker.
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

impl Planner {
    /// Returns the free capacity of the open workers for a task.
    pub(crate) fn service_room(&self, task: TaskId, spec: &Step, open: &[WorkerId]) -> Room {
        let request = Request::new(&self.interference, task, spec);
        let mut room = Room { workers: open.len(), ..Room::default() };
        for &id in open {
            let worker = &self.workers[id];
            let slots = idle::slots(worker.room(), spec.demand);
            room.slots += slots;
            room.max_free = room.max_free.max(worker.room().cpu_milli);
            if slots == 0 {
                continue;
            }
            let misfit = self.misfit(worker, &request);
            let index = MISFITS.iter().position(|&known| misfit == Some(known));
            if let Some(index) = index {
                room.unfit[index] += slots;
            }
        }
        room
    }
}

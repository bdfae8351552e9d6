//! Consistency of the planner's tables.
//!
//! Ids of workers are held outside the table of workers, and some are used without a lookup. Each
//! of these is dropped together with its worker, at whatever time between two placement passes
//! that is: an access by a stale id panics. Ids that a table may hold longer (timers, intents,
//! starts in flight, workers whose runs have ended) are looked up before each use, or only
//! compared.

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::executor::Run;

use crate::planner::Planner;
use crate::queue::task::Place;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

impl Planner {
    /// Checks that the tables agree with each other. Tests call it after every step.
    ///
    /// # Errors
    ///
    /// Returns a description of the first inconsistency.
    pub fn verify(&self) -> Result<(), String> {
        self.verify_reservations()?;
        self.verify_names()?;
        for (id, worker) in self.workers.iter() {
            self.verify_worker(id, worker)?;
        }
        self.verify_places()
    }

    fn verify_reservations(&self) -> Result<(), String> {
        for reservation in &self.reservations {
            let worker = self.workers.get(reservation.worker);
            let reserved_for = worker.and_then(|worker| worker.reserved_for);
            if reserved_for != Some(reservation.step) {
                let text = worker.map_or("unknown", |worker| &*worker.name);
                return Err(format!("{} reserves worker {text}", reservation.step));
            }
        }
        Ok(())
    }

    fn verify_names(&self) -> Result<(), String> {
        for (name, &id) in &self.workers_by_name {
            if self.workers.get(id).is_none_or(|worker| worker.name != *name) {
                return Err(format!("{name} doesn't name a worker"));
            }
        }
        Ok(())
    }

    fn verify_worker(&self, id: WorkerId, worker: &Worker) -> Result<(), String> {
        let name = &worker.name;
        if self.workers_by_name.get(name) != Some(&id) {
            return Err(format!("{name} can't be found by its name"));
        }
        let mut reservations = self.reservations.iter();
        if worker.reserved_for.is_some() && !reservations.any(|other| other.worker == id) {
            return Err(format!("{name} is reserved without a reservation"));
        }
        let sum = |sum: Amount, reserved: Amount| sum.plus(reserved);
        let reserved = worker.runs.values().map(|hosted| hosted.reserved());
        if reserved.fold(Amount::ZERO, sum) != worker.reserved {
            return Err(format!("{name} reserves something other than its runs do"));
        }
        Ok(())
    }

    /// Checks that each placed task of a job that hasn't ended has its run on a known worker.
    fn verify_places(&self) -> Result<(), String> {
        for (&job, state) in self.jobs.iter().filter(|(_, job)| job.end.is_none()) {
            for (step, tasks) in state.steps(job) {
                for (index, task) in (0..).zip(&tasks.tasks) {
                    let Place::At(worker) = task.place else { continue };
                    let run = Run { task: step.task(index), attempt: task.attempt };
                    let worker = self.workers.get(worker);
                    if worker.is_none_or(|worker| !worker.runs.contains_key(&run)) {
                        return Err(format!("{} is placed where it doesn't run", run.task));
                    }
                }
            }
        }
        Ok(())
    }
}

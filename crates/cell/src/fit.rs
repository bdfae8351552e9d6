//! Parking of jobs whose tasks are too large for every worker of the cell.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as LogEvent;

use crate::cell::Cell;
use crate::job::JobId;

impl Cell {
    /// Checks all jobs against the listed workers' capacities.
    pub(crate) fn check_fit_all(&mut self) {
        let jobs: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in jobs {
            if self.check_fit(id) {
                self.enqueue(id);
            }
        }
    }

    /// Parks a job that fits no listed worker and unparks one that does; returns `true` on a
    /// change.
    pub(crate) fn check_fit(&mut self, id: JobId) -> bool {
        let job = &self.jobs[id];
        if job.spec.is_none()
            || self.list_version == 0
            || job.is_cancelled()
            || job.fails_everywhere
        {
            return false;
        }
        let amount = job.declared();
        let fits = self.workers.iter().any(|(_, worker)| amount.fits_within(worker.capacity));
        if fits == job.parked.is_none() {
            return false;
        }
        let name = job.name.clone();
        if fits {
            self.jobs[id].parked = None;
            self.note(LogEvent::TaskUnparked, &name, "a worker is large enough for it");
        } else {
            let reason = self.unfit_reason(amount);
            self.jobs[id].parked = Some(reason.clone());
            self.note(LogEvent::TaskParked, &name, reason);
        }
        true
    }

    fn unfit_reason(&self, amount: Amount) -> String {
        let largest = self.largest_capacity();
        let asked = [
            ("cpu_milli", amount.cpu_milli, largest.cpu_milli),
            ("memory_mib", amount.memory_mib, largest.memory_mib),
            ("accelerators", amount.accelerators.into(), largest.accelerators.into()),
        ];
        let over: Vec<String> = asked
            .iter()
            .filter(|(_, asked, most)| asked > most)
            .map(|(field, asked, most)| format!("{field} {asked} of at most {most}"))
            .collect();
        match over.is_empty() {
            true => String::from("no worker has all that a task asks for together"),
            false => format!("no worker is large enough for a task: {}", over.join(", ")),
        }
    }

    /// Returns the largest capacity of any worker in each dimension.
    pub(crate) fn largest_capacity(&self) -> Amount {
        self.workers.iter().fold(Amount::ZERO, |most, (_, worker)| Amount {
            cpu_milli: most.cpu_milli.max(worker.capacity.cpu_milli),
            memory_mib: most.memory_mib.max(worker.capacity.memory_mib),
            accelerators: most.accelerators.max(worker.capacity.accelerators),
        })
    }
}

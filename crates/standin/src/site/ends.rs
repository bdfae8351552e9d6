//! Ends of runs: a task whose run has ended `done` isn't started again if that end is acknowledged,
//! before or after the start.
//!
//! An end that is lost with its worker, or that waits while its worker's lease expires, excuses a
//! start: its acknowledgement doesn't count.

use std::collections::BTreeMap;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndNumber;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::TaskId;

/// One incarnation of a worker: its name and its start time.
pub type Host = (id::Instance, id::Incarnation);

/// The ends of all runs, and the starts that came after an end of the same task.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    /// Ends that aren't acknowledged yet, with the time of each.
    done: BTreeMap<(Host, EndNumber), (Run, Time)>,
    /// Tasks of these.
    done_tasks: BTreeMap<TaskId, Time>,
    /// Latest start of a task that came after an end of it.
    started_again: BTreeMap<TaskId, (Run, Time)>,
    /// When the lease of a worker was last seen to have expired.
    expired_at: BTreeMap<Host, Time>,
}

impl Ends {
    /// Records the unacknowledged ends of a worker, and whether its lease has expired.
    pub fn observe(&mut self, host: &Host, ended: &[Ended], has_expired: bool, now: Time) {
        if has_expired {
            self.expired_at.insert(host.clone(), now);
        }
        for end in ended.iter().rev() {
            let key = (host.clone(), end.number);
            if self.done.contains_key(&key) {
                break;
            }
            if end.reason == EndReason::Done {
                self.done.insert(key, (end.run, now));
                self.done_tasks.entry(end.run.task).or_insert(now);
            }
        }
    }

    /// Records a start that was carried out when it was sent.
    pub fn start(&mut self, run: Run, now: Time) {
        if self.done_tasks.contains_key(&run.task) {
            self.started_again.insert(run.task, (run, now));
        }
    }

    /// Records the acknowledgement of a worker's ends up to a number. Returns the violations.
    pub fn acknowledge(&mut self, host: &Host, number: EndNumber) -> Vec<String> {
        let first = (host.clone(), EndNumber::MIN);
        let last = (host.clone(), number);
        let keys: Vec<_> = self.done.range(first..=last).map(|(key, _)| key.clone()).collect();
        let expired_at = self.expired_at.get(host).copied();
        let mut violations = Vec::new();
        for key in keys {
            let Some((run, ended_at)) = self.done.remove(&key) else { continue };
            let Some(&(again, started_at)) = self.started_again.get(&run.task) else { continue };
            let is_excused = expired_at.is_some_and(|at| at >= ended_at);
            if started_at > ended_at && again.attempt > run.attempt && !is_excused {
                violations.push(format!(
                    "{} was started as attempt {} after attempt {} had ended done on {}, whose end is acknowledged",
                    run.task, again.attempt, run.attempt, host.0
                ));
            }
        }
        violations
    }
}

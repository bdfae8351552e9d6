//! How a fake worker obeys one command.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Phase;

use crate::tasks::machine::Machine;
use crate::tasks::machine::Obeyed;
use crate::tasks::machine::Surroundings;
use crate::tasks::run::FULL;
use crate::tasks::run::Run;
use crate::tasks::run::Work;

/// How long a checkpoint takes.
pub const CHECKPOINT: Duration = Duration::from_secs(4);

impl Machine {
    pub(super) fn obey(
        &mut self,
        now: Time,
        command: &Command,
        around: &mut Surroundings<'_>,
        find: &dyn Fn(&id::Job) -> usize,
        obeyed: &mut Obeyed,
    ) {
        self.version += 1;
        let version = self.version;
        match command {
            Command::Start { run: name, amount, checkpoint, .. } => {
                if self.runs.contains_key(name) {
                    return;
                }
                let beyond = !self.committed().plus(*amount).fits_within(self.capacity);
                obeyed.beyond += u64::from(beyond);
                let done = checkpoint.as_ref().map_or(0.0, |at| around.checkpoints.find(at));
                let run = Run {
                    job: find(&name.job),
                    amount: *amount,
                    permille: FULL,
                    phase: Phase::Running,
                    slowdown: 1.0,
                    by_batch: 1.0,
                    done,
                    work: Work::default(),
                    version,
                    stopping_until: Time::ZERO,
                    age: 0.0,
                };
                self.runs.insert(name.clone(), run);
                obeyed.started.push(name.clone());
            }
            Command::Stop { run: name } => match self.runs.get_mut(name) {
                Some(run) if run.is_held() => {
                    obeyed.lost.add(run.lose(&around.jobs[run.job]));
                    run.phase = Phase::Stopped;
                    run.version = version;
                }
                Some(_) => {}
                None => self.never_held(name, version),
            },
            Command::Evict { run: name } => match self.runs.get_mut(name) {
                Some(run) if run.phase == Phase::Running => {
                    run.phase = Phase::Stopping;
                    run.stopping_until = now + CHECKPOINT;
                    run.version = version;
                    obeyed.evictions += 1;
                }
                Some(_) => {}
                None => self.never_held(name, version),
            },
            Command::Throttle { run: name, permille } => {
                if let Some(run) = self.runs.get_mut(name) {
                    run.permille = (*permille).min(FULL);
                    run.version = version;
                    obeyed.throttles += 1;
                }
            }
        }
    }
}

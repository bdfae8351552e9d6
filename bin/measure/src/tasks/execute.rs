//! Execution of commands on a fake worker.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Phase;

use crate::tasks::machine::Context;
use crate::tasks::machine::Effects;
use crate::tasks::machine::Machine;
use crate::tasks::run::FULL_SPEED;
use crate::tasks::run::Run;
use crate::tasks::run::Work;

/// Time to write a checkpoint.
pub const CHECKPOINT_TIME: Duration = Duration::from_secs(4);

impl Machine {
    pub(super) fn execute(
        &mut self,
        now: Time,
        command: &Command,
        context: &mut Context<'_>,
        find: &dyn Fn(&id::Job) -> usize,
        effects: &mut Effects,
    ) {
        self.version += 1;
        let version = self.version;
        match command {
            Command::Start { run: name, amount, checkpoint, .. } => {
                if self.runs.contains_key(name) {
                    return;
                }
                let beyond = !self.committed().plus(*amount).fits_within(self.capacity);
                effects.beyond += u64::from(beyond);
                let done = checkpoint.as_ref().map_or(0.0, |at| context.checkpoints.seconds(at));
                let run = Run {
                    job: find(&name.job),
                    amount: *amount,
                    permille: FULL_SPEED,
                    phase: Phase::Running,
                    slowdown: 1.0,
                    batch_slowdown: 1.0,
                    done,
                    work: Work::default(),
                    version,
                    stopping_until: Time::ZERO,
                    running_seconds: 0.0,
                };
                self.runs.insert(name.clone(), run);
                effects.started.push(name.clone());
            }
            Command::Stop { run: name } => match self.runs.get_mut(name) {
                Some(run) if run.is_held() => {
                    effects.lost.add(run.discard_work(&context.jobs[run.job]));
                    run.phase = Phase::Stopped;
                    run.version = version;
                }
                Some(_) => {}
                None => self.report_unknown(name, version),
            },
            Command::Evict { run: name } => match self.runs.get_mut(name) {
                Some(run) if run.phase == Phase::Running => {
                    run.phase = Phase::Stopping;
                    run.stopping_until = now + CHECKPOINT_TIME;
                    run.version = version;
                    effects.evictions += 1;
                }
                Some(_) => {}
                None => self.report_unknown(name, version),
            },
            Command::Throttle { run: name, permille } => {
                if let Some(run) = self.runs.get_mut(name) {
                    run.permille = (*permille).min(FULL_SPEED);
                    run.version = version;
                    effects.throttles += 1;
                }
            }
        }
    }
}

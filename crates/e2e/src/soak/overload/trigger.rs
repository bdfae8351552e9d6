//! The triggers of a soak of overload. Each ends within seconds.

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use rand::seq::SliceRandom as _;

use super::Overload;
use super::power::Target;

/// Part of its share that a slowed process has.
const SLOWED: f64 = 0.2;
/// Duration of the slowdown, in milliseconds.
const SLOWED_MILLIS: std::ops::Range<u64> = 2000..4000;
/// Downtime of a killed process, in milliseconds.
const DOWN_MILLIS: std::ops::Range<u64> = 200..1500;
/// Pause after a trigger, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 300..1500;

#[derive(Clone, Copy, Debug)]
enum Trigger {
    Slowed,
    Burst,
    OwnerKilled,
    AllKilled,
}

impl Overload {
    /// Plays each trigger once, in any order.
    pub(super) async fn play_triggers(&mut self) -> Result<()> {
        let mut triggers =
            [Trigger::Slowed, Trigger::Burst, Trigger::OwnerKilled, Trigger::AllKilled];
        triggers.shuffle(&mut self.random);
        for trigger in triggers {
            match trigger {
                Trigger::Slowed => self.slow(),
                Trigger::Burst => self.burst(),
                Trigger::OwnerKilled => self.kill_owner(),
                Trigger::AllKilled => self.kill_all(),
            }
            let pause = self.millis(PAUSE_MILLIS);
            self.step_for(pause).await?;
        }
        Ok(())
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn slow(&mut self) {
        let target = match self.random.random_range(0..4) {
            0 => {
                let names = self.soak.deployment.members.keys();
                Target::One(names.choose(&mut self.random).expect("there are members").clone())
            }
            1 => Target::Owner,
            _ => Target::All,
        };
        let span = self.millis(SLOWED_MILLIS);
        self.note(format!("Slowed({target:?}, {span:?})"));
        self.power.limit(target, SLOWED, Instant::now() + span);
    }

    fn burst(&mut self) {
        self.note(format!("Burst({})", self.plan.burst));
        for _ in 0..self.plan.burst {
            self.hand_in();
        }
    }

    fn kill_owner(&mut self) {
        let down = self.millis(DOWN_MILLIS);
        let Some(owner) = self.soak.deployment.owner() else {
            return self.note("OwnerKilled(none)".to_owned());
        };
        self.note(format!("OwnerKilled({owner}, {down:?})"));
        self.kill(&owner, down);
    }

    fn kill_all(&mut self) {
        self.note("AllKilled".to_owned());
        let names: Vec<String> = self.soak.deployment.members.keys().cloned().collect();
        for name in names {
            let down = self.millis(DOWN_MILLIS);
            self.kill(&name, down);
        }
    }

    fn kill(&mut self, name: &str, down: Duration) {
        let is_owner = self.soak.deployment.owner().as_deref() == Some(name);
        let is_up = self.soak.deployment.members[name].process.is_some();
        self.hits += usize::from(is_owner && is_up);
        self.power.kill(&mut self.soak.deployment, name, Instant::now() + down);
    }

    fn note(&mut self, text: String) {
        self.soak.report.faults.push(text);
    }
}

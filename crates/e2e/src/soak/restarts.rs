//! Workers of a soak that start again under their names: at once or behind a cut, one or all of them, with calls that
//! were meant for the start before still on their way.

use std::time::Duration;

use rand::Rng as _;
use rand::seq::IteratorRandom as _;

use super::Soak;
use super::fault::Fault;
use crate::proxy::Mood;

/// How often workers restart beside another fault.
const RESTARTING: f64 = 0.35;
/// Longest time that a worker is down, in milliseconds; short ones are noticed by nothing but its next account.
const DOWN_MILLIS: u64 = 1500;
/// Orders that are left without an answer before a restart, and how much later they are carried out, in milliseconds.
const LATE_ORDERS: u32 = 4;
const LATE_MILLIS: u64 = 4000;

impl Soak {
    /// Lets workers restart now and then.
    pub(super) fn restart_workers(&mut self) {
        if !self.restarts.random_bool(RESTARTING) {
            return;
        }
        let name = self.any_worker();
        match self.restarts.random_range(0..4) {
            0 => self.restart_worker(&name),
            1 => {
                let mood = [Mood::SilenceCalls, Mood::SilenceAnswers, Mood::Reset]
                    .into_iter()
                    .choose(&mut self.restarts)
                    .expect("there are some");
                let cut = Fault::Worker(name.clone(), mood);
                self.begin(&cut);
                self.restart_worker(&name);
                let part = self.restarts.random_range(0.05..1.0);
                self.mend_after(cut, part);
            }
            2 => {
                let by = Duration::from_millis(self.restarts.random_range(100..LATE_MILLIS));
                let orders = self.restarts.random_range(1..=LATE_ORDERS);
                let late = Fault::Late(name, orders, by);
                self.begin(&late);
                let part = self.restarts.random_range(0.05..0.4);
                self.mend_after(late, part);
            }
            _ => {
                let all: Vec<String> = self.deployment.workers.keys().cloned().collect();
                all.iter().for_each(|name| self.restart_worker(name));
            }
        }
    }

    fn any_worker(&mut self) -> String {
        let workers = self.deployment.workers.keys();
        workers.choose(&mut self.restarts).expect("there are workers").clone()
    }

    pub(super) fn restart_worker(&mut self, name: &str) {
        let down = Duration::from_millis(self.restarts.random_range(0..DOWN_MILLIS));
        self.deployment.site.restart(name, down);
        self.report.faults.push(format!("Restart({name}, {} ms)", down.as_millis()));
    }
}

//! The faults of a soak: what begins, and what ends them.

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use cowslipchute_standin::site::store;
use rand::Rng as _;
use rand::seq::IteratorRandom as _;

use crate::proxy::Mood;
use crate::site;

use super::FAULT_TIME;
use super::SHRINKING;
use super::SHRUNK_MILLI;
use super::Soak;

/// A fault in progress.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    Killed(String),
    Frozen(String),
    Stopped(String),
    Store(store::Mode),
    StoreSlow,
    Line(String, Mood),
    Worker(String, Mood),
    Hangs(String),
    Fails(String),
    Shrunk(String),
    /// The operator has evacuated a failure domain.
    Evacuated(String),
    /// So many of its orders are left without an answer and carried out so much later; in the end it restarts.
    Late(String, u32, Duration),
}

impl Fault {
    /// Returns `true` if an owner may not hear of the operator's changes meanwhile.
    pub(super) fn hides_news(&self, owner: Option<&str>) -> bool {
        match self {
            Fault::Killed(name)
            | Fault::Frozen(name)
            | Fault::Stopped(name)
            | Fault::Line(name, _) => owner == Some(name),
            Fault::Store(_) | Fault::StoreSlow => true,
            Fault::Worker(..)
            | Fault::Hangs(_)
            | Fault::Fails(_)
            | Fault::Shrunk(_)
            | Fault::Evacuated(_)
            | Fault::Late(..) => false,
        }
    }
}

impl Soak {
    pub(super) fn mood(&mut self) -> Mood {
        match self.random.random_range(0..4) {
            0 => Mood::Delay(Duration::from_millis(self.random.random_range(20..400))),
            1 => Mood::SilenceCalls,
            2 => Mood::SilenceAnswers,
            _ => Mood::Reset,
        }
    }

    /// Begins a fault, or plays one that needs no mending.
    pub(super) fn strike(&mut self) {
        let fault = match self.random.random_range(0..13) {
            0 | 1 => Fault::Killed(self.target()),
            2 => Fault::Frozen(self.target()),
            3 => Fault::Stopped(self.target()),
            4 => Fault::Store(store::Mode::Busy),
            5 => Fault::Store(store::Mode::Silent),
            6 => Fault::StoreSlow,
            7 | 8 => Fault::Line(self.target(), self.mood()),
            9 => Fault::Worker(self.worker(), self.mood()),
            10 => Fault::Hangs(self.worker()),
            11 => Fault::Fails(self.worker()),
            _ => return self.strike_once(),
        };
        if self.begin(&fault) {
            let part = self.random.random_range(0.05..1.0);
            self.mend_after(fault, part);
        }
    }

    /// Lets a worker shrink now and then.
    pub(super) fn shrink(&mut self) {
        if self.drawn.random_bool(SHRINKING) {
            let workers = self.deployment.workers.keys();
            let name = workers.choose(&mut self.drawn).expect("there are workers").clone();
            let fault = Fault::Shrunk(name);
            let part = self.drawn.random_range(0.05..1.0);
            self.begin(&fault);
            self.mend_after(fault, part);
        }
    }

    /// Lets a fault that has begun end after a part of the longest time.
    pub(super) fn mend_after(&mut self, fault: Fault, part: f64) {
        let until = Instant::now() + FAULT_TIME.mul_f64(part);
        self.report.faults.push(format!("{fault:?}"));
        self.faults.push((until, fault));
    }

    pub(super) fn strike_once(&mut self) {
        let worker = self.worker();
        let name = match self.random.random_range(0..3) {
            0 => {
                self.deployment.site.replace_worker(&worker);
                "rebirth"
            }
            1 => {
                self.deployment.site.lock().store.expire_all_leases();
                "leases lapse"
            }
            _ => {
                self.deployment.site.lock().store.compact();
                "history dropped"
            }
        };
        let mut state = self.deployment.site.lock();
        let now = state.now();
        state.services.disturb(now);
        self.report.faults.push(name.to_owned());
    }

    /// Begins a fault; false if it is of no use now.
    pub(super) fn begin(&mut self, fault: &Fault) -> bool {
        self.disturb(fault);
        match fault {
            Fault::Killed(name) => {
                let member = self.deployment.members.get_mut(name);
                member.and_then(|member| member.process.take()).is_some()
            }
            Fault::Frozen(name) => self.signal(name, |process| process.freeze()),
            Fault::Stopped(name) => self.signal(name, |process| process.terminate()),
            Fault::Store(mood) => {
                self.deployment.site.lock().store.mode = *mood;
                true
            }
            Fault::StoreSlow => {
                self.deployment.site.lock().store.delay = Duration::from_millis(250);
                true
            }
            Fault::Line(name, mood) => {
                self.deployment.members[name].store.set(*mood);
                true
            }
            Fault::Worker(name, mood) => {
                self.deployment.workers[name].set(*mood);
                true
            }
            Fault::Hangs(name) => self.change_worker(name, |worker| worker.stalls_runs = true),
            Fault::Fails(name) => self.change_worker(name, |worker| worker.fails_runs = true),
            Fault::Shrunk(name) => {
                self.change_worker(name, |worker| worker.capacity.cpu_milli = SHRUNK_MILLI)
            }
            Fault::Evacuated(domain) => {
                self.deployment.site.evacuate(domain);
                true
            }
            Fault::Late(name, orders, by) => {
                self.change_worker(name, |worker| worker.delayed_commands = (*orders, *by))
            }
        }
    }

    /// Reports the disturbance of the service tasks by a fault that begins; the orders of a late worker may come once
    /// it has ended.
    fn disturb(&self, fault: &Fault) {
        let mut state = self.deployment.site.lock();
        let now = state.now();
        let until = match fault {
            Fault::Late(_, _, by) => now + FAULT_TIME + *by,
            _ => now,
        };
        state.services.disturb(until);
    }

    pub(super) fn signal(
        &mut self,
        name: &str,
        signal: impl Fn(&mut crate::process::Process),
    ) -> bool {
        let member = self.deployment.members.get_mut(name);
        let process = member.and_then(|member| member.process.as_mut());
        let Some(process) = process else { return false };
        if !process.is_running() {
            return false;
        }
        signal(process);
        true
    }

    pub(super) fn change_worker(
        &self,
        name: &str,
        change: impl Fn(&mut cowslipchute_standin::site::worker::Worker),
    ) -> bool {
        self.deployment.site.lock().workers.get_mut(name).map(change).is_some()
    }

    /// Ends the faults whose time is over.
    pub(super) fn mend(&mut self, now: Instant) -> Result<()> {
        let faults = std::mem::take(&mut self.faults);
        for (until, fault) in faults {
            if until > now {
                self.faults.push((until, fault));
            } else {
                self.end(&fault)?;
            }
        }
        Ok(())
    }

    pub(super) fn end(&mut self, fault: &Fault) -> Result<()> {
        match fault {
            Fault::Killed(name) => self.restart(name)?,
            Fault::Frozen(name) => {
                self.signal(name, |process| process.thaw());
            }
            // It ends by itself; another life follows, as the platform would have it.
            Fault::Stopped(name) => self.restart(name)?,
            Fault::Store(_) => self.deployment.site.lock().store.mode = store::Mode::Well,
            Fault::StoreSlow => self.deployment.site.lock().store.delay = Duration::ZERO,
            Fault::Line(name, _) => self.deployment.members[name].store.set(Mood::Pass),
            Fault::Worker(name, _) => self.deployment.workers[name].set(Mood::Pass),
            Fault::Hangs(name) => {
                self.change_worker(name, |worker| worker.stalls_runs = false);
            }
            Fault::Fails(name) => {
                self.change_worker(name, |worker| worker.fails_runs = false);
            }
            Fault::Shrunk(name) => {
                self.change_worker(name, |worker| worker.capacity = site::CAPACITY);
            }
            Fault::Evacuated(domain) => self.deployment.site.restore(domain),
            Fault::Late(name, _, _) => self.restart_worker(name),
        }
        Ok(())
    }

    /// Starts a member anew; one that was stopped and has not ended yet is killed, as the platform
    /// does when the time for a planned stop is over.
    pub(super) fn restart(&mut self, name: &str) -> Result<()> {
        if let Some(member) = self.deployment.members.get_mut(name) {
            member.process = None;
        }
        self.deployment.start(name)
    }

    pub(super) fn mend_all(&mut self) -> Result<()> {
        for (_, fault) in std::mem::take(&mut self.faults) {
            self.end(&fault)?;
        }
        self.report_disturbance();
        let names: Vec<String> = self.deployment.members.keys().cloned().collect();
        for name in names {
            self.signal(&name, |process| process.thaw());
        }
        Ok(())
    }
}

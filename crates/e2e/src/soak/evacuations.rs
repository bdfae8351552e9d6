//! Failure domains that the operator of a soak evacuates and restores, in series and both at once, and the starts there
//! that no other fault excuses.

use std::time::Duration;
use std::time::Instant;

use cowslipchute_standin::site::evacuations::Intrusion;
use rand::Rng as _;
use rand::seq::IndexedRandom as _;

use super::Soak;
use super::fault::Fault;
use crate::site::DOMAINS;

/// How often the operator evacuates a failure domain beside another fault.
const EVACUATING: f64 = 0.2;
/// Longest evacuation.
const LONGEST: Duration = Duration::from_secs(10);
/// By then an evacuation is in force with an owner that reaches the store.
const IN_FORCE: Duration = Duration::from_secs(5);
/// The same in a mended deployment.
const CALM_IN_FORCE: Duration = Duration::from_millis(1000);
/// Jobs that are handed in during an evacuation of a mended deployment.
const CALM_JOBS: usize = 5;
/// By then a mended deployment is calm.
const SETTLED: Duration = Duration::from_secs(2);
/// For so long after a fault between an owner and the store nothing is told by a start.
const CONTACT: Duration = Duration::from_secs(4);

impl Soak {
    /// Lets the operator evacuate a failure domain now and then.
    pub(super) fn evacuate(&mut self) {
        if !self.evacuations.random_bool(EVACUATING) {
            return;
        }
        let domain = DOMAINS.choose(&mut self.evacuations).expect("there are some");
        let fault = Fault::Evacuated((*domain).to_owned());
        let part = self.evacuations.random_range(0.05..1.0);
        self.begin(&fault);
        self.report.faults.push(format!("{fault:?}"));
        self.faults.push((Instant::now() + LONGEST.mul_f64(part), fault));
    }

    /// Counts the starts in evacuated failure domains that came too late, unless an owner may not have known.
    pub(super) fn check_evacuations(&mut self, now: Instant) {
        let owner = self.deployment.owner();
        let hidden = |fault: &Fault| fault.hides_news(owner.as_deref());
        if owner.is_none() || self.faults.iter().any(|(_, fault)| hidden(fault)) {
            self.hidden_until = now + CONTACT;
        }
        if now >= self.hidden_until {
            self.report_intrusions(IN_FORCE);
        } else {
            self.deployment.site.lock().evacuations.intrusions.clear();
        }
    }

    /// Evacuates each failure domain of a mended deployment, where nothing excuses a start.
    pub(super) async fn evacuate_calmly(&mut self) {
        tokio::time::sleep(SETTLED).await;
        for domain in DOMAINS {
            self.deployment.site.evacuate(domain);
            tokio::time::sleep(CALM_IN_FORCE).await;
            for _ in 0..CALM_JOBS {
                self.submit().await;
            }
            tokio::time::sleep(CALM_IN_FORCE).await;
            self.report_intrusions(CALM_IN_FORCE);
            self.deployment.site.restore(domain);
        }
    }

    /// Reports the starts in a domain that had been evacuated for longer than this.
    fn report_intrusions(&mut self, in_force: Duration) {
        let found = std::mem::take(&mut self.deployment.site.lock().evacuations.intrusions);
        for Intrusion { run, domain, after } in found.iter().filter(|found| found.after > in_force)
        {
            let text = format!("{} began in {domain}, evacuated {after:?} before", run.task);
            self.report.broken.push(text);
        }
    }
}

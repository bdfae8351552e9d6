//! Evacuated failure domains, and what was started there all the same.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;

/// A start in an evacuated failure domain.
#[derive(Clone, Debug)]
pub struct Intrusion {
    /// The run.
    pub run: Run,
    /// Its failure domain.
    pub domain: id::Domain,
    /// How long the domain had been evacuated.
    pub after: Duration,
}

/// What the operator has evacuated, since when, and what was started there.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    since: BTreeMap<id::Domain, Time>,
    /// Starts there that nobody has taken yet. Whether one is allowed depends on what else went on.
    pub intrusions: Vec<Intrusion>,
}

impl Evacuations {
    pub(super) fn evacuate(&mut self, domain: &str, now: Time) {
        self.since.entry(domain.into()).or_insert(now);
    }

    pub(super) fn restore(&mut self, domain: &str) {
        self.since.remove(domain);
    }

    /// A run has begun in a failure domain.
    pub(super) fn start(&mut self, run: Run, domain: &id::Domain, now: Time) {
        let Some(&since) = self.since.get(domain) else { return };
        let after = now.saturating_sub(since);
        self.intrusions.push(Intrusion { run, domain: domain.clone(), after });
    }
}

//! Evacuated failure domains, and the runs that were started there nevertheless.

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
    /// The time for which the domain had been evacuated.
    pub after: Duration,
}

/// The evacuated failure domains, the times of their evacuation, and the starts there.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    since: BTreeMap<id::Domain, Time>,
    /// Starts there that the test hasn't taken yet. Whether a start is allowed depends on other
    /// events, so the test decides.
    pub intrusions: Vec<Intrusion>,
}

impl Evacuations {
    pub(super) fn evacuate(&mut self, domain: &str, now: Time) {
        self.since.entry(domain.into()).or_insert(now);
    }

    pub(super) fn restore(&mut self, domain: &str) {
        self.since.remove(domain);
    }

    /// Returns the evacuated failure domains.
    pub(super) fn domains(&self) -> impl Iterator<Item = &id::Domain> {
        self.since.keys()
    }

    /// Records the start of a run in a failure domain.
    pub(super) fn start(&mut self, run: Run, domain: &id::Domain, now: Time) {
        let Some(&since) = self.since.get(domain) else { return };
        let after = now.saturating_sub(since);
        self.intrusions.push(Intrusion { run, domain: domain.clone(), after });
    }
}

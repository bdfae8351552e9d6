//! The policy: weights and limits of the scheduling decisions.
//!
//! [`Spec::latency_first`] is a profile for deployments that give priority to the tail latency of
//! their services, [`Spec::evictions_first`] one for deployments that give priority to few
//! evictions. `docs/OPERATING.md` shows both as resources.

use std::time::Duration;

use cowslipchute_base::unit::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Desired state of the policy. There is one, named `default`.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Weight of the tail latency of paying tasks.
    pub latency_weight: f64,
    /// Weight of evictions and of the work lost to them.
    pub eviction_weight: f64,
    /// Weight of batch throughput.
    pub throughput_weight: f64,
    /// Slowdown of a paying task, in thousandths, above which other tasks are throttled or evicted.
    pub slowdown_permille: u32,
    /// Maximum number of evictions in a cell within ten minutes, per thousand tasks placed there.
    pub eviction_permille: u32,
    /// Fraction of a cell, in thousandths, that is reserved for urgent and paying work.
    pub urgent_reserve_permille: u16,
    /// Duration of a worker's lease after the reading of its clock.
    #[serde_as(as = "Millis")]
    pub lease: Duration,
    /// Interval of exchanges with a worker when there is nothing else to send.
    #[serde_as(as = "Millis")]
    pub heartbeat: Duration,
    /// Whether paying tasks are protected against interference.
    pub guard: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            latency_weight: 1.0,
            eviction_weight: 1.0,
            throughput_weight: 1.0,
            slowdown_permille: 1030,
            eviction_permille: 50,
            urgent_reserve_permille: 20,
            lease: Duration::from_secs(10),
            heartbeat: Duration::from_secs(2),
            guard: true,
        }
    }
}

impl Spec {
    /// Returns the profile that gives the highest weight to tail latency.
    pub fn latency_first() -> Self {
        Spec {
            latency_weight: 4.0,
            slowdown_permille: 1020,
            eviction_permille: 80,
            ..Spec::default()
        }
    }

    /// Returns the profile that gives the highest weight to avoiding evictions.
    pub fn evictions_first() -> Self {
        Spec {
            eviction_weight: 4.0,
            slowdown_permille: 1040,
            eviction_permille: 20,
            ..Spec::default()
        }
    }
}

//! Services: latency-critical backend servers, or a trial that uses another service's backend servers.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::unit::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Desired state of a service.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Class of the requests, unless a request names a lower one.
    pub class: Class,
    /// Service whose backend servers answer, if not the service's own: a trial names the paying
    /// service with which it shares backend servers.
    pub backends_of: Option<String>,
    /// Deadline of a request that names none.
    #[serde_as(as = "Millis")]
    pub deadline: Duration,
    /// Maximum deadline that a request may name.
    #[serde_as(as = "Millis")]
    pub deadline_max: Duration,
    /// Maximum number of requests that wait for a slot at one entry instance.
    pub queue: u32,
    /// Maximum time for which a request waits for a slot.
    #[serde_as(as = "Millis")]
    pub queue_wait: Duration,
    /// Fraction of the slots, in thousandths, that is reserved for paying requests.
    pub reserve_permille: u16,
    /// Maximum number of retries and hedged requests per thousand requests.
    pub retry_permille: u16,
    /// Maximum number of attempts for one request, including the first.
    pub attempts: u8,
    /// Whether an idempotent paying request may be hedged: sent to a second backend server when it is late.
    pub hedge: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            class: Class::Paying,
            backends_of: None,
            deadline: Duration::from_secs(5),
            deadline_max: Duration::from_secs(60),
            queue: 256,
            queue_wait: Duration::from_millis(500),
            reserve_permille: 150,
            retry_permille: 100,
            attempts: 3,
            hedge: true,
        }
    }
}

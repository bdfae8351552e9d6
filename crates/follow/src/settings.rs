//! Settings of the duty.

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use slog::Logger;

/// Settings of the duty.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub instance: Instance,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Failure domain of this instance.
    pub domain: Domain,
    /// Seed of the jitter; it should differ between instances.
    pub seed: u64,
    /// Logger for events.
    pub logger: Logger,
}

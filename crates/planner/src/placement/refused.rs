//! Demands for which a placement pass found no worker.

use std::sync::Arc;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::Step;

/// A demand for which this pass found no worker; a larger one of the same kind needs no second
/// search.
pub(crate) struct Refused {
    /// The image of a best-effort step: which workers accept it depends on its interference.
    best_effort_image: Option<Option<Arc<str>>>,
    /// Whether it is a service step.
    long_running: bool,
    pub(crate) demand: Amount,
}

impl Refused {
    pub(crate) fn new(spec: &Step) -> Refused {
        let best_effort_image = spec.best_effort.then(|| spec.image.clone());
        Refused { best_effort_image, long_running: spec.long_running, demand: spec.demand }
    }

    pub(crate) fn covers(&self, spec: &Step) -> bool {
        let same = self.best_effort_image.as_ref() == spec.best_effort.then_some(&spec.image);
        same && self.long_running == spec.long_running && self.demand.fits_within(spec.demand)
    }
}

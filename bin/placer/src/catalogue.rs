//! Teams and the policy: the configuration that every cell needs when it is acquired. Jobs are kept
//! in the directory of homes.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslipchute_base::id;
use cowslipchute_resource::policy;
use cowslipchute_resource::team;

/// Teams and the policy in force at this instance.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// The teams.
    pub teams: BTreeMap<id::Team, Arc<team::Spec>>,
    /// The policy.
    pub policy: Arc<policy::Spec>,
    /// `true` once the whole configuration has been received.
    pub read: bool,
}

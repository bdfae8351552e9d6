//! Teams and their quotas.

use std::collections::BTreeMap;

use cowslipchute_base::amount::Amount;
use serde::Deserialize;
use serde::Serialize;

/// Desired state of a team.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Maximum resources of all the team's tasks together, over all failure domains.
    pub quota: Amount,
    /// Shares of the quota per failure domain. Their sum never exceeds the quota, so that a domain
    /// that is cut off from the others can use its share without coordination.
    pub shares: BTreeMap<String, Amount>,
}

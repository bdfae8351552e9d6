//! Notifications to the process.

use cowslipchute_base::id;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Spec;

/// A change of the configuration in force at this instance.
///
/// Revisions of one resource increase. The order between resources is unspecified: a job may be
/// delivered before its team.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A resource was created or replaced.
    Put {
        /// The resource's name.
        name: id::Service,
        /// Its desired state.
        spec: Box<Spec>,
        /// Revision of the change.
        revision: Revision,
    },
    /// A resource was removed.
    Removed {
        /// The kind.
        kind: Kind,
        /// The resource's name.
        name: id::Service,
        /// Revision of the change.
        revision: Revision,
    },
    /// Every change up to this revision has been delivered. The first of these means that this
    /// instance has a configuration and may become ready.
    InForce {
        /// The revision.
        revision: Revision,
    },
}

//! References between resources, which are checked so that none refers to a missing resource.

use smallvec::SmallVec;

use crate::Kind;
use crate::Resource;
use crate::Spec;

/// Team that jobs may name even if it is not declared.
pub const DEFAULT_TEAM: &str = "default";

/// Reference from a field to another resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// Path of the referring field.
    pub field: &'static str,
    /// Kind of the other resource.
    pub kind: Kind,
    /// Name of the other resource.
    pub name: String,
}

/// Returns the references of a resource.
pub fn of(resource: &Resource) -> SmallVec<[Reference; 1]> {
    match &resource.spec {
        Spec::Service(spec) => {
            let other = spec.backends_of.iter();
            other.map(|name| reference("service.backends_of", Kind::Service, name)).collect()
        }
        Spec::Job(spec) if spec.team != DEFAULT_TEAM => {
            SmallVec::from_iter([reference("job.team", Kind::Team, &spec.team)])
        }
        Spec::Job(_) | Spec::Team(_) | Spec::Policy(_) => SmallVec::new(),
    }
}

/// Returns the kind whose resources may refer to resources of `kind`.
pub fn referrers(kind: Kind) -> Option<Kind> {
    match kind {
        Kind::Service => Some(Kind::Service),
        Kind::Team => Some(Kind::Job),
        Kind::Job | Kind::Policy => None,
    }
}

fn reference(field: &'static str, kind: Kind, name: &str) -> Reference {
    Reference { field, kind, name: name.to_owned() }
}

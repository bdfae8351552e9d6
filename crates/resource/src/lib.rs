//! Resources that operators declare: their validation, file format and keys in the store.
//!
//! A resource is desired state as set by an operator, never observed state. This crate does no I/O;
//! it converts bytes to validated values and back. `docs/OPERATING.md` describes the file format.

pub mod check;
pub mod document;
pub mod job;
pub mod key;
pub mod policy;
pub mod reference;
pub mod service;
pub mod stored;
pub mod team;

use cowslipchute_base::id;
use serde::Deserialize;
use serde::Serialize;

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A service of backend servers.
    Service,
    /// A job of tasks.
    Job,
    /// A team with quotas.
    Team,
    /// Weights and limits for scheduling decisions.
    Policy,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Service, Kind::Job, Kind::Team, Kind::Policy];

    /// Returns the name used in keys, paths and files.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Service => "service",
            Kind::Job => "job",
            Kind::Team => "team",
            Kind::Policy => "policy",
        }
    }

    /// Returns the kind with the given name.
    pub fn from_word(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

/// Desired state of a resource.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Spec {
    /// A service of backend servers.
    Service(service::Spec),
    /// A job of tasks.
    Job(job::Spec),
    /// A team with quotas.
    Team(team::Spec),
    /// Weights and limits for scheduling decisions.
    Policy(policy::Spec),
}

impl Spec {
    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Service(_) => Kind::Service,
            Spec::Job(_) => Kind::Job,
            Spec::Team(_) => Kind::Team,
            Spec::Policy(_) => Kind::Policy,
        }
    }
}

/// Name and desired state of a resource.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Resource {
    /// Name, unique within the kind.
    pub name: id::Service,
    /// Desired state.
    #[serde(flatten)]
    pub spec: Spec,
}

//! Port to the platform's list of instances, which lags behind the actual state.

use std::future::Future;
use std::net::SocketAddr;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Rack;
use cowslipchute_base::id::Service;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Backend server of a service.
    Backend,
    /// Worker, which runs tasks.
    Worker,
    /// Entry process, which callers reach through the platform's load balancer.
    Entry,
    /// Placer process.
    Placer,
    /// Operator process.
    Operator,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Running, as far as the platform knows.
    Live,
    /// About to be removed; it finishes the work that it has and gets no new work.
    Leaving,
}

/// Listed instance. An instance that is no longer listed has been ended by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: Instance,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Role of the instance.
    pub role: Role,
    /// Lifecycle state of the instance.
    pub state: State,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Rack of the instance; empty if racks don't matter.
    pub rack: Rack,
    /// Address of the instance: HTTP for backend servers and workers, QUIC for our own processes.
    pub address: SocketAddr,
    /// Service of a backend server; empty for other roles.
    pub service: Service,
    /// Number of requests that a backend server runs concurrently; zero for other roles.
    pub slots: u16,
    /// Number of connections that a backend server accepts; zero for other roles.
    pub connections: u16,
    /// Capacity that a worker offers to tasks.
    pub capacity: Amount,
}

/// Version of the list.
pub type Version = u64;

/// The list of instances at one moment, as the platform sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct View {
    /// Version, which increases with each change; an older view never replaces a newer one.
    pub version: Version,
    /// Instances in ascending order of their names.
    pub members: Vec<Member>,
}

/// Error of a read of the list; the last view stays in use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("the list of instances can't be read: {0}")]
pub struct Error(pub String);

/// The platform's list of instances.
pub trait List: Clone + Send + Sync + 'static {
    /// Reads the instances of the given domains; all domains if none is given.
    ///
    /// `known` is the version of the caller's view of the same domains. Returns `None` if the list
    /// still has that version, so that the caller's view is current.
    fn read(
        &self,
        domains: &[Domain],
        known: Option<Version>,
    ) -> impl Future<Output = Result<Option<View>, Error>> + Send;
}

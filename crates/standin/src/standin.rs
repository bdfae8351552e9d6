//! A running stand-in in the process that opened it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslipchute_base::id::Instance;
use cowslipchute_ports::list::Member;
use serde::Deserialize;
use serde::Serialize;
use tokio::runtime::Runtime;

use crate::backend::log::Entry;
use crate::connection::Connections;
use crate::control;
use crate::fault::Fault;
use crate::fault::Partition;
use crate::fault::Target;
use crate::host::Host;
use crate::plan::Plan;
use crate::plan::Ports;
use crate::platform::Platform;
use crate::report::Report;
use crate::worker::ledger::Violation;

/// Open connections that the control server accepts.
const MAX_CONTROL_CONNECTIONS: usize = 64;

/// The address of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub instance: Instance,
    /// Its address.
    pub address: SocketAddr,
}

/// The addresses of all servers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Addresses {
    /// The control server.
    pub control: SocketAddr,
    /// The key-value store.
    pub store: SocketAddr,
    /// The list of instances.
    pub list: SocketAddr,
    /// The backend servers.
    pub backends: Vec<Endpoint>,
    /// The workers.
    pub workers: Vec<Endpoint>,
}

/// A running stand-in. Dropping it stops all its servers.
pub struct Standin {
    addresses: Addresses,
    platform: Arc<Platform>,
    control: Option<Host<control::Handler>>,
    runtime: Option<Runtime>,
}

/// Opens a stand-in. When this returns, all its servers accept connections.
///
/// # Errors
///
/// Fails if a port can't be bound or the runtime's threads can't be started.
pub fn open(plan: &Plan) -> io::Result<Standin> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(plan.threads.max(1))
        .thread_name("standin")
        .enable_all()
        .build()?;
    let mut ports = Ports::of(plan);
    let control_address = ports.take();
    let platform = Arc::new(Platform::open(plan, runtime.handle(), ports)?);
    // Bound before the handler is made, because the addresses that it serves include this one.
    let listener = std::net::TcpListener::bind(control_address)?;
    let addresses = addresses(listener.local_addr()?, &platform);
    let handler = control::Handler { platform: platform.clone(), addresses: addresses.clone() };
    let connections = Arc::<Connections>::default();
    let control = Host::from_listener(
        runtime.handle(),
        listener,
        connections,
        MAX_CONTROL_CONNECTIONS,
        Arc::new(handler),
    )?;
    Ok(Standin { addresses, platform, control: Some(control), runtime: Some(runtime) })
}

fn addresses(control: SocketAddr, platform: &Platform) -> Addresses {
    let endpoint = |member: &Member| {
        let instance = member.instance.clone();
        Endpoint { instance, address: member.address }
    };
    Addresses {
        control,
        store: platform.store.host.address(),
        list: platform.list.host.address(),
        backends: platform.backends.iter().map(|backend| endpoint(&backend.member)).collect(),
        workers: platform.workers.iter().map(|worker| endpoint(&worker.member)).collect(),
    }
}

impl Standin {
    /// Returns the addresses of all servers.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the base URL of the key-value store.
    pub fn store_url(&self) -> String {
        format!("http://{}", self.addresses.store)
    }

    /// Returns the base URL of the list of instances.
    pub fn list_url(&self) -> String {
        format!("http://{}", self.addresses.list)
    }

    /// Sets the fault of a target, replacing the previous one.
    ///
    /// # Errors
    ///
    /// Fails if there is no such target, or if another process has taken a killed server's port.
    pub async fn set_fault(&self, target: Target, fault: Fault) -> io::Result<()> {
        self.platform.set_fault(&target, &fault).await
    }

    /// Starts a network partition between two sides.
    pub fn cut(&self, cut: Partition) {
        self.platform.cuts.cut(cut);
    }

    /// Ends a network partition.
    pub fn heal(&self, cut: Partition) {
        self.platform.cuts.heal(cut);
    }

    /// Compacts the store's history up to and including a revision.
    pub fn compact(&self, revision: u64) {
        self.platform.store.service.compact(revision);
    }

    /// Adds a member to the list or replaces the member of that name.
    pub fn register(&self, member: Member) {
        self.platform.list.service.put(member);
    }

    /// Returns the current entry of a member, regardless of the list's lag.
    pub fn member(&self, instance: &str) -> Option<Member> {
        self.platform.list.service.find(instance)
    }

    /// Returns the counts of all servers so far.
    pub fn report(&self) -> Report {
        self.platform.report()
    }

    /// Returns the recorded violations.
    pub fn violations(&self) -> Vec<Violation> {
        self.platform.fleet.with(|fleet, _| fleet.ledger().violations().to_vec())
    }

    /// Returns how many times the request with an id ran on all backend servers together.
    pub fn runs(&self, id: &str) -> u32 {
        self.platform.runs.of(id)
    }

    /// Returns the latest runs of a backend server, oldest first.
    pub fn log(&self, instance: &str) -> Vec<Entry> {
        self.platform.backend(instance).map(|backend| backend.server.log()).unwrap_or_default()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.control = None;
        // Dropping a runtime blocks, which panics inside an async context of another runtime.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

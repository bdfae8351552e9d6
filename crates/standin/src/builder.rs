//! Opens the servers of a plan on consecutive ports.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use cowslipchute_daemon::clock::Clock;
use cowslipchute_ports::list::Member;
use tokio::runtime::Handle;

use crate::backend;
use crate::backend::runs::Runs;
use crate::connection::Connections;
use crate::fault::PLATFORM;
use crate::host::Host;
use crate::injector::Cuts;
use crate::injector::Injector;
use crate::kv;
use crate::list;
use crate::plan;
use crate::plan::Plan;
use crate::plan::Ports;
use crate::platform::Backend;
use crate::platform::List;
use crate::platform::Store;
use crate::platform::Worker;
use crate::worker;

/// Open connections that the store, the list and each worker accept.
const MAX_CONNECTIONS: usize = 65_536;

/// The context in which servers are opened.
pub struct Builder<'a> {
    /// The runtime that the servers run on.
    pub runtime: &'a Handle,
    /// The clock of all servers.
    pub clock: Clock,
    /// The addresses still to be assigned.
    pub ports: Ports,
    /// The network partitions in force.
    pub cuts: Arc<Cuts>,
}

impl Builder<'_> {
    fn injector(&self, side: &str) -> Arc<Injector> {
        Arc::new(Injector::open(side.into(), self.cuts.clone()))
    }

    /// Opens the store.
    pub fn store(&mut self, plan: &Plan) -> io::Result<Store> {
        let (injector, connections) = (self.injector(PLATFORM), Arc::<Connections>::default());
        let service = kv::server::Service::open(
            self.clock,
            plan.watch_progress,
            plan.store_limits,
            injector.clone(),
            connections.clone(),
        );
        self.runtime.spawn(service.clone().expire_leases());
        let handler = Arc::new(kv::server::Handler { service: service.clone() });
        let host =
            Host::open(self.runtime, self.ports.take(), connections, MAX_CONNECTIONS, handler)?;
        Ok(Store { host, service, injector })
    }

    /// Opens the list of instances. It must be opened last, because its initial state holds the
    /// addresses of all other instances.
    pub fn list(&mut self, address: SocketAddr, state: list::state::State) -> io::Result<List> {
        let (injector, connections) = (self.injector(PLATFORM), Arc::<Connections>::default());
        let service =
            list::server::Service::open(self.clock, state, injector.clone(), connections.clone());
        let handler = Arc::new(list::server::Handler { service: service.clone() });
        let host = Host::open(self.runtime, address, connections, MAX_CONNECTIONS, handler)?;
        Ok(List { host, service, injector })
    }

    /// Opens one backend server.
    pub fn backend(&mut self, planned: plan::Backend, runs: &Arc<Runs>) -> io::Result<Backend> {
        let mut member = planned.member;
        let (injector, connections) =
            (self.injector(&member.domain), Arc::<Connections>::default());
        let server = backend::server::Server::open(
            member.instance.clone(),
            planned.plan,
            injector.clone(),
            connections.clone(),
            runs.clone(),
        );
        let handler = Arc::new(backend::server::Handler { server: server.clone() });
        let limit = planned.plan.connections.into();
        let host = Host::open(self.runtime, self.ports.take(), connections, limit, handler)?;
        member.address = host.address();
        let incarnation = Mutex::new(member.incarnation);
        Ok(Backend { member, host, server, injector, incarnation })
    }

    /// Opens one worker of a fleet.
    pub fn worker(
        &mut self,
        mut member: Member,
        fleet: &Arc<worker::server::Service>,
    ) -> io::Result<Worker> {
        let (injector, connections) =
            (self.injector(&member.domain), Arc::<Connections>::default());
        let context = worker::server::Context {
            instance: member.instance.clone(),
            service: fleet.clone(),
            injector: injector.clone(),
            connections: connections.clone(),
        };
        let handler = Arc::new(worker::server::Handler { context: Arc::new(context) });
        let host =
            Host::open(self.runtime, self.ports.take(), connections, MAX_CONNECTIONS, handler)?;
        member.address = host.address();
        Ok(Worker { member, host, injector })
    }
}

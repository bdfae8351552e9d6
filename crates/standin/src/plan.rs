//! The configuration of a stand-in.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Rack;
use cowslipchute_ports::list;

use crate::backend;
use crate::worker::behavior::Behavior;
use crate::worker::timing::Timing;

/// The backend servers of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Backend servers in each failure domain.
    pub per_domain: u16,
    /// The configuration of each.
    pub backend: backend::plan::Plan,
}

/// The workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workers {
    /// Workers in each failure domain.
    pub per_domain: u16,
    /// Workers in each rack.
    pub per_rack: u16,
    /// The capacity of each.
    pub capacity: Amount,
    /// The durations of its operations.
    pub timing: Timing,
}

/// Calls to the store that are admitted in each second; calls beyond that are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Reads.
    pub reads: u64,
    /// Transactions and lease calls.
    pub writes: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { reads: u64::MAX, writes: u64::MAX }
    }
}

/// The configuration of a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The first of the consecutive ports. If it is `None`, the system chooses free ports.
    pub base_port: Option<u16>,
    /// The number of server threads.
    pub threads: usize,
    /// The seed of all random draws.
    pub seed: u64,
    /// The failure domains.
    pub domains: Vec<Domain>,
    /// The services.
    pub services: Vec<Service>,
    /// The workers.
    pub workers: Workers,
    /// The hidden behavior of tasks.
    pub behavior: Behavior,
    /// The lag of the list of instances.
    pub list_lag: Duration,
    /// The rate limits of the store.
    pub store_limits: Limits,
    /// The interval between progress messages of a watch when nothing changes.
    pub watch_progress: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        let service =
            Service { name: "web".into(), per_domain: 2, backend: backend::plan::Plan::default() };
        let workers = Workers {
            per_domain: 2,
            per_rack: 8,
            capacity: Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 },
            timing: Timing::default(),
        };
        Plan {
            base_port: None,
            threads: 2,
            seed: 1,
            domains: vec!["a".into(), "b".into()],
            services: vec![service],
            workers,
            behavior: Behavior::default(),
            list_lag: Duration::from_millis(200),
            store_limits: Limits::default(),
            watch_progress: Duration::from_secs(1),
        }
    }
}

/// The addresses of a plan that are still to be assigned.
#[derive(Debug)]
pub struct Ports {
    next: Option<u16>,
}

impl Ports {
    /// Returns the addresses of a plan, from its first port.
    pub fn of(plan: &Plan) -> Ports {
        Ports { next: plan.base_port }
    }

    /// Takes the next address, with port zero if the system is to choose one.
    pub fn take(&mut self) -> SocketAddr {
        let port = self.next.unwrap_or(0);
        self.next = self.next.map(|port| port.wrapping_add(1));
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
    }
}

impl Plan {
    /// Returns a plan without backend servers and workers.
    pub fn bare() -> Plan {
        let plan = Plan::default();
        let workers = Workers { per_domain: 0, ..plan.workers };
        Plan { services: Vec::new(), workers, ..plan }
    }

    /// Returns the members of the list that are backend servers, without their addresses.
    pub fn backends(&self) -> Vec<Backend> {
        let mut backends = Vec::new();
        for service in &self.services {
            for domain in &self.domains {
                for number in 0..service.per_domain {
                    backends.push(self.backend(service, domain, number, backends.len() as u64));
                }
            }
        }
        backends
    }

    fn backend(&self, service: &Service, domain: &Domain, number: u16, ordinal: u64) -> Backend {
        let seed = backend::plan::mix(self.seed ^ ordinal);
        let plan = backend::plan::Plan { seed, ..service.backend };
        let member = list::Member {
            instance: format!("{}-{domain}-{number}", service.name).into(),
            role: list::Role::Backend,
            service: service.name.clone(),
            slots: plan.slots,
            connections: plan.connections,
            ..empty_member(domain)
        };
        Backend { member, plan }
    }

    /// Returns the members of the list that are workers, without their addresses.
    pub fn workers(&self) -> Vec<list::Member> {
        let mut workers = Vec::new();
        for domain in &self.domains {
            for number in 0..self.workers.per_domain {
                workers.push(self.worker(domain, number));
            }
        }
        workers
    }

    fn worker(&self, domain: &Domain, number: u16) -> list::Member {
        let rack: Rack = format!("rack-{}", number / self.workers.per_rack.max(1)).into();
        list::Member {
            instance: format!("worker-{domain}-{number}").into(),
            role: list::Role::Worker,
            rack,
            capacity: self.workers.capacity,
            ..empty_member(domain)
        }
    }
}

/// A backend server as planned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its entry in the list.
    pub member: list::Member,
    /// Its configuration.
    pub plan: backend::plan::Plan,
}

fn empty_member(domain: &Domain) -> list::Member {
    list::Member {
        instance: "".into(),
        incarnation: 1,
        role: list::Role::Backend,
        state: list::State::Live,
        domain: domain.clone(),
        rack: "".into(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

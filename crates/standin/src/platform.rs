//! All servers of a stand-in, and the faults that are set on them.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_ports::list::Member;
use tokio::runtime::Handle;

use crate::backend;
use crate::backend::runs::Runs;
use crate::builder::Builder;
use crate::fault::Fault;
use crate::fault::State;
use crate::fault::Target;
use crate::host::Host;
use crate::injector::Cuts;
use crate::injector::Injector;
use crate::kv;
use crate::list;
use crate::plan::Plan;
use crate::plan::Ports;
use crate::report::Report;
use crate::worker;
use crate::worker::fleet::Fleet;
use crate::worker::timing::Health;

/// The store's server.
pub struct Store {
    /// Its HTTP server.
    pub host: Host<kv::server::Handler>,
    /// Its state.
    pub service: Arc<kv::server::Service>,
    /// Its fault injector.
    pub injector: Arc<Injector>,
}

/// The server of the list of instances.
pub struct List {
    /// Its HTTP server.
    pub host: Host<list::server::Handler>,
    /// Its state.
    pub service: Arc<list::server::Service>,
    /// Its fault injector.
    pub injector: Arc<Injector>,
}

/// A backend server.
pub struct Backend {
    /// Its entry in the list when it was started.
    pub member: Member,
    /// Its HTTP server.
    pub host: Host<backend::server::Handler>,
    /// Its request processing.
    pub server: Arc<backend::server::Server>,
    /// Its fault injector.
    pub injector: Arc<Injector>,
    /// Its current incarnation.
    pub incarnation: Mutex<Incarnation>,
}

/// A worker.
pub struct Worker {
    /// Its entry in the list when it was started.
    pub member: Member,
    /// Its HTTP server.
    pub host: Host<worker::server::Handler>,
    /// Its fault injector.
    pub injector: Arc<Injector>,
}

/// All servers of a stand-in.
pub struct Platform {
    /// The network partitions in force.
    pub cuts: Arc<Cuts>,
    /// The store.
    pub store: Store,
    /// The list.
    pub list: List,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The state of all workers.
    pub fleet: Arc<worker::server::Service>,
    /// The run count of each request.
    pub runs: Arc<Runs>,
    /// Held while a fault is set, so that a kill and a restart don't interleave.
    fault_lock: tokio::sync::Mutex<()>,
}

fn open_fleet(plan: &Plan, members: &[Member], clock: Clock) -> Arc<worker::server::Service> {
    let mut fleet = Fleet::open(plan.behavior.clone());
    for member in members {
        let instance = member.instance.clone();
        fleet.add(clock.now(), instance, member.capacity, plan.workers.timing);
    }
    worker::server::Service::open(clock, fleet)
}

impl Platform {
    /// Opens all servers of a plan.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub fn open(plan: &Plan, runtime: &Handle, ports: Ports) -> io::Result<Platform> {
        let clock = Clock::start();
        let cuts = Arc::<Cuts>::default();
        let mut builder = Builder { runtime, clock, ports, cuts: cuts.clone() };
        let store = builder.store(plan)?;
        let list_address = builder.ports.take();
        let runs = Arc::<Runs>::default();
        let planned = plan.backends().into_iter();
        let backends: Vec<Backend> =
            planned.map(|planned| builder.backend(planned, &runs)).collect::<io::Result<_>>()?;
        let members = plan.workers();
        let fleet = open_fleet(plan, &members, clock);
        let members = members.into_iter();
        let workers: Vec<Worker> =
            members.map(|member| builder.worker(member, &fleet)).collect::<io::Result<_>>()?;
        let members = backends.iter().map(|backend| &backend.member);
        let members = members.chain(workers.iter().map(|worker| &worker.member)).cloned().collect();
        let state = list::state::State::open(plan.list_lag, members);
        let list = builder.list(list_address, state)?;
        let fault_lock = tokio::sync::Mutex::new(());
        Ok(Platform { cuts, store, list, backends, workers, fleet, runs, fault_lock })
    }

    /// Returns a backend server.
    pub fn backend(&self, instance: &str) -> Option<&Backend> {
        self.backends.iter().find(|backend| *backend.member.instance == *instance)
    }

    /// Returns a worker.
    pub fn worker(&self, instance: &str) -> Option<&Worker> {
        self.workers.iter().find(|worker| *worker.member.instance == *instance)
    }

    /// Sets the fault of a target, replacing the previous one.
    ///
    /// # Errors
    ///
    /// Fails if there is no such target, or if another process has taken a killed server's port.
    pub async fn set_fault(&self, target: &Target, fault: &Fault) -> io::Result<()> {
        let _fault_lock = self.fault_lock.lock().await;
        match target {
            Target::Store => self.apply_fault(&self.store.host, &self.store.injector, fault).await,
            Target::List => self.apply_fault(&self.list.host, &self.list.injector, fault).await,
            Target::Backend(instance) => {
                self.apply_backend_fault(self.backend(instance).ok_or_else(not_found)?, fault).await
            }
            Target::Worker(instance) => {
                self.apply_worker_fault(self.worker(instance).ok_or_else(not_found)?, fault).await
            }
            Target::Domain(domain) => {
                for backend in self.backends.iter().filter(|b| b.member.domain == *domain) {
                    self.apply_backend_fault(backend, fault).await?;
                }
                for worker in self.workers.iter().filter(|w| w.member.domain == *domain) {
                    self.apply_worker_fault(worker, fault).await?;
                }
                Ok(())
            }
        }
    }

    async fn apply_fault<E: poem::Endpoint + 'static>(
        &self,
        host: &Host<E>,
        injector: &Injector,
        fault: &Fault,
    ) -> io::Result<()> {
        if fault.state == State::Killed {
            injector.set(fault.clone());
            host.kill().await;
            return Ok(());
        }
        host.restart().await?;
        injector.set(fault.clone());
        Ok(())
    }

    async fn apply_backend_fault(&self, backend: &Backend, fault: &Fault) -> io::Result<()> {
        let restarts = self.restarts(&backend.injector, fault);
        self.apply_fault(&backend.host, &backend.injector, fault).await?;
        if restarts {
            let mut incarnation = backend.incarnation.lock().expect("no lock holder panics");
            *incarnation += 1;
            self.list.service.set_incarnation(&backend.member.instance, *incarnation);
        }
        Ok(())
    }

    async fn apply_worker_fault(&self, worker: &Worker, fault: &Fault) -> io::Result<()> {
        let instance = &worker.member.instance;
        let restarts = self.restarts(&worker.injector, fault);
        let killed = fault.state == State::Killed && worker.injector.fault().state != State::Killed;
        if killed {
            worker.host.kill().await;
            self.fleet.with(|fleet, now| fleet.reboot(instance, now));
        }
        self.apply_fault(&worker.host, &worker.injector, fault).await?;
        let health = Health {
            failing: fault.failing,
            slow_permille: fault.slow_permille,
            leaving: fault.leaving,
        };
        let incarnation = self.fleet.with(|fleet, now| {
            fleet.set_health(instance, now, health);
            fleet.worker(instance).map(|worker| worker.incarnation())
        });
        if let (true, Some(incarnation)) = (restarts, incarnation) {
            self.list.service.set_incarnation(instance, incarnation);
        }
        Ok(())
    }

    fn restarts(&self, injector: &Injector, fault: &Fault) -> bool {
        injector.fault().state == State::Killed && fault.state != State::Killed
    }

    /// Returns the counts of all servers so far.
    pub fn report(&self) -> Report {
        Report {
            store: self.store.service.count(),
            list_reads: self.list.service.reads(),
            list_sent: self.list.service.sent(),
            backends: self.backends.iter().map(backend_report).collect(),
            requests: self.runs.summary(),
            tasks: self.fleet.with(|fleet, _| fleet.ledger().count()),
            cuts: self.cuts.list(),
        }
    }
}

fn backend_report(backend: &Backend) -> crate::report::Backend {
    let instance: Instance = backend.member.instance.clone();
    crate::report::Backend { instance, count: backend.server.count() }
}

fn not_found() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "there is no instance of that name")
}

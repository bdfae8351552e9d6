//! A stand-in for the users' platform, which serves its protocol on loopback: the store, the
//! directory and the workers, all in the process that opens it.
//!
//! Tests, the demo and the soak run use it as their platform. It also checks guarantees that only
//! the platform can observe: no two runs of a task are active at once, and no task runs that no
//! client has submitted.

pub mod crashes;
pub mod ends;
pub mod evacuations;
mod machines;
pub mod owners;
pub mod services;
pub mod serving;
pub mod store;
pub mod worker;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::TaskId;
use poem::Route;
use poem::Server;
use poem::listener::TcpAcceptor;
use serde_json::json;

use crashes::Crashes;
use ends::Ends;
use evacuations::Evacuations;
use owners::Owners;
use services::Services;
use store::Store;
use worker::Worker;

/// The interval at which workers are advanced and checked.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// A worker that crashes within this time after a start may appear to have been crashed by the
/// started task.
const START_WINDOW: Duration = Duration::from_millis(150);
/// The interval at which workers refresh their entries in the directory.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a site, shared by its servers.
#[derive(Debug)]
pub struct State {
    start: Instant,
    /// The store.
    pub store: Store,
    /// The workers by machine.
    pub workers: BTreeMap<String, Worker>,
    /// The address of each machine's worker, as the directory lists it.
    addresses: BTreeMap<String, SocketAddr>,
    replacements: u32,
    /// The jobs that clients have submitted.
    pub jobs: BTreeMap<JobId, Spec>,
    /// Jobs of which at least one task has started.
    pub started: BTreeSet<JobId>,
    /// Tasks of which a run has completed.
    pub finished: BTreeSet<TaskId>,
    /// Tasks whose completion was acknowledged.
    acknowledged: BTreeSet<TaskId>,
    /// Ends of runs, and starts that came after them.
    ends: Ends,
    /// Entries that other writers put among the workers' entries, by key.
    pub foreign_entries: BTreeMap<String, String>,
    /// Tasks that crash their workers.
    pub crashes: Crashes,
    /// Workers that are down, with the time at which they restart under their names.
    restarts: BTreeMap<String, Time>,
    /// Jobs with a task whose worker was restarted right after the task's start, so that the task
    /// may appear to have crashed it.
    pub crash_suspects: BTreeSet<JobId>,
    /// Failure domains that the operator has evacuated.
    pub evacuations: Evacuations,
    /// Whether the machine service responds.
    pub lists_machines: bool,
    /// Service tasks that wait.
    pub services: Services,
    /// Who owned the cell.
    pub owners: Owners,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl State {
    /// Returns the time since the site was opened.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Advances the workers to the current time and checks the guarantees.
    fn advance(&mut self) {
        let now = self.now();
        let mut running: BTreeMap<TaskId, String> = BTreeMap::new();
        for worker in self.workers.values_mut() {
            worker.advance(now);
            let has_expired = worker.has_lease_expired(now);
            self.ends.observe(&worker.host(), &worker.ended, has_expired, now);
            let finished = std::mem::take(&mut worker.completed);
            self.finished.extend(finished.into_iter().map(|run| run.task));
            for run in worker.active.keys() {
                if let Some(other) = running.insert(run.task, worker.name.to_string()) {
                    let text =
                        format!("{} runs twice at once, on {other} and {}", run.task, worker.name);
                    if !self.violations.contains(&text) {
                        self.violations.push(text);
                    }
                }
            }
        }
        self.advance_crashes(now);
        self.advance_restarts(now);
        self.watch_owners(now);
        self.watch_services(now);
    }

    /// Crashes the workers on which a crashing task has run for its delay, and replaces crashed
    /// workers whose down time is over.
    fn advance_crashes(&mut self, now: Time) {
        for (machine, worker) in &mut self.workers {
            if let Some(task) = worker.crashing_task(&self.crashes.crashing_tasks, now) {
                worker.up = false;
                worker.active.clear();
                self.crashes.crash(machine, task, now);
            }
        }
        for machine in self.crashes.take_back(now) {
            self.replace_worker(&machine);
        }
    }

    /// Restarts the workers whose restart is due.
    fn advance_restarts(&mut self, now: Time) {
        let due: Vec<String> = self
            .restarts
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for machine in &due {
            self.restarts.remove(machine);
            let worker = self.workers.get_mut(machine).filter(|worker| !worker.up);
            if let Some(worker) = worker {
                *worker = worker.restarted(now);
            }
        }
        if !due.is_empty() {
            self.write_entries();
        }
    }

    /// Crashes a worker, which restarts under its name after `down` without its earlier state.
    fn restart(&mut self, machine: &str, down: Duration) {
        let now = self.now();
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.up) else { return };
        let recent =
            worker.active.iter().filter(|(_, active)| now < active.started_at + START_WINDOW);
        self.crash_suspects.extend(recent.map(|(run, _)| run.task.job));
        worker.up = false;
        worker.active.clear();
        self.restarts.insert(machine.to_owned(), now + down);
    }

    /// Replaces a machine's worker by a new one with a new name.
    fn replace_worker(&mut self, machine: &str) {
        self.replacements += 1;
        let name = format!("{machine}-{}", self.replacements);
        let now = self.now();
        let Some(old) = self.workers.get(machine) else { return };
        let mut replacement = Worker::open(&name, old.capacity, &old.rack.clone());
        replacement.advanced_to = now;
        replacement.domain = old.domain.clone();
        self.workers.insert(machine.to_owned(), replacement);
        self.write_entries();
    }

    /// Writes the directory entries of all live workers, then those of other writers, and removes
    /// all others.
    fn write_entries(&mut self) {
        let now = self.now();
        let entries: Vec<(String, String)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.up && worker.listed)
            .map(|(machine, worker)| {
                let entry = json!({
                    "service": "desk",
                    "address": self.addresses[machine].to_string(),
                    "zone": &*worker.domain,
                    "version": "v1",
                    "slots": 8,
                    "state": if worker.draining { "draining" } else { "ready" },
                    "cold-remaining-ms": 0,
                    "capacity": {
                        "cpu": worker.capacity.cpu_milli,
                        "mem-mb": worker.capacity.memory_mib,
                        "gpu": worker.capacity.accelerators,
                    },
                    "labels": ["a", &*worker.rack],
                    "born": worker.start_time_ms,
                    "clock-ms": worker.clock(now),
                    "sequence": now.as_millis() as u64,
                });
                (format!("servers/{}", worker.name), entry.to_string())
            })
            .collect();
        let strays = self.foreign_entries.iter().map(|(key, value)| (key.clone(), value.clone()));
        let entries: Vec<(String, String)> = entries.into_iter().chain(strays).collect();
        let live: BTreeSet<String> = entries.iter().map(|(key, _)| key.clone()).collect();
        for key in self.store.keys("servers/") {
            if !live.contains(&key) {
                self.store.remove(&key);
            }
        }
        for (key, value) in entries {
            self.store.put(&key, value.into_bytes(), 0);
        }
    }
}

/// A running site. Its servers stop with the runtime.
#[derive(Clone, Debug)]
pub struct Site {
    state: Arc<Mutex<State>>,
    /// The address of the store.
    pub store: SocketAddr,
    /// The address of the machine service.
    machines: SocketAddr,
}

/// Opens a site on loopback.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn open() -> io::Result<Site> {
    let state = State {
        start: Instant::now(),
        store: Store::default(),
        workers: BTreeMap::new(),
        addresses: BTreeMap::new(),
        replacements: 0,
        jobs: BTreeMap::new(),
        started: BTreeSet::new(),
        finished: BTreeSet::new(),
        acknowledged: BTreeSet::new(),
        ends: Ends::default(),
        foreign_entries: BTreeMap::new(),
        crashes: Crashes::default(),
        restarts: BTreeMap::new(),
        crash_suspects: BTreeSet::new(),
        evacuations: Evacuations::default(),
        lists_machines: false,
        services: Services::default(),
        owners: Owners::default(),
        violations: Vec::new(),
    };
    let state = Arc::new(Mutex::new(state));
    let store = serve(store::routes(state.clone())).await?;
    let machines = serve(machines::routes(state.clone())).await?;
    let site = Site { state, store, machines };
    let ticking = site.clone();
    tokio::spawn(async move {
        let mut last_heartbeat = Instant::now();
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let mut state = ticking.lock();
            state.advance();
            if last_heartbeat.elapsed() >= HEARTBEAT_INTERVAL {
                last_heartbeat = Instant::now();
                state.write_entries();
            }
        }
    });
    Ok(site)
}

/// Serves routes on a free loopback port.
async fn serve(routes: Route) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let acceptor = TcpAcceptor::from_std(listener)?;
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    Ok(address)
}

impl Site {
    /// Locks the state.
    ///
    /// # Panics
    ///
    /// Panics if a server of the site has panicked.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no server of the site has panicked")
    }

    /// Adds a machine with its worker.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn add_worker(&self, machine: &str, capacity: Amount, rack: &str) -> io::Result<()> {
        let routes = workers::routes(self.state.clone(), machine.to_owned());
        let address = serve(routes).await?;
        let mut state = self.lock();
        let mut worker = Worker::open(machine, capacity, rack);
        worker.advanced_to = state.now();
        state.workers.insert(machine.to_owned(), worker);
        state.addresses.insert(machine.to_owned(), address);
        state.write_entries();
        Ok(())
    }

    /// Moves a machine's worker to another failure domain.
    pub fn set_domain(&self, machine: &str, domain: &str) {
        let mut state = self.lock();
        if let Some(worker) = state.workers.get_mut(machine) {
            worker.domain = domain.into();
        }
        state.write_entries();
    }

    /// Evacuates a failure domain, as the operator does.
    pub fn evacuate(&self, domain: &str) {
        let mut state = self.lock();
        let now = state.now();
        state.evacuations.evacuate(domain, now);
        state.store.put(&format!("op/evacuate/{domain}"), b"{}".to_vec(), 0);
    }

    /// Restores an evacuated failure domain, as the operator does.
    pub fn restore(&self, domain: &str) {
        let mut state = self.lock();
        state.evacuations.restore(domain);
        state.store.remove(&format!("op/evacuate/{domain}"));
    }

    /// Returns the address of a machine's worker.
    pub fn address(&self, machine: &str) -> Option<SocketAddr> {
        self.lock().addresses.get(machine).copied()
    }

    /// Sets the address that the directory lists for a machine's worker, for example that of a
    /// proxy.
    pub fn set_address(&self, machine: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.addresses.insert(machine.to_owned(), address);
        state.write_entries();
    }

    /// Crashes a worker that is up, which leaves the directory and isn't replaced.
    pub fn leave(&self, machine: &str) {
        let mut state = self.lock();
        if let Some(worker) = state.workers.get_mut(machine).filter(|worker| worker.up) {
            worker.up = false;
            worker.listed = false;
            worker.active.clear();
        }
        state.write_entries();
    }

    /// Replaces a machine's worker by a new one with a new name.
    pub fn replace_worker(&self, machine: &str) {
        self.lock().replace_worker(machine);
    }

    /// Crashes a worker, which restarts under its name after `down`.
    pub fn restart(&self, machine: &str, down: Duration) {
        self.lock().restart(machine, down);
    }

    /// Writes the operator's configuration, with one queue at `/q/` and one at `/low/`.
    pub fn configure(&self, version: u64, max_attempts: u32) {
        let route = |name: &str, prefix: &str, priority: u8| {
            json!({
                "name": name, "host": "desk.example", "prefix": prefix, "kind": "unsafe",
                "timeout-ms": 3000, "target-duration-ms": 250, "priority": priority,
                "service": "desk", "max-attempts": max_attempts, "slack-factor": 1.5,
            })
        };
        let config = json!({
            "version": version,
            "routes": [route("r-1", "/q/", 0), route("r-2", "/low/", 2)],
            "services": [{"name": "desk", "enforce-limits": true, "standby": false}],
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 262144,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
            },
        });
        self.lock().store.put("op/config", config.to_string().into_bytes(), 0);
    }

    /// Returns the text of a settings file for one of our processes.
    pub fn settings(
        &self,
        name: &str,
        store: SocketAddr,
        clients: SocketAddr,
        readiness: SocketAddr,
        peers: u16,
    ) -> String {
        let min_lease = self.lock().store.min_lease;
        let settings = json!({
            "node-name": name, "role": "scheduler", "machine-class": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": "d1", "region": "r", "zones": {"d1": "r"},
            "listen": {"frontend": clients.to_string(), "readiness": readiness.to_string()},
            "internal-ports": [peers, peers], "seeds": [], "bootstrap": true, "heartbeat-ms": 500,
            "limits": {"cpu-share": 1.0, "cores": 1, "memory-mb": 260, "max-fds": 4100},
            "bounds": {
                "drain-ms": 2000, "grace-s": 3, "max-hold-ms": 10000, "stop-timeout-ms": 400,
                "status_s": 120, "checkpoint-interval-s": 1, "restore-ms": 50, "lease-ms": 3000,
                "remote-factor": 2, "notice-ms": 4500, "impact-ms": 4000,
            },
            "command-mode": "invocation", "recommendation": "",
            "cloud-api": {"address": self.machines.to_string()},
            "platform": {
                "address": store.to_string(), "form": "kv", "writes-per-s": 400,
                "reads-per-s": 2000, "min-ttl-ms": min_lease.as_millis() as u64,
            },
        });
        settings.to_string()
    }
}

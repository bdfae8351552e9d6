//! A stand-in of the users' platform, which speaks its protocol on loopback: its store, its
//! directory and its workers, in one process with whoever opens it.
//!
//! It plays the platform's part in tests, in the demo and in the soak, and checks what only it can
//! see: that no task runs twice at once, and that nothing runs that nobody asked for.

pub mod crashes;
pub mod evacuations;
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
use evacuations::Evacuations;
use store::Store;
use worker::Worker;

/// How often the workers' time passes.
const STEP: Duration = Duration::from_millis(5);
/// A worker that ends so soon after a start by itself looks as if it had died of it.
const INDISTINCT: Duration = Duration::from_millis(150);
/// How often workers refresh their entries.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// What everything shares.
#[derive(Debug)]
pub struct State {
    start: Instant,
    /// The store.
    pub store: Store,
    /// The workers by machine.
    pub workers: BTreeMap<String, Worker>,
    /// Where each machine's worker is reached, and what the directory says of it.
    addresses: BTreeMap<String, SocketAddr>,
    lives: u32,
    /// What clients have handed in.
    pub jobs: BTreeMap<JobId, Spec>,
    /// Jobs of which a task has ever started.
    pub started: BTreeSet<JobId>,
    /// Tasks of which a run has ended done.
    pub finished: BTreeSet<TaskId>,
    /// Tasks of which an end as done was acknowledged.
    acknowledged: BTreeSet<TaskId>,
    /// What other writers leave among the workers' entries, by key.
    pub strays: BTreeMap<String, String>,
    /// Tasks that crash their workers.
    pub crashes: Crashes,
    /// Workers that are down until they start again under their names.
    restarts: BTreeMap<String, Time>,
    /// Jobs with a task whose worker ended by itself right after its start, which looks as if it had died of it.
    pub unlucky: BTreeSet<JobId>,
    /// Failure domains that the operator has evacuated.
    pub evacuations: Evacuations,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

impl State {
    /// Time since the site was opened.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Lets the workers' time pass and checks what must hold.
    fn pass(&mut self) {
        let now = self.now();
        let mut running: BTreeMap<TaskId, String> = BTreeMap::new();
        for worker in self.workers.values_mut() {
            worker.advance(now);
            let finished = std::mem::take(&mut worker.finished);
            self.finished.extend(finished.into_iter().map(|run| run.task));
            for run in worker.active.keys() {
                if let Some(other) = running.insert(run.task, worker.name.to_string()) {
                    let text = format!("{} runs twice, on {other} and {}", run.task, worker.name);
                    if !self.broken.contains(&text) {
                        self.broken.push(text);
                    }
                }
            }
        }
        self.pass_crashes(now);
        self.pass_restarts(now);
    }

    /// Crashes the workers that run a culprit for long enough, and begins the next lives of those whose time is over.
    fn pass_crashes(&mut self, now: Time) {
        for (machine, worker) in &mut self.workers {
            if let Some(task) = worker.crashing(&self.crashes.culprits, now) {
                worker.up = false;
                worker.active.clear();
                self.crashes.crash(machine, task, now);
            }
        }
        for machine in self.crashes.take_back(now) {
            self.begin_life(&machine);
        }
    }

    /// Starts the workers again whose time has come.
    fn pass_restarts(&mut self, now: Time) {
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
            self.beat();
        }
    }

    /// A worker crashes and starts again under its name after a while, knowing nothing of before.
    fn restart(&mut self, machine: &str, down: Duration) {
        let now = self.now();
        let Some(worker) = self.workers.get_mut(machine).filter(|worker| worker.up) else { return };
        let begun = worker.active.iter().filter(|(_, active)| now < active.since + INDISTINCT);
        self.unlucky.extend(begun.map(|(run, _)| run.task.job));
        worker.up = false;
        worker.active.clear();
        self.restarts.insert(machine.to_owned(), now + down);
    }

    /// Another life begins on a machine.
    fn begin_life(&mut self, machine: &str) {
        self.lives += 1;
        let name = format!("{machine}-{}", self.lives);
        let now = self.now();
        let Some(old) = self.workers.get(machine) else { return };
        let mut life = Worker::open(&name, old.capacity, &old.rack.clone());
        life.updated = now;
        life.domain = old.domain.clone();
        self.workers.insert(machine.to_owned(), life);
        self.beat();
    }

    /// Writes each live worker's entry, and after them what other writers leave there.
    fn beat(&mut self) {
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
                    "born": worker.born,
                    "clock-ms": worker.clock(now),
                    "sequence": now.as_millis() as u64,
                });
                (format!("servers/{}", worker.name), entry.to_string())
            })
            .collect();
        let strays = self.strays.iter().map(|(key, value)| (key.clone(), value.clone()));
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

/// A running site; its servers end with the runtime.
#[derive(Clone, Debug)]
pub struct Site {
    state: Arc<Mutex<State>>,
    /// Where the store is.
    pub store: SocketAddr,
}

/// Opens a site on loopback.
///
/// # Errors
///
/// When no port can be had.
pub async fn open() -> io::Result<Site> {
    let state = State {
        start: Instant::now(),
        store: Store::default(),
        workers: BTreeMap::new(),
        addresses: BTreeMap::new(),
        lives: 0,
        jobs: BTreeMap::new(),
        started: BTreeSet::new(),
        finished: BTreeSet::new(),
        acknowledged: BTreeSet::new(),
        strays: BTreeMap::new(),
        crashes: Crashes::default(),
        restarts: BTreeMap::new(),
        unlucky: BTreeSet::new(),
        evacuations: Evacuations::default(),
        broken: Vec::new(),
    };
    let state = Arc::new(Mutex::new(state));
    let store = serve(store::routes(state.clone())).await?;
    let site = Site { state, store };
    let passing = site.clone();
    tokio::spawn(async move {
        let mut beat = Instant::now();
        loop {
            tokio::time::sleep(STEP).await;
            let mut state = passing.lock();
            state.pass();
            if beat.elapsed() >= HEARTBEAT {
                beat = Instant::now();
                state.beat();
            }
        }
    });
    Ok(site)
}

/// Serves routes on a free port of loopback.
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
    /// Panics if a server of the site has.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no server of the site has failed")
    }

    /// Adds a machine with its worker.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub async fn add_worker(&self, machine: &str, capacity: Amount, rack: &str) -> io::Result<()> {
        let routes = workers::routes(self.state.clone(), machine.to_owned());
        let address = serve(routes).await?;
        let mut state = self.lock();
        let mut worker = Worker::open(machine, capacity, rack);
        worker.updated = state.now();
        state.workers.insert(machine.to_owned(), worker);
        state.addresses.insert(machine.to_owned(), address);
        state.beat();
        Ok(())
    }

    /// Moves a machine's worker to another failure domain.
    pub fn set_domain(&self, machine: &str, domain: &str) {
        let mut state = self.lock();
        if let Some(worker) = state.workers.get_mut(machine) {
            worker.domain = domain.into();
        }
        state.beat();
    }

    /// The operator evacuates a failure domain.
    pub fn evacuate(&self, domain: &str) {
        let mut state = self.lock();
        let now = state.now();
        state.evacuations.evacuate(domain, now);
        state.store.put(&format!("op/evacuate/{domain}"), b"{}".to_vec(), 0);
    }

    /// The operator restores an evacuated failure domain.
    pub fn restore(&self, domain: &str) {
        let mut state = self.lock();
        state.evacuations.restore(domain);
        state.store.remove(&format!("op/evacuate/{domain}"));
    }

    /// Where a machine's worker is reached.
    pub fn address(&self, machine: &str) -> Option<SocketAddr> {
        self.lock().addresses.get(machine).copied()
    }

    /// Lets the directory name another address for a machine's worker: that of a proxy.
    pub fn name_address(&self, machine: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.addresses.insert(machine.to_owned(), address);
        state.beat();
    }

    /// Ends a worker's life; another one begins on its machine.
    pub fn rebirth(&self, machine: &str) {
        self.lock().begin_life(machine);
    }

    /// Lets a worker crash and start again under its name after a while.
    pub fn restart(&self, machine: &str, down: Duration) {
        self.lock().restart(machine, down);
    }

    /// Writes the operator's configuration with one queue below `/q/` and one below `/low/`.
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

    /// Renders the settings file of one of our processes.
    pub fn settings(
        &self,
        name: &str,
        store: SocketAddr,
        clients: SocketAddr,
        readiness: SocketAddr,
        peers: u16,
    ) -> String {
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
            "platform": {
                "address": store.to_string(), "form": "kv", "writes-per-s": 400,
                "reads-per-s": 2000, "min-ttl-ms": 1000,
            },
        });
        settings.to_string()
    }
}

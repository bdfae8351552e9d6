//! A failure domain of stand-ins with placers in this process, for the tests.

#![allow(dead_code)]

mod gate;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::log;
use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Trigger;
use cowslipchute_gateway::http::Origin;
use cowslipchute_gateway::kv;
use cowslipchute_gateway::list;
use cowslipchute_gateway::worker;
use cowslipchute_peer::authority::Authority;
use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node;
use cowslipchute_placer::journal::Journal;
use cowslipchute_placer::metrics::Metrics;
use cowslipchute_placer::peers;
use cowslipchute_placer::process;
use cowslipchute_placer::process::Parts;
use cowslipchute_placer::process::Placer;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Resource;
use cowslipchute_resource::Spec;
use cowslipchute_resource::job;
use cowslipchute_resource::key;
use cowslipchute_resource::policy;
use cowslipchute_resource::stored::Stored;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use cowslipchute_standin::fault;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::Target;
use cowslipchute_tenure::ownership;
use gate::Gate;
use prometheus::Registry;

pub const DOMAIN: &str = "a";
/// Lease of the placers; short, to keep the tests fast.
pub const LEASE: Duration = Duration::from_millis(1500);
const LIMIT: Duration = Duration::from_secs(60);
const CALL: Duration = Duration::from_millis(500);

/// Stand-ins and the state that all placers share.
pub struct Bench {
    pub standin: Standin,
    pub store: kv::Client,
    pub runtime: tokio::runtime::Runtime,
    authority: Authority,
}

/// A placer in this process.
pub struct Running {
    pub placer: Placer,
    pub switch: Trigger,
    pub name: String,
    pub registry: Registry,
    /// Disconnects the placer from the store.
    pub gate: Gate,
    peers: cowslipchute_daemon::event_loop::EventLoop,
}

impl Bench {
    pub fn open(plan: Plan) -> Bench {
        let standin = cowslipchute_standin::open(&plan).expect("the stand-ins start");
        let store = kv::Client::open(&standin.store_url(), Duration::from_secs(5));
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let authority = Authority::generate().expect("an authority");
        let bench = Bench { standin, store, runtime, authority };
        bench.set_policy();
        bench
    }

    /// Opens one failure domain with the given number of workers and nothing else.
    pub fn with_workers(count: u16) -> Bench {
        let plan = Plan::bare();
        let workers = cowslipchute_standin::plan::Workers { per_domain: count, ..plan.workers };
        Bench::open(Plan { domains: vec![DOMAIN.into()], workers, ..plan })
    }

    /// Shortens the workers' leases, so that they expire quickly.
    fn set_policy(&self) {
        let spec = policy::Spec {
            lease: Duration::from_millis(1500),
            heartbeat: Duration::from_millis(200),
            ..policy::Spec::default()
        };
        self.put("default", Spec::Policy(spec));
    }

    pub fn put(&self, name: &str, spec: Spec) {
        let key = key::config(spec.kind(), name);
        let resource = Resource { name: name.into(), spec };
        let value = Stored { operation: 1, resource }.to_bytes();
        self.commit(Change::Put { key, value, lease: 0 });
    }

    pub fn put_raw(&self, key: &str, value: &[u8]) {
        self.commit(Change::Put { key: key.to_owned(), value: value.to_vec(), lease: 0 });
    }

    pub fn put_job(&self, name: &str, spec: job::Spec) {
        self.put(name, Spec::Job(spec));
    }

    pub fn delete_job(&self, name: &str) {
        self.commit(Change::Delete { key: key::config(Kind::Job, name) });
    }

    /// Applies a change. A repeated change is idempotent, so a lost response does no harm.
    fn commit(&self, change: Change) {
        let txn = Txn { preconditions: Vec::new(), changes: vec![change] };
        let commit = || self.runtime.block_on(self.store.commit(txn.clone())).ok();
        assert!(wait("the store answers", commit).applied);
    }

    pub fn read(&self, prefix: &str) -> Vec<Entry> {
        let read = || self.runtime.block_on(self.store.read(prefix)).ok();
        wait("the store answers", read).entries
    }

    /// Starts a placer and adds it to the list.
    pub fn start(&self, name: &str, incarnation: id::Incarnation) -> Running {
        let address = free_address();
        self.standin.register(member(name, incarnation, address));
        self.start_unlisted(name, incarnation, address)
    }

    pub fn start_unlisted(
        &self,
        name: &str,
        incarnation: id::Incarnation,
        address: SocketAddr,
    ) -> Running {
        let (switch, stop) = stop::open();
        let leaf = self.authority.issue().expect("a certificate");
        let identity = Identity::from_pem(&leaf.pem, &leaf.key_pem, &leaf.authority_pem);
        let identity = identity.expect("an identity");
        let settings = node::Settings { address, identity, call_timeout: CALL, max_calls: 64 };
        let peers = peers::open(settings, stop.clone()).expect("the node opens");
        let registry = Registry::new();
        let gate = Gate::default();
        let store = kv::Client::open(&self.standin.store_url(), CALL);
        let origin = Origin { domain: DOMAIN.into(), instance: name.into() };
        let parts = Parts {
            ownership: ownership::Settings {
                instance: name.into(),
                incarnation,
                address,
                domain: DOMAIN.into(),
                lease: LEASE,
                max_cell_workers: 250,
                rank_delay: Duration::from_millis(50),
                handover_delay: Duration::from_secs(30),
                query_interval: Duration::from_millis(200),
            },
            store: gate.guard(store.with_origin(origin.clone())),
            list: list::Client::open(&self.standin.list_url()).with_origin(origin.clone()),
            worker: worker::Client::open(CALL).with_origin(origin),
            peers: peers.caller,
            incoming: peers.incoming,
            store_timeout: CALL,
            worker_timeout: CALL,
            exchanges: 64,
            list_every: Duration::from_millis(100),
            logger: log::discard(),
            journal: Journal::open(log::discard()),
            metrics: Metrics::open(&registry).expect("a new registry"),
            readiness: Readiness::default(),
            stop,
        };
        let placer = process::spawn(parts).expect("the placer starts");
        Running { placer, switch, name: name.to_owned(), registry, gate, peers: peers.duty }
    }

    pub fn fault(&self, target: Target, state: fault::State) {
        self.set(target, Fault { state, ..Fault::default() });
    }

    pub fn lose_answers(&self, target: Target, every: u64) {
        self.set(target, Fault { lose_answers: every, ..Fault::default() });
    }

    fn set(&self, target: Target, fault: Fault) {
        let set = self.runtime.block_on(self.standin.set_fault(target, fault));
        set.expect("the stand-in is there");
    }

    /// Reads JSON from an admin address.
    pub fn get(&self, address: SocketAddr, path: &str) -> serde_json::Value {
        let url = format!("http://{address}{path}");
        let call = async { reqwest::get(url).await?.json().await };
        self.runtime.block_on(call).expect("the admin address answers")
    }

    /// Removes an instance from the platform's list.
    pub fn unlist(&self, name: &str) {
        let url = format!("{}{}/{name}", self.standin.list_url(), list::INSTANCES_PATH);
        let call = async { reqwest::Client::new().delete(url).send().await };
        let response = self.runtime.block_on(call).expect("the list answers");
        assert!(response.status().is_success());
    }

    /// Waits until the given number of tasks has completed.
    pub fn await_done(&self, count: u64) {
        wait("the tasks complete", || {
            (self.standin.report().tasks.tasks_done >= count).then_some(())
        });
    }

    /// Checks the invariants that must never be violated.
    pub fn check(&self) {
        let violations = self.standin.violations();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

impl Running {
    pub fn owns_a_cell(&self) -> bool {
        self.placer.status.borrow().cells.iter().any(|cell| cell.epoch.is_some())
    }

    pub fn await_owner(&self) {
        wait("the placer owns a cell", || self.owns_a_cell().then_some(()));
    }

    pub fn drain(&self) {
        self.switch.advance(Stage::Draining);
    }

    /// Waits until the placer has stopped by itself, and returns the time that it took.
    pub fn join(self) -> Duration {
        let begun = Instant::now();
        self.placer.join();
        self.switch.advance(Stage::Forced);
        self.peers.join();
        begun.elapsed()
    }

    pub fn stop(self) {
        self.drain();
        self.join();
    }

    /// Stops the placer with operations in progress.
    pub fn force(self) {
        self.switch.advance(Stage::Forced);
        self.join();
    }

    /// Counts the notes of an event.
    pub fn notes(&self, name: &str) -> usize {
        let notes = self.placer.journal.after(0, usize::MAX);
        notes.iter().filter(|note| note.name == name).count()
    }
}

/// Polls until a value is present. Only a hang reaches the limit.
pub fn wait<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < LIMIT, "waited {LIMIT:?} until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn member(name: &str, incarnation: id::Incarnation, address: SocketAddr) -> Member {
    Member {
        instance: name.into(),
        incarnation,
        role: Role::Placer,
        state: State::Live,
        domain: DOMAIN.into(),
        rack: "".into(),
        address,
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

pub fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("a bound socket has an address")
}

/// Returns an address that was free for TCP at the time of the call.
pub fn free_tcp_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound listener has an address")
}

/// A job of short tasks.
pub fn job(tasks: u32, millis: u64) -> job::Spec {
    job::Spec { tasks, duration: Duration::from_millis(millis), ..job::Spec::default() }
}

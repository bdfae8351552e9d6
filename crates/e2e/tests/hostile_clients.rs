//! Processes among clients that misbehave inside the limits of a single request: many at once that stop
//! short of the end of a body or of a head and stay connected.
//!
//! The bounds are those of the machine in the process's own settings. Memory is bounded by `memory-mb`, and includes
//! bytes that wait in its sockets. Sockets and pipes are bounded by what `max-fds` leaves beside the descriptors that
//! the platform reserves for files. See docs/incidents/stalled-bodies.md.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cowslipchute_e2e::await_until;
use cowslipchute_e2e::await_until::LIMIT;
use cowslipchute_e2e::cluster::Cluster;
use cowslipchute_e2e::cluster::Plan;
use cowslipchute_e2e::crowd;
use cowslipchute_e2e::crowd::Crowd;
use cowslipchute_e2e::crowd::Manner;
use cowslipchute_e2e::crowd::Request;
use cowslipchute_e2e::crowd::Usage;
use cowslipchute_e2e::site::Deployment;
use cowslipchute_e2e::site::Limits;
use cowslipchute_e2e::site::Member;
use cowslipchute_e2e::site::chain;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use yare::parameterized;

/// Largest body that the site's configuration allows, and an entry by default.
const BODY_BYTES: usize = 262_144;
const ENTRY_BODY_BYTES: usize = 1 << 20;
/// Connections of a crowd.
const CROWD: usize = 400;
/// Memory for half of the bodies of a crowd, which alone are 105 MB.
const LITTLE_MEMORY: Limits = Limits { memory_mb: 64, max_fds: 4100 };
/// Sockets for half of a crowd.
const FEW_DESCRIPTORS: Limits = Limits { memory_mb: 260, max_fds: 400 };
/// An entry's memory as docs/CAPACITY.md has it.
const ENTRY: Limits = Limits { memory_mb: 256, max_fds: 4100 };
/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: usize = 200;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
const TINY_CHUNK_BYTES: usize = 16;
/// Time limit for a body, which leaves a slow machine time to read those of a crowd.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Work of a task of an ordinary job, and of one during which a crowd gathers and settles.
const WORK: Duration = Duration::from_millis(400);
const LONG_WORK: Duration = Duration::from_secs(4);
const JOB_PATH: &str = "/q/00000000000000a1";
/// A job without steps is read as a whole and then refused, so that a crowd leaves no jobs behind.
const REFUSED_JOB: &str = r#"{"steps":[]}"#;
const SMALL_JOB: &str =
    r#"{"spec":"payload","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":400}]}"#;

/// Serializes the tests, which would share the machine otherwise.
static ALONE: Mutex<()> = Mutex::new(());

#[derive(Clone, Copy, Debug)]
enum Port {
    Clients,
    Readiness,
    Metrics,
}

impl Port {
    fn address(self, member: &Member) -> SocketAddr {
        match self {
            Port::Clients => member.clients,
            Port::Readiness => member.readiness,
            Port::Metrics => member.metrics,
        }
    }
}

fn block_on(test: impl Future<Output = ()>) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap().block_on(test);
}

fn padded(text: &str, size: usize) -> String {
    format!("{text}{}", " ".repeat(size - text.len()))
}

fn configure_body_timeout(deployment: &Deployment) {
    let mut state = deployment.site.lock();
    let mut config: Value =
        serde_json::from_slice(state.store.value("op/config").unwrap()).unwrap();
    config["version"] = json!(2);
    config["limits"]["header-timeout-ms"] = json!(BODY_TIMEOUT.as_millis() as u64);
    state.store.put("op/config", config.to_string().into_bytes(), 0);
}

/// Adds a process that the system holds to its `max-fds`, and waits until it is ready; returns its id.
async fn add_limited(deployment: &mut Deployment, name: &str, limits: Limits) -> u32 {
    deployment.add_limited_member(name, limits).await.unwrap();
    let id = deployment.members[name].process.as_ref().unwrap().id();
    let arguments = [format!("--pid={id}"), format!("--nofile={}", limits.max_fds)];
    assert!(Command::new("prlimit").args(arguments).status().unwrap().success());
    deployment.await_ready().await;
    id
}

fn assert_within(usage: Usage, limits: Limits) {
    eprintln!("{usage:?} of {limits:?}");
    let bytes = usage.peak_kib * 1024 + usage.unread_bytes;
    let sockets = limits.max_fds - RESERVED_DESCRIPTORS;
    assert!(
        bytes <= limits.memory_mb * 1_000_000 && usage.sockets <= sockets,
        "{bytes} bytes of {} MB, {} sockets and pipes of {sockets}",
        limits.memory_mb,
        usage.sockets,
    );
}

/// Holds a process to its limits while a crowd is connected, and checks that it answers ordinary requests then, and
/// serves them once the crowd is gone.
async fn assert_withstands(limits: Limits, request: Request, manner: Manner, port: Port) {
    let mut deployment = Deployment::open("hostile", 0, 1).await.unwrap();
    configure_body_timeout(&deployment);
    let id = add_limited(&mut deployment, "m0", limits).await;
    let address = port.address(&deployment.members["m0"]);
    let text = request.render(JOB_PATH, &padded(REFUSED_JOB, BODY_BYTES));
    let crowd = Crowd::gather(address, CROWD, text, manner);
    assert_within(crowd.settle(id).await, limits);
    if manner == Manner::Whole {
        crowd.finish();
        assert_within(crowd.settle(id).await, limits);
    }
    let job = chain(1, 2, WORK);
    await_until::some_async("a client is answered beside the crowd", LIMIT, || {
        deployment.submit("m0", 0xffff, &job)
    })
    .await;
    deployment.await_ready().await;
    drop(crowd);
    await_until::some_async("the job is accepted", LIMIT, || async {
        deployment.submit("m0", 0xffff, &job).await.filter(|status| *status == StatusCode::OK)
    })
    .await;
    deployment.await_state("m0", 0xffff, "completed").await;
    assert_within(Usage::read(id, address), limits);
}

/// Guards against bodies that are each within the limit and together exceed the memory of the machine.
#[parameterized(
    sized_all_but_the_last_byte = { Request::Sized, Manner::AllButTheLastByte },
    sized_piece_by_piece = { Request::Sized, Manner::PieceByPiece },
    sized_whole = { Request::Sized, Manner::Whole },
    large_chunks_all_but_the_last_byte = { Request::Chunked(LARGE_CHUNK_BYTES), Manner::AllButTheLastByte },
    large_chunks_whole = { Request::Chunked(LARGE_CHUNK_BYTES), Manner::Whole },
    tiny_chunks_all_but_the_last_byte = { Request::Chunked(TINY_CHUNK_BYTES), Manner::AllButTheLastByte },
    tiny_chunks_piece_by_piece = { Request::Chunked(TINY_CHUNK_BYTES), Manner::PieceByPiece },
)]
fn a_crowd_of_bodies_leaves_the_process_within_its_memory(request: Request, manner: Manner) {
    block_on(assert_withstands(LITTLE_MEMORY, request, manner, Port::Clients));
}

/// Guards against connections without a request that take every descriptor of the process.
#[parameterized(
    half_heads = { Request::HalfHead, Port::Clients },
    silent = { Request::Nothing, Port::Clients },
    half_heads_at_readiness = { Request::HalfHead, Port::Readiness },
    silent_at_readiness = { Request::Nothing, Port::Readiness },
    half_heads_at_metrics = { Request::HalfHead, Port::Metrics },
    silent_at_metrics = { Request::Nothing, Port::Metrics },
)]
fn a_crowd_of_connections_leaves_descriptors(request: Request, port: Port) {
    block_on(assert_withstands(FEW_DESCRIPTORS, request, Manner::AllButTheLastByte, port));
}

/// Guards against a takeover that finds no descriptor for its calls to the store and to workers.
#[test]
fn a_process_takes_the_cell_over_beside_a_silent_crowd() {
    const STEPS: u16 = 3;
    const TASKS: u32 = 4;
    block_on(async {
        let mut deployment = Deployment::open("hostile-takeover", 1, 1).await.unwrap();
        await_until::some_async("the cell has an owner", LIMIT, || async { deployment.owner() })
            .await;
        let id = add_limited(&mut deployment, "m1", FEW_DESCRIPTORS).await;
        let job = chain(STEPS, TASKS, LONG_WORK);
        assert_eq!(deployment.submit("m0", 0xa1, &job).await, Some(StatusCode::OK));
        deployment.await_state("m0", 0xa1, "active").await;
        let address = deployment.members["m1"].clients;
        let crowd = Crowd::gather(address, CROWD, Vec::new(), Manner::AllButTheLastByte);
        crowd.settle(id).await;
        deployment.members.get_mut("m0").unwrap().process = None;
        await_until::some_async("the job's tasks are done", LIMIT, || async {
            let done = deployment.site.lock().finished.len();
            (done == usize::from(STEPS) * TASKS as usize).then_some(())
        })
        .await;
        drop(crowd);
        assert_eq!(deployment.site.lock().violations, Vec::<String>::new());
    });
}

/// Guards against the same bodies at an entry, whose limit on requests counts them only once they are whole.
#[parameterized(
    sized = { Request::Sized },
    large_chunks = { Request::Chunked(LARGE_CHUNK_BYTES) },
)]
fn a_crowd_of_bodies_leaves_an_entry_within_its_memory(request: Request) {
    block_on(async {
        let standin = vec!["--service=web"];
        let plan = Plan { domains: vec!["a"], placers: 0, standin, ..Plan::default() };
        let mut cluster = Cluster::open("hostile-entry", plan).await.unwrap();
        cluster.apply("[[resource]]\nkind = \"service\"\nname = \"web\"\n").unwrap();
        cluster.await_service("entry-a0", "web").await;
        let address = cluster.member("entry-a0").listen.unwrap();
        let id = cluster.process("entry-a0").id();
        let text = request.render("/web/echo", &padded("", ENTRY_BODY_BYTES));
        let crowd = Crowd::gather(address, CROWD, text, Manner::AllButTheLastByte);
        assert_within(crowd.settle(id).await, ENTRY);
        await_until::some_async("a caller is answered beside the crowd", LIMIT, || {
            cluster.code("entry-a0", "web")
        })
        .await;
        drop(crowd);
        cluster.await_service("entry-a0", "web").await;
    });
}

/// Guards against a bound on crowds that refuses a single client inside the limits.
#[parameterized(
    sized = { Request::Sized },
    large_chunks = { Request::Chunked(LARGE_CHUNK_BYTES) },
    tiny_chunks = { Request::Chunked(TINY_CHUNK_BYTES) },
)]
fn a_single_slow_body_of_the_largest_size_is_served(request: Request) {
    block_on(async {
        let mut deployment = Deployment::open("hostile-single", 0, 1).await.unwrap();
        add_limited(&mut deployment, "m0", LITTLE_MEMORY).await;
        deployment.site.lock().jobs.insert(0xa1, chain(1, 1, WORK));
        let mut stream = TcpStream::connect(deployment.members["m0"].clients).await.unwrap();
        let text = request.render(JOB_PATH, &padded(SMALL_JOB, BODY_BYTES));
        assert!(crowd::send(&mut stream, &text, Manner::PieceByPiece).await);
        let mut answer = [0; b"HTTP/1.1 200".len()];
        stream.read_exact(&mut answer).await.unwrap();
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 200");
        deployment.await_state("m0", 0xa1, "completed").await;
    });
}

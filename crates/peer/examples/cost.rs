//! Measures calls between two nodes on loopback: latency of sequential calls, throughput of
//! concurrent calls, and time and memory per connection. `docs/design/peer.md` quotes a run.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node::Incoming;
use cowslipchute_peer::node::Node;
use cowslipchute_peer::node::Settings;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use tokio::sync::mpsc::Receiver;

const SEQUENTIAL_CALLS: u32 = 5_000;
const CONCURRENT_CALLERS: usize = 64;
const CALLS_PER_CALLER: u32 = 500;
const PEERS: usize = 100;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let identity = Identity::generate().expect("certificates can be made");
    let (caller, _calls) = open(&identity);
    let (callee, calls) = open(&identity);
    tokio::spawn(answer(calls));
    let to = callee.address();
    call(&caller, to).await;
    let mut times = Vec::new();
    for _ in 0..SEQUENTIAL_CALLS {
        let start = Instant::now();
        call(&caller, to).await;
        times.push(start.elapsed());
    }
    times.sort();
    println!("one call at a time: p50 {:?}, p99 {:?}", quantile(&times, 50), quantile(&times, 99));
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CONCURRENT_CALLERS {
        let caller = caller.clone();
        tasks.spawn(async move {
            for _ in 0..CALLS_PER_CALLER {
                call(&caller, to).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let rate =
        (CONCURRENT_CALLERS as u32 * CALLS_PER_CALLER) as f64 / start.elapsed().as_secs_f64();
    println!("{CONCURRENT_CALLERS} at once, both ends on one thread: {rate:.0} calls/s");
    connections(&identity, &caller).await;
}

/// Measures the first call to each of many peers. Both ends of each connection are in this process,
/// so the memory includes the nodes of the peers.
async fn connections(identity: &Identity, caller: &Node) {
    let mut peers = Vec::new();
    for _ in 0..PEERS {
        let (peer, calls) = open(identity);
        tokio::spawn(answer(calls));
        peers.push(peer);
    }
    let before = resident_bytes();
    let start = Instant::now();
    for peer in &peers {
        call(caller, peer.address()).await;
    }
    let each = start.elapsed() / PEERS as u32;
    let bytes = resident_bytes().saturating_sub(before) / PEERS as u64;
    println!("first call to a peer: {each:?}, {bytes} bytes for both ends of a connection");
}

fn open(identity: &Identity) -> (Node, Receiver<Incoming>) {
    let settings = Settings {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        identity: identity.clone(),
        call_timeout: Duration::from_secs(10),
        max_calls: 2 * CONCURRENT_CALLERS,
    };
    Node::open(settings).expect("loopback can be bound")
}

async fn answer(mut calls: Receiver<Incoming>) {
    while let Some(incoming) = calls.recv().await {
        incoming.answer(Reply::Noted);
    }
}

async fn call(caller: &Node, to: SocketAddr) {
    let reply = caller.call(to, &Call::Pull { after: 1 }).await;
    assert_eq!(reply, Ok(Reply::Noted));
}

fn quantile(times: &[Duration], percent: usize) -> Duration {
    times[(times.len() - 1) * percent / 100]
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

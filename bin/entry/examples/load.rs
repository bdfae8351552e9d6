//! Measures the overhead of an entry over direct calls to the backend server on loopback: requests
//! per second, latency and the entry's CPU time by thread.
//!
//! `cargo run --release -p cowslipchute-entry --example load -- [connections] [seconds]`
//!
//! Everything runs in one process on loopback, bounded in connections and time. The backend servers
//! and the callers use plain TCP to keep their own cost low; the entry is the library of the
//! release, with in-memory implementations of the platform's ports. CPU time is read for each of
//! the entry's threads by its name.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_resource::service;
use support::platform::List;
use support::platform::Store;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Number of backend servers.
const BACKENDS: usize = 8;
/// Unit of CPU times in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time before the measurement starts.
const WARM_UP: Duration = Duration::from_millis(500);
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 32\r\n\r\n0123456789abcdef0123456789abcdef";

fn main() {
    let mut arguments =
        std::env::args().skip(1).map(|word| word.parse::<usize>().expect("a number"));
    let connections = arguments.next().unwrap_or(64).clamp(1, 1024);
    let seconds = arguments.next().unwrap_or(5).clamp(1, 60);
    let time = Duration::from_secs(seconds as u64);
    let backends = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("backend")
        .enable_all()
        .build()
        .expect("threads can be started");
    let callers = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .thread_name("caller")
        .enable_all()
        .build()
        .expect("threads can be started");
    let addresses: Vec<_> = (0..BACKENDS).map(|_| backends.block_on(backend())).collect();
    callers.block_on(async {
        let direct = load(&addresses, "/a", connections, time).await;
        print("direct", connections, &direct);
        let list = List::of("shop", &addresses);
        let spec = service::Spec { queue: 4096, hedge: false, ..Default::default() };
        let flags = ["--fronts=2"];
        let entry = support::open(&list, &Store::with("shop", spec), &flags).await;
        let before = cpu_seconds();
        let through = load(&[entry.address()], "/shop/a", connections, time).await;
        let after = cpu_seconds();
        print("entry", connections, &through);
        let total = through.all as f64;
        let mut sum = 0.0;
        for (thread, seconds) in &after {
            let spent = seconds - before.get(thread).unwrap_or(&0.0);
            if ["front", "decide", "peer", "watch", "follow"]
                .iter()
                .any(|prefix| thread.starts_with(prefix))
            {
                println!("  {thread}: {:.1} us a request", spent * 1e6 / total);
                sum += spent;
            }
        }
        println!(
            "  all threads: {:.1} us a request, {:.0} requests/s a core",
            sum * 1e6 / total,
            total / sum
        );
        entry.stop().await;
    });
}

struct Load {
    /// Durations of the round trips within the measured time.
    times: Vec<Duration>,
    /// Number of round trips, including the warm-up.
    all: usize,
    failed: usize,
    time: Duration,
}

fn print(name: &str, connections: usize, load: &Load) {
    let at = |share: f64| {
        let place = ((load.times.len() - 1) as f64 * share) as usize;
        load.times[place].as_secs_f64() * 1e6
    };
    println!(
        "{name}: {connections} connections, {:.0} requests/s, p50 {:.0} us, p99 {:.0} us, p99.9 {:.0} us, {} failed",
        load.times.len() as f64 / load.time.as_secs_f64(),
        at(0.5),
        at(0.99),
        at(0.999),
        load.failed
    );
}

/// Sends requests sequentially on each connection.
async fn load(to: &[SocketAddr], path: &str, connections: usize, time: Duration) -> Load {
    let request = format!("GET {path} HTTP/1.1\r\nhost: bench\r\n\r\n");
    let start = Instant::now() + WARM_UP;
    let callers: Vec<_> = (0..connections)
        .map(|number| {
            let (address, request) = (to[number % to.len()], request.clone().into_bytes());
            tokio::spawn(caller(address, request, start, start + time))
        })
        .collect();
    let mut load = Load { times: Vec::new(), all: 0, failed: 0, time };
    for caller in callers {
        let part = caller.await.expect("no caller panics");
        load.times.extend(part.times);
        load.all += part.all;
        load.failed += part.failed;
    }
    load.times.sort_unstable();
    load
}

async fn caller(address: SocketAddr, request: Vec<u8>, start: Instant, end: Instant) -> Load {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    stream.set_nodelay(true).expect("it is a socket");
    let mut load = Load { times: Vec::new(), all: 0, failed: 0, time: Duration::ZERO };
    let mut buffer = Vec::with_capacity(4096);
    loop {
        let began = Instant::now();
        if began >= end {
            return load;
        }
        stream.write_all(&request).await.expect("the connection stays");
        let ok = answer(&mut stream, &mut buffer).await;
        load.all += 1;
        load.failed += usize::from(!ok);
        if began >= start {
            load.times.push(began.elapsed());
        }
    }
}

/// Reads one answer with a content length and returns `true` if its status is 200.
async fn answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    buffer.clear();
    loop {
        let read = stream.read_buf(buffer).await.expect("the connection stays");
        assert!(read > 0, "the connection stays");
        let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let head = std::str::from_utf8(&buffer[..end]).expect("a head is text");
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|length| length.parse().ok()).expect("a length");
        if buffer.len() == end + 4 + length {
            return head.starts_with("HTTP/1.1 200 ");
        }
    }
}

async fn backend() -> SocketAddr {
    let listener = TcpListener::bind(support::ANY).await.expect("loopback ports are free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut buffer = Vec::with_capacity(4096);
    loop {
        buffer.clear();
        while !buffer.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        }
        stream.write_all(ANSWER).await.ok()?;
    }
}

/// Returns the CPU seconds of each thread of this process, by name.
fn cpu_seconds() -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task").expect("this is Linux").flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else { continue };
        let Some((name, rest)) = stat.split_once('(').and_then(|(_, rest)| rest.split_once(')'))
        else {
            continue;
        };
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |place: usize| fields[place].parse::<f64>().unwrap_or(0.0);
        *times.entry(name.to_owned()).or_default() += (ticks(11) + ticks(12)) / TICKS_PER_SECOND;
    }
    times
}

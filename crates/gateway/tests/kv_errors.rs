//! The adapter to the store when calls fail: a write that may have taken effect is `Unknown`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_gateway::kv::Client;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::State;
use cowslipchute_standin::fault::Target;
use cowslipchute_standin::plan::Limits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;
use yare::parameterized;

/// Timeout of calls that are expected to fail.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of calls that are expected to succeed, also on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Error classes, without their texts.
#[derive(Debug, PartialEq, Eq)]
enum Class {
    Unavailable,
    Unknown,
    Protocol,
    Other,
}

fn class<T>(result: Result<T, Error>) -> Class {
    match result {
        Err(Error::Unavailable(_)) => Class::Unavailable,
        Err(Error::Unknown(_)) => Class::Unknown,
        Err(Error::Protocol(_)) => Class::Protocol,
        _ => Class::Other,
    }
}

fn write() -> Txn {
    let change = Change::Put { key: String::from("k"), value: b"v".to_vec(), lease: 0 };
    Txn { preconditions: vec![], changes: vec![change] }
}

fn open() -> (Standin, Client) {
    let standin = cowslipchute_standin::open(&Plan::bare()).expect("the stand-in opens");
    let client = Client::open(&standin.store_url(), CALL_TIMEOUT);
    (standin, client)
}

/// Returns `true` if the write is found once the store responds again.
async fn applied(standin: &Standin) -> bool {
    standin.set_fault(Target::Store, Fault::default()).await.expect("the fault is switched off");
    let store = Client::open(&standin.store_url(), LONG_TIMEOUT);
    let found = store.read("k").await.expect("the store answers again");
    !found.entries.is_empty()
}

#[parameterized(
    gone = { Fault::state(State::Killed), Class::Unavailable, Class::Unavailable, false },
    refusing = { Fault::state(State::Down), Class::Unavailable, Class::Unavailable, false },
    losing_answers = {
        Fault { lose_answers: 1, ..Fault::default() },
        Class::Unavailable,
        Class::Unknown,
        true
    },
)]
#[test_macro(tokio::test)]
async fn a_failing_store_is_told_by_class(
    fault: Fault,
    read: Class,
    commit: Class,
    expect_applied: bool,
) {
    let (standin, store) = open();
    standin.set_fault(Target::Store, fault).await.expect("the fault is switched on");
    assert_eq!(class(store.read("k").await), read);
    assert_eq!(class(store.commit(write()).await), commit);
    assert_eq!(applied(&standin).await, expect_applied);
}

#[tokio::test]
async fn a_write_to_a_frozen_store_is_unknown_and_takes_effect_later() {
    let (standin, store) = open();
    let frozen = Fault::state(State::Frozen);
    standin.set_fault(Target::Store, frozen).await.expect("the fault is switched on");
    assert_eq!(class(store.commit(write()).await), Class::Unknown);
    assert_eq!(class(store.grant(Duration::from_secs(1)).await), Class::Unknown);
    assert_eq!(class(store.read("k").await), Class::Unavailable);
    let mut found = applied(&standin).await;
    // The delayed write is applied eventually, but without a time limit.
    while !found {
        tokio::time::sleep(Duration::from_millis(10)).await;
        found = applied(&standin).await;
    }
    assert_eq!(standin.report().store.commits, 1);
}

/// Starts a server that sends the same bytes in response to the first request of each connection
/// and then closes it. Returns a client of it and the counter of requests.
async fn spawn_scripted_server(answer: String) -> (Client, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let url = format!("http://{}", listener.local_addr().expect("it is bound"));
    let requests = Arc::<AtomicU32>::default();
    let counter = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let (counter, answer) = (counter.clone(), answer.clone());
            tokio::spawn(async move {
                let mut buffer = vec![0; 4096];
                if matches!(socket.read(&mut buffer).await, Ok(length) if length > 0) {
                    counter.fetch_add(1, Ordering::SeqCst);
                    let _ = socket.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    (Client::open(&url, CALL_TIMEOUT), requests)
}

/// Returns a complete response with this status and body that announces the end of the connection.
fn answer(status: u16, body: &str) -> String {
    keep_alive_answer(status, body).replacen("\r\n", "\r\nconnection: close\r\n", 1)
}

/// Returns the same response without announcing the end of the connection.
fn keep_alive_answer(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn refusal(message: &str) -> String {
    answer(503, &format!(r#"{{"code":14,"message":"{message}"}}"#))
}

#[parameterized(
    no_answer = { String::new(), Class::Unavailable, Class::Unknown },
    truncated = {
        answer(200, "{}").replace("-length: 2", "-length: 9"),
        Class::Unavailable,
        Class::Unknown
    },
    not_json = { answer(200, "ok"), Class::Protocol, Class::Unknown },
    no_leader = { refusal("etcdserver: no leader"), Class::Unavailable, Class::Unavailable },
    busy = { refusal("etcdserver: too many requests"), Class::Unavailable, Class::Unavailable },
    another_leader = {
        refusal("etcdserver: leader changed"),
        Class::Unavailable,
        Class::Unknown
    },
    timed_out_inside = {
        refusal("etcdserver: request timed out"),
        Class::Unavailable,
        Class::Unknown
    },
    from_something_between = { answer(503, "sorry"), Class::Unavailable, Class::Unknown },
    elsewhere = {
        answer(307, "").replace("\r\n\r\n", "\r\nlocation: http://127.0.0.1:9/\r\n\r\n"),
        Class::Unavailable,
        Class::Unknown
    },
)]
#[test_macro(tokio::test)]
async fn an_answer_is_told_by_class(answer: String, read: Class, commit: Class) {
    let (store, requests) = spawn_scripted_server(answer).await;
    assert_eq!(class(store.read("k").await), read);
    assert_eq!(class(store.commit(write()).await), commit);
    assert_eq!(requests.load(Ordering::SeqCst), 2, "no call is sent twice");
}

#[tokio::test]
async fn a_write_over_the_limit_of_the_store_is_unavailable() {
    let store_limits = Limits { reads: u64::MAX, writes: 2 };
    let plan = Plan { store_limits, ..Plan::bare() };
    let standin = cowslipchute_standin::open(&plan).expect("the stand-in opens");
    let store = Client::open(&standin.store_url(), LONG_TIMEOUT);
    let mut applied = 0;
    loop {
        match store.commit(write()).await {
            Ok(verdict) => applied += u64::from(verdict.applied),
            Err(error) => {
                assert_eq!(class::<()>(Err(error)), Class::Unavailable);
                break;
            }
        }
    }
    let revision = store.read("k").await.expect("reads have a limit of their own").revision;
    assert_eq!(revision, 1 + applied, "what was refused was not made");
}

#[tokio::test]
async fn a_write_over_a_connection_that_the_store_closes_is_sent_once() {
    // By its header the response keeps the connection open, but the server closes it.
    let (store, requests) = spawn_scripted_server(keep_alive_answer(200, "{}")).await;
    for sent in 1..=20 {
        let _ = store.commit(write()).await;
        assert!(requests.load(Ordering::SeqCst) <= sent);
    }
}

/// Returns a port that neither accepts nor refuses connections, as in a network partition, because
/// its accept queue is full.
async fn black_hole() -> (SocketAddr, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("the system gives a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port is free");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("it is bound");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(CALL_TIMEOUT, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    (address, queued, listener)
}

#[tokio::test]
async fn a_write_that_was_never_connected_is_unavailable() {
    let (address, _queued, _listener) = black_hole().await;
    for _ in 0..5 {
        let store = Client::open(&format!("http://{address}"), CALL_TIMEOUT);
        assert_eq!(class(store.commit(write()).await), Class::Unavailable);
    }
}

/// Environment variable set in the child process in which this test runs itself again.
const CHILD: &str = "COWSLIPCHUTE_TEST_CHILD";

#[tokio::test]
async fn a_proxy_in_the_environment_is_not_used() {
    if std::env::var_os(CHILD).is_some() {
        let standin = cowslipchute_standin::open(&Plan::bare()).expect("the stand-in opens");
        let store = Client::open(&standin.store_url(), LONG_TIMEOUT);
        store.read("k").await.expect("the store is reached without the proxy");
        return;
    }
    let test = std::env::current_exe().expect("this test is a file");
    let status = std::process::Command::new(test)
        .args(["--exact", "a_proxy_in_the_environment_is_not_used"])
        .env(CHILD, "1")
        .env("HTTP_PROXY", "http://127.0.0.1:9")
        .env("http_proxy", "http://127.0.0.1:9")
        .env("ALL_PROXY", "http://127.0.0.1:9")
        .status()
        .expect("it starts");
    assert!(status.success());
}

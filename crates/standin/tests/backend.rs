//! Backend servers over HTTP: complete and deliberately broken responses, and the record of runs.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_ports::backend::LEAVING_HEADER;
use cowslipchute_ports::backend::NOT_RUN_HEADER;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use cowslipchute_standin::backend;
use cowslipchute_standin::backend::body::pattern;
use cowslipchute_standin::backend::plan::ServiceTime;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::State;
use cowslipchute_standin::fault::Target;
use cowslipchute_standin::plan::Service;
use reqwest::RequestBuilder;
use reqwest::Response;
use yare::parameterized;

fn open_with(plan: backend::plan::Plan) -> (Standin, SocketAddr) {
    let service = Service { name: "web".into(), per_domain: 1, backend: plan };
    let plan = Plan { services: vec![service], ..Plan::bare() };
    let standin = cowslipchute_standin::open(&plan).expect("the stand-in opens");
    let address = standin.addresses().backends[0].address;
    (standin, address)
}

fn open() -> (Standin, SocketAddr) {
    open_with(backend::plan::Plan::default())
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().retry(reqwest::retry::never()).build().expect("it opens")
}

fn get(client: &reqwest::Client, address: SocketAddr, id: &str) -> RequestBuilder {
    client.get(format!("http://{address}/shop")).header(backend::directive::ID_HEADER, id)
}

async fn set(standin: &Standin, fault: Fault) {
    let target = Target::Backend("web-a-0".into());
    standin.set_fault(target, fault).await.expect("the fault is switched");
}

async fn read_body(response: Result<Response, reqwest::Error>) -> Result<Vec<u8>, reqwest::Error> {
    Ok(response?.bytes().await?.to_vec())
}

#[tokio::test]
async fn an_answer_is_that_of_its_own_request() {
    let (standin, address) = open();
    let client = client();
    let long =
        get(&client, address, "long").header(backend::directive::BODY_BYTES_HEADER, "100000");
    assert_eq!(read_body(long.send().await).await.expect("whole"), pattern("long", 100_000));
    let post =
        client.post(format!("http://{address}/shop")).header(backend::directive::ID_HEADER, "post");
    let post = post.header("idempotency-key", "k1").body("render 4").send().await;
    let post = post.expect("it is answered");
    assert_eq!(post.headers()[backend::directive::ID_HEADER], "post");
    assert_eq!(post.bytes().await.expect("whole"), "render 4");
    let log = standin.log("web-a-0");
    let last = log.last().expect("it ran");
    assert_eq!((&*last.method, last.key.as_deref()), ("POST", Some("k1")));
    assert_eq!((standin.runs("long"), standin.runs("post"), standin.runs("none")), (1, 1, 0));
}

#[parameterized(
    before = { "before", 0 },
    during = { "during", 1 },
    after = { "after", 1 },
    answer = { "answer", 1 },
    chunk = { "chunk", 1 },
)]
#[test_macro(tokio::test)]
async fn a_broken_request_is_never_answered_whole(broken: &str, runs: u32) {
    let (standin, address) = open();
    let client = client();
    let request = get(&client, address, "r").header(backend::directive::BREAK_HEADER, broken);
    let request = request.header(backend::directive::BODY_BYTES_HEADER, "50000");
    let answer = read_body(request.send().await).await;
    assert!(
        answer.is_err(),
        "{} bytes were accepted as the complete response",
        answer.unwrap().len()
    );
    assert_eq!(standin.runs("r"), runs);
    let next = get(&client, address, "next").send().await;
    read_body(next).await.expect("only that connection was broken");
}

#[tokio::test]
async fn a_request_that_runs_again_is_counted_as_doubled() {
    let (standin, address) = open();
    let client = client();
    for id in ["once", "twice", "twice"] {
        read_body(get(&client, address, id).send().await).await.expect("it is answered");
    }
    let summary = standin.report().requests;
    assert_eq!((summary.requests, summary.runs, summary.doubled), (2, 3, 1));
    assert_eq!(summary.doubled_ids, [Box::from("twice")]);
}

#[tokio::test]
async fn requests_beyond_slots_and_queue_are_refused_as_not_run() {
    let service_time = ServiceTime { fixed: Duration::from_secs(3600), drawn: Duration::ZERO };
    let plan = backend::plan::Plan { slots: 2, queue: 1, service_time, ..Default::default() };
    let (standin, address) = open_with(plan);
    let client = client();
    let stuck: Vec<_> = (0..3)
        .map(|number| tokio::spawn(get(&client, address, &format!("s{number}")).send()))
        .collect();
    while standin.report().backends[0].count.waiting == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = get(&client, address, "over").send().await.expect("it is answered");
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key(NOT_RUN_HEADER));
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!((standin.runs("over"), standin.report().requests.runs), (0, 2));
    stuck.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn a_connection_beyond_the_limit_is_closed() {
    let plan = backend::plan::Plan { connections: 2, ..Default::default() };
    let (standin, address) = open_with(plan);
    let held = [client(), client()];
    for client in &held {
        read_body(get(client, address, "held").send().await).await.expect("it is answered");
    }
    get(&client(), address, "third").send().await.expect_err("its connection is closed");
    assert_eq!((standin.runs("third"), standin.report().backends[0].count.connections), (0, 2));
}

#[parameterized(
    refusing = { Fault::state(State::Down), 503, true, false },
    failing = { Fault { failing: true, ..Fault::default() }, 500, false, false },
    leaving = { Fault { leaving: true, ..Fault::default() }, 200, false, true },
    slow = { Fault { slow_permille: 3000, ..Fault::default() }, 200, false, false },
)]
#[test_macro(tokio::test)]
async fn a_fault_shows_in_the_answer(fault: Fault, status: u16, not_run: bool, leaving: bool) {
    let (standin, address) = open();
    set(&standin, fault).await;
    let answer = get(&client(), address, "r").send().await.expect("it is answered");
    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers().contains_key(NOT_RUN_HEADER), not_run);
    assert_eq!(answer.headers().contains_key(LEAVING_HEADER), leaving);
    assert_eq!(standin.runs("r"), u32::from(!not_run));
    set(&standin, Fault::default()).await;
    let answer = get(&client(), address, "s").send().await.expect("it is answered");
    assert_eq!(answer.status(), 200);
}

#[tokio::test]
async fn a_frozen_server_runs_what_it_was_sent_when_it_goes_on() {
    let (standin, address) = open();
    set(&standin, Fault::state(State::Frozen)).await;
    let client = client();
    let given_up = get(&client, address, "r").timeout(Duration::from_millis(100)).send().await;
    assert!(given_up.expect_err("nobody answers").is_timeout());
    assert_eq!(standin.runs("r"), 0);
    set(&standin, Fault::default()).await;
    while standin.runs("r") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_killed_server_breaks_what_is_in_progress_and_comes_back_in_another_life() {
    let (standin, address) = open();
    let client = client();
    let slow = get(&client, address, "r").header(backend::directive::DELAY_HEADER, "3600000");
    let slow = tokio::spawn(slow.send());
    while standin.runs("r") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    set(&standin, Fault::state(State::Killed)).await;
    slow.await.expect("it ends").expect_err("its connection is broken");
    let gone = get(&client, address, "gone").send().await.expect_err("nobody listens");
    assert!(gone.is_connect());
    set(&standin, Fault::default()).await;
    read_body(get(&client, address, "back").send().await).await.expect("it is answered");
    assert_eq!(standin.member("web-a-0").map(|member| member.incarnation), Some(2));
}

#[tokio::test]
async fn a_kept_connection_can_be_closed_unannounced() {
    let (standin, address) = open();
    let client = client();
    let first =
        get(&client, address, "first").header(backend::directive::CLOSE_HEADER, "0").send().await;
    let first = first.expect("it is answered");
    assert!(!first.headers().contains_key("connection"), "the close is not announced");
    read_body(Ok(first)).await.expect("whole");
    while standin.report().backends[0].count.connections > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[parameterized(
    fixed = { 5, 0 },
    drawn = { 0, 5 },
)]
fn drawn_times_are_the_same_for_the_same_seed(fixed: u64, drawn: u64) {
    let (fixed, drawn) = (Duration::from_millis(fixed), Duration::from_millis(drawn));
    let time = ServiceTime { fixed, drawn };
    let sum = |seed| (0..10_000).map(|number| time.draw(seed, number)).sum::<Duration>();
    assert_eq!(sum(1), sum(1));
    let mean = sum(1) / 10_000;
    let expected = fixed + drawn;
    assert!(mean > expected.mul_f64(0.95) && mean < expected.mul_f64(1.05), "{mean:?}");
}

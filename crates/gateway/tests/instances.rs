//! The adapters to the list and to workers against the stand-in platform.

use std::time::Duration;

use cowslipchute_gateway::http::Origin;
use cowslipchute_gateway::list;
use cowslipchute_gateway::worker;
use cowslipchute_ports::list::List;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::View;
use cowslipchute_ports::worker::Error;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Worker;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::Partition;
use cowslipchute_standin::fault::State;
use cowslipchute_standin::fault::Target;
use poem::Route;
use poem::Server;
use poem::get;
use poem::handler;
use poem::listener::Acceptor as _;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use poem::web::Json;
use yare::parameterized;

/// Timeout of calls that are expected to fail.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of calls that are expected to succeed, also on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

fn open() -> Standin {
    cowslipchute_standin::open(&Plan::default()).expect("the stand-in opens")
}

fn exchange() -> Exchange {
    Exchange {
        cell: "a/0".into(),
        epoch: 3,
        incarnation: 1,
        grant: None,
        commands: vec![],
        acks: vec![],
        known: 0,
    }
}

#[parameterized(
    all = { &[], 8 },
    one = { &["a"], 4 },
    two = { &["a", "b"], 8 },
    unknown = { &["c"], 0 },
)]
#[test_macro(tokio::test)]
async fn the_list_is_read_by_domain(domains: &[&str], members: usize) {
    let standin = open();
    let list = list::Client::open(&standin.list_url());
    let domains: Vec<_> = domains.iter().map(|domain| (*domain).into()).collect();
    let view = list.read(&domains, None).await.expect("it is read").expect("none is known");
    assert_eq!(view.members.len(), members);
    assert!(view.members.is_sorted_by(|a, b| a.instance < b.instance));
}

#[tokio::test]
async fn a_list_that_refuses_is_an_error() {
    let standin = open();
    let list = list::Client::open(&standin.list_url());
    standin.set_fault(Target::List, Fault::state(State::Down)).await.expect("it is switched on");
    list.read(&[], None).await.expect_err("it refuses");
    standin.set_fault(Target::List, Fault::state(State::Killed)).await.expect("it is switched on");
    list.read(&[], Some(1)).await.expect_err("it is gone");
}

#[tokio::test]
async fn a_list_that_has_not_changed_is_not_sent_again() {
    let plan = Plan { list_lag: Duration::ZERO, ..Plan::default() };
    let standin = cowslipchute_standin::open(&plan).expect("the stand-in opens");
    let list = list::Client::open(&standin.list_url());
    let domains = ["a".into()];
    let first = list.read(&domains, None).await.expect("it is read").expect("none is known");
    for _ in 0..3 {
        let again = list.read(&domains, Some(first.version)).await.expect("it is read");
        assert_eq!(again, None);
    }
    let extra = Member { instance: "extra".into(), ..first.members[0].clone() };
    standin.register(extra.clone());
    let changed = list.read(&domains, Some(first.version)).await.expect("it is read");
    let changed = changed.expect("it has changed");
    assert!(changed.version > first.version);
    assert!(changed.members.contains(&extra));
    let report = standin.report();
    assert_eq!(
        (report.list_reads, report.list_sent),
        (5, 2),
        "the list is sent only after a change"
    );
}

/// A list without support for entity tags.
#[handler]
fn untagged() -> Json<View> {
    Json(View { version: 7, members: Vec::new() })
}

#[parameterized(
    nothing_known = { None, true },
    older_known = { Some(6), true },
    same_known = { Some(7), false },
)]
#[test_macro(tokio::test)]
async fn a_list_without_tags_is_read_all_the_same(known: Option<u64>, changed: bool) {
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("a free port");
    let address = *acceptor.local_addr()[0].as_socket_addr().expect("it is TCP");
    let app = Route::new().at(list::INSTANCES_PATH, get(untagged));
    let server = tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
    let list = list::Client::open(&format!("http://{address}"));
    let read = list.read(&[], known).await.expect("it is read");
    assert_eq!(read.map(|view| view.version), changed.then_some(7));
    server.abort();
}

#[tokio::test]
async fn a_worker_answers_with_its_report() {
    let standin = open();
    let workers = worker::Client::open(LONG_TIMEOUT);
    let first = &standin.addresses().workers[0];
    let report = workers.exchange(first.address, &exchange()).await.expect("it answers");
    assert_eq!((report.instance, report.obeyed, report.epoch), (first.instance.clone(), true, 3));
}

#[parameterized(
    gone = { Fault::state(State::Killed), true },
    frozen = { Fault::state(State::Frozen), false },
    refusing = { Fault::state(State::Down), false },
    losing_answers = { Fault { lose_answers: 1, ..Fault::default() }, false },
)]
#[test_macro(tokio::test)]
async fn a_failed_exchange_is_unsent_only_when_nothing_left(fault: Fault, unsent: bool) {
    let standin = open();
    let workers = worker::Client::open(CALL_TIMEOUT);
    let first = standin.addresses().workers[0].clone();
    standin.set_fault(Target::Worker(first.instance), fault).await.expect("it is switched on");
    let failed = workers.exchange(first.address, &exchange()).await;
    let failed = failed.expect_err("it brings no report");
    assert_eq!(matches!(failed, Error::Unsent(_)), unsent, "{failed:?}");
}

#[tokio::test]
async fn a_cut_holds_only_between_its_two_sides() {
    let standin = open();
    let from = |domain: &str, timeout: Duration| {
        let origin = Origin { domain: domain.into(), instance: "placer".into() };
        worker::Client::open(timeout).with_origin(origin)
    };
    standin.cut(Partition { a: "a".into(), b: "b".into() });
    let (near, far) = (&standin.addresses().workers[0], &standin.addresses().workers[2]);
    assert!(from("a", LONG_TIMEOUT).exchange(near.address, &exchange()).await.is_ok());
    assert!(from("a", CALL_TIMEOUT).exchange(far.address, &exchange()).await.is_err());
    assert!(from("b", LONG_TIMEOUT).exchange(far.address, &exchange()).await.is_ok());
    standin.heal(Partition { a: "b".into(), b: "a".into() });
    assert!(from("a", LONG_TIMEOUT).exchange(far.address, &exchange()).await.is_ok());
}

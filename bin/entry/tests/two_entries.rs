//! Two connected entries: repeated keys, announcements and the exchange of the configuration.

mod support;

use std::time::Duration;

use cowslipchute_claim::roster;
use cowslipchute_claim::roster::Roster;
use cowslipchute_claim::slot;
use cowslipchute_peer::identity::Identity;
use cowslipchute_resource::service;
use support::Running;
use support::backend;
use support::backend::Act;
use support::backend::Backend;
use support::platform::List;
use support::platform::Store;

struct Pair {
    store: Store,
    list: List,
    a: Running,
    b: Running,
}

/// Starts two entries in front of `servers` and waits until both are in the roster.
async fn open(servers: &[&Backend]) -> Pair {
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let list = List::of("shop", &addresses);
    let store = Store::with("shop", service::Spec::default());
    let identity = Identity::generate().expect("certificates can be made");
    let a = support::open_peer("entry-a", &identity, &list, &store).await;
    let b = support::open_peer("entry-b", &identity, &list, &store).await;
    support::until("both are members", || members(&store) == 2).await;
    Pair { store, list, a, b }
}

fn roster(store: &Store) -> Option<Roster> {
    let value = store.get(roster::KEY)?;
    serde_json::from_slice(&value).ok()
}

fn members(store: &Store) -> usize {
    roster(store).map_or(0, |roster| roster.members.len())
}

/// Returns `true` once the entry that joined last owns slots: the other one has handed them over.
fn are_slots_shared(store: &Store) -> bool {
    let is_last = |roster: &Roster, owner: u16| usize::from(owner) + 1 == roster.members.len();
    roster(store).is_some_and(|roster| {
        roster.members.len() == 2
            && roster.assignments.iter().any(|share| is_last(&roster, share.owner))
    })
}

/// Returns a key of the same slot as another.
fn sibling(key: &str) -> String {
    let mut keys = (0..).map(|number| format!("sibling-{number}"));
    keys.find(|other| slot::of("shop", other) == slot::of("shop", key)).expect("slots are few")
}

async fn book(entry: &Running, key: &str) -> reqwest::Response {
    let request = support::client().post(entry.url("/shop/renders"));
    request.header("idempotency-key", key).send().await.expect("the entry answers")
}

/// Books until the entry knows the key's owner; a claim before that is rejected at once.
async fn book_when_owned(entry: &Running, key: &str) -> reqwest::Response {
    for _ in 0..1000 {
        let response = book(entry, key).await;
        if support::code(&response) != 1304 {
            return response;
        }
        assert_eq!(response.headers()["cowslipchute-outcome"], "unknown");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the key {key} has no owner");
}

#[tokio::test]
async fn repeated_key_runs_once_whichever_entry_it_comes_through() {
    let server = Backend::open(|seen| backend::ok(seen.header("idempotency-key").unwrap())).await;
    let pair = open(&[&server]).await;
    for number in 0..20 {
        let key = format!("booking-{number}");
        let (first, second) = if number % 2 == 0 { (&pair.a, &pair.b) } else { (&pair.b, &pair.a) };
        let answer = book_when_owned(first, &key).await;
        assert_eq!(support::code(&answer), 1000);
        let runs = server.seen().len();
        // The settlement is sent concurrently with the answer, so the repeat may arrive before it.
        let repeat = loop {
            let repeat = book_when_owned(second, &key).await;
            if support::code(&repeat) != 1303 {
                break repeat;
            }
        };
        assert_eq!(support::code(&repeat), 1000);
        assert_eq!(repeat.text().await.unwrap(), key);
        assert_eq!(server.seen().len(), runs, "the repeat did not run");
    }
    assert_eq!(server.seen().len(), 20);
    pair.a.stop().await;
    pair.b.stop().await;
}

/// Guards against a repeat that gets any code but the one of a key in progress. While the key's
/// slot is being handed over, another code is correct, so both entries first learn the slot's
/// owner.
#[tokio::test]
async fn key_in_progress_is_told_through_the_other_entry() {
    let sibling = sibling("k");
    let is_sibling = sibling.clone();
    let server = Backend::open(move |seen| match seen.header("idempotency-key") {
        Some(key) if key == is_sibling => backend::ok(""),
        _ => Act::Hold,
    })
    .await;
    let pair = open(&[&server]).await;
    support::until("slots are handed over", || are_slots_shared(&pair.store)).await;
    for entry in [&pair.a, &pair.b] {
        book_when_owned(entry, &sibling).await;
    }
    let before = server.seen().len();
    assert_eq!(before, 1, "the sibling ran once");
    let url = pair.a.url("/shop/renders");
    let call = tokio::spawn(async move {
        loop {
            let request = support::client().post(&url).header("idempotency-key", "k");
            let response = request.send().await.expect("the entry answers");
            if support::code(&response) != 1304 {
                return support::code(&response);
            }
        }
    });
    support::until("it runs", || server.seen().len() == before + 1).await;
    for _ in 0..5 {
        let repeat = book(&pair.b, "k").await;
        assert_eq!(support::code(&repeat), 1303);
        assert_eq!(repeat.status(), 409);
    }
    assert_eq!(server.seen().len(), before + 1);
    call.abort();
    pair.a.stop().await;
    pair.b.stop().await;
}

/// Entry A learns from the backend server that it is leaving; entry B learns it only from A.
#[tokio::test]
async fn leaving_server_is_announced_to_the_other_entry() {
    let leaving = Backend::open(|seen| {
        let headers =
            if seen.head.contains("/from-a") { "cowslipchute-leaving: 1\r\n" } else { "" };
        Act::WriteLater(SLOW, backend::answer("200 OK", headers, ""))
    })
    .await;
    let staying = Backend::open(|_| Act::WriteLater(SLOW, backend::answer("200 OK", "", ""))).await;
    let pair = open(&[&leaving, &staying]).await;
    let reads = pair.list.reads();
    support::until("both know each other", || pair.list.reads() > reads + 4).await;

    let mut used = 0;
    while used == 0 {
        used = burst(&pair.b, "/shop/from-b", &leaving).await;
    }
    while burst(&pair.a, "/shop/from-a", &leaving).await == 0 {}
    let mut bursts = 0;
    while burst(&pair.b, "/shop/from-b", &leaving).await > 0 {
        bursts += 1;
        assert!(bursts < 100, "B goes on sending to the leaving server");
    }
    for _ in 0..10 {
        assert_eq!(burst(&pair.b, "/shop/from-b", &leaving).await, 0);
    }
    pair.a.stop().await;
    pair.b.stop().await;
}

/// Response time: long enough that the requests of a burst overlap and so use every server.
const SLOW: Duration = Duration::from_millis(20);
/// Requests in a burst: more than one server runs at once, fewer than both do.
const BURST: usize = 6;

/// Sends a burst and returns the number of its requests that `server` received.
async fn burst(entry: &Running, path: &str, server: &Backend) -> usize {
    let before = server.seen().len();
    let client = support::client();
    let calls: Vec<_> =
        (0..BURST).map(|_| tokio::spawn(client.get(entry.url(path)).send())).collect();
    for call in calls {
        let response = call.await.unwrap().expect("the entry answers");
        assert_eq!(support::code(&response), 1000);
    }
    server.seen().len() - before
}

/// An entry that can't read the store gets the configuration from the other entry.
#[tokio::test]
async fn new_entry_learns_the_configuration_from_its_peer() {
    let server = Backend::open(|_| backend::ok("")).await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let identity = Identity::generate().expect("certificates can be made");
    let a = support::open_peer("entry-a", &identity, &list, &store).await;
    store.set_down(true);
    let b = support::open_peer("entry-b", &identity, &list, &store).await;
    let response = support::client().get(b.url("/shop/a")).send().await.unwrap();
    assert_eq!(support::code(&response), 1000);
    a.stop().await;
    b.stop().await;
}

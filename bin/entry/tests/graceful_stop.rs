//! A graceful stop completes the requests in progress; a forced stop ends at once.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_resource::service;
use support::backend;
use support::backend::Act;
use support::backend::Backend;
use support::platform::List;
use support::platform::Store;

/// Number of clients that send requests while the entry stops.
const CLIENTS: usize = 16;

#[tokio::test]
async fn under_load_every_request_gets_its_whole_answer() {
    let server = Backend::open(|_| {
        Act::WriteLater(Duration::from_millis(5), backend::answer("200 OK", "", "whole"))
    })
    .await;
    let list = List::of("shop", &[server.address]);
    let spec = service::Spec { queue_wait: Duration::from_secs(30), ..Default::default() };
    let entry = support::open(&list, &Store::with("shop", spec), &[]).await;
    let stopping = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (url, stopping) = (entry.url("/shop/a"), stopping.clone());
        clients.push(tokio::spawn(load(url, stopping)));
    }
    support::until("the load runs", || server.seen().len() > 100).await;
    stopping.store(true, Ordering::SeqCst);
    entry.drain();
    support::until("the readiness is gone", || !entry.ready()).await;
    let mut whole = 0;
    for client in clients {
        whole += client.await.expect("no client saw a cut-off answer");
    }
    entry.ended().await;
    assert_eq!(server.seen().len(), whole, "every request that ran was answered");
}

/// Sends requests until one is rejected because the entry is stopping; returns the number of whole
/// answers.
async fn load(url: String, stopping: Arc<AtomicBool>) -> usize {
    let client = support::client();
    let mut whole = 0;
    loop {
        let response = client.post(&url).send().await.expect("no connection is cut off");
        let closes = response.headers().get("connection").is_some_and(|value| value == "close");
        match support::code(&response) {
            1000 => {
                assert_eq!(response.text().await.expect("the whole body"), "whole");
                whole += 1;
            }
            1205 => {
                assert!(closes, "an instance that stops closes its connections");
                assert!(response.headers().contains_key("retry-after"));
                assert!(
                    stopping.load(Ordering::SeqCst),
                    "requests are rejected with 1205 only during a stop"
                );
                return whole;
            }
            other => panic!("code {other}"),
        }
    }
}

#[tokio::test]
async fn waits_for_a_slow_request() {
    let server = Backend::open(|_| {
        Act::WriteLater(Duration::from_millis(1500), backend::answer("200 OK", "", "slow"))
    })
    .await;
    let list = List::of("shop", &[server.address]);
    let store = Store::with("shop", service::Spec::default());
    let entry = support::open(&list, &store, &[]).await;
    let call = tokio::spawn(support::client().post(entry.url("/shop/a")).send());
    support::until("the backend server has it", || server.seen().len() == 1).await;
    entry.drain();
    let response = call.await.unwrap().expect("the request in progress is answered");
    assert_eq!(support::code(&response), 1000);
    assert_eq!(response.text().await.unwrap(), "slow");
    entry.ended().await;
}

#[tokio::test]
async fn second_signal_ends_it_at_once() {
    let server = Backend::open(|_| Act::Hold).await;
    let list = List::of("shop", &[server.address]);
    let spec = service::Spec { deadline: Duration::from_secs(60), ..Default::default() };
    let entry = support::open(&list, &Store::with("shop", spec), &[]).await;
    let call = tokio::spawn(support::client().post(entry.url("/shop/a")).send());
    support::until("the backend server has it", || server.seen().len() == 1).await;
    entry.drain();
    support::until("the readiness is gone", || !entry.ready()).await;
    entry.force();
    entry.ended().await;
    assert!(call.await.unwrap().is_err(), "a forced stop cuts the caller off");
}

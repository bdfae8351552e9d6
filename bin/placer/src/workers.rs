//! The event loop that performs request/response exchanges with workers.

use std::time::Duration;
use std::time::Instant;

use cowslipchute_daemon::ring;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Worker;

use crate::message::Completion;
use crate::message::Exchange;
use crate::pump;

/// Performs exchanges until the ring is closed, at most `limit` at once and each within `timeout`.
pub async fn run<W: Worker>(
    client: W,
    limit: usize,
    timeout: Duration,
    inbox: ring::Receiver<Exchange>,
    outbox: ring::Sender<Completion>,
) {
    pump::run(inbox, outbox, limit, |request| {
        let client = client.clone();
        async move { make(&client, timeout, request).await }
    })
    .await;
}

async fn make<W: Worker>(client: &W, timeout: Duration, request: Exchange) -> Completion {
    let begun = Instant::now();
    let outcome = if request.permit.is_valid() {
        let call = client.exchange(request.address, &request.exchange);
        let late = |_| Err(worker::Error::Unknown(String::from("no answer in time")));
        tokio::time::timeout(timeout, call).await.unwrap_or_else(late)
    } else {
        Err(worker::Error::Unsent(String::from("the cell was given up")))
    };
    Completion {
        term: request.term,
        sequence: request.sequence,
        worker: request.worker,
        outcome,
        took: begun.elapsed(),
    }
}

//! The duty that performs request/response exchanges with workers.

use std::time::Duration;
use std::time::Instant;

use cowslipchute_daemon::ring;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Worker;

use crate::message::Errand;
use crate::message::Return;
use crate::pump;

/// Performs exchanges until the ring is closed, at most `limit` at once and each within `timeout`.
pub async fn run<W: Worker>(
    client: W,
    limit: usize,
    timeout: Duration,
    inbox: ring::Receiver<Errand>,
    outbox: ring::Sender<Return>,
) {
    pump::run(inbox, outbox, limit, |errand| {
        let client = client.clone();
        async move { make(&client, timeout, errand).await }
    })
    .await;
}

async fn make<W: Worker>(client: &W, timeout: Duration, errand: Errand) -> Return {
    let begun = Instant::now();
    let outcome = if errand.permit.is_valid() {
        let call = client.exchange(errand.address, &errand.exchange);
        let late = |_| Err(worker::Error::Unknown(String::from("no answer in time")));
        tokio::time::timeout(timeout, call).await.unwrap_or_else(late)
    } else {
        Err(worker::Error::Unsent(String::from("the cell was given up")))
    };
    Return {
        term: errand.term,
        sequence: errand.sequence,
        worker: errand.worker,
        outcome,
        took: begun.elapsed(),
    }
}

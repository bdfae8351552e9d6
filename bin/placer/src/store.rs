//! The event loop that calls the key-value service.

use std::future::Future;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_daemon::ring;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_resource::key::CELL;
use cowslipchute_tenure::event::Event;
use cowslipchute_tenure::key;

use crate::message::Answer;
use crate::message::Request;
use crate::metrics::Metrics;
use crate::pump;
use crate::records;

/// Maximum number of calls in flight. The ownership manager makes few, each cell one write.
const CALLS_MAX: usize = 64;

/// Parameters of the event loop.
#[derive(Clone, Debug)]
pub struct Context {
    /// Failure domain whose ownership keys are read.
    pub domain: id::Domain,
    /// Timeout of each call.
    pub timeout: Duration,
    /// Counts the calls.
    pub metrics: Metrics,
}

/// Handles requests until the ring is closed.
pub async fn run<S: Store>(
    store: S,
    context: Context,
    inbox: ring::Receiver<Request>,
    outbox: ring::Sender<Answer>,
) {
    pump::run(inbox, outbox, CALLS_MAX, |request| {
        let store = store.clone();
        let context = context.clone();
        async move { handle(&store, &context, request).await }
    })
    .await;
}

async fn handle<S: Store>(store: &S, context: &Context, request: Request) -> Answer {
    context.metrics.store_call(kind(&request));
    let limit = context.timeout;
    match request {
        Request::ReadDomain { ticket } => {
            let prefix = key::domain(&context.domain);
            let outcome = read_within(limit, store.read(&prefix)).await;
            Answer::Ownership(Event::DomainRead { ticket, outcome })
        }
        Request::Commit { ticket, txn } => {
            let outcome = write_within(limit, store.commit(txn)).await;
            Answer::Ownership(Event::Committed { ticket, outcome })
        }
        Request::Grant { ticket, ttl } => {
            let outcome = write_within(limit, store.grant(ttl)).await;
            Answer::Ownership(Event::Granted { ticket, outcome })
        }
        Request::Renew { ticket, lease } => {
            let outcome = write_within(limit, store.keep_alive(lease)).await;
            Answer::Ownership(Event::Renewed { ticket, outcome })
        }
        Request::Revoke { lease } => {
            // The result does not matter: a lease that was not revoked expires by itself.
            let _ = write_within(limit, store.revoke(lease)).await;
            Answer::Revoked
        }
        Request::Load { term } => {
            let outcome = read_within(limit, records::load(store, &term.cell)).await;
            Answer::Loaded { term, outcome }
        }
        Request::Write { term, batch } => {
            let number = batch.number;
            let written = records::write(store, &batch).await;
            Answer::Written { term, number, written }
        }
        Request::Claim { txn } => {
            let outcome = write_within(limit, store.commit(txn.clone())).await;
            Answer::Claimed { txn, outcome }
        }
        Request::Cells => {
            let outcome = read_within(limit, store.read(CELL)).await;
            Answer::Cells { outcome: outcome.map(cells) }
        }
    }
}

fn cells(snapshot: kv::Snapshot) -> Vec<id::Cell> {
    snapshot.entries.iter().filter_map(|entry| key::parse_cell(&entry.key)).collect()
}

async fn read_within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, kv::Error>>,
) -> Result<T, kv::Error> {
    let late = |_| Err(kv::Error::Unavailable(String::from("the read took too long")));
    tokio::time::timeout(limit, call).await.unwrap_or_else(late)
}

async fn write_within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, kv::Error>>,
) -> Result<T, kv::Error> {
    let late = |_| Err(kv::Error::Unknown(String::from("the write took too long")));
    tokio::time::timeout(limit, call).await.unwrap_or_else(late)
}

fn kind(request: &Request) -> &'static str {
    match request {
        Request::ReadDomain { .. } => "look",
        Request::Commit { .. } => "own",
        Request::Grant { .. } => "grant",
        Request::Renew { .. } => "renew",
        Request::Revoke { .. } => "revoke",
        Request::Load { .. } => "load",
        Request::Write { .. } => "record",
        Request::Claim { .. } => "home",
        Request::Cells => "cells",
    }
}

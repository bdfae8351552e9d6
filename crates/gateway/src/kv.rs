//! The key-value service over etcd's JSON gateway.
//!
//! Each call is one request and is never sent twice. Failures are classified by whether the call
//! can have taken effect: only a write that was never sent, or that the store refused before
//! applying anything, is `Unavailable`; every other failure of a write is `Unknown`.

mod call;
mod watch;
pub mod wire;

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::LeaseId;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Snapshot;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::kv::TxnOutcome;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;

use crate::http;
use crate::http::Origin;
use call::Effect;

/// Longest silence of a watch before it is ended as `Unavailable`. The store has to send progress
/// more often (`docs/OPERATING.md`).
const WATCH_SILENCE_MAX: Duration = Duration::from_secs(10);

/// A client of the key-value service.
///
/// Its connections belong to the runtime that makes the calls, so each duty opens its own client.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: String,
    call_timeout: Duration,
    watch_silence: Duration,
    origin: Option<Origin>,
}

impl Client {
    /// Opens a client of the service at `base_url` without sending anything. A call without a
    /// response within `call_timeout` fails.
    pub fn open(base_url: &str, call_timeout: Duration) -> Client {
        Client {
            http: http::client(call_timeout),
            base: base_url.trim_end_matches('/').to_owned(),
            call_timeout,
            watch_silence: WATCH_SILENCE_MAX,
            origin: None,
        }
    }

    /// Adds the origin to each request.
    pub fn with_origin(mut self, origin: Origin) -> Client {
        self.origin = Some(origin);
        self
    }

    /// Sets the longest silence of a watch before it ends as `Unavailable`.
    pub fn with_watch_silence(mut self, silence: Duration) -> Client {
        self.watch_silence = silence;
        self
    }
}

impl Store for Client {
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error> {
        let request = wire::RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: wire::prefix_end(prefix.as_bytes()),
        };
        let response: wire::RangeResponse =
            self.call(wire::RANGE, &request, Effect::Nothing).await?;
        let entries = response.kvs.into_iter().map(entry).collect::<Result<_, _>>()?;
        Ok(Snapshot { revision: response.header.revision, entries })
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        let request = transaction(txn)?;
        let response: wire::txn::Response = self.call(wire::TXN, &request, Effect::Change).await?;
        verdict(response).map_err(call::protocol_as_unknown)
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let request = wire::Lease { id: 0, ttl: lease_seconds(ttl) };
        let lease: wire::Lease = self.call(wire::LEASE_GRANT, &request, Effect::Change).await?;
        Ok(lease.id)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error> {
        let request = wire::Lease { id: lease, ttl: 0 };
        let response: wire::Streamed<wire::Lease> =
            self.call(wire::LEASE_KEEP_ALIVE, &request, Effect::Change).await?;
        let renewed = response
            .result
            .ok_or_else(|| Error::Unknown(String::from("the renewal's answer holds no lease")))?;
        match u64::try_from(renewed.ttl) {
            Ok(seconds) if seconds > 0 => Ok(Duration::from_secs(seconds)),
            _ => Err(Error::LeaseExpired),
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let request = wire::Lease { id: lease, ttl: 0 };
        let _: serde_json::Value = self.call(wire::LEASE_REVOKE, &request, Effect::Change).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Revision) -> Result<mpsc::Receiver<Update>, Error> {
        self.open_watch(prefix, after).await
    }
}

/// Rounds up to whole seconds, the store's unit, and to its shortest lease of one second.
fn lease_seconds(ttl: Duration) -> i64 {
    ttl.as_millis().div_ceil(1000).max(1) as i64
}

fn transaction(txn: Txn) -> Result<wire::txn::Request, Error> {
    let too_large = |change: &Change| match change {
        Change::Put { value, .. } => value.len() > wire::VALUE_MAX_BYTES,
        Change::Delete { .. } => false,
    };
    if txn.changes.iter().any(too_large) {
        return Err(Error::Unavailable(String::from("a value is over the store's limit")));
    }
    Ok(wire::txn::Request {
        compare: txn.preconditions.iter().map(compare).collect(),
        success: txn.changes.into_iter().map(change).collect(),
        failure: txn.preconditions.iter().map(read_back).collect(),
    })
}

fn compare(guard: &Precondition) -> wire::txn::Compare {
    match guard {
        Precondition::Missing(key) => wire::txn::Compare {
            result: wire::txn::Relation::Equal,
            target: wire::txn::Target::Create,
            key: key.as_bytes().to_vec(),
            create_revision: Some(0),
            ..wire::txn::Compare::default()
        },
        Precondition::Unchanged(key, revision) => wire::txn::Compare {
            result: wire::txn::Relation::Equal,
            target: wire::txn::Target::Mod,
            key: key.as_bytes().to_vec(),
            mod_revision: Some(*revision),
            ..wire::txn::Compare::default()
        },
        Precondition::Present(key) => wire::txn::Compare {
            result: wire::txn::Relation::Greater,
            target: wire::txn::Target::Version,
            key: key.as_bytes().to_vec(),
            version: Some(0),
            ..wire::txn::Compare::default()
        },
    }
}

fn change(change: Change) -> wire::txn::Step {
    match change {
        Change::Put { key, value, lease } => wire::txn::Step {
            request_put: Some(wire::txn::Put { key: key.into_bytes(), value, lease }),
            ..wire::txn::Step::default()
        },
        Change::Delete { key } => wire::txn::Step {
            request_delete_range: Some(wire::txn::Delete {
                key: key.into_bytes(),
                range_end: Vec::new(),
            }),
            ..wire::txn::Step::default()
        },
    }
}

/// Returns a step that reads a guarded key back when the guards don't hold, so that the caller sees
/// why.
fn read_back(guard: &Precondition) -> wire::txn::Step {
    let (Precondition::Missing(key) | Precondition::Unchanged(key, _) | Precondition::Present(key)) =
        guard;
    let range = wire::RangeRequest { key: key.as_bytes().to_vec(), range_end: Vec::new() };
    wire::txn::Step { request_range: Some(range), ..wire::txn::Step::default() }
}

fn verdict(response: wire::txn::Response) -> Result<TxnOutcome, Error> {
    let found = response.responses.into_iter().filter_map(|op| op.response_range);
    let kvs = found.flat_map(|range| range.kvs);
    Ok(TxnOutcome {
        applied: response.succeeded,
        revision: response.header.revision,
        current: kvs.map(entry).collect::<Result<_, _>>()?,
    })
}

fn entry(kv: wire::KeyValue) -> Result<Entry, Error> {
    let key = String::from_utf8(kv.key)
        .map_err(|_| Error::Protocol(String::from("a key is not UTF-8")))?;
    Ok(Entry { key, value: kv.value, revision: kv.mod_revision, lease: kv.lease })
}

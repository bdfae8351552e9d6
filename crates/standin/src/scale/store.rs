//! The platform's store: keys with revisions, transactions, leases and watches.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::http::Answer;
use super::http::Request;
use super::http::parameter;

/// Maximum number of items on a page and of changes in an answer.
const PAGE_SIZE: usize = 500;
/// Number of changes kept for watches.
const MAX_HISTORY: usize = 40_000;

#[derive(Clone, Debug)]
struct Item {
    /// Value in base64, as clients send and receive it.
    value: String,
    revision: u64,
    lease: i64,
}

#[derive(Debug)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    changes: VecDeque<Change>,
    leases: BTreeMap<i64, (Instant, Duration)>,
    last_lease: i64,
}

/// The store.
#[derive(Debug)]
pub(super) struct Store {
    state: Mutex<State>,
    /// Revision of the last change.
    changed: watch::Sender<u64>,
}

impl State {
    fn set(&mut self, key: &str, item: Option<Item>) {
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None if self.items.remove(key).is_none() => return,
            None => {}
        }
        self.changes.push_back(Change { key: key.to_owned(), revision: self.revision, item });
        if self.changes.len() > MAX_HISTORY {
            self.changes.pop_front();
        }
    }

    fn expire_leases(&mut self) {
        let expired = self.leases.iter().filter(|(_, (at, ttl))| at.elapsed() > *ttl);
        let expired: Vec<i64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in bound {
            self.revision += 1;
            self.set(&key, None);
        }
    }
}

fn render(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision, "created": item.revision,
        "lease-id": item.lease,
    })
}

impl Store {
    /// Opens an empty store.
    pub(super) fn open() -> Store {
        Store { state: Mutex::default(), changed: watch::channel(0).0 }
    }

    fn change<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().expect("the store has not panicked");
        state.expire_leases();
        let outcome = act(&mut state);
        self.changed.send_replace(state.revision);
        outcome
    }

    /// Writes a key.
    pub(super) fn put(&self, key: &str, value: &[u8]) {
        self.change(|state| {
            state.revision += 1;
            let value = STANDARD.encode(value);
            let item = Item { value, revision: state.revision, lease: 0 };
            state.set(key, Some(item));
        });
    }

    /// Answers a call.
    pub(super) async fn handle(&self, request: &Request) -> Answer {
        let target = &request.target;
        let path = target.split('?').next().unwrap_or_default();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match path.split('/').nth(2).unwrap_or_default() {
            "kv-range" => self.range(target),
            "kv-watch" => self.watch(target).await,
            "kv-txn" => self.change(|state| commit(state, &body)),
            "kv-lease" => self.grant(body["ttl-ms"].as_u64().unwrap_or(0)),
            "kv-keep" => self.keep(lease),
            "kv-lease-end" => self.change(|state| {
                state.end_lease(lease);
                (200, String::from("{}"))
            }),
            _ => (404, String::from("{}")),
        }
    }

    fn range(&self, target: &str) -> Answer {
        let prefix = parameter(target, "prefix").unwrap_or_default();
        let after = parameter(target, "after").unwrap_or_default().replace("%2F", "/");
        let after = after.replace("%2D", "-");
        self.change(|state| {
            let mut found = state
                .items
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .filter(|(key, _)| **key > after);
            let items: Vec<Value> =
                found.by_ref().take(PAGE_SIZE).map(|(key, item)| render(key, item)).collect();
            let more = found.next().is_some();
            let page = json!({ "items": items, "has-more": more, "at": state.revision });
            (200, page.to_string())
        })
    }

    async fn watch(&self, target: &str) -> Answer {
        let prefix = parameter(target, "prefix").unwrap_or_default();
        let number = |name| parameter(target, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms) = (number("after"), number("wait-ms"));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Some(answer) = self.changes(prefix, after, Instant::now() >= until) {
                return answer;
            }
            // The sender lives as long as the store; the time limit is checked above.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }

    fn changes(&self, prefix: &str, after: u64, is_last: bool) -> Option<Answer> {
        let state = self.state.lock().expect("the store has not panicked");
        let oldest = state.changes.front().map_or(0, |change| change.revision);
        if after + 1 < oldest {
            return Some((410, String::from("{}")));
        }
        let first = state.changes.partition_point(|change| change.revision <= after);
        let found = state.changes.range(first..).filter(|change| change.key.starts_with(prefix));
        let found: Vec<&Change> = found.take(PAGE_SIZE).collect();
        if found.is_empty() && !is_last {
            return None;
        }
        let is_full = found.len() == PAGE_SIZE;
        let at = found.last().filter(|_| is_full).map_or(state.revision, |last| last.revision);
        let events: Vec<Value> = found.iter().map(|change| render_change(change)).collect();
        Some((200, json!({ "events": events, "at": at }).to_string()))
    }

    fn grant(&self, ttl_ms: u64) -> Answer {
        self.change(|state| {
            state.last_lease += 1;
            let lease = state.last_lease;
            state.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl_ms)));
            (200, json!({ "lease-id": lease, "ttl-ms": ttl_ms }).to_string())
        })
    }

    fn keep(&self, lease: i64) -> Answer {
        self.change(|state| match state.leases.get_mut(&lease) {
            Some((at, ttl)) => {
                *at = Instant::now();
                (200, json!({ "ttl-ms": ttl.as_millis() as u64 }).to_string())
            }
            None => (404, String::from("{}")),
        })
    }
}

fn render_change(change: &Change) -> Value {
    match &change.item {
        Some(item) => render(&change.key, item),
        None => json!({ "key": change.key, "revision": change.revision, "deleted": true }),
    }
}

fn rows<'a>(txn: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> + Clone {
    txn[field].as_array().into_iter().flatten()
}

fn key(row: &Value) -> &str {
    row["key"].as_str().unwrap_or_default()
}

fn commit(state: &mut State, txn: &Value) -> Answer {
    let expected = rows(txn, "expected-revision");
    let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    if expected.clone().any(|row| row["revision"].as_u64() != Some(revision_of(key(row)))) {
        let items: Vec<Value> = expected
            .map(|row| match state.items.get(key(row)) {
                Some(item) => render(key(row), item),
                None => json!({ "key": key(row), "revision": 0 }),
            })
            .collect();
        return (412, json!({ "items": items }).to_string());
    }
    state.revision += 1;
    let revision = state.revision;
    for row in rows(txn, "set-keys") {
        let value = row["value"].as_str().unwrap_or_default().to_owned();
        let lease = row["lease-id"].as_i64().unwrap_or(0);
        state.set(key(row), Some(Item { value, revision, lease }));
    }
    for removed in rows(txn, "remove") {
        state.set(removed.as_str().unwrap_or_default(), None);
    }
    (200, json!({ "revision": revision }).to_string())
}

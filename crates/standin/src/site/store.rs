//! The site's store, with revisions, transactions, leases and watches.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use poem::Endpoint as _;
use poem::EndpointExt as _;
use poem::Response;
use poem::Route;
use poem::delete;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::post;
use poem::web::Data;
use poem::web::Json;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::State;

type Shared = Arc<Mutex<State>>;

/// The interval at which a waiting watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Changes kept for watches.
const MAX_HISTORY: usize = 20_000;
/// Largest value that is accepted, unless a test sets another limit.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Shortest lease that is granted, unless a test sets another limit.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Longest key that is accepted.
const MAX_KEY_BYTES: usize = 200;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: i64,
}

/// One change, as reported to watches.
#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

/// The way in which the store responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It responds normally.
    #[default]
    Well,
    /// It responds to every call with status 503.
    Busy,
    /// It carries out every call and never responds.
    Silent,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    items: BTreeMap<String, Item>,
    revision: u64,
    changes: Vec<Change>,
    /// The oldest revision from which watches can resume.
    compacted: u64,
    leases: BTreeMap<i64, (Instant, Duration)>,
    last_lease: i64,
    /// The way in which it responds.
    pub mode: Mode,
    /// The delay of each response.
    pub delay: Duration,
    /// Calls so far.
    pub calls: u64,
    /// The largest value that it accepts.
    pub max_value_bytes: usize,
    /// The shortest lease that it grants.
    pub min_lease: Duration,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            items: BTreeMap::new(),
            revision: 0,
            changes: Vec::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            last_lease: 0,
            mode: Mode::default(),
            delay: Duration::ZERO,
            calls: 0,
            max_value_bytes: MAX_VALUE_BYTES,
            min_lease: MIN_LEASE,
        }
    }
}

impl Store {
    /// Writes a key.
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        self.put_at_revision(key, value, lease);
    }

    /// Writes a key in the current revision.
    fn put_at_revision(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change { key: key.to_owned(), revision, item: Some(item) });
        self.trim_history();
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.remove_at_revision(key);
    }

    /// Removes a key in the current revision.
    fn remove_at_revision(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.changes.push(Change { key: key.to_owned(), revision, item: None });
        }
    }

    fn trim_history(&mut self) {
        if self.changes.len() > MAX_HISTORY {
            self.compact();
        }
    }

    /// Drops the history. Watches from earlier revisions have to start again.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.changes.clear();
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.items.get(key).map(|item| item.value.as_slice())
    }

    /// Returns the revision at which a key was created.
    pub fn created(&self, key: &str) -> Option<u64> {
        self.items.get(key).map(|item| item.created)
    }

    /// Expires every lease now, as an outage may.
    pub fn expire_all_leases(&mut self) {
        let all: Vec<i64> = self.leases.keys().copied().collect();
        for lease in all {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.remove(&key);
        }
    }

    fn expire_leases(&mut self) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (at, ttl))| at.elapsed() > *ttl)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }
}

fn render(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "created": item.created, "lease-id": item.lease,
    })
}

fn reply(status: StatusCode, body: &Value) -> Response {
    Response::builder().status(status).content_type("application/json").body(body.to_string())
}

/// Returns the store's routes.
pub(super) fn routes(state: Shared) -> Route {
    let routes = Route::new()
        .at("/v1/kv-key", get(read_key))
        .at("/v1/kv-range", get(read_range))
        .at("/v1/kv-watch", get(watch_prefix))
        .at("/v1/kv-txn", post(commit_txn))
        .at("/v1/kv-lease", post(grant_lease))
        .at("/v1/kv-keep/:id", post(keep_lease))
        .at("/v1/kv-lease-end/:id", delete(end_lease));
    let shared = state.clone();
    let guarded = routes.data(state).around(move |routes, request| {
        let state = shared.clone();
        async move {
            let (mood, delay) = {
                let mut state = state.lock().expect("no server of the site has panicked");
                state.store.calls += 1;
                state.store.expire_leases();
                (state.store.mode, state.store.delay)
            };
            tokio::time::sleep(delay).await;
            if mood == Mode::Busy {
                return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
            }
            let response = routes.call(request).await?;
            if mood == Mode::Silent {
                std::future::pending::<()>().await;
            }
            Ok(poem::IntoResponse::into_response(response))
        }
    });
    Route::new().nest("/", guarded)
}

#[derive(Deserialize)]
struct Key {
    key: String,
}

#[handler]
fn read_key(Query(query): Query<Key>, state: Data<&Shared>) -> Response {
    let state = state.lock().expect("no server of the site has panicked");
    match state.store.items.get(&query.key) {
        Some(item) => {
            let mut body = render(&query.key, item);
            body["at"] = state.store.revision.into();
            reply(StatusCode::OK, &body)
        }
        None => reply(StatusCode::NOT_FOUND, &json!({ "at": state.store.revision })),
    }
}

#[derive(Deserialize)]
struct Range {
    prefix: String,
    #[serde(default)]
    after: String,
}

#[handler]
fn read_range(Query(query): Query<Range>, state: Data<&Shared>) -> Response {
    /// Items on one page.
    const PAGE_SIZE: usize = 50;
    /// Bytes of values after which a page ends.
    const PAGE_BYTES: usize = 1 << 20;
    let state = state.lock().expect("no server of the site has panicked");
    let mut found = state
        .store
        .items
        .range(query.after.clone()..)
        .filter(|(key, _)| key.starts_with(&query.prefix) && **key > query.after);
    let mut items: Vec<Value> = Vec::new();
    let mut bytes = 0;
    while items.len() < PAGE_SIZE && bytes < PAGE_BYTES {
        let Some((key, item)) = found.next() else { break };
        bytes += item.value.len();
        items.push(render(key, item));
    }
    let more = found.next().is_some();
    let at = state.store.revision;
    reply(StatusCode::OK, &json!({ "items": items, "has-more": more, "at": at }))
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Watch {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[handler]
async fn watch_prefix(Query(query): Query<Watch>, state: Data<&Shared>) -> Response {
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let state = state.lock().expect("no server of the site has panicked");
            if query.after < state.store.compacted {
                return reply(StatusCode::GONE, &json!({}));
            }
            // Changes are in the order of their revisions.
            let changes = &state.store.changes;
            let first = changes.partition_point(|change| change.revision <= query.after);
            let events: Vec<Value> = changes[first..]
                .iter()
                .filter(|change| change.key.starts_with(&query.prefix))
                .map(|change| match &change.item {
                    Some(item) => render(&change.key, item),
                    None => {
                        json!({"key": change.key, "revision": change.revision, "deleted": true})
                    }
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let at = state.store.revision;
                return reply(StatusCode::OK, &json!({ "events": events, "at": at }));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[derive(Deserialize)]
struct Expected {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    lease_id: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Txn {
    #[serde(default)]
    expected_revision: Vec<Expected>,
    #[serde(default)]
    set_keys: Vec<Put>,
    #[serde(default)]
    remove: Vec<String>,
}

#[handler]
fn commit_txn(Json(txn): Json<Txn>, state: Data<&Shared>) -> Response {
    /// Entries allowed in one transaction.
    const MAX_ENTRIES: usize = 32;
    let mut state = state.lock().expect("no server of the site has panicked");
    let store = &mut state.store;
    if txn.expected_revision.len() + txn.set_keys.len() + txn.remove.len() > MAX_ENTRIES {
        return reply(StatusCode::BAD_REQUEST, &json!({ "error": "too many entries" }));
    }
    let revision_of =
        |store: &Store, key: &str| store.items.get(key).map_or(0, |item| item.revision);
    if txn.expected_revision.iter().any(|row| revision_of(store, &row.key) != row.revision) {
        let items: Vec<Value> = txn
            .expected_revision
            .iter()
            .map(|row| match store.items.get(&row.key) {
                Some(item) => render(&row.key, item),
                None => json!({ "key": row.key, "revision": 0 }),
            })
            .collect();
        return reply(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }));
    }
    let is_known = |lease: i64| lease == 0 || store.leases.contains_key(&lease);
    if !txn.set_keys.iter().all(|put| is_known(put.lease_id)) {
        return reply(StatusCode::NOT_FOUND, &json!({}));
    }
    let decoded: Result<Vec<_>, _> = txn
        .set_keys
        .iter()
        .map(|put| STANDARD.decode(&put.value).map(|value| (put, value)))
        .collect();
    let Ok(decoded) = decoded else {
        return reply(StatusCode::BAD_REQUEST, &json!({ "error": "not base64" }));
    };
    if decoded.iter().any(|(_, value)| value.len() > store.max_value_bytes) {
        return reply(StatusCode::BAD_REQUEST, &json!({ "error": "a value is too large" }));
    }
    if decoded.iter().any(|(put, _)| put.key.len() > MAX_KEY_BYTES) {
        return reply(StatusCode::BAD_REQUEST, &json!({ "error": "a key is too long" }));
    }
    store.revision += 1;
    for (put, value) in decoded {
        store.put_at_revision(&put.key, value, put.lease_id);
    }
    for key in txn.remove {
        store.remove_at_revision(&key);
    }
    let revision = store.revision;
    reply(StatusCode::OK, &json!({ "revision": revision }))
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Ttl {
    ttl_ms: u64,
}

#[handler]
fn grant_lease(Json(ttl): Json<Ttl>, state: Data<&Shared>) -> Response {
    let mut state = state.lock().expect("no server of the site has panicked");
    let ttl = Duration::from_millis(ttl.ttl_ms);
    if ttl < state.store.min_lease {
        return reply(StatusCode::BAD_REQUEST, &json!({ "error": "the lease is too short" }));
    }
    state.store.last_lease += 1;
    let id = state.store.last_lease;
    state.store.leases.insert(id, (Instant::now(), ttl));
    reply(StatusCode::OK, &json!({ "lease-id": id, "ttl-ms": ttl.as_millis() as u64 }))
}

#[handler]
fn keep_lease(Path(id): Path<i64>, state: Data<&Shared>) -> Response {
    let mut state = state.lock().expect("no server of the site has panicked");
    match state.store.leases.get_mut(&id) {
        Some((at, ttl)) => {
            *at = Instant::now();
            reply(StatusCode::OK, &json!({ "ttl-ms": ttl.as_millis() as u64 }))
        }
        None => reply(StatusCode::NOT_FOUND, &json!({})),
    }
}

#[handler]
fn end_lease(Path(id): Path<i64>, state: Data<&Shared>) -> Response {
    let mut state = state.lock().expect("no server of the site has panicked");
    state.store.remove_lease(id);
    reply(StatusCode::OK, &json!({}))
}

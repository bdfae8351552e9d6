//! Checks the messages against etcd's published gateway, because both our adapter and the simulated
//! platform use them.

use cowslipchute_gateway::kv::wire;
use serde_json::json;
use yare::parameterized;

#[test]
fn a_range_response_is_read_as_etcd_writes_it() {
    let text = r#"{
        "header": {"cluster_id": "12585971608760269493", "member_id": "13847567121247652255",
                   "revision": "2", "raft_term": "3"},
        "kvs": [{"key": "Zm9v", "create_revision": "2", "mod_revision": "2", "version": "1",
                 "value": "YmFy"}],
        "count": "1"}"#;
    let response: wire::RangeResponse = serde_json::from_str(text).expect("it is read");
    assert_eq!(response.header.revision, 2);
    assert_eq!(
        (response.kvs[0].key.as_slice(), response.kvs[0].value.as_slice()),
        (&b"foo"[..], &b"bar"[..])
    );
    assert_eq!((response.kvs[0].mod_revision, response.kvs[0].lease, response.count), (2, 0, 1));
}

#[test]
fn a_transaction_is_written_as_etcd_reads_it() {
    let compare = wire::txn::Compare {
        result: wire::txn::Relation::Equal,
        target: wire::txn::Target::Create,
        key: b"foo".to_vec(),
        create_revision: Some(2),
        ..wire::txn::Compare::default()
    };
    let put = wire::txn::Put { key: b"foo".to_vec(), value: b"bar".to_vec(), lease: 7 };
    let step = wire::txn::Step { request_put: Some(put), ..wire::txn::Step::default() };
    let txn = wire::txn::Request { compare: vec![compare], success: vec![step], failure: vec![] };
    let expected = json!({
        "compare": [
            {"result": "EQUAL", "target": "CREATE", "key": "Zm9v", "create_revision": "2"},
        ],
        "success": [{"request_put": {"key": "Zm9v", "value": "YmFy", "lease": "7"}}],
        "failure": [],
    });
    assert_eq!(serde_json::to_value(&txn).expect("it is written"), expected);
}

#[test]
fn a_refused_transaction_leaves_out_what_is_false() {
    let text = r#"{"header": {"revision": "9"}, "responses": [
        {"response_range": {"header": {"revision": "9"}, "count": "0"}}]}"#;
    let response: wire::txn::Response = serde_json::from_str(text).expect("it is read");
    assert!(!response.succeeded);
    assert_eq!(response.responses.len(), 1);
}

#[test]
fn a_watch_response_leaves_out_the_kind_of_a_put() {
    let text = r#"{"result": {"header": {"revision": "3"}, "events": [
        {"kv": {"key": "Zm9v", "mod_revision": "3", "version": "1", "value": "YmFy"}},
        {"type": "DELETE", "kv": {"key": "Zm9v", "mod_revision": "4"}}]}}"#;
    let line: wire::Streamed<wire::watch::Response> =
        serde_json::from_str(text).expect("it is read");
    let kinds: Vec<wire::watch::Kind> =
        line.result.expect("it has a result").events.iter().map(|event| event.kind).collect();
    assert_eq!(kinds, [wire::watch::Kind::Put, wire::watch::Kind::Delete]);
}

#[test]
fn a_lapsed_lease_comes_without_a_time_to_live() {
    let text = r#"{"result": {"header": {"revision": "2"}, "ID": "7587848390312383025"}}"#;
    let line: wire::Streamed<wire::Lease> = serde_json::from_str(text).expect("it is read");
    assert_eq!(line.result, Some(wire::Lease { id: 7_587_848_390_312_383_025, ttl: 0 }));
}

#[parameterized(
    plain = { b"a/", b"a0" },
    carrying = { b"a\xff", b"b" },
    all = { b"", b"\0" },
    last = { b"\xff\xff", b"\0" },
)]
fn a_prefix_ends_where_the_next_one_begins(prefix: &[u8], end: &[u8]) {
    assert_eq!(wire::prefix_end(prefix), end);
}

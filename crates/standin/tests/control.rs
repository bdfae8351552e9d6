//! The control server over HTTP.

use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use cowslipchute_standin::control;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

fn open() -> Standin {
    cowslipchute_standin::open(&Plan::default()).expect("the stand-in opens")
}

async fn post(standin: &Standin, path: &str, body: Value) -> u16 {
    let url = format!("http://{}{path}", standin.addresses().control);
    let client = reqwest::Client::builder().no_proxy().build().expect("it opens");
    client.post(url).json(&body).send().await.expect("it is answered").status().as_u16()
}

async fn show(standin: &Standin, path: &str) -> Value {
    let url = format!("http://{}{path}", standin.addresses().control);
    let client = reqwest::Client::builder().no_proxy().build().expect("it opens");
    client.get(url).send().await.expect("it is answered").json().await.expect("it is JSON")
}

#[parameterized(
    store = { json!({"target": "store", "fault": {"state": "down"}}), 204 },
    list = { json!({"target": "list", "fault": {"state": "killed"}}), 204 },
    backend = { json!({"target": {"backend": "web-a-0"}, "fault": {"lose_answers": 2}}), 204 },
    worker = { json!({"target": {"worker": "worker-b-1"}, "fault": {"failing": true}}), 204 },
    domain = { json!({"target": {"domain": "b"}, "fault": {"state": "killed"}}), 204 },
    cleared = { json!({"target": {"domain": "b"}}), 204 },
    no_such_worker = { json!({"target": {"worker": "x"}}), 404 },
    no_such_state = { json!({"target": "store", "fault": {"state": "odd"}}), 400 },
    no_such_field = { json!({"target": "store", "fault": {"odd": 1}}), 400 },
)]
#[test_macro(tokio::test)]
async fn an_order_is_obeyed_or_refused(order: Value, status: u16) {
    let standin = open();
    assert_eq!(post(&standin, control::FAULT, order).await, status);
}

#[tokio::test]
async fn cuts_and_records_are_shown() {
    let standin = open();
    assert_eq!(post(&standin, control::CUT, json!({"a": "b", "b": "a"})).await, 204);
    let report = show(&standin, control::REPORT).await;
    assert_eq!(report["cuts"], json!([{"a": "a", "b": "b"}]));
    assert_eq!(post(&standin, control::HEAL, json!({"a": "a", "b": "b"})).await, 204);
    assert_eq!(show(&standin, control::REPORT).await["cuts"], json!([]));
    assert_eq!(show(&standin, control::VIOLATIONS).await, json!([]));
    assert_eq!(show(&standin, "/standin/runs/none").await, json!(0));
    let addresses = show(&standin, control::ADDRESSES).await;
    assert_eq!(addresses, json!(standin.addresses()));
}

#[tokio::test]
async fn instances_come_and_go_over_the_list() {
    let standin = open();
    let url = format!("{}/v1/instances", standin.list_url());
    let client = reqwest::Client::builder().no_proxy().build().expect("it opens");
    let mut member = json!(standin.member("worker-a-0").expect("it is listed"));
    member["instance"] = json!("entry-a-0");
    member["role"] = json!("entry");
    let own = format!("{url}/entry-a-0");
    let put = client.put(&own).json(&member).send().await.expect("it is answered");
    assert_eq!(put.status(), 204);
    let leaving = client.post(&own).json(&json!({"state": "leaving"})).send().await;
    assert_eq!(leaving.expect("it is answered").status(), 204);
    assert_eq!(json!(standin.member("entry-a-0"))["state"], json!("leaving"));
    let other = client.put(format!("{url}/other")).json(&member).send().await;
    assert_eq!(other.expect("it is answered").status(), 400, "the names differ");
    let gone = client.delete(&own).send().await.expect("it is answered");
    assert_eq!(gone.status(), 204);
    let twice = client.delete(&own).send().await.expect("it is answered");
    assert_eq!(twice.status(), 404);
}

//! Tests the resource interface over HTTP against the stand-in of the store.

mod harness;

use std::time::Duration;

use cowslipchute_daemon::stop::Stage;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::State;
use cowslipchute_standin::fault::Target;
use harness::Harness;
use harness::block_on;
use harness::standin;
use reqwest::Method;
use reqwest::header;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

const LIMIT: Duration = Duration::from_secs(30);

fn service(name: &str, queue: u32) -> Value {
    json!({"kind": "service", "name": name, "queue": queue})
}

#[test]
fn a_resource_lives_from_creation_to_removal() {
    let standin = standin();
    block_on(async {
        let harness = Harness::open(&standin, "o1");
        let created = harness.create(service("web", 10)).await;
        assert_eq!((created.status, created.code), (201, Some(2000)));
        let twice = harness.create(service("web", 11)).await;
        assert_eq!((twice.status, twice.code), (409, Some(2103)));
        assert_eq!(twice.revision(), created.revision());
        let read = harness.get("/v1/service/web").await;
        assert_eq!(read.revision(), created.revision());
        assert_eq!(read.body["source"], "store");
        assert_eq!(read.body["resource"]["queue"], 10);
        let replaced = harness.replace(service("web", 20), created.revision()).await;
        assert_eq!((replaced.status, replaced.code), (200, Some(2000)));
        assert!(replaced.revision() > created.revision());
        let late = harness.replace(service("web", 30), created.revision()).await;
        assert_eq!((late.status, late.code), (409, Some(2102)));
        assert_eq!(late.revision(), replaced.revision(), "a conflict shows the present revision");
        let listed = harness.get("/v1/service").await;
        assert_eq!(listed.body["items"][0]["resource"]["queue"], 20);
        let late = harness.remove("/v1/service/web", created.revision()).await;
        assert_eq!((late.code, late.revision()), (Some(2102), replaced.revision()));
        let removed = harness.remove("/v1/service/web", replaced.revision()).await;
        assert_eq!((removed.status, removed.code), (200, Some(2000)));
        assert_eq!(harness.get("/v1/service/web").await.code, Some(2101));
        let gone = harness.replace(service("web", 40), replaced.revision()).await;
        assert_eq!((gone.status, gone.code), (404, Some(2101)));
    });
}

#[parameterized(
    no_path = { "GET", "/", None, "", 400, 1100 },
    no_version = { "GET", "/service", None, "", 400, 1100 },
    wrong_method = { "PATCH", "/v1/service/a", None, "", 400, 1100 },
    no_kind = { "GET", "/v1/servce", None, "", 404, 2104 },
    no_resource = { "GET", "/v1/job/none", None, "", 404, 2101 },
    no_body = { "POST", "/v1/service", None, "", 400, 2100 },
    not_json = { "POST", "/v1/service", None, "kind = 'service'", 400, 2100 },
    unknown_field = { "POST", "/v1/service", None, r#"{"kind":"service","name":"a","que":1}"#, 400, 2100 },
    other_kind = { "POST", "/v1/job", None, r#"{"kind":"service","name":"a"}"#, 400, 2100 },
    bad_name = { "POST", "/v1/service", None, r#"{"kind":"service","name":"A"}"#, 400, 2100 },
    out_of_range = { "POST", "/v1/job", None, r#"{"kind":"job","name":"a","tasks":0}"#, 400, 2100 },
    no_team = { "POST", "/v1/job", None, r#"{"kind":"job","name":"a","team":"t"}"#, 400, 2100 },
    no_revision = { "PUT", "/v1/service/a", None, r#"{"kind":"service","name":"a"}"#, 400, 1100 },
    bad_revision = { "DELETE", "/v1/service/a", Some("one"), "", 400, 1100 },
    other_name = { "PUT", "/v1/service/a", Some("1"), r#"{"kind":"service","name":"b"}"#, 400, 2100 },
    bad_after = { "GET", "/v1/watch?after=x", None, "", 400, 1100 },
    nobody_to_drain = { "POST", "/v1/drain/nobody", None, "", 404, 2101 },
)]
fn bad_input_gets_a_number_and_changes_nothing(
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: &str,
    status: u16,
    code: u64,
) {
    let standin = standin();
    block_on(async {
        let harness = Harness::open(&standin, "o1");
        let method = Method::from_bytes(method.as_bytes()).expect("a method");
        let mut request = harness.http.request(method, harness.url(path)).body(body.to_owned());
        if let Some(revision) = if_match {
            request = request.header(header::IF_MATCH, revision);
        }
        let response = request.send().await.expect("the interface answers");
        assert_eq!(response.status().as_u16(), status);
        let answer: Value = response.json().await.expect("a JSON body");
        assert_eq!(answer["code"], code, "{answer}");
        assert_eq!(answer["outcome"], "not-run");
        assert!(!answer["text"].as_str().expect("a text").is_empty());
        assert_eq!(harness.get("/v1/service").await.body["items"], json!([]));
        assert_eq!(harness.get("/v1/job").await.body["items"], json!([]));
    });
}

#[test]
fn an_oversized_body_is_refused() {
    let standin = standin();
    block_on(async {
        let harness = Harness::open(&standin, "o1");
        let body = format!("{{\"kind\":\"service\",\"name\":\"{}\"}}", "a".repeat(300 << 10));
        let answer = harness.send(Method::POST, "/v1/service", None, Some(body)).await;
        assert_eq!((answer.status, answer.code), (413, Some(1101)));
    });
}

#[test]
fn what_is_referred_to_has_to_exist_and_stays() {
    let standin = standin();
    block_on(async {
        let harness = Harness::open(&standin, "o1");
        let trial =
            json!({"kind": "service", "name": "trial", "class": "trial", "backends_of": "web"});
        let dangling = harness.create(trial.clone()).await;
        assert_eq!(dangling.code, Some(2100));
        assert_eq!(dangling.body["field"], "service.backends_of");
        let web = harness.create(service("web", 1)).await.revision();
        let trial = harness.create(trial).await.revision();
        let used = harness.remove("/v1/service/web", web).await;
        assert_eq!((used.status, used.code), (409, Some(2202)));
        assert!(used.body["text"].as_str().expect("a text").contains("service/trial"));
        assert_eq!(harness.remove("/v1/service/trial", trial).await.code, Some(2000));
        assert_eq!(harness.remove("/v1/service/web", web).await.code, Some(2000));
        let team = harness.create(json!({"kind": "team", "name": "research"})).await.revision();
        let job = json!({"kind": "job", "name": "report", "team": "research"});
        assert_eq!(harness.create(job).await.code, Some(2000));
        assert_eq!(harness.remove("/v1/team/research", team).await.code, Some(2202));
    });
}

#[test]
fn a_reference_and_the_removal_of_its_target_never_both_succeed() {
    let standin = standin();
    block_on(async {
        let harnesses = [Harness::open(&standin, "o1"), Harness::open(&standin, "o2")];
        for round in 0..20 {
            let (target, user) = (format!("t{round}"), format!("u{round}"));
            let revision = harnesses[0].create(service(&target, 1)).await.revision();
            let trial = json!({"kind": "service", "name": user, "backends_of": target});
            let path = format!("/v1/service/{target}");
            let (created, removed) =
                tokio::join!(harnesses[0].create(trial), harnesses[1].remove(&path, revision));
            let both = created.code == Some(2000) && removed.code == Some(2000);
            let neither = created.code != Some(2000) && removed.code != Some(2000);
            assert!(!both && !neither, "{created:?} {removed:?}");
        }
    });
}

#[test]
fn of_racing_operators_exactly_one_wins() {
    let standin = standin();
    block_on(async {
        let harnesses = [
            Harness::open(&standin, "o1"),
            Harness::open(&standin, "o2"),
            Harness::open(&standin, "o3"),
        ];
        let mut revision = harnesses[0].create(service("web", 0)).await.revision();
        for round in 1..=20 {
            let writes = harnesses.iter().enumerate().flat_map(|(at, harness)| {
                (0..3).map(move |other| {
                    harness.replace(service("web", round * 10 + at as u32 * 3 + other), revision)
                })
            });
            let answers = futures_util::future::join_all(writes).await;
            let won: Vec<_> = answers.iter().filter(|answer| answer.code == Some(2000)).collect();
            assert_eq!(won.len(), 1, "round {round}: {answers:?}");
            let lost = answers.iter().filter(|answer| answer.code == Some(2102));
            assert!(lost.clone().all(|answer| answer.revision() == won[0].revision()));
            assert_eq!(lost.count(), answers.len() - 1);
            revision = won[0].revision();
        }
    });
}

#[test]
fn an_answer_lost_after_the_change_is_settled_before_replying() {
    let standin = standin();
    block_on(async {
        let harness = Harness::open(&standin, "o1");
        let fault = Fault { lose_answers: 3, ..Fault::default() };
        standin.set_fault(Target::Store, fault).await.expect("the store is there");
        let mut accepted = Vec::new();
        for number in 0..12 {
            let name = format!("s{number}");
            let answer = harness.create(service(&name, number)).await;
            assert!(
                matches!(answer.code, Some(2000 | 2200)),
                "surely made or surely not: {answer:?}"
            );
            if answer.code == Some(2000) {
                accepted.push((name, answer.revision()));
            } else {
                assert!(answer.retry_after, "a refusal says when to come back");
            }
        }
        standin.set_fault(Target::Store, Fault::default()).await.expect("the store is there");
        let listed = harness.get("/v1/service").await;
        let found: Vec<_> = listed.body["items"]
            .as_array()
            .expect("a list")
            .iter()
            .map(|item| {
                let name = item["resource"]["name"].as_str().expect("a name").to_owned();
                (name, item["revision"].as_u64().expect("a revision"))
            })
            .collect();
        accepted.sort();
        assert_eq!(found, accepted, "in the store is what was accepted, under the revisions told");
        assert!(standin.report().store.lost > 0, "answers were lost");
    });
}

#[test]
fn while_the_store_is_down_nothing_is_accepted_and_nothing_reverts() {
    let standin = standin();
    block_on(async {
        let harness = Harness::open(&standin, "o1");
        let first = harness.create(service("web", 1)).await.revision();
        let second = harness.replace(service("web", 2), first).await.revision();
        let mut watched =
            harness.http.get(harness.url("/v1/watch?after=0")).send().await.expect("a stream");
        let mut lines = Lines::default();
        lines.until(&mut watched, |line| in_force(line) >= Some(second)).await;
        standin
            .set_fault(Target::Store, Fault::state(State::Down))
            .await
            .expect("the store is there");
        let refused = harness.replace(service("web", 3), second).await;
        assert_eq!((refused.status, refused.code), (503, Some(2200)));
        assert!(refused.retry_after);
        let read = harness.get("/v1/service/web").await;
        assert_eq!((&read.body["source"], read.revision()), (&json!("in-force"), second));
        assert_eq!(read.body["resource"]["queue"], 2);
        standin.set_fault(Target::Store, Fault::default()).await.expect("the store is there");
        let third = harness.replace(service("web", 3), second).await.revision();
        lines.until(&mut watched, |line| in_force(line) >= Some(third)).await;
        let revisions: Vec<u64> = lines.seen.iter().filter_map(in_force).collect();
        assert!(revisions.is_sorted(), "a revision in force never goes back: {revisions:?}");
        let queues: Vec<&Value> = lines
            .seen
            .iter()
            .filter(|line| line["type"] == "put")
            .map(|line| &line["resource"]["queue"])
            .collect();
        assert_eq!(queues.last(), Some(&&json!(3)));
    });
}

#[test]
fn a_planned_stop_ends_streams_and_then_the_process() {
    let standin = standin();
    block_on(async {
        let mut harness = Harness::open(&standin, "o1");
        harness.create(service("web", 1)).await;
        let mut watched =
            harness.http.get(harness.url("/v1/watch")).send().await.expect("a stream");
        let mut lines = Lines::default();
        lines.until(&mut watched, |line| in_force(line).is_some()).await;
        harness.switch.advance(Stage::Draining);
        lines.until_end(&mut watched).await;
        let operator = harness.operator.take().expect("it runs");
        tokio::task::spawn_blocking(|| operator.join()).await.expect("it ends by itself");
    });
}

fn in_force(line: &Value) -> Option<u64> {
    (line["type"] == "in-force").then(|| line["revision"].as_u64().expect("a revision"))
}

/// Lines of a stream.
#[derive(Default)]
struct Lines {
    rest: Vec<u8>,
    seen: Vec<Value>,
}

impl Lines {
    async fn until(&mut self, stream: &mut reqwest::Response, wanted: impl Fn(&Value) -> bool) {
        let from = self.seen.len();
        while !self.seen[from..].iter().any(&wanted) {
            assert!(self.more(stream).await, "the stream ended early");
        }
    }

    async fn until_end(&mut self, stream: &mut reqwest::Response) {
        while self.more(stream).await {}
    }

    async fn more(&mut self, stream: &mut reqwest::Response) -> bool {
        let chunk = tokio::time::timeout(LIMIT, stream.chunk()).await.expect("the stream goes on");
        let Some(chunk) = chunk.expect("the stream is whole") else { return false };
        self.rest.extend_from_slice(&chunk);
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            self.seen.push(serde_json::from_slice(&line).expect("a line is JSON"));
        }
        true
    }
}

//! Checks that linked operator processes report where a revision is in force and that an instance
//! is leaving.

mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_peer::identity::Identity;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_standin::Standin;
use harness::Harness;
use harness::block_on;
use harness::standin;
use reqwest::Method;
use serde_json::json;

const PAUSE: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(30);

fn linked(standin: &Standin) -> Vec<Harness> {
    let identity = Identity::generate().expect("an identity");
    let places = [("o1", "a"), ("o2", "a"), ("o3", "b")];
    let harnesses: Vec<_> = places
        .iter()
        .map(|(instance, domain)| Harness::linked(standin, instance, domain, &identity))
        .collect();
    let listed: Vec<Member> = harnesses.iter().map(|harness| harness.listed.clone()).collect();
    list(&harnesses, &listed);
    harnesses
}

fn list(harnesses: &[Harness], listed: &[Member]) {
    harnesses.iter().for_each(|harness| {
        harness.members.send_replace(listed.to_vec());
    });
}

async fn until_in_force(harness: &Harness, revision: u64, count: u64) -> serde_json::Value {
    let start = std::time::Instant::now();
    loop {
        let status = harness.get(&format!("/v1/status?revision={revision}")).await.body;
        if status["in_force"] == count {
            return status;
        }
        assert!(start.elapsed() < LIMIT, "{status}");
        tokio::time::sleep(PAUSE).await;
    }
}

#[test]
fn a_change_is_shown_on_every_instance_and_the_missing_ones_are_named() {
    let standin = standin();
    let harnesses = linked(&standin);
    block_on(async {
        let service = json!({"kind": "service", "name": "web"});
        let revision = harnesses[0].create(service).await.revision();
        for harness in &harnesses {
            let status = until_in_force(harness, revision, 3).await;
            assert_eq!(status["instances"], 3);
            assert_eq!(status["lagging"], json!([]));
        }
        let mut listed: Vec<_> = harnesses.iter().map(|harness| harness.listed.clone()).collect();
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        listed.push(Member { instance: "gone".into(), address: nobody, ..listed[0].clone() });
        // Another instance answers at the address of this one.
        listed.push(Member { instance: "other".into(), ..listed[1].clone() });
        // Neither a leaving instance nor a worker is waited for.
        let leaving = State::Leaving;
        listed.push(Member { instance: "left".into(), state: leaving, ..listed[3].clone() });
        listed.push(Member { instance: "w".into(), role: Role::Worker, ..listed[3].clone() });
        list(&harnesses, &listed);
        let status = harnesses[0].get(&format!("/v1/status?revision={revision}")).await.body;
        assert_eq!((&status["instances"], &status["in_force"]), (&json!(5), &json!(3)));
        let names = status["lagging"].as_array().expect("a list").iter();
        let names: Vec<_> = names.map(|one| one["instance"].clone()).collect();
        assert_eq!(names, [json!("gone"), json!("other")]);
        let ahead =
            harnesses[0].get(&format!("/v1/status?revision={}", revision + 1000)).await.body;
        assert_eq!(ahead["in_force"], 0);
    });
}

#[test]
fn a_drain_reaches_every_other_process() {
    let standin = standin();
    let harnesses = linked(&standin);
    block_on(async {
        let drained = harnesses[0].send(Method::POST, "/v1/drain/o3", None, None).await;
        assert_eq!(drained.code, Some(1000));
        assert_eq!(drained.body["incarnation"], 1);
        assert_eq!((&drained.body["told"], &drained.body["processes"]), (&json!(2), &json!(2)));
    });
}

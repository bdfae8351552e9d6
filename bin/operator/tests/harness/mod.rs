//! Operator processes for tests.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::log;
use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_daemon::stop::Trigger;
use cowslipchute_follow as follow;
use cowslipchute_gateway::kv;
use cowslipchute_operator::metrics::Metrics;
use cowslipchute_operator::process;
use cowslipchute_operator::process::Operator;
use cowslipchute_operator::process::Parts;
use cowslipchute_operator::remote;
use cowslipchute_operator::remote::Remote;
use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use reqwest::Method;
use reqwest::header;
use serde_json::Value;
use tokio::sync::watch;

const LIMIT: Duration = Duration::from_secs(30);

/// An operator process with a stand-in of the platform, and a client of the process.
pub struct Harness {
    pub operator: Option<Operator>,
    pub switch: Trigger,
    pub http: reqwest::Client,
    pub members: watch::Sender<Vec<Member>>,
    pub listed: Member,
    peers: Option<EventLoop>,
}

/// A parsed response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub code: Option<u64>,
    pub retry_after: bool,
    pub body: Value,
}

impl Answer {
    pub fn revision(&self) -> u64 {
        self.body["revision"].as_u64().unwrap_or_else(|| panic!("no revision in {self:?}"))
    }
}

impl Harness {
    /// Opens a process that follows only the store.
    pub fn open(standin: &Standin, instance: &str) -> Harness {
        Harness::spawn(standin, instance, "a", None)
    }

    /// Opens a process that is linked to the others with the same identity.
    pub fn linked(standin: &Standin, instance: &str, domain: &str, identity: &Identity) -> Harness {
        Harness::spawn(standin, instance, domain, Some(identity.clone()))
    }

    fn spawn(
        standin: &Standin,
        instance: &str,
        domain: &str,
        identity: Option<Identity>,
    ) -> Harness {
        let (switch, stop) = stop::open();
        let (members, seen) = watch::channel(Vec::new());
        let store = || kv::Client::open(&standin.store_url(), Duration::from_millis(500));
        let remote = identity.map(|identity| link(identity, &stop));
        let parts = Parts {
            follow: follow::Settings {
                instance: instance.into(),
                incarnation: 1,
                domain: domain.into(),
                seed: 1,
                logger: log::discard(),
            },
            store: store(),
            follow_store: store(),
            peers: remote.as_ref().map(|remote| remote.node.clone()),
            members: seen,
            placers: Vec::new(),
            metrics: Metrics::open(&prometheus::Registry::new()).expect("metrics"),
            readiness: Readiness::default(),
            stop,
            stop_within: Duration::from_secs(5),
        };
        let address = remote.as_ref().map(|remote| remote.node.address());
        let listed = member(instance, domain, address);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let operator = process::spawn(parts, listener).expect("the duties start");
        let peers = remote.map(|remote| remote.answer(operator.follow()));
        let http = reqwest::Client::builder().no_proxy().build().expect("a client");
        Harness { operator: Some(operator), switch, http, members, listed, peers }
    }

    pub fn url(&self, path: &str) -> String {
        let operator = self.operator.as_ref().expect("it runs");
        format!("http://{}{path}", operator.address())
    }

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        revision: Option<u64>,
        body: Option<String>,
    ) -> Answer {
        let mut request = self.http.request(method, self.url(path)).timeout(LIMIT);
        if let Some(revision) = revision {
            request = request.header(header::IF_MATCH, revision.to_string());
        }
        if let Some(body) = body {
            request = request.body(body);
        }
        let response = request.send().await.expect("the interface answers");
        let status = response.status().as_u16();
        let number = response.headers().get("cowslipchute-code");
        let code = number.map(|value| value.to_str().expect("text").parse().expect("a number"));
        let retry_after = response.headers().contains_key(header::RETRY_AFTER);
        let body = response.json().await.expect("a JSON body");
        Answer { status, code, retry_after, body }
    }

    pub async fn create(&self, resource: Value) -> Answer {
        let path = format!("/v1/{}", resource["kind"].as_str().expect("a kind"));
        self.send(Method::POST, &path, None, Some(resource.to_string())).await
    }

    pub async fn replace(&self, resource: Value, revision: u64) -> Answer {
        let text = |field: &str| resource[field].as_str().expect("text").to_owned();
        let path = format!("/v1/{}/{}", text("kind"), text("name"));
        self.send(Method::PUT, &path, Some(revision), Some(resource.to_string())).await
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, None, None).await
    }

    pub async fn remove(&self, path: &str, revision: u64) -> Answer {
        self.send(Method::DELETE, path, Some(revision), None).await
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.switch.advance(Stage::Forced);
        if let Some(operator) = self.operator.take() {
            operator.join();
        }
        if let Some(peers) = self.peers.take() {
            peers.join();
        }
    }
}

pub fn standin() -> Standin {
    cowslipchute_standin::open(&Plan::default()).expect("the stand-in opens")
}

pub fn block_on<T>(body: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(body)
}

fn link(identity: Identity, stop: &Stop) -> Remote {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let call_timeout = Duration::from_secs(1);
    let settings = node::Settings { address, identity, call_timeout, max_calls: 64 };
    remote::bind(settings, stop.clone()).expect("a free port")
}

fn member(instance: &str, domain: &str, address: Option<SocketAddr>) -> Member {
    Member {
        instance: instance.into(),
        incarnation: 1,
        role: Role::Operator,
        state: State::Live,
        domain: domain.into(),
        rack: "".into(),
        address: address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1))),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

//! Jobs that clients submit at a steady rate.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::time::MissedTickBehavior;

/// Size of a payload in bytes.
const PAYLOAD_BYTES: usize = 1900;
/// Jobs of service tasks, submitted before the others.
const SERVICE_JOBS: u64 = 100;
/// Interval between two of them.
const SERVICE_INTERVAL: Duration = Duration::from_millis(60);

/// Jobs per second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Jobs of two steps of 13 tasks of 0.64 s.
    pub short: f64,
    /// Jobs of two steps of 40 best-effort tasks of 2.7 s.
    pub best_effort: f64,
}

/// Returns a payload that tells the workers how long the tasks take and what they measure.
fn payload(work_ms: u64, measurement: u64) -> String {
    let mut text = format!("{work_ms} {measurement} ");
    text.extend(std::iter::repeat_n('x', PAYLOAD_BYTES - text.len()));
    text
}

fn short() -> Value {
    let step = |after: &[u16]| {
        json!({
            "count": 13, "cpu": 6400, "mem-mb": 13_000, "estimate-ms": 640, "after": after,
        })
    };
    json!({ "spec": payload(640, 5800), "steps": [step(&[]), step(&[0])] })
}

fn best_effort(image: u64) -> Value {
    let step = |after: &[u16]| {
        json!({
            "count": 40, "cpu": 3500, "mem-mb": 6400, "estimate-ms": 2700, "after": after,
            "checkpointing": true, "fill-ratio": 1, "image": format!("b{}", image % 30),
        })
    };
    json!({ "spec": payload(2700, 2000), "steps": [step(&[]), step(&[0])] })
}

fn service(image: u64) -> Value {
    let step = json!({
        "count": 24, "cpu": 6400, "mem-mb": 13_000, "estimate-ms": 500, "long-running": true,
        "image": format!("s{}", image % 16), "target-ms": 150,
    });
    json!({ "spec": payload(0, 90), "steps": [step] })
}

/// Submits the service tasks, then the other jobs for as long as the runtime lives.
pub async fn spawn(client: Client, entry: SocketAddr, rates: Rates) {
    for number in 0..SERVICE_JOBS {
        submit(&client, entry, "q", number + 1, service(number)).await;
        tokio::time::sleep(SERVICE_INTERVAL).await;
    }
    let jobs = client.clone();
    tokio::spawn(repeat(rates.short, move |number| {
        let client = jobs.clone();
        async move { submit(&client, entry, "q", (1 << 32) + number, short()).await }
    }));
    tokio::spawn(repeat(rates.best_effort, move |number| {
        let client = client.clone();
        async move { submit(&client, entry, "low", (2 << 32) + number, best_effort(number)).await }
    }));
}

async fn repeat<F: Future<Output = ()> + Send + 'static>(rate: f64, act: impl Fn(u64) -> F) {
    if rate <= 0.0 {
        return;
    }
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for number in 1.. {
        interval.tick().await;
        tokio::spawn(act(number));
    }
}

async fn submit(client: &Client, entry: SocketAddr, queue: &str, id: u64, body: Value) {
    let url = format!("http://{entry}/{queue}/{id:016x}");
    let answer = client.post(url).header("Host", "desk.example").body(body.to_string()).send();
    match answer.await {
        Ok(answer) if answer.status().is_success() => {}
        Ok(answer) => eprintln!("job {id:x}: {}", answer.status()),
        Err(error) => eprintln!("job {id:x}: {error}"),
    }
}

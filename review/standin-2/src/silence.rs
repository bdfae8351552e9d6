//! Open channels to the store and to the executors go silent for good, while new ones work. The
//! operator adds a route just after that; clients use it once all machines are in touch again.
//!
//! Exits with 1 if a machine answers 404 to a request on that route that was sent later than
//! `config-apply-ms` after the store's ack, 0 if not, 2 if the case couldn't run.

mod cell;

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use cell::Cell;
use cell::Record;
use cell::call;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use serde_json::json;

const MEMBERS: [&str; 4] = ["m0", "m1", "m2", "m3"];
const HOST: &str = "desk.example";
/// `config-apply-ms` of the installations' sheets.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Time from the silence to the operator's change.
const CHANGE: Duration = Duration::from_millis(800);
/// `contact-ms`, and a margin: from then on all machines are in touch.
const CONTACT: Duration = Duration::from_millis(3000 + 100);
/// Submissions that reach each process at once, before the silence.
const BURST: u64 = 8;

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::open();
    let outcome = play(&mut record).await;
    ExitCode::from(record.close(&outcome))
}

async fn play(record: &mut Record) -> Result<bool> {
    let trouble = cell::has_trouble();
    let capacity = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
    let mut cell = Cell::open("review-2-silence", 6, capacity).await?;
    configure(&cell, 2, false);
    for name in MEMBERS {
        cell.add_member(name, None).await?;
    }
    cell.await_ready().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    record.line(&format!(
        "{} processes are ready; {:?} owns the cell",
        MEMBERS.len(),
        cell.owner()
    ));
    let readiness: Vec<_> = cell.members.values().map(|member| member.readiness).collect();
    let asking = tokio::spawn(async move {
        loop {
            for &address in &readiness {
                tokio::spawn(call(address, "GET", "/v1/readyz", "", ""));
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    let mut next_job = 0x1000_0000_0000_0000;
    for (member, client) in cell.members.iter().map(|(name, member)| (name, member.clients)) {
        let mut calls = Vec::new();
        for _ in 0..BURST {
            next_job += 1;
            calls.push(tokio::spawn(submit(&cell, client, next_job)));
        }
        let mut accepted = 0;
        for call in calls {
            accepted += usize::from(call.await? == Some(200));
        }
        record.line(&format!("{BURST} submissions at {member} at once: {accepted} accepted"));
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let silenced_at = Instant::now();
    if trouble {
        for member in cell.members.values() {
            member.store.silence_open();
        }
        for link in cell.executors.values() {
            link.silence_open();
        }
        record.line("all channels that are open to the store and to the executors go silent");
    }
    let traffic = cell::millis("TRAFFIC_MS", 0);
    let mut clients = Vec::new();
    if !traffic.is_zero() {
        for client in cell.members.values().map(|member| member.clients) {
            for round in 0..8 {
                next_job += 1;
                let sent = submit(&cell, client, next_job);
                clients.push(tokio::spawn(async move {
                    tokio::time::sleep(traffic * round).await;
                    sent.await
                }));
            }
        }
    }
    tokio::time::sleep(CHANGE.saturating_sub(silenced_at.elapsed())).await;
    configure(&cell, 3, true);
    let acked = Instant::now();
    record.line("the store has accepted version 3 with the route /new/");
    tokio::time::sleep(CONFIG_APPLY + Duration::from_millis(50)).await;
    tokio::time::sleep(CONTACT.saturating_sub(silenced_at.elapsed())).await;
    let mut held = true;
    let mut last = std::collections::BTreeMap::new();
    while acked.elapsed() < Duration::from_secs(14) {
        for (name, member) in &cell.members {
            let sent = acked.elapsed().as_millis();
            let answer = call(member.clients, "GET", "/new/", HOST, "").await;
            let status = answer.as_ref().map(|(status, _)| *status);
            if last.insert(name.clone(), status) != Some(status) {
                record.line(&format!("GET /new/ at {name}, {sent} ms after the ack -> {answer:?}"));
            }
            held &= status != Some(404);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    asking.abort();
    for client in clients {
        let _ = client.await;
    }
    record.line(match held {
        true => "held: no request on the new route is refused with 404",
        false => "CONFIG: a request later than 2,000 ms after the ack is refused with 404",
    });
    Ok(held)
}

fn submit(
    cell: &Cell,
    client: std::net::SocketAddr,
    job: u64,
) -> impl Future<Output = Option<u16>> + 'static {
    let time = Duration::from_millis(600);
    let demand = Amount { cpu_milli: 1000, memory_mib: 500, accelerators: 0 };
    let step = Step { count: 2, demand, estimate: time, ..Step::default() };
    let spec = Spec { payload: "text".into(), steps: [step].into_iter().collect(), schedule: None };
    cell.site.lock().jobs.insert(job, spec);
    let body = json!({"spec": "text", "steps": [{"count": 2, "cpu": 1000, "mem-mb": 500, "estimate-ms": 600}]});
    let path = format!("/q/{job:016x}");
    async move { Some(call(client, "POST", &path, HOST, &body.to_string()).await?.0) }
}

/// Writes the operator's configuration, from `added` on with one more route.
fn configure(cell: &Cell, version: u64, added: bool) {
    let route = |name: &str, prefix: &str| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": "unsafe", "timeout-ms": 3000,
            "target-duration-ms": 250, "priority": 0, "service": "desk", "max-attempts": 4,
            "slack-factor": 1.5,
        })
    };
    let mut routes = vec![route("r-1", "/q/")];
    if added {
        routes.push(route("r-2", "/new/"));
    }
    let config = json!({
        "version": version, "routes": routes,
        "services": [{"name": "desk", "enforce-limits": true, "standby": false}],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    });
    cell.site.lock().store.put("op/config", config.to_string().into_bytes(), 0);
}

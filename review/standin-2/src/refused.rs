//! The store is down, and all attempts to hand a submission in are rejected. When it is back, the client
//! cancels the submission, is told that there is none, asks for it, and hands it in again.
//!
//! Exits with 1 if the submission that was never accepted is shown, or if it is accepted afterwards and
//! shown as `cancelled`; 0 if neither is; 2 if the case couldn't run.

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

const MEMBERS: [&str; 3] = ["m0", "m1", "m2"];
const HOST: &str = "desk.example";
const JOB: u64 = 0x6b0e_7a21_d94b_36f8;
/// Time for which the store is down.
const DOWN: Duration = Duration::from_millis(4500);
/// Time after which all machines are in touch again: `contact-ms` is 3,000.
const CALM: Duration = Duration::from_millis(5000);
/// Time for which the submission is followed at the end; an idle cell starts a task in well under one.
const FOLLOWED: Duration = Duration::from_secs(12);

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::open();
    let outcome = play(&mut record).await;
    ExitCode::from(record.close(&outcome))
}

async fn play(record: &mut Record) -> Result<bool> {
    let trouble = cell::has_trouble();
    let capacity = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
    let mut cell = Cell::open("review-2-refused", 4, capacity).await?;
    cell.site.configure(2, 4);
    for name in MEMBERS {
        cell.add_member(name, None).await?;
    }
    cell.await_ready().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let demand = Amount { cpu_milli: 1000, memory_mib: 500, accelerators: 0 };
    let step =
        Step { count: 2, demand, estimate: Duration::from_millis(40_000), ..Step::default() };
    let spec = Spec { payload: "text".into(), steps: [step].into_iter().collect(), schedule: None };
    cell.site.lock().jobs.insert(JOB, spec);
    let steps = json!([{"count": 2, "cpu": 1000, "mem-mb": 500, "estimate-ms": 40_000}]);
    let body = json!({"spec": "text", "steps": steps}).to_string();
    let path = format!("/q/{JOB:016x}");
    let down_at = Instant::now();
    if trouble {
        cell.members.values().for_each(|member| member.store.set_down(true));
        record.line("the store is down: it closes all channels and accepts none");
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    let mut accepted = false;
    for name in MEMBERS {
        let sent = call(cell.members[name].clients, "POST", &path, HOST, &body).await;
        record.line(&format!("POST {JOB:016x} at {name} -> {sent:?}"));
        let status = sent.map(|(status, _)| status);
        accepted |= status == Some(200);
        anyhow::ensure!(
            !trouble || matches!(status, Some(429 | 503)),
            "an attempt wasn't rejected for certain"
        );
        if accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    if trouble {
        tokio::time::sleep(DOWN.saturating_sub(down_at.elapsed())).await;
        cell.members.values().for_each(|member| member.store.set_down(false));
        record.line("the store is back");
    }
    tokio::time::sleep(CALM).await;
    let mut held = true;
    let cancelled = call(cell.members["m1"].clients, "DELETE", &path, HOST, "").await;
    record.line(&format!("DELETE {JOB:016x} at m1 -> {cancelled:?}"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for name in MEMBERS {
        let shown = call(cell.members[name].clients, "GET", &path, HOST, "").await;
        record.line(&format!("GET {JOB:016x} at {name} -> {shown:?}"));
        if !accepted && shown.is_some_and(|(status, _)| status == 200) {
            record.line("MIXED: a submission that was never accepted is shown");
            held = false;
        }
    }
    if !accepted && cancelled.is_some_and(|(status, _)| status == 410) {
        held &= submit_again(&cell, record, &path, &body).await;
    }
    if held {
        record.line("held");
    }
    Ok(held)
}

/// Hands the submission in after the answer that there is none; returns whether the rules held.
async fn submit_again(cell: &Cell, record: &mut Record, path: &str, body: &str) -> bool {
    let sent = call(cell.members["m2"].clients, "POST", path, HOST, body).await;
    record.line(&format!("POST {JOB:016x} at m2 -> {sent:?}"));
    if sent.is_none_or(|(status, _)| status != 200) {
        return true;
    }
    let limit = Instant::now() + FOLLOWED;
    while Instant::now() < limit {
        if cell.site.lock().started.contains(&JOB) {
            record.line("its tasks have started");
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let shown = call(cell.members["m0"].clients, "GET", path, HOST, "").await;
    record.line(&format!("GET {JOB:016x} at m0, {} s later -> {shown:?}", FOLLOWED.as_secs()));
    let held = shown.is_none_or(|(_, text)| !text.contains("cancelled"));
    if !held {
        record.line("LOST: it was accepted, nothing of it has run, and it is shown as cancelled");
    }
    held
}

//! Submits one large job beside small ones, and checks that accepted jobs run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::bail;
use base64::Engine as _;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_review_check::Record;
use cowslipchute_review_check::cell::Cell;
use cowslipchute_review_check::client;
use cowslipchute_review_check::exit_code;
use cowslipchute_review_check::has_trouble;
use cowslipchute_review_check::store_proxy;
use cowslipchute_review_check::store_proxy::Fate;
use cowslipchute_review_check::within_limit;
use tokio::sync::mpsc;

const WORKERS: usize = 4;
const CAPACITY: Amount = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
/// `max-value-bytes` of the settings file in DEPLOY.md.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Steps and tasks of the large job.
const STEPS: usize = 64;
const COUNT: u32 = 4096;
const SMALL_INTERVAL: Duration = Duration::from_millis(150);
const LARGE_AT: Duration = Duration::from_secs(6);
const TRAFFIC: Duration = Duration::from_secs(20);
/// The bound `finish_s`, and the time for which a job may have nothing running beside free capacity.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(20);
const LARGE: JobId = 0x5800_0000_0000_ffff;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be opened");
    exit_code(runtime.block_on(within_limit(run())))
}

fn small() -> Spec {
    let step = Step {
        count: 4,
        demand: Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 },
        estimate: Duration::from_millis(600),
        ..Step::default()
    };
    Spec { payload: "small".into(), steps: vec![step], schedule: None }
}

fn large() -> Spec {
    let step = Step {
        count: COUNT,
        demand: Amount { cpu_milli: 20, memory_mib: 1, accelerators: 0 },
        estimate: Duration::from_millis(500),
        max_per_worker: 1,
        ..Step::default()
    };
    Spec { payload: "large".into(), steps: vec![step; STEPS], schedule: None }
}

fn body(spec: &Spec) -> String {
    let steps: Vec<serde_json::Value> = spec
        .steps
        .iter()
        .map(|step| {
            serde_json::json!({
                "count": step.count, "cpu": step.demand.cpu_milli, "mem-mb": step.demand.memory_mib,
                "estimate-ms": step.estimate.as_millis() as u64, "max-per-server": step.max_per_worker,
            })
        })
        .collect();
    serde_json::json!({ "spec": &*spec.payload, "steps": steps }).to_string()
}

/// Refuses a transaction with a value over the limit, as the platform's store does.
fn decide(call: &store_proxy::Call<'_>) -> Fate {
    if call.path != "/v1/kv-txn" || call.body.len() <= MAX_VALUE_BYTES {
        return Fate::Pass;
    }
    let Ok(txn) = serde_json::from_slice::<serde_json::Value>(call.body) else { return Fate::Pass };
    let puts = txn["set-keys"].as_array().cloned().unwrap_or_default();
    let is_over = puts.iter().any(|put| {
        let value = base64::engine::general_purpose::STANDARD
            .decode(put["value"].as_str().unwrap_or_default());
        value.is_ok_and(|value| value.len() > MAX_VALUE_BYTES)
    });
    if is_over { Fate::Refuse(400) } else { Fate::Pass }
}

async fn run() -> Result<usize> {
    let mut record = Record::create()?;
    let trouble = has_trouble();
    let mut cell = Cell::open("review-large", WORKERS, CAPACITY).await?;
    let store = store_proxy::open(cell.site.store, decide).await?;
    for name in ["m0", "m1", "m2"] {
        cell.add_process(name, store)?;
    }
    let members: Vec<_> = cell.clients.clone().into_iter().collect();
    let begin = Instant::now();
    let mut ready = 0;
    // A job that nobody submitted is not found once a process serves clients.
    while ready < members.len() {
        ready = 0;
        for (_, address) in &members {
            let answer = client::call(*address, "GET", 1, "").await;
            ready += usize::from(answer.is_some_and(|(status, _)| status == 410));
        }
        if begin.elapsed() > Duration::from_secs(20) {
            bail!("the processes don't get ready");
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    record.line(&format!("3 processes are ready; trouble: {trouble}"))?;
    let (answers, mut answered) = mpsc::unbounded_channel();
    let submit = |id: JobId, spec: Spec, index: usize| {
        cell.site.lock().jobs.insert(id, spec.clone());
        let (name, address) = members[index % members.len()].clone();
        let answers = answers.clone();
        tokio::spawn(async move {
            let answer = client::call(address, "POST", id, &body(&spec)).await;
            let _ = answers.send((id, spec, name, answer));
        });
    };
    let start = Instant::now();
    let mut accepted: BTreeMap<JobId, Spec> = BTreeMap::new();
    let mut sent = 0_usize;
    let mut large_sent = false;
    while start.elapsed() < TRAFFIC + client::DEADLINE {
        tokio::time::sleep(TICK).await;
        let due = (start.elapsed().as_secs_f64() / SMALL_INTERVAL.as_secs_f64()) as usize;
        if start.elapsed() < TRAFFIC && sent < due {
            sent += 1;
            submit(0x5800_0000_0000_0000 + sent as JobId, small(), sent);
        }
        if trouble && !large_sent && start.elapsed() >= LARGE_AT {
            large_sent = true;
            submit(LARGE, large(), 0);
        }
        while let Ok((id, spec, name, answer)) = answered.try_recv() {
            let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
            let text = answer
                .as_ref()
                .map_or(String::from("no answer"), |(status, body)| format!("{status} {body}"));
            record.line(&format!("POST {id:016x} ({tasks} tasks) at {name}: {text}"))?;
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                accepted.insert(id, spec);
            }
        }
    }
    record.line("the traffic has ended")?;
    tokio::time::sleep(FINISH).await;
    let mut idle: BTreeSet<JobId> = accepted.keys().copied().collect();
    let begin = Instant::now();
    let total = CAPACITY.cpu_milli * WORKERS as u32;
    while begin.elapsed() < IDLE + TICK {
        {
            let state = cell.site.lock();
            for run in state.workers.values().flat_map(|worker| worker.active.keys()) {
                idle.remove(&run.task.job);
            }
            let free: u32 = state.workers.values().map(|worker| worker.free().cpu_milli).sum();
            idle.retain(|id| {
                let step = &accepted[id].steps[0];
                let tasks: u32 = accepted[id].steps.iter().map(|step| step.count).sum();
                let done = state.finished.iter().filter(|task| task.job == *id).count() as u32;
                done < tasks && free * 2 > total && free >= 2 * step.demand.cpu_milli
            });
        }
        tokio::time::sleep(TICK).await;
    }
    let mut violations = 0;
    for (index, id) in accepted.keys().enumerate() {
        let (name, address) = &members[index % members.len()];
        let answer = client::call(*address, "GET", *id, "").await;
        let text = answer
            .as_ref()
            .map_or(String::from("no answer"), |(status, body)| format!("{status} {body}"));
        let state = cell.site.lock();
        let done = state.finished.iter().filter(|task| task.job == *id).count();
        drop(state);
        record.line(&format!(
            "GET {id:016x} at {name}: {text}; {done} tasks done{}",
            if idle.contains(id) {
                "; nothing of it has run for 3 s beside free capacity"
            } else {
                ""
            }
        ))?;
        let is_known = answer.is_some_and(|(status, _)| (200..300).contains(&status));
        violations += usize::from(idle.contains(id) || !is_known);
    }
    let text = match violations {
        0 => String::from("LOST was kept"),
        count => format!("LOST was broken for {count} accepted jobs"),
    };
    record.line(&text)?;
    println!("{text}");
    Ok(violations)
}

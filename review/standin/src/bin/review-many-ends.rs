//! Runs a wide job while answers of the store are lost, and checks that no task is started again after its end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::bail;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;
use cowslipchute_review_check::Record;
use cowslipchute_review_check::cell::Cell;
use cowslipchute_review_check::client;
use cowslipchute_review_check::exit_code;
use cowslipchute_review_check::has_trouble;
use cowslipchute_review_check::store_proxy;
use cowslipchute_review_check::store_proxy::Fate;
use cowslipchute_review_check::within_limit;
use rand::Rng as _;

const WORKERS: usize = 2;
const CAPACITY: Amount = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
/// Tasks of the job, which run at once.
const COUNT: u32 = 4000;
const CPU_MILLI: u32 = 15;
const TASK_TIME: Duration = Duration::from_millis(2500);
/// Part of the writes whose answers are lost, at the most, and for how long.
const LOST_PART: f64 = 0.35;
const LOST_TIME: Duration = Duration::from_millis(4500);
/// The answers are lost from shortly before the first task ends.
const LOST_AT: Duration = Duration::from_millis(2200);
/// Small jobs beside it, whose writes make up most of the writes to the store.
const SMALL_INTERVAL: Duration = Duration::from_millis(100);
const SMALL_TIME: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(4);
const JOB: JobId = 0x5800_0000_0000_0e0d;

#[derive(Debug, Default)]
struct Window {
    open: Option<(Instant, Instant)>,
    writes: u32,
    lost: u32,
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be opened");
    exit_code(runtime.block_on(within_limit(run())))
}

async fn run() -> Result<usize> {
    let mut record = Record::create()?;
    let trouble = has_trouble();
    let mut cell = Cell::open("review-many-ends", WORKERS, CAPACITY).await?;
    let window: Arc<Mutex<Window>> = Arc::default();
    let shared = window.clone();
    let store = store_proxy::open(cell.site.store, move |call| {
        let mut window = shared.lock().expect("no holder of the window panics");
        let now = Instant::now();
        let is_open = window.open.is_some_and(|(from, until)| from <= now && now < until);
        if call.path != "/v1/kv-txn" || !is_open {
            return Fate::Pass;
        }
        window.writes += 1;
        let is_full = f64::from(window.lost + 1) > f64::from(window.writes) * LOST_PART;
        if is_full || !rand::rng().random_bool(LOST_PART) {
            return Fate::Pass;
        }
        window.lost += 1;
        Fate::LoseAnswer
    })
    .await?;
    for name in ["m0", "m1", "m2"] {
        cell.add_process(name, store)?;
    }
    let address = cell.clients["m0"];
    let begin = Instant::now();
    while client::call(address, "GET", 1, "").await.is_none_or(|(status, _)| status != 410) {
        if begin.elapsed() > Duration::from_secs(20) {
            bail!("the processes don't get ready");
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    record.line(&format!("3 processes are ready; trouble: {trouble}"))?;
    let step = Step {
        count: COUNT,
        demand: Amount { cpu_milli: CPU_MILLI, memory_mib: 10, accelerators: 0 },
        estimate: TASK_TIME,
        ..Step::default()
    };
    let spec = Spec { payload: "wide".into(), steps: vec![step], schedule: None };
    cell.site.lock().jobs.insert(JOB, spec);
    let body = serde_json::json!({ "spec": "wide", "steps": [{
        "count": COUNT, "cpu": CPU_MILLI, "mem-mb": 10, "estimate-ms": TASK_TIME.as_millis() as u64,
    }] });
    let answer = client::call(address, "POST", JOB, &body.to_string()).await;
    record.line(&format!("POST {JOB:016x} ({COUNT} tasks) at m0: {answer:?}"))?;
    if trouble {
        let from = Instant::now() + LOST_AT;
        window.lock().expect("no holder of the window panics").open =
            Some((from, from + LOST_TIME));
    }
    let clients: Vec<_> = cell.clients.values().copied().collect();
    let site = cell.site.clone();
    let small = tokio::spawn(async move {
        let step = Step {
            count: 1,
            demand: Amount { cpu_milli: 100, memory_mib: 10, accelerators: 0 },
            estimate: SMALL_TIME,
            ..Step::default()
        };
        let spec = Spec { payload: "small".into(), steps: vec![step], schedule: None };
        let body = serde_json::json!({ "spec": "small", "steps": [{
            "count": 1, "cpu": 100, "mem-mb": 10, "estimate-ms": SMALL_TIME.as_millis() as u64,
        }] });
        for index in 1.. {
            let id = 0x5800_0001_0000_0000 + index as JobId;
            site.lock().jobs.insert(id, spec.clone());
            let (address, body) = (clients[index % clients.len()], body.to_string());
            tokio::spawn(async move { client::call(address, "POST", id, &body).await });
            tokio::time::sleep(SMALL_INTERVAL).await;
        }
    });
    let mut known: BTreeMap<Run, String> = BTreeMap::new();
    let mut done: BTreeMap<TaskId, (u64, String, Run)> = BTreeMap::new();
    let mut again: BTreeSet<Run> = BTreeSet::new();
    let mut lapsed = 0;
    let mut last = Instant::now();
    let begin = Instant::now();
    let mut finished_at = None;
    while begin.elapsed() < LIMIT {
        tokio::time::sleep(TICK).await;
        let mut lines = Vec::new();
        {
            let state = cell.site.lock();
            for (machine, worker) in &state.workers {
                for end in &worker.ended {
                    match end.reason {
                        EndReason::Done => {
                            let entry = (end.number, machine.clone(), end.run);
                            done.entry(end.run.task).or_insert(entry);
                        }
                        EndReason::LeaseExpired => lapsed += 1,
                        _ => {}
                    }
                }
                for run in worker.active.keys() {
                    if known.insert(*run, machine.clone()).is_some() {
                        continue;
                    }
                    // Seen done in an earlier tick, so this start came after the end.
                    if let Some((_, _, ended)) =
                        done.get(&run.task).filter(|(_, _, ended)| ended != run)
                    {
                        again.insert(*run);
                        lines.push(format!(
                            "{} attempt {} starts on {machine}, though attempt {} has ended done",
                            run.task, run.attempt, ended.attempt
                        ));
                    }
                }
            }
            if last.elapsed() >= Duration::from_millis(250) {
                last = Instant::now();
                let counts: Vec<String> = state
                    .workers
                    .iter()
                    .map(|(name, worker)| {
                        format!(
                            "{name}: {} run, {} ends listed or waiting",
                            worker.active.len(),
                            worker.ended.len()
                        )
                    })
                    .collect();
                lines.push(counts.join("; "));
            }
        }
        for line in lines.iter().take(40) {
            record.line(line)?;
        }
        let wide = done.keys().filter(|task| task.job == JOB).count();
        if wide == COUNT as usize && finished_at.is_none() {
            finished_at = Some(Instant::now());
        }
        // Time for the last ends to be acknowledged, and for starts that are still on their way.
        if finished_at.is_some_and(|at| at.elapsed() > Duration::from_secs(8)) {
            break;
        }
    }
    small.abort();
    let answer = client::call(address, "GET", JOB, "").await;
    record.line(&format!("GET {JOB:016x} at m0: {answer:?}"))?;
    let mut violations = 0;
    {
        let state = cell.site.lock();
        for run in &again {
            let Some((number, machine, _)) = done.get(&run.task) else { continue };
            let is_noted = state.workers[machine].ended.iter().all(|end| end.number != *number);
            violations += usize::from(is_noted);
        }
    }
    let window = window.lock().expect("no holder of the window panics");
    record.line(&format!(
        "{} of {} writes in the window lost their answers; {lapsed} ends by a lapsed lease",
        window.lost, window.writes
    ))?;
    let text = match violations {
        0 => String::from("TWICE was kept"),
        count => format!("TWICE was broken: {count} starts after an end that was taken note of"),
    };
    record.line(&text)?;
    println!("{text}");
    if lapsed > 0 {
        bail!("a lease lapsed, which excuses a start");
    }
    Ok(violations)
}

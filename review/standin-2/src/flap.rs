//! One executor of 17 goes down and up by turns; a service has one task on each executor.
//!
//! `TROUBLE=0` leaves the executor up. Exits with 1 if the job is shown as `failed`, 0 if not, 2 if
//! the case couldn't run.

mod cell;

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::Result;
use cell::Record;
use cowslipchute_base::amount::Amount;
use cowslipchute_e2e::proxy::Mood;
use cowslipchute_e2e::site::Deployment;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;

/// Number of executors, and of the service's tasks.
const EXECUTORS: usize = 17;
/// Number of equal processes of the system.
const MEMBERS: usize = 3;
/// Runs of a task that may end `failed` before its job does.
const MAX_ATTEMPTS: u32 = 4;
/// The executor that goes down and up.
const FLAPPING: &str = "w4";
const JOB: u64 = 0x5c0e_7a21_d94b_36f8;
/// An executor goes down and up once in this time.
const PERIOD: Duration = Duration::from_millis(1100);
/// Time for which it goes down and up.
const SPAN: Duration = Duration::from_millis(7000);
/// Time from the start of all tasks to the first crash.
const CALM: Duration = Duration::from_millis(600);
/// Time from the end of the disturbance to the last look.
const SETTLE: Duration = Duration::from_secs(25);
/// Heartbeat intervals of silence after which an executor's entry is removed.
const ENTRY_TIME: Duration = Duration::from_millis(3 * 500);

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::open();
    let outcome = play(&mut record).await;
    ExitCode::from(record.close(&outcome))
}

async fn play(record: &mut Record) -> Result<bool> {
    let trouble = cell::has_trouble();
    let deployment = Deployment::open("review-2-flap", MEMBERS, EXECUTORS).await?;
    deployment.site.configure(2, MAX_ATTEMPTS);
    deployment.site.lock().lists_machines = true;
    for worker in deployment.site.lock().workers.values_mut() {
        worker.reports_start = false;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let step = Step {
        count: EXECUTORS as u32,
        demand: Amount { cpu_milli: 5000, memory_mib: 4000, accelerators: 0 },
        estimate: Duration::from_millis(500),
        long_running: true,
        max_per_worker: 1,
        ..Step::default()
    };
    let spec =
        Spec { payload: "service".into(), steps: [step].into_iter().collect(), schedule: None };
    let status = deployment.submit("m0", JOB, &spec).await.context("the job got no answer")?;
    record.line(&format!(
        "POST {JOB:016x}: {EXECUTORS} tasks that last, one on each executor -> {status}"
    ));
    let running = |deployment: &Deployment| {
        let state = deployment.site.lock();
        state.workers.values().map(|worker| worker.active.len()).sum::<usize>()
    };
    let limit = Instant::now() + Duration::from_secs(10);
    while running(&deployment) < EXECUTORS && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::ensure!(running(&deployment) == EXECUTORS, "the tasks don't run");
    record.line("all tasks run");
    tokio::time::sleep(CALM).await;
    let mut failed = false;
    let mut ends_failed = 0;
    let began = Instant::now();
    let mut gone: Option<(String, Vec<u8>, Instant)> = None;
    let mut up = true;
    let mut changed = Instant::now() - PERIOD;
    let mut shown = String::new();
    let mut asked = Instant::now();
    let mut tasks = running(&deployment);
    while began.elapsed() < SPAN + SETTLE {
        let flapping = trouble && began.elapsed() < SPAN;
        if up && flapping && changed.elapsed() >= PERIOD / 2 {
            gone = Some(crash(&deployment, record)?);
            (up, changed) = (false, Instant::now());
        } else if !up && changed.elapsed() >= PERIOD / 2 {
            bring_back(&deployment, record)?;
            (up, changed) = (true, Instant::now());
        }
        if let Some((key, _, since)) = &gone
            && since.elapsed() >= ENTRY_TIME
        {
            deployment.site.lock().foreign_entries.remove(key);
            gone = None;
        }
        let now = running(&deployment);
        if now != tasks {
            record.line(&format!("{now} tasks run"));
            tasks = now;
        }
        ends_failed += count_failed(&deployment);
        if asked.elapsed() >= Duration::from_millis(200) {
            asked = Instant::now();
            for member in ["m0", "m1", "m2"] {
                let Some((status, state)) = deployment.state(member, JOB).await else { continue };
                let text = format!("GET {JOB:016x} -> {status} {state}");
                if text != shown {
                    record.line(&format!("{text} (at {member})"));
                    shown = text;
                }
                failed |= state == "failed";
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    record.line(&format!(
        "{ends_failed} runs ended `failed`; the queue has max-attempts {MAX_ATTEMPTS}"
    ));
    record.line(&format!("{} tasks run in the end", running(&deployment)));
    record.line(match failed {
        true => "LOST: the job is shown as `failed` although none of its runs ended `failed`",
        false => "held: the job is never shown as `failed`",
    });
    Ok(!failed)
}

/// Ends the executor as a crash does: its connections break, its port accepts none, and what ran
/// there is gone. Its entry stays until it has been silent for three heartbeat intervals.
fn crash(deployment: &Deployment, record: &mut Record) -> Result<(String, Vec<u8>, Instant)> {
    deployment.workers[FLAPPING].set(Mood::Reset);
    let mut state = deployment.site.lock();
    let worker = state.workers.get_mut(FLAPPING).context("the executor is there")?;
    let runs: Vec<String> =
        worker.active.keys().map(|run| format!("{} run {}", run.task, run.attempt)).collect();
    worker.up = false;
    worker.active.clear();
    let key = format!("servers/{}", worker.name);
    record.line(&format!("executor {} crashes with {runs:?}", worker.name));
    let value = state.store.value(&key).map(<[u8]>::to_vec).unwrap_or_default();
    if !value.is_empty() {
        state.foreign_entries.insert(key.clone(), String::from_utf8(value.clone())?);
    }
    Ok((key, value, Instant::now()))
}

/// Starts the next life of the executor, under a new id.
fn bring_back(deployment: &Deployment, record: &mut Record) -> Result<()> {
    deployment.site.replace_worker(FLAPPING);
    let name = {
        let mut state = deployment.site.lock();
        let worker = state.workers.get_mut(FLAPPING).context("the executor is there")?;
        worker.reports_start = false;
        worker.name.clone()
    };
    deployment.workers[FLAPPING].set(Mood::Pass);
    record.line(&format!("its machine has a new executor, {name}"));
    Ok(())
}

/// Counts the runs on all executors that have ended `failed`.
fn count_failed(deployment: &Deployment) -> usize {
    let state = deployment.site.lock();
    let ends = state.workers.values().flat_map(|worker| &worker.ended);
    ends.filter(|end| end.reason == EndReason::Failed).count()
}

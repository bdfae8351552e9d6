//! Many small tasks end on a few workers while answers of the store are lost or late.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;
use cowslipchute_review::Deployment;
use cowslipchute_review::Record;
use cowslipchute_review::var;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error:#}");
            ExitCode::from(2)
        }
    }
}

async fn run() -> Result<bool> {
    let record = Record::open(&std::env::args().nth(1).unwrap_or("record.txt".into()))?;
    let trouble = var("TROUBLE", 1) == 1;
    let (jobs, count, cpu) = (var("JOBS", 80), var("COUNT", 40) as u32, var("CPU", 20) as u32);
    let work = Duration::from_millis(var("WORK", 4000));
    let (lost, delay) = (var("LOST", 350), var("DELAY", 0));
    let capacity = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
    let names = ["w0", "w1", "w2", "w3"];
    let workers: Vec<_> =
        names.iter().take(var("WORKERS", 3) as usize).map(|name| (*name, capacity)).collect();
    let mut deployment = Deployment::open(&record, 3, &workers, |settings| {
        settings["bounds"]["stop-timeout-ms"] = 400.into();
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let spec = Spec {
        payload: "small tasks".into(),
        steps: [Step {
            count,
            demand: Amount { cpu_milli: cpu, memory_mib: 8, accelerators: 0 },
            estimate: work,
            ..Step::default()
        }]
        .into_iter()
        .collect(),
        schedule: None,
    };
    let members: Vec<String> = deployment.members.keys().cloned().collect();
    let mut accepted = Vec::new();
    for job in 0..jobs {
        let id = 0x5c0e_7a21_0000_0000 + job;
        let path = format!("/q/{id:016x}");
        let member = &members[job as usize % members.len()];
        if deployment.submit(member, &path, id, &spec).await == Some(200) {
            accepted.push(id);
        }
    }
    let began = Instant::now();
    let disturb_at = Duration::from_millis(var("AT", 2500));
    let disturb_for = Duration::from_millis(var("FOR", 4500));
    let mut disturbed = false;
    let mut ended = false;
    // Done runs by task, and runs that were seen at work after another run of their task was done.
    let mut done: BTreeMap<TaskId, (u32, Duration, String)> = BTreeMap::new();
    let mut twice: BTreeSet<(TaskId, u32)> = BTreeSet::new();
    let mut seen = BTreeSet::new();
    let mut most_ends = 0;
    let mut last_line = Instant::now();
    while began.elapsed() < Duration::from_secs(var("SECONDS", 20)) {
        tokio::time::sleep(Duration::from_millis(4)).await;
        if trouble && !disturbed && began.elapsed() >= disturb_at {
            disturbed = true;
            record.line("the disturbance of the store begins");
            deployment.disturbance.lost_writes.store(lost, Ordering::Relaxed);
            deployment.disturbance.delay_ms.store(delay, Ordering::Relaxed);
        }
        if disturbed && !ended && began.elapsed() >= disturb_at + disturb_for {
            ended = true;
            record.line("the disturbance of the store ends");
            deployment.disturbance.lost_writes.store(0, Ordering::Relaxed);
            deployment.disturbance.delay_ms.store(0, Ordering::Relaxed);
        }
        let state = deployment.site.lock();
        for (name, worker) in &state.workers {
            most_ends = most_ends.max(worker.ended.len());
            for end in worker.ended.iter().filter(|end| end.reason == EndReason::Done) {
                done.entry(end.run.task).or_insert((
                    end.run.attempt,
                    record.elapsed(),
                    name.clone(),
                ));
            }
        }
        for (name, worker) in &state.workers {
            for run in worker.active.keys() {
                if seen.insert(*run) {
                    record.line(&format!("{name} runs {} run {}", run.task, run.attempt));
                }
                let Some((attempt, at, first)) = done.get(&run.task) else { continue };
                if *attempt != run.attempt
                    && twice.insert((run.task, run.attempt))
                    && twice.len() < 60
                {
                    record.line(&format!(
                        "run {} of {} is at work on {name}; run {attempt} ended done on {first} at {:.3}",
                        run.attempt, run.task, at.as_secs_f64()
                    ));
                }
            }
        }
        if last_line.elapsed() >= Duration::from_millis(250) {
            last_line = Instant::now();
            let loads: Vec<String> = state
                .workers
                .iter()
                .map(|(name, worker)| {
                    format!(
                        "{name}: {} at work, {} ends not acknowledged",
                        worker.active.len(),
                        worker.ended.len()
                    )
                })
                .collect();
            record.line(&loads.join("; "));
        }
    }
    let mut unacknowledged = BTreeSet::new();
    let finished;
    {
        let state = deployment.site.lock();
        for worker in state.workers.values() {
            unacknowledged.extend(
                worker
                    .ended
                    .iter()
                    .filter(|end| end.reason == EndReason::Done)
                    .map(|end| end.run.task),
            );
        }
        finished = state.finished.len();
        for violation in state.violations.iter().take(20) {
            record.line(&format!("stand-in: {violation}"));
        }
        record.line(&format!("stand-in: {} violations", state.violations.len()));
    }
    let counted = twice.iter().filter(|(task, _)| !unacknowledged.contains(task)).count();
    let disturbance = &deployment.disturbance;
    let summary = format!(
        "{} submissions accepted, {} tasks done, {} started after a run of theirs had ended done (that end was taken note of: {counted}); at most {most_ends} ends not acknowledged on one worker; {} writes, {} answers lost",
        accepted.len(),
        finished,
        twice.len(),
        disturbance.writes.load(Ordering::Relaxed),
        disturbance.lost.load(Ordering::Relaxed),
    );
    record.line(&summary);
    println!("{summary}");
    let names: Vec<String> = deployment.members.keys().cloned().collect();
    for name in names {
        deployment.kill(&name);
    }
    Ok(counted == 0)
}

//! Crashes workers of a full cell, a few at a time, and checks that accepted jobs still run afterwards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_e2e::proxy::Mood;
use cowslipchute_e2e::site::CAPACITY;
use cowslipchute_e2e::site::Deployment;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_review_check::Record;
use cowslipchute_review_check::exit_code;
use cowslipchute_review_check::has_trouble;
use cowslipchute_review_check::within_limit;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;
use tokio::sync::mpsc;

/// Processes of ours, and the part of a core that each has: 0.1 to 0.5 on the users' machines.
const MEMBERS: usize = 3;
const CPU_SHARE: f64 = 0.4;
const WORKERS: usize = 48;
/// Workers that may be down at once: 0.15 of them.
const MAX_DOWN: usize = 7;
const DOWN: Duration = Duration::from_millis(1500);
const CRASH_INTERVAL: Duration = Duration::from_millis(230);
/// Time after which a silent worker's entry is removed: three heartbeats of a worker.
const ENTRY_LIFE: Duration = Duration::from_millis(1500);
const FIRST_CRASH: Duration = Duration::from_secs(5);
const TRAFFIC: Duration = Duration::from_secs(74);
/// The bound `finish_s`, and the time for which a job may have nothing running beside free capacity.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);
const SERVICE_JOBS: u64 = 12;
/// Tasks of short jobs that clients keep in the system, a little more than the cell runs at once.
const TASKS_IN_SYSTEM: u32 = 290;
/// Idle jobs whose states are asked for; all of them are counted.
const ASKED: usize = 25;
const TICK: Duration = Duration::from_millis(20);
/// Pause after which the traffic ends early, since nothing was started.
const QUIET: Duration = Duration::from_secs(8);

struct Accepted {
    spec: Spec,
    seen_running: bool,
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be opened");
    exit_code(runtime.block_on(within_limit(run())))
}

fn service() -> Spec {
    let step = Step {
        count: 6,
        demand: Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 },
        estimate: Duration::from_secs(1),
        long_running: true,
        ..Step::default()
    };
    Spec { payload: "service".into(), steps: vec![step], schedule: None }
}

fn short(rng: &mut StdRng) -> Spec {
    let step = Step {
        count: rng.random_range(2..6),
        demand: Amount {
            cpu_milli: rng.random_range(14..26) * 100,
            memory_mib: 200,
            accelerators: 0,
        },
        estimate: Duration::from_millis(rng.random_range(600..1500)),
        ..Step::default()
    };
    Spec { payload: "short".into(), steps: vec![step], schedule: None }
}

async fn run() -> Result<usize> {
    let mut record = Record::create()?;
    let trouble = has_trouble();
    let mut rng = StdRng::seed_from_u64(58);
    let mut deployment = Deployment::open("review-reservation", MEMBERS, WORKERS).await?;
    if std::env::var("KEEP_LOGS").is_ok() {
        println!("logs in {}", deployment.keep_logs().display());
    }
    deployment.site.lock().lists_machines = true;
    for member in deployment.members.values_mut() {
        if let Some(process) = &mut member.process {
            process.set_share(CPU_SHARE);
        }
    }
    record.line(&format!(
        "{MEMBERS} processes are ready, {WORKERS} workers of {CAPACITY:?}; trouble: {trouble}"
    ))?;
    let members: Vec<String> = deployment.members.keys().cloned().collect();
    let (answers, mut answered) = mpsc::unbounded_channel();
    let mut accepted: BTreeMap<JobId, Accepted> = BTreeMap::new();
    let mut in_flight: BTreeMap<JobId, Spec> = BTreeMap::new();
    let send = |id: JobId, spec: &Spec, rng: &mut StdRng| {
        let caller = deployment.caller.clone();
        let member = members[rng.random_range(0..members.len())].clone();
        let (answers, spec) = (answers.clone(), spec.clone());
        tokio::spawn(async move {
            let status = caller.submit(&member, id, &spec).await;
            let _ = answers.send((id, member, status));
        });
    };
    let start = Instant::now();
    let mut next_id: JobId = 0x5800_0000_0000_0001;
    for _ in 0..SERVICE_JOBS {
        let spec = service();
        send(next_id, &spec, &mut rng);
        in_flight.insert(next_id, spec);
        next_id += 1;
    }
    let mut down: Vec<(Instant, Instant, String, String)> = Vec::new();
    let mut next_crash = start + FIRST_CRASH;
    let mut last_line = start;
    let mut last_start = Instant::now();
    let mut known_runs = BTreeSet::new();
    let mut starts = 0_u64;
    while start.elapsed() < TRAFFIC && last_start.elapsed() < QUIET {
        tokio::time::sleep(TICK).await;
        let now = Instant::now();
        while let Ok((id, member, status)) = answered.try_recv() {
            let Some(spec) = in_flight.remove(&id) else { continue };
            let text =
                status.map_or(String::from("no answer"), |status| status.as_u16().to_string());
            let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
            record.line(&format!("POST {id:016x} ({tasks} tasks) at {member}: {text}"))?;
            if status.is_some_and(|status| status.is_success()) {
                accepted.insert(id, Accepted { spec, seen_running: false });
            }
        }
        let open = {
            let state = deployment.site.lock();
            let mut runs = BTreeSet::new();
            for worker in state.workers.values() {
                runs.extend(worker.active.keys().copied());
            }
            let new = runs.difference(&known_runs).count();
            if new > 0 {
                last_start = now;
                starts += new as u64;
            }
            known_runs = runs;
            for run in &known_runs {
                if let Some(job) = accepted.get_mut(&run.task.job) {
                    job.seen_running = true;
                }
            }
            let left = |spec: &Spec, id: JobId| {
                let done = state.finished.iter().filter(|task| task.job == id).count() as u32;
                spec.steps.iter().map(|step| step.count).sum::<u32>().saturating_sub(done)
            };
            let short = accepted.iter().filter(|(_, job)| !job.spec.steps[0].long_running);
            let open: u32 = short.map(|(id, job)| left(&job.spec, *id)).sum();
            open + in_flight.values().map(|spec| spec.steps[0].count).sum::<u32>()
        };
        let mut missing = TASKS_IN_SYSTEM.saturating_sub(open);
        while missing > 0 && in_flight.len() < 12 {
            let spec = short(&mut rng);
            missing = missing.saturating_sub(spec.steps[0].count);
            send(next_id, &spec, &mut rng);
            in_flight.insert(next_id, spec);
            next_id += 1;
        }
        if trouble && now >= next_crash && down.len() < MAX_DOWN && start.elapsed() + DOWN < TRAFFIC
        {
            next_crash = now + CRASH_INTERVAL;
            let up: Vec<String> = {
                let state = deployment.site.lock();
                state
                    .workers
                    .iter()
                    .filter(|(_, worker)| worker.up)
                    .map(|(name, _)| name.clone())
                    .collect()
            };
            let chosen = up.into_iter().choose(&mut rng);
            if let Some(machine) = &chosen {
                let mut state = deployment.site.lock();
                let Some(worker) = state.workers.get_mut(machine) else { continue };
                worker.up = false;
                worker.active.clear();
                let key = format!("servers/{}", worker.name);
                let entry = state
                    .store
                    .value(&key)
                    .map(|value| String::from_utf8_lossy(value).into_owned());
                if let Some(entry) = entry {
                    state.foreign_entries.insert(key.clone(), entry);
                }
                drop(state);
                deployment.workers[machine].set(Mood::Reset);
                down.push((now + DOWN, now + ENTRY_LIFE, machine.clone(), key));
            }
            record.line(&format!("a worker crashes: {}", chosen.unwrap_or_default()))?;
        }
        let mut waiting = Vec::new();
        for (back, removed, machine, key) in std::mem::take(&mut down) {
            if now >= removed {
                deployment.site.lock().foreign_entries.remove(&key);
            }
            if now >= back {
                deployment.site.replace_worker(&machine);
                deployment.workers[&machine].set(Mood::Pass);
                let mut state = deployment.site.lock();
                state.foreign_entries.remove(&key);
            } else {
                waiting.push((back, removed, machine, key));
            }
        }
        down = waiting;
        if now.duration_since(last_line) >= Duration::from_secs(1) {
            last_line = now;
            let owner = deployment.owner().unwrap_or_default();
            record.line(&format!(
                "{} runs, {starts} starts so far, {open} tasks of short jobs not done; the store names {owner} as the owner",
                known_runs.len()
            ))?;
        }
    }
    for (_, _, machine, key) in down {
        deployment.site.replace_worker(&machine);
        deployment.workers[&machine].set(Mood::Pass);
        deployment.site.lock().foreign_entries.remove(&key);
    }
    record.line("the traffic ends, and every worker is up")?;
    tokio::time::sleep(FINISH).await;
    let violations = check(&deployment, &accepted, &members, &mut record).await?;
    let text = match violations {
        0 => String::from("LOST was kept"),
        count => format!("LOST was broken for {count} accepted jobs"),
    };
    record.line(&text)?;
    println!("{text}");
    Ok(violations)
}

/// Returns the number of accepted jobs that have nothing running for three seconds, although their tasks may
/// start, there is capacity for them twice over and less than half of all capacity is in use; or that no process
/// knows.
async fn check(
    deployment: &Deployment,
    accepted: &BTreeMap<JobId, Accepted>,
    members: &[String],
    record: &mut Record,
) -> Result<usize> {
    let mut idle: BTreeSet<JobId> = accepted.keys().copied().collect();
    let begin = Instant::now();
    while begin.elapsed() < IDLE + TICK {
        {
            let state = deployment.site.lock();
            let running = state.workers.values().flat_map(|worker| worker.active.keys());
            for run in running {
                idle.remove(&run.task.job);
            }
            let free: u32 = state.workers.values().map(|worker| worker.free().cpu_milli).sum();
            let total = CAPACITY.cpu_milli * WORKERS as u32;
            idle.retain(|id| {
                let spec = &accepted[id].spec;
                let done = state.finished.iter().filter(|task| task.job == *id).count() as u32;
                let left = spec.steps[0].count.saturating_sub(done);
                left > 0 && free * 2 > total && free >= 2 * left * spec.steps[0].demand.cpu_milli
            });
        }
        tokio::time::sleep(TICK).await;
    }
    record.line(&format!(
        "{} of {} accepted jobs have had nothing running for 3 s beside free capacity",
        idle.len(),
        accepted.len()
    ))?;
    let mut violations = idle.len();
    let others = accepted.keys().filter(|id| !idle.contains(*id)).step_by(20);
    for (index, id) in idle.iter().take(ASKED).chain(others).enumerate() {
        let is_idle = idle.contains(id);
        let member = &members[index % members.len()];
        let answer = deployment.state(member, *id).await;
        let text = answer.as_ref().map_or(String::from("no answer"), |(status, state)| {
            format!("{} {state}", status.as_u16())
        });
        record.line(&format!(
            "GET {id:016x} at {member}: {text}{}",
            if is_idle { "; nothing of it has run for 3 s beside free capacity" } else { "" }
        ))?;
        let is_known = answer.is_some_and(|(status, _)| status.is_success());
        violations += usize::from(!is_idle && !is_known);
    }
    Ok(violations)
}

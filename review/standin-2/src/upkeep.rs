//! During a wave of upkeep the machine service is busy for five seconds, and one executor is lost.
//!
//! Exits with 1 if an upkeep ends a task that is at work while `max-unavailable` others of its step
//! are away, 0 if none does, 2 if the case couldn't run.

mod cell;
mod cloud;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::Result;
use cell::Cell;
use cell::Record;
use cell::call;
use cloud::Cloud;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use serde_json::json;

const EXECUTORS: usize = 8;
const MAX_UNAVAILABLE: usize = 1;
const HOST: &str = "desk.example";
const JOB: u64 = 0x3a0e_7a21_d94b_36f8;
/// `notice-ms` of the installations' sheets.
const NOTICE: Duration = Duration::from_millis(4500);
/// Time for which the machine service is busy.
const BUSY: Duration = Duration::from_millis(5000);
/// Time from the end of the first upkeep until then: the next order follows after about a second.
const PAUSE: Duration = Duration::from_millis(800);
/// Three heartbeat intervals of executors.
const ENTRY_TIME: Duration = Duration::from_millis(3 * 500);
/// The executor that is lost for good.
const LOST: &str = "w7";

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::open();
    let outcome = play(&mut record).await;
    ExitCode::from(record.close(&outcome))
}

async fn play(record: &mut Record) -> Result<bool> {
    let trouble = cell::has_trouble();
    let capacity = Amount { cpu_milli: 8000, memory_mib: 32_000, accelerators: 0 };
    let mut cell = Cell::open("review-2-upkeep", EXECUTORS, capacity).await?;
    cell.site.configure(2, 4);
    let cloud = Cloud::open(cell.site.clone(), cell.executors.clone()).await?;
    for name in ["m0", "m1", "m2"] {
        cell.add_member(name, Some(cloud.address)).await?;
    }
    cell.await_ready().await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let step = Step {
        count: EXECUTORS as u32,
        demand: Amount { cpu_milli: 5000, memory_mib: 4000, accelerators: 0 },
        estimate: Duration::from_millis(500),
        long_running: true,
        max_per_worker: 1,
        max_unavailable: Some(MAX_UNAVAILABLE as u32),
        ..Step::default()
    };
    let spec =
        Spec { payload: "service".into(), steps: [step].into_iter().collect(), schedule: None };
    cell.site.lock().jobs.insert(JOB, spec);
    let body = json!({"spec": "service", "steps": [{
        "count": EXECUTORS, "cpu": 5000, "mem-mb": 4000, "estimate-ms": 500, "long-running": true,
        "max-per-server": 1, "max-unavailable": MAX_UNAVAILABLE,
    }]});
    let client = cell.members["m0"].clients;
    let answer = call(client, "POST", &format!("/q/{JOB:016x}"), HOST, &body.to_string()).await;
    record.line(&format!("POST {JOB:016x}: {EXECUTORS} tasks that last -> {answer:?}"));
    let limit = Instant::now() + Duration::from_secs(10);
    while running(&cell).len() < EXECUTORS {
        anyhow::ensure!(Instant::now() < limit, "the tasks don't run");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    record.line("all tasks run");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let machines: Vec<String> = (0..EXECUTORS - 1).map(|index| format!("w{index}")).collect();
    let wave = json!({"wave": 1, "machines": machines, "duration-s": 60.0, "cap": 2});
    cell.site.lock().store.put("op/wave/1", wave.to_string().into_bytes(), 0);
    record.line(&format!("op/wave/1: {wave}"));
    let began = Instant::now();
    let mut away: BTreeMap<u32, Instant> = BTreeMap::new();
    let mut by_upkeep: BTreeMap<u32, Instant> = BTreeMap::new();
    let (mut busy_at, mut lost_at, mut entry): (Option<Instant>, Option<Instant>, Option<String>) =
        (None, None, None);
    let mut back_at: Option<Instant> = None;
    let mut seen = 0;
    let mut refused = 0;
    let mut held = true;
    while began.elapsed() < Duration::from_secs(45) {
        let now = running(&cell);
        let begun: Vec<_> = {
            let state = cloud.lock();
            refused = state.refused.len().max(refused);
            let new = state.begun[seen..].iter();
            new.map(|begun| (begun.machine.clone(), begun.at, begun.ended.clone())).collect()
        };
        for (machine, at, ended) in begun {
            seen += 1;
            let ended: Vec<u32> = ended.iter().map(|run| run.task.index).collect();
            let others: Vec<u32> = (0..EXECUTORS as u32)
                .filter(|task| !ended.contains(task))
                .filter(|task| {
                    let long = away.get(task).is_some_and(|since| at >= *since + NOTICE);
                    long || by_upkeep.contains_key(task)
                })
                .collect();
            record.line(&format!(
                "upkeep of {machine} begins and ends tasks {ended:?}; away at that time: {others:?}"
            ));
            if !ended.is_empty() && others.len() >= MAX_UNAVAILABLE {
                held = false;
                record.line(&format!(
                    "AVAIL: {} others of the step are away, {:?}",
                    others.len(),
                    others
                        .iter()
                        .filter_map(|task| Some(away.get(task)?.elapsed()))
                        .collect::<Vec<_>>()
                ));
            }
            by_upkeep.extend(ended.iter().map(|task| (*task, at)));
        }
        for task in 0..EXECUTORS as u32 {
            if now.contains(&task) {
                if away.remove(&task).is_some() {
                    record.line(&format!("task {task} runs again"));
                }
                by_upkeep.remove(&task);
            } else {
                away.entry(task).or_insert_with(Instant::now);
            }
        }
        let is_back = seen == 1 && away.is_empty();
        let back_since = *back_at.get_or_insert(Instant::now());
        if !is_back {
            back_at = None;
        }
        if trouble && busy_at.is_none() && is_back && back_since.elapsed() >= PAUSE {
            cloud.lock().busy = true;
            busy_at = Some(Instant::now());
            record.line("the machine service answers 503 to all calls");
        }
        if let Some(at) = busy_at {
            let order = cloud.lock().refused.first().map(|(at, machine)| (*at, machine.clone()));
            if let Some((sent, machine)) = order
                && lost_at.is_none()
                && at.elapsed() < BUSY - NOTICE
            {
                record.line(&format!(
                    "the order for {machine} was answered 503, {} ms after that",
                    (sent - at).as_millis()
                ));
                entry = Some(lose(&cell, record)?);
                lost_at = Some(Instant::now());
            }
            if at.elapsed() >= BUSY && cloud.lock().busy {
                cloud.lock().busy = false;
                record.line(&format!(
                    "the machine service works again; {refused} orders were refused"
                ));
            }
        }
        if lost_at.is_some_and(|at| at.elapsed() >= ENTRY_TIME)
            && let Some(key) = entry.take()
        {
            cell.site.lock().foreign_entries.remove(&key);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    record.line(&format!("{seen} upkeeps have begun"));
    anyhow::ensure!(!trouble || lost_at.is_some(), "no order came while the service was busy");
    if held {
        record.line("held: no upkeep ends a task while another of its step is away");
    }
    Ok(held)
}

/// Returns the service's tasks that run.
fn running(cell: &Cell) -> Vec<u32> {
    let state = cell.site.lock();
    let runs = state.workers.values().filter(|worker| worker.up);
    runs.flat_map(|worker| worker.active.keys().map(|run| run.task.index)).collect()
}

/// Ends an executor for good; its entry stays for three heartbeat intervals.
fn lose(cell: &Cell, record: &mut Record) -> Result<String> {
    cell.executors[LOST].set_down(true);
    let mut state = cell.site.lock();
    let worker = state.workers.get_mut(LOST).context("the executor is there")?;
    let tasks: Vec<u32> = worker.active.keys().map(|run| run.task.index).collect();
    worker.up = false;
    worker.active.clear();
    record.line(&format!("executor {LOST} is lost for good, with tasks {tasks:?}"));
    let key = format!("servers/{}", worker.name);
    let value = state.store.value(&key).map(<[u8]>::to_vec).unwrap_or_default();
    state.foreign_entries.insert(key.clone(), String::from_utf8(value)?);
    Ok(key)
}

//! An executor goes down and up by turns; a submission needs a label that only its rack has.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_e2e::proxy;
use cowslipchute_e2e::proxy::Mood;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_review::Deployment;
use cowslipchute_review::Record;
use cowslipchute_review::var;

/// The executor that goes down and up, the only one of its rack.
const FLAPPING: &str = "w9";
/// Time for which the directory keeps the entry of a crashed executor: three heartbeat intervals.
const STALE_ENTRY_TIME: Duration = Duration::from_millis(1500);

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
    let capacity = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
    let names = ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", FLAPPING];
    let workers: Vec<_> = names.iter().map(|name| (*name, capacity)).collect();
    let mut deployment = Deployment::open(&record, 3, &workers, |_| {}).await?;
    let address = deployment.site.address(FLAPPING).context("the executor was added")?;
    let link = proxy::open(address).await?;
    deployment.site.set_address(FLAPPING, link.address);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let rack = deployment.site.lock().workers[FLAPPING].rack.clone();
    let jobs = var("JOBS", 1);
    let step = |count, label: Option<&str>| Step {
        count,
        demand: Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 },
        estimate: Duration::from_millis(var("WORK", 3000)),
        required_label: label.map(|label| label.into()),
        ..Step::default()
    };
    let began = Instant::now();
    let phase = Duration::from_millis(var("GAP", 1100));
    let flap_for = Duration::from_millis(var("FOR", 7000));
    let submit_at = Duration::from_millis(var("SUBMIT", 300));
    let mut submitted = BTreeMap::new();
    let mut is_up = true;
    let mut failures = 0;
    let mut stale: Vec<(Duration, String)> = Vec::new();
    let mut shown: BTreeMap<u64, String> = BTreeMap::new();
    let mut runs: BTreeMap<String, ()> = BTreeMap::new();
    let members: Vec<String> = deployment.members.keys().cloned().collect();
    let mut asked = Instant::now();
    while began.elapsed() < Duration::from_secs(var("SECONDS", 20)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let at = began.elapsed();
        if submitted.is_empty() && at >= submit_at {
            for job in 0..jobs {
                let id = 0x5c0e_7a22_0000_0000 + job;
                let spec = Spec {
                    payload: "needs the label of one rack".into(),
                    steps: [step(var("COUNT", 4) as u32, Some(&rack))].into_iter().collect(),
                    schedule: None,
                };
                let path = format!("/q/{id:016x}");
                let member = &members[job as usize % members.len()];
                let status = deployment.submit(member, &path, id, &spec).await;
                if status == Some(200) {
                    submitted.insert(id, path);
                }
            }
        }
        // Half of each period down, half up.
        let wants_up = !trouble
            || at >= flap_for
            || (at.as_millis() % phase.as_millis()) * 2 >= phase.as_millis();
        if wants_up != is_up {
            is_up = wants_up;
            if is_up {
                link.set(Mood::Pass);
                deployment.site.replace_worker(FLAPPING);
                record.line(&format!("{FLAPPING} is back as a new executor"));
            } else {
                let mut state = deployment.site.lock();
                // The entry stays for three heartbeat intervals.
                let key = format!("servers/{}", state.workers[FLAPPING].name);
                let entry = state.store.value(&key).map(|value| value.to_vec());
                if let Some(entry) = entry {
                    let entry = String::from_utf8(entry)?;
                    state.foreign_entries.insert(key.clone(), entry);
                    stale.push((at + STALE_ENTRY_TIME, key));
                }
                let worker = state.workers.get_mut(FLAPPING).context("it exists")?;
                worker.up = false;
                let lost = worker.active.len();
                worker.active.clear();
                drop(state);
                link.set(Mood::Reset);
                record.line(&format!("{FLAPPING} crashes with {lost} runs"));
            }
        }
        {
            let mut state = deployment.site.lock();
            for (_, key) in stale.extract_if(.., |(until, _)| *until <= at) {
                state.foreign_entries.remove(&key);
            }
            for (name, worker) in &state.workers {
                for run in worker.active.keys() {
                    let text = format!("{} runs {} run {}", worker.name, run.task, run.attempt);
                    if runs.insert(text.clone(), ()).is_none() {
                        record.line(&text);
                    }
                }
                for end in &worker.ended {
                    let text = format!(
                        "{name} lists the end of {} run {}: {:?}",
                        end.run.task, end.run.attempt, end.reason
                    );
                    if runs.insert(text.clone(), ()).is_none() {
                        failures += usize::from(end.reason == EndReason::Failed);
                        record.line(&text);
                    }
                }
            }
        }
        if asked.elapsed() >= Duration::from_millis(250) {
            asked = Instant::now();
            for (id, path) in &submitted {
                if let Some((status, state)) = deployment.state(&members[0], path).await {
                    let text = format!("{status} {state}");
                    if shown.get(id) != Some(&text) {
                        record.line(&format!("GET {path}: {text}"));
                        shown.insert(*id, text);
                    }
                }
            }
        }
    }
    let failed = shown.values().filter(|state| state.ends_with("failed")).count();
    let summary = format!(
        "{} submissions accepted, {failed} shown as failed; {failures} ends `failed` listed by executors; last states: {:?}",
        submitted.len(),
        shown.values().collect::<Vec<_>>()
    );
    record.line(&summary);
    println!("{summary}");
    for name in members {
        deployment.kill(&name);
    }
    Ok(failed == 0 || failures > 0)
}

//! Two clients choose numbers for their submissions that differ as strings.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
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
    let capacity = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
    let workers: Vec<_> = ["w0", "w1", "w2", "w3"].map(|name| (name, capacity)).to_vec();
    let mut deployment = Deployment::open(&record, 3, &workers, |_| {}).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The second client prints its hexadecimal digits in capitals.
    let second = if trouble { "5C0E7A21D94B36F8" } else { "5c0e7a21d94b36f9" };
    let ids = [("5c0e7a21d94b36f8", "of the first client"), (second, "of the second client")];
    let members: Vec<String> = deployment.members.keys().cloned().collect();
    let mut shown: BTreeMap<&str, String> = BTreeMap::new();
    for (index, (id, text)) in ids.iter().enumerate() {
        let spec = Spec {
            payload: (*text).into(),
            steps: [Step {
                count: 2,
                demand: Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 },
                estimate: Duration::from_millis(500),
                ..Step::default()
            }]
            .into_iter()
            .collect(),
            schedule: None,
        };
        let number = JobId::from_str_radix(id, 16).context("it has hexadecimal digits")?;
        let status = deployment.submit(&members[index], &format!("/q/{id}"), number, &spec).await;
        anyhow::ensure!(status == Some(200), "the submission {id} wasn't accepted: {status:?}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(250)).await;
        for (id, _) in ids {
            if let Some((status, state)) = deployment.state(&members[2], &format!("/q/{id}")).await
            {
                let text = format!("{status} {state}");
                if shown.get(id) != Some(&text) {
                    record.line(&format!("GET /q/{id}: {text}"));
                    shown.insert(id, text);
                }
            }
        }
    }
    let starts = deployment.starts.lock().expect("no writer has panicked").clone();
    let mut held = true;
    for (id, text) in ids {
        let named = starts.iter().filter(|(task, ..)| task.starts_with(&format!("{id}."))).count();
        let run = starts.iter().filter(|(.., spec)| spec == text).count();
        let line = format!(
            "submission {id}: accepted, shown as {:?}, {named} starts under its number, {run} starts with its spec",
            shown.get(id)
        );
        record.line(&line);
        println!("{line}");
        // Shown as completed while none of its tasks has ever run, or never done at all.
        held &= run > 0;
    }
    for name in members {
        deployment.kill(&name);
    }
    Ok(held)
}

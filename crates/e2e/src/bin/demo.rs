//! Runs the whole system on loopback beside stand-ins of the platform, puts it to work, and prints a
//! table of what happened. `./demo` builds everything and starts this.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::Result;
use cowslipchute_base::code::Code;
use cowslipchute_e2e::await_until;
use cowslipchute_e2e::await_until::LIMIT;
use cowslipchute_e2e::cluster::Cluster;
use cowslipchute_e2e::cluster::Plan;
use cowslipchute_e2e::load;
use cowslipchute_e2e::load::Tally;
use cowslipchute_e2e::site;
use cowslipchute_e2e::site::Deployment;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::list::Role;
use cowslipchute_standin::report::Report;
use reqwest::Method;
use reqwest::header::HeaderMap;

/// The job that is handed in on the users' platform.
const JOB: JobId = 0xc0ff_ee00;
/// How long one of its tasks works: long enough for its owner to be killed meanwhile.
const JOB_WORK: Duration = Duration::from_millis(600);

/// What an operator declares: a paying service, its trial, and batch work of two teams.
const RESOURCES: &str = r#"
[[resource]]
kind = "service"
name = "web"
deadline = 5000

[[resource]]
kind = "service"
name = "web-trial"
class = "trial"
backends_of = "web"
deadline = 1000

[[resource]]
kind = "job"
name = "report"
tasks = 6
duration = 300
amount = { cpu_milli = 1000, memory_mib = 512 }
"#;

/// Batch work that fills every worker of failure domain `a`, but for the reserve of urgent work.
const FILL: &str = r#"
[[resource]]
kind = "job"
name = "fill"
tasks = 4
duration = 6000
domain = "a"
amount = { cpu_milli = 15500, memory_mib = 1024 }
"#;

/// Urgent work that fits only when batch work gives way.
const URGENT: &str = r#"
[[resource]]
kind = "job"
name = "urgent"
tasks = 1
duration = 500
domain = "a"
urgent = true
amount = { cpu_milli = 16000, memory_mib = 1024 }
"#;

/// Limit for each step; only a hang reaches it.
const STEP: Duration = Duration::from_secs(60);
/// Requests of paying callers.
const PAYING_REQUESTS: u64 = 2000;
/// Requests of trial callers.
const TRIAL_REQUESTS: u64 = 4000;

/// The lines of the table.
struct Table {
    start: Instant,
    rows: Vec<[String; 3]>,
}

impl Table {
    fn row(&mut self, what: &str, found: impl Into<String>) {
        let at = format!("{:.1} s", self.start.elapsed().as_secs_f64());
        let found = found.into();
        eprintln!("[{at:>7}] {what}: {found}");
        self.rows.push([at, what.to_owned(), found]);
    }

    fn print(&self) {
        println!("\n{:>8}  {:<38}  found", "at", "step");
        for [at, what, found] in &self.rows {
            println!("{at:>8}  {what:<38}  {found}");
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut table = Table { start: Instant::now(), rows: Vec::new() };
    let result = match run(&mut table).await {
        Ok(()) => run_site(&mut table).await,
        failed => failed,
    };
    table.print();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the demo did not get through: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Shows the scheduler on a stand-in of the users' platform: a job is taken in, the owner of the cell
/// is killed, and the rest is done once.
async fn run_site(table: &mut Table) -> Result<()> {
    let mut deployment = Deployment::open("cowslipchute-demo-site", 3, 2).await?;
    let owner =
        await_until::some_async("the cell has an owner", LIMIT, || async { deployment.owner() })
            .await;
    let other =
        deployment.members.keys().find(|name| **name != owner).context("no other member")?;
    let other = other.clone();
    table.row("platform", "3 schedulers and 2 workers on a stand-in of the users' platform");
    let job = site::chain(3, 4, JOB_WORK);
    let status = deployment.submit(&other, JOB, &job).await.context("no answer")?;
    table.row("job", format!("3 steps of 4 tasks are handed in at {other}: {status}"));
    deployment.await_state(&other, JOB, "active").await;
    if let Some(member) = deployment.members.get_mut(&owner) {
        member.process = None;
    }
    table.row("owner killed", format!("{owner} owned the cell"));
    deployment.await_state(&other, JOB, "completed").await;
    let (finished, broken) = {
        let state = deployment.site.lock();
        (state.finished.len(), state.violations.len())
    };
    table.row("completed", format!("{finished} tasks done, {broken} of them twice"));
    Ok(())
}

async fn run(table: &mut Table) -> Result<()> {
    let plan = Plan {
        placers: 2,
        standin: vec!["--service=web", "--backends=3", "--workers=2"],
        placer: vec!["--lease-ttl=2000", "--settle=2000"],
        ..Plan::default()
    };
    let mut cluster = Cluster::open("cowslipchute-demo", plan).await?;
    table.row("start", "2 failure domains: 2 entries, 4 placers, 2 operators, stand-ins");
    cluster.apply(RESOURCES)?;
    for entry in ["entry-a0", "entry-b0"] {
        cluster.await_service(entry, "web-trial").await;
    }
    table.row("apply", "service web, its trial, job report: in force");
    requests(table, &cluster).await;
    batch(table, &cluster).await?;
    preemption(table, &cluster).await?;
    replacement(table, &mut cluster).await?;
    let report = cluster.report().await?;
    let violations = report.tasks.violations;
    table.row("stand-ins' own record", record(&report));
    let failed = cluster.stop();
    table.row(
        "graceful stop",
        if failed.is_empty() { "all ended".into() } else { failed.join(", ") },
    );
    anyhow::ensure!(failed.is_empty(), "processes did not stop gracefully: {failed:?}");
    anyhow::ensure!(violations == 0, "the stand-ins saw {violations} violations");
    anyhow::ensure!(report.requests.doubled == 0, "requests ran twice");
    Ok(())
}

fn record(report: &Report) -> String {
    format!(
        "{} requests ran, {} doubled; {} runs started, {} resumed, {} tasks done, {} violations",
        report.requests.requests,
        report.requests.doubled,
        report.tasks.started,
        report.tasks.resumed,
        report.tasks.tasks_done,
        report.tasks.violations,
    )
}

async fn requests(table: &mut Table, cluster: &Cluster) {
    let entries = vec![cluster.url("entry-a0"), cluster.url("entry-b0")];
    // Non-idempotent, so that the stand-ins' record shows whether any ran twice.
    let paying = load::Plan {
        entries: entries.clone(),
        service: "web",
        method: Method::POST,
        headers: HeaderMap::new(),
        callers: 16,
        requests: PAYING_REQUESTS,
        prefix: "paying",
    };
    let trial = load::Plan {
        service: "web-trial",
        callers: 64,
        requests: TRIAL_REQUESTS,
        prefix: "trial",
        ..paying.clone()
    };
    let alone = load::run(cluster.client(), &paying).await;
    table.row("paying requests alone", tally(&alone));
    let beside = load::Plan { prefix: "beside", ..paying };
    let (beside, trials) =
        tokio::join!(load::run(cluster.client(), &beside), load::run(cluster.client(), &trial));
    table.row("paying requests beside a trial flood", tally(&beside));
    table.row("the trial flood", tally(&trials));
}

fn tally(tally: &Tally) -> String {
    let shed = tally.of(Code::TrialShed);
    let answered = tally.of(Code::Answered);
    let other = tally.total() - shed - answered;
    format!(
        "{answered} answered, {shed} shed, {other} other, {} wrong; p50 {:.1} ms, p99 {:.1} ms",
        tally.wrong,
        tally.latency.value_at_quantile(0.5) as f64 / 1000.0,
        tally.latency.value_at_quantile(0.99) as f64 / 1000.0,
    )
}

async fn until(what: &str, cluster: &Cluster, holds: impl Fn(&Report) -> bool) -> Report {
    let holds = &holds;
    await_until::some_async(what, STEP, || async move {
        let report = cluster.report().await.ok()?;
        holds(&report).then_some(report)
    })
    .await
}

async fn batch(table: &mut Table, cluster: &Cluster) -> Result<()> {
    let report = until("job report is done", cluster, |r| r.tasks.tasks_done >= 6).await;
    table.row("job report", format!("{} of 6 tasks done", report.tasks.tasks_done));
    Ok(())
}

async fn preemption(table: &mut Table, cluster: &Cluster) -> Result<()> {
    cluster.apply(FILL)?;
    until("job fill runs", cluster, |r| r.tasks.started >= 10).await;
    table.row("job fill", "4 tasks take every processor of failure domain a");
    let asked = Instant::now();
    cluster.apply(URGENT)?;
    until("a task is evicted", cluster, |r| r.tasks.evicted >= 1).await;
    until("the urgent task runs", cluster, |r| r.tasks.started >= 11).await;
    let took = asked.elapsed().as_secs_f64();
    table.row("job urgent", format!("started {took:.1} s after it was applied, by an eviction"));
    until("the evicted task is resumed", cluster, |r| r.tasks.resumed >= 1).await;
    table.row("evicted task", "resumed from its checkpoint");
    Ok(())
}

async fn replacement(table: &mut Table, cluster: &mut Cluster) -> Result<()> {
    let owner = owner(cluster, "a").await;
    cluster.kill(&owner).await?;
    table.row("kill", format!("{owner}, which owned the cell, with tasks in progress"));
    let heir = owner_other_than(cluster, "a", &owner).await;
    table.row("takeover", format!("{heir} owns the cell"));
    let index = if owner.ends_with('0') { 0 } else { 1 };
    let replaced = cluster.spawn(Role::Placer, "a", index).await?;
    cluster.await_ready(&replaced).await;
    let report = until("all tasks are done", cluster, |r| r.tasks.tasks_done >= 11).await;
    table.row("after the takeover", format!("{} of 11 tasks done", report.tasks.tasks_done));
    Ok(())
}

async fn owner(cluster: &Cluster, domain: &str) -> String {
    owner_other_than(cluster, domain, "").await
}

/// Finds the placer that owns the domain's cell and is not the one named.
async fn owner_other_than(cluster: &Cluster, domain: &str, other: &str) -> String {
    await_until::some_async("a placer owns the cell", STEP, || async move {
        for index in 0..2 {
            let name = format!("placer-{domain}{index}");
            if name != other && cluster.owns_a_cell(&name).await {
                return Some(name);
            }
        }
        None
    })
    .await
}

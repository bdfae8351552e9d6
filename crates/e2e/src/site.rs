//! The scheduler's processes on a stand-in of the users' platform, each behind proxies of its own.

mod caller;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context as _;
use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_standin::site;
use cowslipchute_standin::site::Site;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::await_until;
use crate::await_until::LIMIT;
use crate::port;
use crate::process::Process;
use crate::process::panics;
use crate::proxy;
use crate::proxy::Proxy;

pub use caller::Caller;

/// Host under which clients address the queues.
const HOST: &str = "desk.example";
/// What each worker has.
pub const CAPACITY: Amount = Amount { cpu_milli: 8000, memory_mib: 32_000, accelerators: 0 };
/// The workers' failure domains, by turns.
pub const DOMAINS: [&str; 2] = ["d1", "d2"];
/// How long a client waits for an answer.
const CLIENT_TIME: Duration = Duration::from_millis(2500);

/// Resources that the machine of one of our processes gives it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: usize,
    /// Descriptors, of which a part is reserved for files.
    pub max_fds: usize,
}

/// One of our processes.
#[derive(Debug)]
pub struct Member {
    /// The running process, unless it was ended.
    pub process: Option<Process>,
    /// Where clients reach it.
    pub clients: SocketAddr,
    /// Where the platform asks whether it wants new connections.
    pub readiness: SocketAddr,
    /// Where it serves its metrics.
    pub metrics: SocketAddr,
    /// Between it and the store.
    pub store: Proxy,
    settings: PathBuf,
    starts: u32,
}

/// Processes of ours on a site; dropping it ends them and removes their directory.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub site: Site,
    /// Our processes by name.
    pub members: BTreeMap<String, Member>,
    /// Between all of our processes and each worker.
    pub workers: BTreeMap<String, Proxy>,
    /// A client of all members.
    pub caller: Caller,
    environment: Vec<(String, String)>,
    /// Whether a process may print that it has panicked.
    pub expects_panics: bool,
    directory: PathBuf,
    /// Whether the directory stays, with the logs of all processes.
    keeps_logs: bool,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !self.expects_panics && !std::thread::panicking() {
            let panics = panics(&self.directory);
            assert!(panics.is_empty(), "processes have panicked: {panics:#?}");
        }
        if !self.keeps_logs {
            // What can't be removed now is in the way of nothing.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Deployment {
    /// Opens a site with workers of 8 cores, and starts our processes on it.
    ///
    /// # Errors
    ///
    /// When a binary is missing or a port can't be had.
    pub async fn open(name: &str, members: usize, workers: usize) -> Result<Deployment> {
        Deployment::open_with(name, members, workers, Vec::new()).await
    }

    /// Opens a site whose processes have variables of the environment.
    ///
    /// # Errors
    ///
    /// As [`Deployment::open`].
    pub async fn open_with(
        name: &str,
        members: usize,
        workers: usize,
        environment: Vec<(String, String)>,
    ) -> Result<Deployment> {
        static OPENED: AtomicU32 = AtomicU32::new(0);
        let number = OPENED.fetch_add(1, Ordering::Relaxed);
        let directory = format!("{name}-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory)?;
        let site = site::open().await?;
        let caller = Caller::open(site.clone())?;
        let mut deployment = Deployment {
            site,
            members: BTreeMap::new(),
            workers: BTreeMap::new(),
            caller,
            environment,
            expects_panics: false,
            directory,
            keeps_logs: false,
        };
        for index in 0..workers {
            let name = format!("w{index}");
            deployment.add_worker(&name, CAPACITY).await?;
            deployment.site.set_domain(&name, DOMAINS[index % DOMAINS.len()]);
        }
        deployment.site.configure(1, 100);
        for index in 0..members {
            deployment.add_member(&format!("m{index}")).await?;
        }
        deployment.await_ready().await;
        Ok(deployment)
    }

    /// Returns what processes have printed of their panics.
    pub fn panics(&self) -> Vec<String> {
        panics(&self.directory)
    }

    /// Lets the logs of all processes outlive the deployment; returns their directory.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.keeps_logs = true;
        self.directory.clone()
    }

    async fn add_worker(&mut self, machine: &str, capacity: Amount) -> Result<()> {
        self.site.add_worker(machine, capacity, "r1").await?;
        let address = self.site.address(machine).context("the worker was added")?;
        let proxy = proxy::open(address).await?;
        self.site.set_address(machine, proxy.address);
        self.workers.insert(machine.to_owned(), proxy);
        Ok(())
    }

    /// Adds a process of ours and starts it.
    ///
    /// # Errors
    ///
    /// As [`Deployment::open`].
    pub async fn add_member(&mut self, name: &str) -> Result<()> {
        self.prepare_member(name, None).await?;
        self.start(name)
    }

    /// Adds a process of ours whose settings name other limits, and starts it.
    ///
    /// # Errors
    ///
    /// As [`Deployment::open`].
    pub async fn add_limited_member(&mut self, name: &str, limits: Limits) -> Result<()> {
        self.prepare_member(name, Some(limits)).await?;
        self.start(name)
    }

    async fn prepare_member(&mut self, name: &str, limits: Option<Limits>) -> Result<()> {
        let store = proxy::open(self.site.store).await?;
        let (clients, readiness, metrics) = (port::free()?, port::free()?, port::free()?);
        let peers = port::free()?.port();
        let text = self.site.settings(name, store.address, clients, readiness, peers);
        let mut content: Value = serde_json::from_str(&text)?;
        if let Some(Limits { memory_mb, max_fds }) = limits {
            content["limits"]["memory-mb"] = json!(memory_mb);
            content["limits"]["max-fds"] = json!(max_fds);
        }
        let settings = self.directory.join(format!("{name}.json"));
        fs::write(&settings, content.to_string())?;
        let member =
            Member { process: None, clients, readiness, metrics, store, settings, starts: 0 };
        self.members.insert(name.to_owned(), member);
        self.caller.add_member(name, clients);
        Ok(())
    }

    /// Starts a member that isn't running.
    ///
    /// # Errors
    ///
    /// When the binary is missing.
    pub fn start(&mut self, name: &str) -> Result<()> {
        let member = self.members.get_mut(name).context("no such member")?;
        member.starts += 1;
        let arguments = [
            String::from("--settings"),
            member.settings.display().to_string(),
            String::from("--metrics-port"),
            member.metrics.port().to_string(),
            String::from("--admission"),
            String::from("on"),
        ];
        let log = format!("{name}-{}", member.starts);
        let process = Process::spawn_with(
            "cowslipchute-scheduler",
            &log,
            &self.directory,
            &arguments,
            &self.environment,
        )?;
        member.process = Some(process);
        Ok(())
    }

    /// Waits until every running member wants clients.
    pub async fn await_ready(&self) {
        let running = self.members.iter().filter(|(_, member)| member.process.is_some());
        for (name, _) in running {
            await_until::some_async("the member is ready", LIMIT, || async {
                self.is_ready(name).await.then_some(())
            })
            .await;
        }
    }

    /// Hands a job in at a member that refuses it; after how many seconds it may come back.
    pub async fn refused(&self, member: &str, id: JobId, spec: &Spec) -> Option<u64> {
        let (status, retry_after) = self.submit_once(member, id, spec).await?;
        retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Submits a job; returns the status, and the seconds after which it may be submitted again.
    pub async fn submit_once(
        &self,
        member: &str,
        id: JobId,
        spec: &Spec,
    ) -> Option<(StatusCode, Option<u64>)> {
        self.site.lock().jobs.insert(id, spec.clone());
        let path = format!("/q/{id:016x}");
        let answer = self.caller.send(member, &path, body(spec).to_string()).await?;
        let pause = answer.headers().get("retry-after");
        let seconds = pause.and_then(|pause| pause.to_str().ok()?.parse().ok());
        Some((answer.status(), seconds))
    }

    /// Waits until a member tells how many jobs wait, which it knows from the owner of the cell alone.
    pub async fn await_owner_known(&self, member: &str) {
        let url = format!("http://{}/q/", self.members[member].clients);
        await_until::some_async("the member knows the owner", LIMIT, || async {
            let answer = self.caller.client().get(&url).header("Host", HOST).send().await.ok()?;
            (answer.status() == StatusCode::OK).then_some(())
        })
        .await;
    }

    /// Asks a member, as the platform does, whether it wants new clients.
    pub async fn is_ready(&self, member: &str) -> bool {
        let url = format!("http://{}/v1/readyz", self.members[member].readiness);
        let answer = self.caller.client().get(&url).send().await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Returns the name of the member that owns the cell, as the store has it.
    pub fn owner(&self) -> Option<String> {
        let state = self.site.lock();
        let value = state.store.value("cell/owner")?;
        let text = String::from_utf8_lossy(value);
        self.members.keys().find(|name| text.contains(name.as_str())).cloned()
    }

    /// Hands a job in at a member; the status, or nothing without an answer.
    pub async fn submit(&self, member: &str, id: JobId, spec: &Spec) -> Option<StatusCode> {
        self.caller.submit(member, id, spec).await
    }

    /// Sends a body to a path of a member.
    pub async fn post(&self, member: &str, path: &str, body: String) -> Option<StatusCode> {
        Some(self.caller.send(member, path, body).await?.status())
    }

    /// Asks a member for a job's state; the status and the state, or nothing without an answer.
    pub async fn state(&self, member: &str, id: JobId) -> Option<(StatusCode, String)> {
        self.caller.state(member, id).await
    }

    /// Cancels a job at a member.
    pub async fn cancel(&self, member: &str, id: JobId) -> Option<StatusCode> {
        self.caller.cancel(member, id).await
    }

    /// Reads a series of a member's metrics; nothing if it isn't there.
    pub async fn metric(&self, member: &str, series: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.members.get(member)?.metrics);
        let text = self.caller.client().get(url).send().await.ok()?.text().await.ok()?;
        let line = text.lines().find(|line| line.starts_with(series))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// Waits until a member shows a job in a state.
    pub async fn await_state(&self, member: &str, id: JobId, wanted: &str) {
        await_until::some_async(&format!("the job is {wanted}"), LIMIT, || async {
            let (_, state) = self.state(member, id).await?;
            (state == wanted).then_some(())
        })
        .await;
    }
}

/// A job of equal steps, one after the other.
pub fn chain(steps: u16, count: u32, time: Duration) -> Spec {
    let steps = (0..steps).map(|index| Step {
        count,
        demand: Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 },
        estimate: time,
        after: index.checked_sub(1).into_iter().collect(),
        ..Step::default()
    });
    Spec { payload: "payload".into(), steps: steps.collect(), schedule: None }
}

/// Renders a job as the platform's clients do, as far as [`chain`] uses it.
fn body(spec: &Spec) -> Value {
    let steps: Vec<Value> = spec
        .steps
        .iter()
        .map(|step| {
            json!({
                "count": step.count, "cpu": step.demand.cpu_milli,
                "mem-mb": step.demand.memory_mib, "estimate-ms": step.estimate.as_millis() as u64,
                "after": step.after.as_slice(), "long-running": step.long_running,
                (site::services::MAX_PER_WORKER_FIELD): step.max_per_worker,
            })
        })
        .collect();
    json!({ "spec": &*spec.payload, "steps": steps })
}

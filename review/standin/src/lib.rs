//! A small deployment on loopback: the project's stand-in of the platform, its scheduler processes,
//! a proxy before the store that disturbs calls, and a record of what happened.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_standin::site;
use cowslipchute_standin::site::Site;
use poem::Body;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::Server;
use poem::listener::TcpAcceptor;
use serde_json::Value;
use serde_json::json;

/// Host of the queues in the stand-in's configuration.
pub const HOST: &str = "desk.example";
/// Time that clients wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3000);

/// Reads a number from the environment.
pub fn var(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The record of a run, `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Opens the record at a path.
    pub fn open(path: &str) -> Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, start: Instant::now() })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer has panicked");
        let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

/// What the proxy before the store does to writes (`POST /v1/kv-txn`) and to all calls.
#[derive(Default)]
pub struct Disturbance {
    /// Writes of a thousand that are carried out and not answered.
    pub lost_writes: AtomicU64,
    /// Delay of the answer to each call, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Largest value that the store accepts in bytes; 0 for no limit.
    pub max_value_bytes: AtomicU64,
    /// Number of writes that were carried out and not answered.
    pub lost: AtomicU64,
    /// Number of writes that were refused since a value was too large.
    pub too_large: AtomicU64,
    /// Number of writes.
    pub writes: AtomicU64,
}

struct Proxy {
    store: SocketAddr,
    client: reqwest::Client,
    disturbance: Arc<Disturbance>,
    record: Record,
}

impl Endpoint for Proxy {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let url = format!("http://{}{}", self.store, request.original_uri());
        let is_write = request.original_uri().path() == "/v1/kv-txn";
        let method = request.method().clone();
        let body = request.take_body().into_bytes().await?;
        let fail = || Response::builder().status(poem::http::StatusCode::BAD_GATEWAY).finish();
        let limit = self.disturbance.max_value_bytes.load(Ordering::Relaxed);
        if is_write {
            self.disturbance.writes.fetch_add(1, Ordering::Relaxed);
            if limit > 0 && largest_value(&body) > limit {
                let count = self.disturbance.too_large.fetch_add(1, Ordering::Relaxed);
                if count < 20 {
                    self.record.line(&format!(
                        "store: a write with a value of {} bytes is refused with 400",
                        largest_value(&body)
                    ));
                }
                return Ok(Response::builder()
                    .status(poem::http::StatusCode::BAD_REQUEST)
                    .content_type("application/json")
                    .body("{\"error\":\"value too large\"}"));
            }
        }
        let sent = self.client.request(method, url).header("Content-Type", "application/json");
        let sent = sent.body(body.to_vec()).send().await;
        let Ok(answer) = sent else { return Ok(fail()) };
        let status = answer.status();
        let Ok(bytes) = answer.bytes().await else { return Ok(fail()) };
        let lost = self.disturbance.lost_writes.load(Ordering::Relaxed);
        if is_write && rand::random_range(0..1000) < lost {
            self.disturbance.lost.fetch_add(1, Ordering::Relaxed);
            // The channel of a lost answer returns nothing further.
            tokio::time::sleep(Duration::from_secs(30)).await;
            return Ok(fail());
        }
        let delay = self.disturbance.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        Ok(Response::builder()
            .status(status)
            .content_type("application/json")
            .body(Body::from_bytes(bytes)))
    }
}

/// A proxy before an executor that records the starts it is told.
struct StartProxy {
    executor: SocketAddr,
    name: String,
    client: reqwest::Client,
    starts: Starts,
    record: Record,
    cut: Arc<AtomicBool>,
}

/// Starts that executors were told: task, run and spec.
pub type Starts = Arc<Mutex<Vec<(String, u64, String)>>>;

impl Endpoint for StartProxy {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let url = format!("http://{}{}", self.executor, request.original_uri());
        let is_start = request.original_uri().path() == "/v1/run-start";
        let expected = request.header("Expected-Instance").unwrap_or_default().to_owned();
        let method = request.method().clone();
        let body = request.take_body().into_bytes().await?;
        if self.cut.load(Ordering::Relaxed) {
            // Nothing gets through, and nothing is answered.
            tokio::time::sleep(Duration::from_secs(30)).await;
            return Ok(Response::builder().status(poem::http::StatusCode::BAD_GATEWAY).finish());
        }
        if is_start {
            let command: Value = serde_json::from_slice(&body).unwrap_or_default();
            let task = command["task"].as_str().unwrap_or_default().to_owned();
            let spec = command["spec"].as_str().unwrap_or_default().to_owned();
            let run = command["run-id"].as_u64().unwrap_or_default();
            self.record.line(&format!(
                "{} is told to start {task} run {run} with spec {spec:?}",
                self.name
            ));
            self.starts.lock().expect("no writer has panicked").push((task, run, spec));
        }
        let sent = self.client.request(method, url).header("Content-Type", "application/json");
        let sent = sent.header("Expected-Instance", expected).body(body.to_vec()).send().await;
        let fail = || Response::builder().status(poem::http::StatusCode::BAD_GATEWAY).finish();
        let Ok(answer) = sent else { return Ok(fail()) };
        let status = answer.status();
        let Ok(bytes) = answer.bytes().await else { return Ok(fail()) };
        Ok(Response::builder()
            .status(status)
            .content_type("application/json")
            .body(Body::from_bytes(bytes)))
    }
}

/// Serves an endpoint on a free loopback port.
fn spawn_proxy<E: Endpoint + 'static>(endpoint: E) -> Result<SocketAddr> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    tokio::spawn(Server::new_with_acceptor(TcpAcceptor::from_std(listener)?).run(endpoint));
    Ok(address)
}

fn largest_value(body: &[u8]) -> u64 {
    let txn: Value = serde_json::from_slice(body).unwrap_or_default();
    let keys = txn["set-keys"].as_array().cloned().unwrap_or_default();
    let sizes =
        keys.iter().filter_map(|put| put["value"].as_str()).map(|text| text.len() as u64 * 3 / 4);
    sizes.max().unwrap_or(0)
}

/// One scheduler process.
pub struct Member {
    /// The process, unless it was killed.
    pub child: Option<Child>,
    /// Address of its clients.
    pub clients: SocketAddr,
    /// Address of its readiness checks.
    pub readiness: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    starts: u32,
}

/// A deployment; dropping it ends its processes and removes its directory.
pub struct Deployment {
    /// The platform.
    pub site: Site,
    /// The disturbance of the store.
    pub disturbance: Arc<Disturbance>,
    /// The starts that executors were told.
    pub starts: Starts,
    cuts: BTreeMap<String, Arc<AtomicBool>>,
    /// The processes by name.
    pub members: BTreeMap<String, Member>,
    /// The client of all members.
    pub client: reqwest::Client,
    /// The record.
    pub record: Record,
    directory: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        for name in names {
            self.kill(&name);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Deployment {
    /// Opens a deployment. `adjust` may change the settings of the processes.
    pub async fn open(
        record: &Record,
        members: usize,
        workers: &[(&str, Amount)],
        adjust: impl Fn(&mut Value),
    ) -> Result<Deployment> {
        let site = site::open().await?;
        for (index, (name, capacity)) in workers.iter().enumerate() {
            site.add_worker(name, *capacity, &format!("r{}", index / 3)).await?;
        }
        site.configure(1, 4);
        let disturbance = Arc::new(Disturbance::default());
        let proxy = Proxy {
            store: site.store,
            client: reqwest::Client::builder().no_proxy().build()?,
            disturbance: disturbance.clone(),
            record: record.clone(),
        };
        let store = spawn_proxy(proxy)?;
        let starts = Starts::default();
        let mut cuts = BTreeMap::new();
        for (name, _) in workers {
            let executor = site.address(name).context("the executor was added")?;
            let cut = Arc::new(AtomicBool::new(false));
            cuts.insert(String::from(*name), cut.clone());
            let proxy = StartProxy {
                cut,
                executor,
                name: String::from(*name),
                client: reqwest::Client::builder().no_proxy().build()?,
                starts: starts.clone(),
                record: record.clone(),
            };
            site.set_address(name, spawn_proxy(proxy)?);
        }
        let directory =
            std::env::temp_dir().join(format!("cowslipchute-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let client = reqwest::Client::builder().no_proxy().timeout(CLIENT_TIMEOUT).build()?;
        let mut deployment = Deployment {
            site,
            disturbance,
            starts,
            cuts,
            members: BTreeMap::new(),
            client,
            record: record.clone(),
            directory,
        };
        for index in 0..members {
            let name = format!("edge-{index}");
            let (clients, readiness, metrics) = (free()?, free()?, free()?);
            let text = deployment.site.settings(&name, store, clients, readiness, free()?.port());
            let mut settings: Value = serde_json::from_str(&text)?;
            adjust(&mut settings);
            let path = deployment.directory.join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string())?;
            let member =
                Member { child: None, clients, readiness, metrics, settings: path, starts: 0 };
            deployment.members.insert(name.clone(), member);
            deployment.start(&name)?;
        }
        deployment.await_ready().await?;
        Ok(deployment)
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, name: &str) -> Result<()> {
        let binary = std::env::current_exe()?.with_file_name("cowslipchute-scheduler");
        let member = self.members.get_mut(name).context("no such process")?;
        member.starts += 1;
        let log = File::create(self.directory.join(format!("{name}-{}.log", member.starts)))?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&member.settings)
            .args(["--metrics-port", &member.metrics.port().to_string(), "--admission", "on"])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{name} started"));
        member.child = Some(child);
        Ok(())
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        let Some(member) = self.members.get_mut(name) else { return };
        if let Some(mut child) = member.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{name} killed"));
        }
    }

    async fn await_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for member in self.members.values() {
            let url = format!("http://{}/v1/readyz", member.readiness);
            loop {
                let answer = self.client.get(&url).send().await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                if Instant::now() >= until {
                    let logs = self.members.keys().map(|name| self.last_line(name));
                    anyhow::bail!("a process isn't ready: {:?}", logs.collect::<Vec<_>>());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.record.line("all processes are ready");
        Ok(())
    }

    /// Cuts an executor off from all processes, or heals the cut.
    pub fn cut(&self, name: &str, is_cut: bool) {
        self.cuts[name].store(is_cut, Ordering::Relaxed);
    }

    /// Returns the last line that a process has logged.
    fn last_line(&self, name: &str) -> Option<String> {
        let log = self.directory.join(format!("{name}-{}.log", self.members.get(name)?.starts));
        std::fs::read_to_string(log).ok()?.lines().last().map(str::to_owned)
    }

    /// Returns the process that owns the cell, as the store holds it.
    pub fn owner(&self) -> Option<String> {
        let state = self.site.lock();
        let text = String::from_utf8_lossy(state.store.value("cell/owner")?).into_owned();
        self.members.keys().find(|name| text.contains(name.as_str())).cloned()
    }

    /// Submits a job at a process, as a client does; returns the status of the answer.
    pub async fn submit(&self, member: &str, path: &str, id: JobId, spec: &Spec) -> Option<u16> {
        self.site.lock().jobs.insert(id, spec.clone());
        let url = format!("http://{}{path}", self.members[member].clients);
        let request = self.client.post(&url).header("Host", HOST).header("Deadline-Ms", "3000");
        let answer = request.body(body(spec).to_string()).send().await;
        let status = answer.ok().map(|answer| answer.status().as_u16());
        self.record.line(&format!("POST {path} at {member}: {status:?}"));
        status
    }

    /// Asks a process for a job's state; returns the status and the state.
    pub async fn state(&self, member: &str, path: &str) -> Option<(u16, String)> {
        let url = format!("http://{}{path}", self.members[member].clients);
        let answer = self.client.get(url).header("Host", HOST).send().await.ok()?;
        let status = answer.status().as_u16();
        let body: Value = answer.json().await.unwrap_or_default();
        Some((status, body["state"].as_str().unwrap_or_default().to_owned()))
    }
}

/// First of the ports handed out. They lie below those that the system gives to outgoing connections.
const PORT_FIRST: u16 = 20_000;
/// Number of ports handed out before starting over.
const PORTS: u16 = 10_000;

/// Returns a loopback address whose port is free for TCP and UDP, and wasn't returned before.
fn free() -> Result<SocketAddr> {
    static NEXT: LazyLock<AtomicU16> =
        LazyLock::new(|| AtomicU16::new(rand::random_range(0..PORTS)));
    for _ in 0..PORTS {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT_FIRST + offset));
        if std::net::TcpListener::bind(address).is_ok()
            && std::net::UdpSocket::bind(address).is_ok()
        {
            return Ok(address);
        }
    }
    anyhow::bail!("no port is free")
}

/// Renders a job as clients do.
pub fn body(spec: &Spec) -> Value {
    let steps: Vec<Value> = spec
        .steps
        .iter()
        .map(|step| {
            let mut value = json!({
                "count": step.count, "cpu": step.demand.cpu_milli,
                "mem-mb": step.demand.memory_mib, "estimate-ms": step.estimate.as_millis() as u64,
            });
            if !step.after.is_empty() {
                value["after"] = json!(step.after.as_slice());
            }
            if let Some(label) = &step.required_label {
                value["required-label"] = json!(&**label);
            }
            if step.long_running {
                value["long-running"] = json!(true);
            }
            if step.checkpointing {
                value["checkpointing"] = json!(true);
            }
            value
        })
        .collect();
    let mut body = json!({ "spec": &*spec.payload, "steps": steps });
    if let Some(schedule) = spec.schedule {
        body["repeat-count"] = json!(schedule.count);
        body["start-at-ms"] = json!(schedule.start.as_millis() as u64);
        body["interval-ms"] = json!(schedule.interval.as_millis() as u64);
    }
    body
}

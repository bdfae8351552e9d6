//! A small deployment: the platform's stand-in with executors, and processes of the system that are
//! started with the command of the deploy file, each connection behind a proxy of this crate.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_e2e::port;
use cowslipchute_e2e::process::Process;
use cowslipchute_standin::site;
use cowslipchute_standin::site::Site;
use serde_json::Value;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// What happened, with times.
pub struct Record {
    began: Instant,
    text: String,
}

impl Record {
    pub fn open() -> Record {
        Record { began: Instant::now(), text: String::new() }
    }

    pub fn line(&mut self, line: &str) {
        let _ = writeln!(self.text, "{:8.3} s  {line}", self.began.elapsed().as_secs_f64());
    }

    /// Writes the record; returns the exit code of the case.
    pub fn close(mut self, outcome: &Result<bool>) -> u8 {
        let code = match outcome {
            Ok(true) => 0,
            Ok(false) => 1,
            Err(error) => {
                self.line(&format!("the case couldn't run: {error:#}"));
                2
            }
        };
        self.line(&format!("exit {code}"));
        let path = std::env::args().nth(1).unwrap_or_else(|| String::from("record.txt"));
        if fs::write(path, self.text).is_err() { 2 } else { code }
    }
}

/// Returns `false` if the case is to be played without its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").ok().is_none_or(|value| value != "0")
}

/// Returns a time in milliseconds from the environment, for trials.
pub fn millis(name: &str, default: u64) -> Duration {
    let value = std::env::var(name).ok().and_then(|text| text.parse().ok());
    Duration::from_millis(value.unwrap_or(default))
}

/// A proxy whose open connections can go silent for good while new ones work.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    down: Arc<watch::Sender<bool>>,
    channels: Arc<Mutex<Vec<Weak<Channel>>>>,
}

/// A connection through a proxy.
struct Channel {
    used_at: Mutex<Instant>,
    silent: AtomicBool,
}

impl Link {
    /// Opens a proxy that delays each answer.
    pub async fn open(server: SocketAddr, delay: Duration) -> Result<Link> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let channels: Arc<Mutex<Vec<Weak<Channel>>>> = Arc::default();
        let opened = channels.clone();
        let (down_sender, down) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                if *down.borrow() {
                    continue;
                }
                let mut down = down.clone();
                let used_at = Mutex::new(Instant::now());
                let channel = Arc::new(Channel { used_at, silent: AtomicBool::new(false) });
                if let Ok(mut opened) = opened.lock() {
                    opened.push(Arc::downgrade(&channel));
                }
                tokio::spawn(async move {
                    tokio::select! {
                        () = join(caller, server, delay, channel) => {}
                        _ = down.wait_for(|down| *down) => {}
                    }
                });
            }
        });
        Ok(Link { address, down: Arc::new(down_sender), channels })
    }

    /// Closes all connections and each new one, as a machine without the server does, or ends that.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Silences all connections that are open now: what is sent on them arrives nowhere.
    pub fn silence_open(&self) {
        self.silence_idle(Duration::ZERO);
    }

    /// Silences the open connections that have carried nothing for this time; returns how many.
    pub fn silence_idle(&self, time: Duration) -> usize {
        let mut silenced = 0;
        let channels = self.channels.lock().expect("no connection has panicked");
        for channel in channels.iter().filter_map(Weak::upgrade) {
            let used_at = *channel.used_at.lock().expect("no connection has panicked");
            if used_at.elapsed() >= time {
                channel.silent.store(true, Ordering::Relaxed);
                silenced += 1;
            }
        }
        silenced
    }
}

async fn join(caller: TcpStream, server: SocketAddr, delay: Duration, channel: Arc<Channel>) {
    let Ok(server) = TcpStream::connect(server).await else { return };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = carry(caller_read, server_write, Duration::ZERO, &channel) => {}
        () = carry(server_read, caller_write, delay, &channel) => {}
    }
}

/// Carries bytes one way until either end closes or the connection goes silent. A silent
/// connection stays open until its caller closes it.
async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    channel: &Channel,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        if channel.silent.load(Ordering::Relaxed) {
            continue;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if let Ok(mut used_at) = channel.used_at.lock() {
            *used_at = Instant::now();
        }
        let silent = channel.silent.load(Ordering::Relaxed);
        if !silent && to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// A process of the system.
pub struct Member {
    pub process: Option<Process>,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub store: Link,
    metrics: u16,
    settings: PathBuf,
    starts: u32,
}

/// The processes of the system on a site. Dropping it ends them.
pub struct Cell {
    pub site: Site,
    pub members: BTreeMap<String, Member>,
    pub executors: BTreeMap<String, Link>,
    directory: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.members.clear();
        if std::env::var("KEEP").is_ok() {
            eprintln!("{}", self.directory.display());
        } else {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Cell {
    /// Opens a site with executors `w0`, `w1`, ... whose ids are new after each crash.
    pub async fn open(name: &str, executors: usize, capacity: Amount) -> Result<Cell> {
        let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let site = site::open().await?;
        let mut cell =
            Cell { site, members: BTreeMap::new(), executors: BTreeMap::new(), directory };
        for index in 0..executors {
            let name = format!("w{index}");
            cell.site.add_worker(&name, capacity, "r1").await?;
            let address = cell.site.address(&name).context("the executor was added")?;
            let link = Link::open(address, Duration::ZERO).await?;
            cell.site.set_address(&name, link.address);
            cell.executors.insert(name, link);
        }
        let mut state = cell.site.lock();
        state.lists_machines = true;
        for worker in state.workers.values_mut() {
            worker.reports_start = false;
        }
        drop(state);
        Ok(cell)
    }

    /// Starts a process of the system. `cloud` is the platform's machine service, if not the site's.
    pub async fn add_member(&mut self, name: &str, cloud: Option<SocketAddr>) -> Result<()> {
        let store = Link::open(self.site.store, Duration::from_millis(4)).await?;
        let (clients, readiness) = (port::free()?, port::free()?);
        let peers = port::free()?.port();
        let metrics = port::free()?.port();
        let text = self.site.settings(name, store.address, clients, readiness, peers);
        let mut settings: Value = serde_json::from_str(&text)?;
        settings["bounds"]["grace-s"] = 6.into();
        if let Some(cloud) = cloud {
            settings["cloud-api"]["address"] = cloud.to_string().into();
        }
        let path = self.directory.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let member =
            Member { process: None, clients, readiness, store, metrics, settings: path, starts: 0 };
        self.members.insert(name.to_owned(), member);
        self.start(name)
    }

    /// Starts a process that isn't running.
    pub fn start(&mut self, name: &str) -> Result<()> {
        let member = self.members.get_mut(name).context("no such member")?;
        member.starts += 1;
        let arguments = [
            String::from("--settings"),
            member.settings.display().to_string(),
            String::from("--metrics-port"),
            member.metrics.to_string(),
            String::from("--admission"),
            String::from("on"),
        ];
        let log = format!("{name}-{}", member.starts);
        let binary = "cowslipchute-scheduler";
        member.process = Some(Process::spawn_with(binary, &log, &self.directory, &arguments, &[])?);
        Ok(())
    }

    /// Waits until every process says that it is ready.
    pub async fn await_ready(&self) -> Result<()> {
        let limit = Instant::now() + Duration::from_secs(20);
        for member in self.members.values() {
            while call(member.readiness, "GET", "/v1/readyz", "", "").await.map(|(code, _)| code)
                != Some(200)
            {
                anyhow::ensure!(Instant::now() < limit, "a process isn't ready");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the name of the member that owns the cell, as the store has it.
    pub fn owner(&self) -> Option<String> {
        let state = self.site.lock();
        let text = String::from_utf8_lossy(state.store.value("cell/owner")?).into_owned();
        self.members.keys().find(|name| text.contains(name.as_str())).cloned()
    }
}

/// How long a client waits for an answer.
const CLIENT_TIME: Duration = Duration::from_millis(3000);

/// Sends one request on a new connection; returns the status and the body.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
) -> Option<(u16, String)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let host = if host.is_empty() { "localhost" } else { host };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDeadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            CLIENT_TIME.as_millis(),
            body.len()
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let text = String::from_utf8_lossy(&answer).into_owned();
        let status = text.split(' ').nth(1)?.parse().ok()?;
        let body = text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned());
        Some((status, body))
    };
    tokio::time::timeout(CLIENT_TIME, exchange).await.ok()?
}

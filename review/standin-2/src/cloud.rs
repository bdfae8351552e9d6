//! The platform's machine service: it lists the machines, and shuts one down for its upkeep.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use cowslipchute_ports::executor::Run;
use cowslipchute_standin::site::Site;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::cell::Link;

/// `maintenance-s` of the installations' sheets.
const UPKEEP: Duration = Duration::from_secs(2);

/// An upkeep that has begun.
pub struct Begun {
    pub machine: String,
    pub at: Instant,
    /// What ran on the machine.
    pub ended: Vec<Run>,
}

#[derive(Default)]
pub struct State {
    /// Whether all calls are answered 503.
    pub busy: bool,
    /// Orders that were answered 503, with their machines.
    pub refused: Vec<(Instant, String)>,
    pub begun: Vec<Begun>,
    in_upkeep: BTreeSet<String>,
    done: BTreeSet<String>,
}

/// The service.
#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    site: Site,
    links: BTreeMap<String, Link>,
}

impl Cloud {
    /// Opens the service of a site whose executors are reached by these links.
    pub async fn open(site: Site, links: BTreeMap<String, Link>) -> Result<Cloud> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let cloud = Cloud { address, state: Arc::default(), site, links };
        let serving = cloud.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let cloud = serving.clone();
                tokio::spawn(async move { cloud.serve(stream).await });
            }
        });
        Ok(cloud)
    }

    pub fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no call has panicked")
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut buffer = Vec::new();
        loop {
            let head = loop {
                if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                    break end + 4;
                }
                if stream.read_buf(&mut buffer).await.ok()? == 0 {
                    return None;
                }
            };
            let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
            let length = text.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
            });
            let length: usize = length.unwrap_or(0);
            while buffer.len() < head + length {
                if stream.read_buf(&mut buffer).await.ok()? == 0 {
                    return None;
                }
            }
            let body: Value =
                serde_json::from_slice(&buffer[head..head + length]).unwrap_or_default();
            buffer.drain(..head + length);
            let (status, answer) = match text.starts_with("GET /v1/machines") {
                true => self.list(),
                false => self.begin(&body),
            };
            let answer = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            stream.write_all(format!("{head}{answer}").as_bytes()).await.ok()?;
        }
    }

    fn list(&self) -> (u16, Value) {
        let state = self.lock();
        if state.busy {
            return (503, json!({}));
        }
        let site = self.site.lock();
        let rows = site.workers.iter().map(|(machine, worker)| {
            let state = match worker.up {
                true => "up",
                false if state.in_upkeep.contains(machine) => "upkeep",
                false => "down",
            };
            let mut row = json!({
                "machine": machine, "pool": "desk", "state": state, "zone": "d1",
                "labels": ["a", "r1"],
                "capacity": {"cpu": worker.capacity.cpu_milli, "mem-mb": worker.capacity.memory_mib, "gpu": 0},
            });
            if worker.up {
                row["id"] = worker.name.to_string().into();
            }
            row
        });
        (200, json!({ "machines": rows.collect::<Vec<Value>>() }))
    }

    fn begin(&self, order: &Value) -> (u16, Value) {
        let machine = order["machine"].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        if state.busy {
            state.refused.push((Instant::now(), machine));
            return (503, json!({}));
        }
        if state.in_upkeep.contains(&machine) || state.done.contains(&machine) {
            return (200, json!({}));
        }
        let ended = {
            let mut site = self.site.lock();
            let Some(worker) = site.workers.get_mut(&machine) else { return (400, json!({})) };
            if !worker.up {
                return (409, json!({"reason": "busy"}));
            }
            worker.up = false;
            std::mem::take(&mut worker.active).into_keys().collect()
        };
        self.links[&machine].set_down(true);
        state.begun.push(Begun { machine: machine.clone(), at: Instant::now(), ended });
        state.in_upkeep.insert(machine.clone());
        let cloud = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(UPKEEP).await;
            cloud.site.replace_worker(&machine);
            if let Some(worker) = cloud.site.lock().workers.get_mut(&machine) {
                worker.reports_start = false;
            }
            cloud.links[&machine].set_down(false);
            let mut state = cloud.lock();
            state.in_upkeep.remove(&machine);
            state.done.insert(machine);
        });
        (200, json!({}))
    }
}

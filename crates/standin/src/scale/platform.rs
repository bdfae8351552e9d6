//! The platform: one server for the store and one for all workers, and the directory.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;

use super::http;
use super::http::Answer;
use super::http::Handler;
use super::http::Request;
use super::store::Store;
use super::worker::Counts;
use super::worker::Worker;

/// Interval at which each worker refreshes its entry.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1500);
/// Steps in which the workers refresh their entries within that interval.
const ENTRY_STEPS: usize = 50;
/// Workers in a rack.
const RACK_SIZE: usize = 8;
/// Failure domains.
const DOMAINS: [&str; 5] = ["d1", "d2", "d3", "d4", "d5"];
/// Start time of the workers as Unix time in milliseconds.
const BORN: u64 = 1_780_000_000_000;

/// A running platform; its servers end with the runtime.
#[derive(Debug)]
pub struct Platform {
    /// Commands received.
    pub counts: Arc<Counts>,
    store_address: SocketAddr,
}

struct Stored(Arc<Store>);

impl Handler for Stored {
    async fn handle(&self, request: Request) -> Answer {
        self.0.handle(&request).await
    }
}

struct Workers(Vec<Worker>);

impl Handler for Workers {
    async fn handle(&self, request: Request) -> Answer {
        let IpAddr::V4(address) = request.at.ip() else { return (404, String::from("{}")) };
        let [_, _, high, low] = address.octets();
        match self.0.get(usize::from(high) * 256 + usize::from(low)) {
            Some(worker) => worker.handle(&request).await,
            None => (421, String::from("{}")),
        }
    }
}

/// Returns the address of a worker: its index is in the last two bytes.
fn worker_address(index: usize, port: u16) -> SocketAddr {
    let address = Ipv4Addr::new(127, 1, (index / 256) as u8, (index % 256) as u8);
    SocketAddr::new(address.into(), port)
}

impl Platform {
    /// Opens a platform with a number of workers.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound.
    pub async fn open(workers: usize) -> anyhow::Result<Platform> {
        let store = Arc::new(Store::open());
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let store_address = listener.local_addr()?;
        http::spawn(listener, Arc::new(Stored(store.clone())));
        let counts = Arc::new(Counts::default());
        let all: Vec<Worker> = (0..workers).map(|_| Worker::open(counts.clone())).collect();
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
        let port = listener.local_addr()?.port();
        let all = Arc::new(Workers(all));
        http::spawn(listener, all.clone());
        configure(&store);
        for index in 0..workers {
            write_entry(&store, index, port, &all.0[index], 0);
        }
        let directory = store.clone();
        tokio::spawn(async move { refresh(&directory, &all, port).await });
        Ok(Platform { counts, store_address })
    }

    /// Writes the settings file of a scheduler process.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn write_settings(
        &self,
        path: &Path,
        name: &str,
        ports: [u16; 3],
        cpu_share: f64,
    ) -> anyhow::Result<()> {
        let [clients, readiness, peers] = ports;
        let settings = json!({
            "node-name": name, "role": "scheduler", "machine-class": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": "d1", "region": "r", "zones": {"d1": "r"},
            "listen": {
                "frontend": format!("127.0.0.1:{clients}"),
                "readiness": format!("127.0.0.1:{readiness}"),
            },
            "internal-ports": [peers, peers], "seeds": [], "bootstrap": true,
            "heartbeat-ms": ENTRY_INTERVAL.as_millis() as u64,
            "limits": {
                "cpu-share": cpu_share, "cores": 1, "memory-mb": 512, "max-fds": 8192,
                "link-mbps": 200,
            },
            "bounds": {
                "drain-ms": 4000, "grace-s": 3, "max-hold-ms": 10000, "stop-timeout-ms": 400,
                "status_s": 20, "checkpoint-interval-s": 2, "restore-ms": 250, "lease-ms": 3000,
                "remote-factor": 2, "notice-ms": 6500, "impact-ms": 5000,
            },
            "command-mode": "invocation", "recommendation": "",
            "cloud-api": {"address": ""},
            "platform": {
                "address": self.store_address.to_string(), "form": "kv", "writes-per-s": 400,
                "reads-per-s": 2000, "min-ttl-ms": 1000,
            },
        });
        Ok(std::fs::write(path, settings.to_string())?)
    }
}

fn configure(store: &Store) {
    let route = |name: &str, prefix: &str, priority: u8| {
        json!({
            "name": name, "host": "desk.example", "prefix": prefix, "kind": "unsafe",
            "timeout-ms": 3000, "target-duration-ms": 300, "priority": priority,
            "service": "desk", "max-attempts": 3, "slack-factor": 1.5,
        })
    };
    let config = json!({
        "version": 1,
        "routes": [route("r-1", "/q/", 0), route("r-2", "/low/", 2)],
        "services": [{"name": "desk", "enforce-limits": true, "standby": false}],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 262144,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
    });
    store.put("op/config", config.to_string().as_bytes());
}

fn write_entry(store: &Store, index: usize, port: u16, worker: &Worker, sequence: u64) {
    let entry = json!({
        "service": "desk", "address": worker_address(index, port).to_string(),
        "zone": DOMAINS[index % DOMAINS.len()], "version": "v1", "slots": 8, "state": "ready",
        "cold-remaining-ms": 0, "capacity": {"cpu": 32_000, "mem-mb": 128_000, "gpu": 0},
        "labels": ["a", format!("r{}", index / RACK_SIZE)], "born": BORN,
        "clock-ms": worker.clock(), "sequence": sequence,
    });
    store.put(&format!("servers/w{index}"), entry.to_string().as_bytes());
}

async fn refresh(store: &Store, workers: &Workers, port: u16) {
    for sequence in 1.. {
        for part in 0..ENTRY_STEPS {
            tokio::time::sleep(ENTRY_INTERVAL / ENTRY_STEPS as u32).await;
            for (index, worker) in workers.0.iter().enumerate().skip(part).step_by(ENTRY_STEPS) {
                write_entry(store, index, port, worker, sequence);
            }
        }
    }
}

//! Processes of ours on a stand-in of the platform, with a proxy of the store that the case chooses.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_e2e::port;
use cowslipchute_e2e::process::Process;
use cowslipchute_standin::site;
use cowslipchute_standin::site::Site;

/// Failure domains of the workers, by turns.
const DOMAINS: [&str; 2] = ["d1", "d2"];

/// A running cell; dropping it ends the processes and removes their directory.
pub struct Cell {
    /// The platform.
    pub site: Site,
    /// Where clients reach each process.
    pub clients: BTreeMap<String, SocketAddr>,
    /// The processes.
    pub processes: BTreeMap<String, Process>,
    settings: BTreeMap<String, (PathBuf, u16)>,
    directory: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.processes.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            // What can't be removed now is in the way of nothing.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Cell {
    /// Opens a platform with workers of this capacity, without processes.
    ///
    /// # Errors
    ///
    /// Fails if no port or no folder can be had.
    pub async fn open(name: &str, workers: usize, capacity: Amount) -> Result<Cell> {
        let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let site = site::open().await?;
        for index in 0..workers {
            let machine = format!("w{index}");
            site.add_worker(&machine, capacity, "r1").await?;
            site.set_domain(&machine, DOMAINS[index % DOMAINS.len()]);
        }
        site.lock().lists_machines = true;
        site.configure(1, 4);
        Ok(Cell {
            site,
            clients: BTreeMap::new(),
            processes: BTreeMap::new(),
            settings: BTreeMap::new(),
            directory,
        })
    }

    /// Starts a process that reaches the store at an address.
    ///
    /// # Errors
    ///
    /// Fails if the program is missing or no port can be had.
    pub fn add_process(&mut self, name: &str, store: SocketAddr) -> Result<()> {
        let (clients, readiness, metrics) = (port::free()?, port::free()?, port::free()?);
        let peers = port::free()?.port();
        let text = self.site.settings(name, store, clients, readiness, peers);
        let settings = self.directory.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        self.clients.insert(name.to_owned(), clients);
        self.settings.insert(name.to_owned(), (settings, metrics.port()));
        self.start(name)
    }

    /// Starts a process again.
    ///
    /// # Errors
    ///
    /// Fails if the program is missing.
    pub fn start(&mut self, name: &str) -> Result<()> {
        let (settings, metrics) = &self.settings[name];
        let arguments = [
            String::from("--settings"),
            settings.display().to_string(),
            String::from("--metrics-port"),
            metrics.to_string(),
            String::from("--admission"),
            String::from("on"),
        ];
        let process = Process::spawn("cowslipchute-scheduler", name, &self.directory, &arguments)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    /// Returns the directory of the logs.
    pub fn directory(&self) -> &PathBuf {
        &self.directory
    }
}

//! A whole deployment on loopback: the platform's stand-ins and our own processes.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use anyhow::Context as _;
use anyhow::Result;
use cowslipchute_base::amount::Amount;
use cowslipchute_base::code;
use cowslipchute_base::code::Code;
use cowslipchute_peer::identity;
use cowslipchute_peer::identity::Files;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_standin::Addresses;
use cowslipchute_standin::control;
use cowslipchute_standin::control::Injection;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::Partition;
use cowslipchute_standin::fault::Target;
use cowslipchute_standin::report::Report;
use reqwest::Client;

use crate::await_until;
use crate::await_until::LIMIT;
use crate::http;
use crate::port;
use crate::process;
use crate::process::Process;
use crate::process::panics;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Failure domains.
    pub domains: Vec<&'static str>,
    /// Entry processes in each.
    pub entries: u16,
    /// Placer processes in each.
    pub placers: u16,
    /// Operator processes in each.
    pub operators: u16,
    /// Further arguments of the stand-ins.
    pub standin: Vec<&'static str>,
    /// Further arguments of the placers.
    pub placer: Vec<&'static str>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            domains: vec!["a", "b"],
            entries: 1,
            placers: 1,
            operators: 1,
            standin: Vec::new(),
            placer: Vec::new(),
        }
    }
}

/// One of our processes and where it is reached.
#[derive(Debug)]
pub struct Running {
    /// The running process.
    pub process: Process,
    /// What the platform's list says of it.
    pub listed: Member,
    /// Metrics, health and readiness.
    pub admin: SocketAddr,
    /// Where callers or operators reach it; a placer has none.
    pub listen: Option<SocketAddr>,
}

/// A running deployment; dropping it ends all its processes and removes its directory.
#[derive(Debug)]
pub struct Cluster {
    plan: Plan,
    directory: PathBuf,
    keys: Files,
    client: Client,
    addresses: Addresses,
    standin: Process,
    members: BTreeMap<String, Running>,
    incarnation: u64,
}

impl Cluster {
    /// Starts everything and waits until every process of ours is ready.
    ///
    /// # Errors
    ///
    /// When a binary is missing or a process can't be started.
    pub async fn open(name: &str, plan: Plan) -> Result<Cluster> {
        let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        // What an earlier run with the same process id left behind is of no use.
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory)?;
        let keys = identity::write_files(&directory.join("keys"))?;
        let standin = spawn_standin(&directory, &plan)?;
        let addresses = read_addresses(&directory)?;
        let mut cluster = Cluster {
            plan,
            directory,
            keys,
            client: http::client(),
            addresses,
            standin,
            members: BTreeMap::new(),
            incarnation: 0,
        };
        cluster.spawn_all().await?;
        Ok(cluster)
    }

    async fn spawn_all(&mut self) -> Result<()> {
        for domain in self.plan.domains.clone() {
            for index in 0..self.plan.operators {
                self.spawn(Role::Operator, domain, index).await?;
            }
            for index in 0..self.plan.entries {
                self.spawn(Role::Entry, domain, index).await?;
            }
            for index in 0..self.plan.placers {
                self.spawn(Role::Placer, domain, index).await?;
            }
        }
        let names: Vec<String> = self.members.keys().cloned().collect();
        for name in names {
            self.await_ready(&name).await;
        }
        Ok(())
    }

    /// Starts a process, or a new life of one, and registers it in the platform's list.
    ///
    /// # Errors
    ///
    /// When the binary is missing or the list refuses.
    pub async fn spawn(&mut self, role: Role, domain: &str, index: u16) -> Result<String> {
        let name = format!("{}-{domain}{index}", word(role));
        self.incarnation += 1;
        let peer = port::free()?;
        let admin = port::free()?;
        let listen = (role != Role::Placer).then(port::free).transpose()?;
        let listed = member(role, &name, domain, self.incarnation, peer);
        let arguments = self.arguments(&listed, admin, listen, index);
        let log = format!("{name}.{}", self.incarnation);
        let binary = format!("cowslipchute-{}", word(role));
        let process = Process::spawn(&binary, &log, &self.directory, &arguments)?;
        self.register(&listed).await?;
        self.members.insert(name.clone(), Running { process, listed, admin, listen });
        Ok(name)
    }

    fn arguments(
        &self,
        listed: &Member,
        admin: SocketAddr,
        listen: Option<SocketAddr>,
        index: u16,
    ) -> Vec<String> {
        let mut arguments = vec![
            format!("--instance={}", listed.instance),
            format!("--domain={}", listed.domain),
            format!("--incarnation={}", listed.incarnation),
            format!("--admin={admin}"),
            format!("--store=http://{}", self.addresses.store),
            format!("--list=http://{}", self.addresses.list),
            format!("--peer-listen={}", listed.address),
            format!("--peer-cert={}", self.keys.certificate.display()),
            format!("--peer-key={}", self.keys.key.display()),
            format!("--peer-ca={}", self.keys.authority.display()),
        ];
        if let Some(listen) = listen {
            arguments.push(format!("--listen={listen}"));
        }
        match listed.role {
            Role::Entry => {
                let entries = self.plan.entries * self.plan.domains.len() as u16;
                let place = self.plan.domains.iter().position(|d| **d == *listed.domain);
                let entry = place.unwrap_or(0) as u16 * self.plan.entries + index;
                arguments.push(format!("--entries={entries}"));
                arguments.push(format!("--entry={entry}"));
            }
            Role::Placer => arguments.extend(self.plan.placer.iter().map(|a| (*a).to_owned())),
            _ => {}
        }
        arguments
    }

    async fn register(&self, listed: &Member) -> Result<()> {
        let url = format!("http://{}/v1/instances/{}", self.addresses.list, listed.instance);
        self.client.put(url).json(listed).send().await?.error_for_status()?;
        Ok(())
    }

    /// Removes a process from the platform's list, as the platform does once it has ended.
    ///
    /// # Errors
    ///
    /// When the list refuses.
    pub async fn unlist(&self, name: &str) -> Result<()> {
        let url = format!("http://{}/v1/instances/{name}", self.addresses.list);
        self.client.delete(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Waits until a process says that it is ready.
    pub async fn await_ready(&self, name: &str) {
        let url = format!("http://{}/readyz", self.member(name).admin);
        let look = || async {
            let response = self.client.get(&url).send().await.ok()?;
            response.status().is_success().then_some(())
        };
        await_until::some_async(&format!("{name} is ready"), LIMIT, look).await;
    }

    /// Finds a process.
    ///
    /// # Panics
    ///
    /// Panics when there is none of that name.
    pub fn member(&self, name: &str) -> &Running {
        self.members.get(name).unwrap_or_else(|| panic!("{name} was started"))
    }

    /// Finds a process to signal it.
    ///
    /// # Panics
    ///
    /// Panics when there is none of that name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        &mut self.members.get_mut(name).unwrap_or_else(|| panic!("{name} was started")).process
    }

    /// Kills a process and lets the platform notice.
    ///
    /// # Errors
    ///
    /// When the list refuses.
    pub async fn kill(&mut self, name: &str) -> Result<()> {
        self.process(name).kill();
        self.unlist(name).await
    }

    /// Returns the URL at which callers or operators reach a process.
    ///
    /// # Panics
    ///
    /// Panics for a placer, which serves neither.
    pub fn url(&self, name: &str) -> String {
        let listen = self.member(name).listen.expect("the process serves callers or operators");
        format!("http://{listen}")
    }

    /// Returns the URL of a process's admin address.
    pub fn admin(&self, name: &str) -> String {
        format!("http://{}", self.member(name).admin)
    }

    /// Returns the client that tests share.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns where the stand-ins are.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Puts a fault in force at a stand-in, in place of the one before.
    ///
    /// # Errors
    ///
    /// When there is no such stand-in.
    pub async fn fault(&self, target: Target, fault: Fault) -> Result<()> {
        http::post(&self.client, &self.control(control::FAULT), &Injection { target, fault }).await
    }

    /// Cuts two sides off from each other.
    ///
    /// # Errors
    ///
    /// When the switchboard can't be reached.
    pub async fn cut(&self, a: &str, b: &str) -> Result<()> {
        let cut = Partition { a: a.into(), b: b.into() };
        http::post(&self.client, &self.control(control::CUT), &cut).await
    }

    /// Joins two sides again.
    ///
    /// # Errors
    ///
    /// When the switchboard can't be reached.
    pub async fn heal(&self, a: &str, b: &str) -> Result<()> {
        let cut = Partition { a: a.into(), b: b.into() };
        http::post(&self.client, &self.control(control::HEAL), &cut).await
    }

    /// Reads what all stand-ins did so far.
    ///
    /// # Errors
    ///
    /// When the switchboard can't be reached.
    pub async fn report(&self) -> Result<Report> {
        http::get(&self.client, &self.control(control::REPORT)).await
    }

    /// Reads how often the request with an id ran.
    ///
    /// # Errors
    ///
    /// When the switchboard can't be reached.
    pub async fn runs_of(&self, id: &str) -> Result<u32> {
        http::get(&self.client, &self.control(&format!("{}/{id}", control::RUNS))).await
    }

    /// Reads what must never have happened.
    ///
    /// # Errors
    ///
    /// When the switchboard can't be reached.
    pub async fn violations(&self) -> Result<Vec<serde_json::Value>> {
        http::get(&self.client, &self.control(control::VIOLATIONS)).await
    }

    /// Reads what a placer shows of its cells.
    ///
    /// # Errors
    ///
    /// When the placer can't be reached.
    pub async fn cells(&self, name: &str) -> Result<serde_json::Value> {
        http::get(&self.client, &format!("{}/cells", self.admin(name))).await
    }

    /// Tells whether a placer owns a cell; one that can't be reached counts as owning none.
    pub async fn owns_a_cell(&self, name: &str) -> bool {
        let Ok(status) = self.cells(name).await else { return false };
        let Some(cells) = status["cells"].as_array() else { return false };
        cells.iter().any(|cell| !cell["epoch"].is_null())
    }

    fn control(&self, path: &str) -> String {
        format!("http://{}{path}", self.addresses.control)
    }

    /// Runs the command line against the first operator process.
    ///
    /// # Errors
    ///
    /// When the binary is missing.
    pub fn ctl(&self, arguments: &[&str]) -> Result<Output> {
        let operator = format!("operator-{}0", self.plan.domains[0]);
        let mut command = Command::new(process::binaries().join("cowslipchutectl"));
        command.env("COWSLIPCHUTE_OPERATOR", self.url(&operator)).args(arguments);
        command.output().context("cowslipchutectl")
    }

    /// Writes a file beside the logs and returns its path.
    ///
    /// # Errors
    ///
    /// When it can't be written.
    pub fn write(&self, name: &str, text: &str) -> Result<String> {
        let path = self.directory.join(name);
        fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Applies a resource file with the command line.
    ///
    /// # Errors
    ///
    /// When it was not accepted; the text is what the command line said.
    pub fn apply(&self, text: &str) -> Result<()> {
        let path = self.write("apply.toml", text)?;
        let output = self.ctl(&["apply", "-f", &path])?;
        anyhow::ensure!(
            output.status.success(),
            "apply ended with {}: {}{}",
            output.status,
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        Ok(())
    }

    /// Returns the number of the result code that an entry gives for a request to a service, if it
    /// answers.
    pub async fn code(&self, entry: &str, service: &str) -> Option<u16> {
        let url = format!("{}/{service}/echo", self.url(entry));
        let response = self.client.get(url).send().await.ok()?;
        response.headers().get(code::HEADER)?.to_str().ok()?.parse().ok()
    }

    /// Waits until a service is in force at an entry and a backend server answers for it.
    pub async fn await_service(&self, entry: &str, service: &str) {
        let answered = Code::Answered.number();
        let look =
            || async move { (self.code(entry, service).await == Some(answered)).then_some(()) };
        await_until::some_async(&format!("{service} is in force at {entry}"), LIMIT, look).await;
    }

    /// Asks every process of ours to stop, and waits until all have; returns those that did not
    /// end with success.
    pub fn stop(&mut self) -> Vec<String> {
        for member in self.members.values_mut() {
            member.process.terminate_if_running();
        }
        let mut failed = Vec::new();
        for (name, member) in &mut self.members {
            if !member.process.ended(LIMIT).success() {
                failed.push(name.clone());
            }
        }
        self.standin.terminate();
        self.standin.ended(LIMIT);
        failed
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.directory.display());
            return;
        }
        let panics = panics(&self.directory);
        assert!(panics.is_empty(), "processes have panicked: {panics:#?}");
        // Nothing depends on the directory going away.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn word(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Placer => "placer",
        Role::Operator => "operator",
        Role::Backend | Role::Worker => "standin",
    }
}

fn member(role: Role, name: &str, domain: &str, incarnation: u64, address: SocketAddr) -> Member {
    Member {
        instance: name.into(),
        incarnation,
        role,
        state: State::Live,
        domain: domain.into(),
        rack: "".into(),
        address,
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

fn spawn_standin(directory: &Path, plan: &Plan) -> Result<Process> {
    let mut arguments = vec![format!("--ready-file={}", directory.join("ready.json").display())];
    arguments.extend(plan.domains.iter().map(|domain| format!("--domain={domain}")));
    arguments.extend(plan.standin.iter().map(|argument| (*argument).to_owned()));
    Ok(Process::spawn("cowslipchute-standin", "standin", directory, &arguments)?)
}

fn read_addresses(directory: &Path) -> Result<Addresses> {
    let path = directory.join("ready.json");
    let text =
        await_until::some("the stand-ins are ready", LIMIT, || fs::read_to_string(&path).ok());
    Ok(serde_json::from_str(&text)?)
}

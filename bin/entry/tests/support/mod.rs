//! Fakes of the platform's ports and of backend servers: plain TCP servers that answer, close or
//! stay silent as the test specifies.

#![allow(dead_code)]

pub mod backend;
pub mod platform;
pub mod raw;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_daemon::log;
use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Trigger;
use cowslipchute_entry::entry;
use cowslipchute_entry::entry::Entry;
use cowslipchute_entry::settings;
use cowslipchute_entry::settings::Settings;
use cowslipchute_peer::identity::Identity;
use cowslipchute_ports::list;

use crate::support::platform::List;
use crate::support::platform::Store;

/// Timeout of waits, reached only if something hangs.
pub const HANG: Duration = Duration::from_secs(60);

/// A loopback address with a port chosen by the system.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// An entry that runs in the test process.
pub struct Running {
    entry: Entry,
    switch: Trigger,
}

/// Returns settings with additional flags.
pub fn settings_with(flags: &[&str]) -> Settings {
    let base = [
        "--instance=entry-1",
        "--domain=north",
        "--incarnation=1",
        "--admin=127.0.0.1:0",
        "--listen=127.0.0.1:0",
        "--store=http://127.0.0.1:1",
        "--list=http://127.0.0.1:1",
    ];
    let arguments: Vec<&str> = base.iter().chain(flags).copied().collect();
    settings::settings().run_inner(arguments.as_slice()).expect("the flags are right")
}

/// Starts an entry and waits until it is ready.
pub async fn open(list: &List, store: &Store, flags: &[&str]) -> Running {
    let running = open_early(list, store, flags);
    until("the entry is ready", || running.entry.is_ready()).await;
    running
}

/// Starts an entry without waiting until it is ready.
pub fn open_early(list: &List, store: &Store, flags: &[&str]) -> Running {
    start(settings_with(flags), None, list, store)
}

/// Starts an entry that connects to others with the same identity, and lists it.
pub async fn open_peer(name: &str, identity: &Identity, list: &List, store: &Store) -> Running {
    let mut settings = settings_with(&["--peer-listen=127.0.0.1:0", "--entries=2"]);
    settings.common.instance = name.to_owned();
    let running = start(settings, Some(identity.clone()), list, store);
    let address = running.entry.peer_address().expect("it listens for peers");
    list.add(list::Member { role: list::Role::Entry, ..platform::member(name, "", address) });
    until("the entry is ready", || running.entry.is_ready()).await;
    running
}

fn start(settings: Settings, identity: Option<Identity>, list: &List, store: &Store) -> Running {
    let (switch, stop) = stop::open();
    let (store, list) = (store.clone(), list.clone());
    let entry = entry::open(settings, identity, store, list, stop, log::discard());
    Running { entry: entry.expect("loopback ports are free"), switch }
}

/// Waits for a condition.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(tokio::time::timeout(HANG, wait).await.is_ok(), "waited {HANG:?} until {what}");
}

impl Running {
    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.entry.address()
    }

    /// Returns `true` if the entry is ready for requests.
    pub fn ready(&self) -> bool {
        self.entry.is_ready()
    }

    /// Returns the URL of a path.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry.address())
    }

    /// Sums the samples of a counter or gauge.
    pub fn metric(&self, name: &str) -> f64 {
        let families = self.entry.registry().gather();
        let family = families.iter().find(|family| family.name() == name);
        let samples = family.map(|family| family.get_metric()).unwrap_or_default();
        samples
            .iter()
            .map(|sample| sample.get_counter().get_value() + sample.get_gauge().get_value())
            .sum()
    }

    /// Returns the number of series of a metric.
    pub fn series(&self, name: &str) -> usize {
        let families = self.entry.registry().gather();
        let family = families.iter().find(|family| family.name() == name);
        family.map_or(0, |family| family.get_metric().len())
    }

    /// Begins a graceful stop.
    pub fn drain(&self) {
        self.switch.advance(Stage::Draining);
    }

    /// Forces the stop.
    pub fn force(&self) {
        self.switch.advance(Stage::Forced);
    }

    /// Waits until the entry has ended.
    pub async fn ended(self) {
        let Running { entry, switch } = self;
        let join = tokio::task::spawn_blocking(move || entry.join());
        tokio::time::timeout(HANG, join)
            .await
            .expect("the entry ends")
            .expect("no thread panicked");
        drop(switch);
    }

    /// Stops gracefully and waits for the end.
    pub async fn stop(self) {
        self.drain();
        self.ended().await;
    }
}

/// Opens a client that follows no redirects and doesn't retry.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .build()
        .expect("the settings are right")
}

/// Returns the result code of an answer.
pub fn code(response: &reqwest::Response) -> u16 {
    let header = response.headers().get(cowslipchute_base::code::HEADER);
    let text = header.expect("every answer has a code").to_str().expect("a code is a number");
    text.parse().expect("a code is a number")
}

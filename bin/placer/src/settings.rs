//! Settings of the placer, in flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipchute_daemon::settings::Common;
use cowslipchute_daemon::settings::common;
use cowslipchute_tenure::ownership;

/// Runs jobs' tasks on the workers of a failure domain
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Settings {
    #[bpaf(external)]
    /// Settings that every daemon has.
    pub common: Common,
    /// Address of the platform's key-value service
    #[bpaf(long("store"), env("COWSLIPCHUTE_STORE"), argument("URL"))]
    pub store: String,
    /// Address of the platform's list of instances
    #[bpaf(long("list"), env("COWSLIPCHUTE_LIST"), argument("URL"))]
    pub list: String,
    /// Address at which other placers reach this one
    #[bpaf(long("peer-listen"), env("COWSLIPCHUTE_PEER_LISTEN"), argument("IP:PORT"))]
    pub peer_listen: SocketAddr,
    /// File with this instance's certificate
    #[bpaf(long("peer-cert"), env("COWSLIPCHUTE_PEER_CERT"), argument("PATH"))]
    pub peer_cert: PathBuf,
    /// File with the key of that certificate
    #[bpaf(long("peer-key"), env("COWSLIPCHUTE_PEER_KEY"), argument("PATH"))]
    pub peer_key: PathBuf,
    /// File with the certificate that signs those of this deployment
    #[bpaf(long("peer-ca"), env("COWSLIPCHUTE_PEER_CA"), argument("PATH"))]
    pub peer_ca: PathBuf,
    /// Most workers of one cell, unless a single rack has more
    #[bpaf(
        long("cell-workers"),
        env("COWSLIPCHUTE_CELL_WORKERS"),
        argument("NUMBER"),
        guard(|&n| n > 0, "use 1 or more"),
        fallback(250),
        display_fallback
    )]
    pub cell_workers: usize,
    /// Time after which the lease of a placer that is gone lapses, in milliseconds
    #[bpaf(
        long("lease-ttl"),
        env("COWSLIPCHUTE_LEASE_TTL"),
        argument("MS"),
        guard(|ms| (1_000..=60_000).contains(ms), "use 1000 to 60000"),
        fallback(5_000),
        display_fallback
    )]
    pub lease_ttl: u64,
    /// Time that one call to the store may take, in milliseconds
    #[bpaf(
        long("store-timeout"),
        env("COWSLIPCHUTE_STORE_TIMEOUT"),
        argument("MS"),
        guard(|ms| (10..=30_000).contains(ms), "use 10 to 30000"),
        fallback(1_000),
        display_fallback
    )]
    pub store_timeout: u64,
    /// Time that one exchange with a worker may take, in milliseconds
    #[bpaf(
        long("worker-timeout"),
        env("COWSLIPCHUTE_WORKER_TIMEOUT"),
        argument("MS"),
        guard(|ms| (10..=30_000).contains(ms), "use 10 to 30000"),
        fallback(1_000),
        display_fallback
    )]
    pub worker_timeout: u64,
    /// Exchanges with workers on their way at once
    #[bpaf(
        long("exchanges"),
        env("COWSLIPCHUTE_EXCHANGES"),
        argument("NUMBER"),
        guard(|n| (1..=4_096).contains(n), "use 1 to 4096"),
        fallback(256),
        display_fallback
    )]
    pub exchanges: usize,
    /// Time between two readings of the platform's list, in milliseconds
    #[bpaf(
        long("list-every"),
        env("COWSLIPCHUTE_LIST_EVERY"),
        argument("MS"),
        guard(|ms| (50..=60_000).contains(ms), "use 50 to 60000"),
        fallback(1_000),
        display_fallback
    )]
    pub list_every: u64,
    /// Time that each placer waits for the one ranked before it to take a cell or a job, in milliseconds
    #[bpaf(
        long("rank-delay"),
        env("COWSLIPCHUTE_RANK_DELAY"),
        argument("MS"),
        guard(|ms| (0..=10_000).contains(ms), "use 0 to 10000"),
        fallback(200),
        display_fallback
    )]
    pub rank_delay: u64,
    /// Time that a placer which ranks before this one has to be alive until a cell is handed to it, in milliseconds
    #[bpaf(
        long("settle"),
        env("COWSLIPCHUTE_SETTLE"),
        argument("MS"),
        guard(|ms| (0..=3_600_000).contains(ms), "use 0 to 3600000"),
        fallback(30_000),
        display_fallback
    )]
    pub settle: u64,
}

impl Settings {
    /// Returns the timeout of one call to the store.
    pub fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.store_timeout)
    }

    /// Returns the timeout of one exchange with a worker.
    pub fn worker_timeout(&self) -> Duration {
        Duration::from_millis(self.worker_timeout)
    }

    /// Returns the interval between reads of the list.
    pub fn list_every(&self) -> Duration {
        Duration::from_millis(self.list_every)
    }

    /// Returns the settings of the ownership manager.
    pub fn ownership(&self) -> ownership::Settings {
        ownership::Settings {
            instance: self.common.instance(),
            incarnation: self.common.incarnation,
            address: self.peer_listen,
            domain: self.common.domain(),
            lease: Duration::from_millis(self.lease_ttl),
            max_cell_workers: self.cell_workers,
            rank_delay: Duration::from_millis(self.rank_delay),
            handover_delay: Duration::from_millis(self.settle),
            query_interval: Duration::from_secs(1),
        }
    }
}

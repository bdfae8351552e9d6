//! Settings of the entry process.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bpaf::Bpaf;
use cowslipchute_claim::roster::Member;
use cowslipchute_daemon::settings::Common;
use cowslipchute_daemon::settings::common;
use cowslipchute_gateway::http::Origin;
use cowslipchute_routing::router;
use slog::Logger;

/// Placeholder address of a process without connections to peers, as the owner of its own keys.
const NO_LINKS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Settings of the entry process.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Settings {
    /// Settings that every daemon has.
    #[bpaf(external(common))]
    pub common: Common,
    /// Address on which callers' requests are accepted
    #[bpaf(long("listen"), env("COWSLIPCHUTE_LISTEN"), argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// URL of the platform's key-value service
    #[bpaf(long("store"), env("COWSLIPCHUTE_STORE"), argument("URL"))]
    pub store: String,
    /// URL of the platform's list of instances
    #[bpaf(long("list"), env("COWSLIPCHUTE_LIST"), argument("URL"))]
    pub list: String,
    /// Connections to other processes of the deployment.
    #[bpaf(external(peers))]
    pub peers: Peers,
    /// Number of entry instances that share the backend servers
    #[bpaf(
        long("entries"),
        env("COWSLIPCHUTE_ENTRIES"),
        argument("NUMBER"),
        fallback(1),
        display_fallback,
        guard(positive, "is not above zero")
    )]
    pub entries: u16,
    /// Index of this entry instance among them, from zero
    #[bpaf(
        long("entry"),
        env("COWSLIPCHUTE_ENTRY"),
        argument("NUMBER"),
        fallback(0),
        display_fallback
    )]
    pub entry: u16,
    /// Number of threads that serve callers' requests
    #[bpaf(
        long("fronts"),
        env("COWSLIPCHUTE_FRONTS"),
        argument("NUMBER"),
        fallback(2),
        display_fallback,
        guard(positive, "is not above zero")
    )]
    pub fronts: u16,
    /// Limits beyond which requests are rejected.
    #[bpaf(external(limits))]
    pub limits: Limits,
}

/// Connections to other processes of the deployment.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Peers {
    /// Address on which connections from other processes are accepted
    #[bpaf(long("peer-listen"), env("COWSLIPCHUTE_PEER_LISTEN"), argument("IP:PORT"), optional)]
    pub listen: Option<SocketAddr>,
    /// File with the certificate of this process, in PEM
    #[bpaf(long("peer-cert"), env("COWSLIPCHUTE_PEER_CERT"), argument("FILE"), optional)]
    pub cert: Option<PathBuf>,
    /// File with the private key of that certificate, in PEM
    #[bpaf(long("peer-key"), env("COWSLIPCHUTE_PEER_KEY"), argument("FILE"), optional)]
    pub key: Option<PathBuf>,
    /// File with the certificate authority of every process of the deployment, in PEM
    #[bpaf(long("peer-ca"), env("COWSLIPCHUTE_PEER_CA"), argument("FILE"), optional)]
    pub ca: Option<PathBuf>,
}

/// Limits beyond which requests are rejected.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Limits {
    /// Maximum number of requests in progress
    #[bpaf(
        long("requests-max"),
        env("COWSLIPCHUTE_REQUESTS_MAX"),
        argument("NUMBER"),
        fallback(4096),
        display_fallback
    )]
    pub requests: usize,
    /// Maximum size of a request's head, in bytes
    #[bpaf(
        long("head-max"),
        env("COWSLIPCHUTE_HEAD_MAX"),
        argument("BYTES"),
        fallback(16 << 10),
        display_fallback
    )]
    pub head: usize,
    /// Maximum size of a request's body, in bytes
    #[bpaf(
        long("body-max"),
        env("COWSLIPCHUTE_BODY_MAX"),
        argument("BYTES"),
        fallback(1 << 20),
        display_fallback
    )]
    pub body: usize,
    /// Memory for the bodies of all requests in progress, in bytes; the first 16 KiB of each are free
    #[bpaf(
        long("bodies-max"),
        env("COWSLIPCHUTE_BODIES_MAX"),
        argument("BYTES"),
        fallback(64 << 20),
        display_fallback
    )]
    pub bodies: usize,
    /// Timeout for reading a request's body, in milliseconds
    #[bpaf(
        long("body-within"),
        env("COWSLIPCHUTE_BODY_WITHIN"),
        argument("MS"),
        fallback(10_000),
        display_fallback
    )]
    pub body_within: u64,
    /// Timeout for reading a request's head, idle time included, in milliseconds
    #[bpaf(
        long("idle-within"),
        env("COWSLIPCHUTE_IDLE_WITHIN"),
        argument("MS"),
        fallback(120_000),
        display_fallback
    )]
    pub idle_within: u64,
    /// Maximum size of an answer's body, in bytes
    #[bpaf(
        long("answer-max"),
        env("COWSLIPCHUTE_ANSWER_MAX"),
        argument("BYTES"),
        fallback(8 << 20),
        display_fallback
    )]
    pub answer: usize,
    /// Timeout for connecting to a backend server, in milliseconds
    #[bpaf(
        long("connect-within"),
        env("COWSLIPCHUTE_CONNECT_WITHIN"),
        argument("MS"),
        fallback(1_000),
        display_fallback
    )]
    pub connect_within: u64,
}

impl Settings {
    /// Checks the constraints between flags.
    ///
    /// # Errors
    ///
    /// Returns a message for the operator.
    pub fn check(&self) -> Result<(), String> {
        if self.entry >= self.entries {
            return Err(format!("--entry {} is not below --entries {}", self.entry, self.entries));
        }
        let Peers { listen, cert, key, ca } = &self.peers;
        if listen.is_some() && (cert.is_none() || key.is_none() || ca.is_none()) {
            return Err("--peer-listen needs --peer-cert, --peer-key and --peer-ca".to_owned());
        }
        Ok(())
    }

    /// Returns the settings of the router.
    pub fn router(&self) -> router::Settings {
        router::Settings {
            domain: self.common.domain(),
            entries: self.entries,
            entry: self.entry,
            requests_max: self.limits.requests,
            seed: rand::random(),
        }
    }

    /// Returns the identity that this process sends with each of its calls.
    pub fn origin(&self) -> Origin {
        Origin { domain: self.common.domain(), instance: self.common.instance() }
    }

    /// Returns the settings of the thread that follows the configuration.
    pub fn follow(&self, logger: &Logger) -> cowslipchute_follow::Settings {
        cowslipchute_follow::Settings {
            instance: self.common.instance(),
            incarnation: self.common.incarnation,
            domain: self.common.domain(),
            seed: rand::random(),
            logger: logger.clone(),
        }
    }

    /// Returns this process as an owner of idempotency keys that starts now. Its address is set
    /// when the address for peers is bound.
    pub fn member(&self) -> Member {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Member {
            instance: self.common.instance(),
            incarnation: self.common.incarnation,
            started_at: since.as_micros() as u64,
            domain: self.common.domain(),
            address: NO_LINKS,
            list_version: 0,
        }
    }
}

impl Limits {
    /// Returns the timeout for reading a request's body.
    pub fn body_within(&self) -> Duration {
        Duration::from_millis(self.body_within)
    }

    /// Returns the timeout for reading a request's head on a caller's connection.
    pub fn idle_within(&self) -> Duration {
        Duration::from_millis(self.idle_within)
    }

    /// Returns the timeout for connecting to a backend server.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_within)
    }
}

fn positive(number: &u16) -> bool {
    *number > 0
}

//! Costs extrapolated to the size expected in two years.

use std::time::Duration;

use cowslipchute_resource::policy;
use cowslipchute_spread::gossip::FANOUT;
use cowslipchute_spread::gossip::PULL_INTERVAL;

use crate::capacity::cell::Cell;
use crate::capacity::config::Config;
use crate::capacity::entry::Entry;
use crate::capacity::http::Http;
use crate::capacity::listing;
use crate::capacity::listing::Unchanged;
use crate::capacity::size;
use crate::capacity::wire::QUIC_CALL_BYTES;
use crate::capacity::wire::TCP_CALL_BYTES;
use crate::capacity::wire::Wire;
use crate::tasks::machine::USAGE_INTERVAL;

/// Workers per cell, by default in the placer's settings.
pub const CELL_WORKERS: f64 = 250.0;
/// Interval at which a placer reads the list of its domain, by its settings.
pub const PLACER_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which an entry reads the whole list.
pub const ENTRY_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which an operator process reads the whole list.
pub const OPERATOR_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time to live of a placer's lease, by its settings.
pub const PLACER_LEASE: Duration = Duration::from_secs(5);
/// Renewals of a lease per time to live.
pub const RENEWALS_PER_LEASE: f64 = 3.0;
/// Reads of the owners of its domain's cells that a placer makes per time to live.
pub const OWNER_READS_PER_LEASE: f64 = 2.0;
/// Open watches per placer: owners of cells and home cells of jobs.
pub const PLACER_WATCHES: f64 = 2.0;
/// Writes per job in addition to its records: declaration, home cell, removal.
pub const WRITES_PER_JOB: f64 = 3.0;
/// Growth of values by base64 encoding on the way to the store.
const BASE64_FACTOR: f64 = 4.0 / 3.0;
/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// All measured costs.
#[derive(Clone, Debug)]
pub struct Costs {
    /// Costs of an entry.
    pub entry: Entry,
    /// Costs of a cell's owner.
    pub cell: Cell,
    /// Costs of following the configuration.
    pub config: Config,
    /// Sizes of messages.
    pub wire: Wire,
    /// Transport costs of exchanges with workers.
    pub http: Http,
    /// Cost of a read of the unchanged list.
    pub unchanged: Unchanged,
}

impl Costs {
    /// Measures all costs.
    ///
    /// # Errors
    ///
    /// Returns an error if a measurement over loopback fails.
    pub fn measure() -> anyhow::Result<Costs> {
        Ok(Costs {
            entry: Entry::measure(),
            cell: Cell::measure(),
            config: Config::measure(),
            wire: Wire::measure(),
            http: Http::measure()?,
            unchanged: Unchanged::measure()?,
        })
    }
}

/// Use of one resource by a daemon, with its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Use per failure domain, shared by its daemons.
    pub shared: f64,
    /// Use per daemon, independent of the number of daemons.
    pub fixed: f64,
    /// Maximum use per daemon.
    pub limit: f64,
}

impl Usage {
    /// Returns the number of daemons needed to stay within the limit, or `None` if no number
    /// suffices.
    pub fn daemons(&self) -> Option<u64> {
        let available = self.limit - self.fixed;
        if available <= 0.0 {
            return None;
        }
        Some((self.shared / available).ceil().max(1.0) as u64)
    }

    /// Returns the use per daemon if the given number share the work.
    pub fn per_daemon(&self, daemons: f64) -> f64 {
        self.fixed + self.shared / daemons
    }
}

/// Cost of a role in one failure domain, at the expected size.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Name of the role.
    pub name: &'static str,
    /// Share of a core.
    pub core: Usage,
    /// Memory in bytes.
    pub memory: Usage,
    /// Bytes per second on the wire, in both directions.
    pub bytes: Usage,
}

impl Role {
    /// Returns the number of daemons needed to stay within all limits, or `None` if no number
    /// suffices.
    pub fn daemons(&self) -> Option<u64> {
        let counts = [self.core.daemons(), self.memory.daemons(), self.bytes.daemons()];
        counts.into_iter().try_fold(1, |most, count| Some(most.max(count?)))
    }
}

fn core(shared_micros: f64, fixed_micros: f64) -> Usage {
    Usage {
        shared: shared_micros / MICROS_PER_SECOND,
        fixed: fixed_micros / MICROS_PER_SECOND,
        limit: size::CORE_SHARE_MAX,
    }
}

fn memory(shared: f64, fixed: f64) -> Usage {
    Usage { shared, fixed, limit: size::MEMORY_MAX_BYTES }
}

fn bytes(shared: f64, fixed: f64) -> Usage {
    Usage { shared, fixed, limit: size::BYTES_PER_SECOND_MAX }
}

/// Returns configuration writes per second: operators' changes, and jobs declared and removed.
pub fn changes_per_second() -> f64 {
    (size::CHANGES_PER_DAY + 2.0 * size::JOBS_PER_DAY) / size::SECONDS_PER_DAY
}

/// Returns the number of resources that every process holds.
pub fn resources() -> f64 {
    size::JOBS_DECLARED + size::TEAMS + size::TEAMS
}

/// Returns the number of cells per failure domain.
pub fn cells() -> f64 {
    (size::DOMAIN_WORKERS / CELL_WORKERS).ceil()
}

impl Costs {
    /// Returns exchanges per second in a failure domain: heartbeats, and those that starts cause.
    pub fn exchanges(&self) -> f64 {
        let heartbeat = policy::Spec::default().heartbeat.as_secs_f64();
        let exchanges_for_starts =
            self.cell.exchanges.line.at(CELL_WORKERS) * size::DOMAIN_STARTS_PER_SECOND;
        size::DOMAIN_WORKERS / heartbeat + exchanges_for_starts
    }

    /// Returns the bytes of an empty exchange, with headers and packets.
    pub fn idle_bytes(&self) -> f64 {
        self.wire.idle + self.http.header_bytes + TCP_CALL_BYTES
    }

    /// Returns the bytes that a start and its completion add to exchanges.
    pub fn start_bytes(&self) -> f64 {
        self.wire.start.line.slope + self.wire.completion.line.slope
    }

    /// Returns measurements per second in a failure domain.
    fn measurements_per_second(&self) -> f64 {
        size::DOMAIN_TASKS / USAGE_INTERVAL.as_secs_f64()
    }

    fn placer(&self) -> Role {
        let tasks_per_cell = size::DOMAIN_TASKS / cells();
        let decision_micros = self.exchanges() * self.cell.with_usage.line.at(tasks_per_cell)
            + size::DOMAIN_STARTS_PER_SECOND * self.cell.start.line.at(CELL_WORKERS);
        let transport_micros = self.exchanges() * self.http.exchange.line.intercept
            + size::DOMAIN_STARTS_PER_SECOND * self.http.exchange.line.slope;
        let follower = self.follower();
        let state_bytes = size::DOMAIN_WORKERS * self.cell.workers.line.slope
            + size::DOMAIN_TASKS * self.cell.tasks.line.slope;
        let message_bytes = self.exchanges() * self.idle_bytes()
            + size::DOMAIN_STARTS_PER_SECOND * self.start_bytes()
            + self.measurements_per_second() * self.wire.usage.line.slope
            + cells() * self.cell.record_bytes.line.at(CELL_WORKERS) * BASE64_FACTOR;
        let members = size::DOMAIN_WORKERS + size::DOMAIN_BACKENDS;
        // The version covers the whole list, so the placer rereads its part after any change.
        let reading = self.reading(PLACER_LIST_INTERVAL, members);
        let list = self.wire.list.line.at(members);
        Role {
            name: "placer",
            core: core(
                decision_micros + transport_micros,
                follower.core.fixed * MICROS_PER_SECOND + reading.micros,
            ),
            memory: memory(state_bytes, follower.memory.fixed + list),
            bytes: bytes(message_bytes, follower.bytes.fixed + reading.bytes),
        }
    }

    fn entry(&self) -> Role {
        let members = size::WORKERS + size::PAYING_TASKS;
        let reading = self.reading(ENTRY_LIST_INTERVAL, members);
        let list = self.wire.list.line.at(members);
        let follower = self.follower();
        let update_micros =
            listing::changes_per_second() * self.entry.list_update.line.at(size::PAYING_TASKS);
        let state_bytes = self.entry.backends.line.at(size::PAYING_TASKS)
            + self.entry.services.line.at(size::TEAMS)
            + list;
        Role {
            name: "entry",
            core: core(
                0.0,
                follower.core.fixed * MICROS_PER_SECOND + reading.micros + update_micros,
            ),
            memory: memory(0.0, follower.memory.fixed + state_bytes),
            bytes: bytes(0.0, follower.bytes.fixed + reading.bytes),
        }
    }

    fn operator(&self) -> Role {
        let follower = self.follower();
        let write_bytes =
            changes_per_second() / size::DOMAINS * (self.wire.job * 2.0 + TCP_CALL_BYTES);
        let members = size::WORKERS + size::PAYING_TASKS;
        let reading = self.reading(OPERATOR_LIST_INTERVAL, members);
        let list = self.wire.list.line.at(members);
        Role {
            name: "operator",
            core: core(0.0, follower.core.fixed * MICROS_PER_SECOND + reading.micros),
            memory: memory(0.0, follower.memory.fixed + list),
            bytes: bytes(write_bytes, follower.bytes.fixed + reading.bytes),
        }
    }

    /// Returns the costs of an inner node of the tree: it receives each change once and forwards it
    /// to each child.
    fn follower(&self) -> Role {
        let links = 1.0 + FANOUT as f64;
        let change = self.wire.push.line.at(1.0) + QUIC_CALL_BYTES;
        let pull = (self.wire.pull + QUIC_CALL_BYTES) / PULL_INTERVAL.as_secs_f64();
        let decision_micros = changes_per_second() * self.config.change.line.at(resources());
        Role {
            name: "follower",
            core: core(0.0, decision_micros),
            memory: memory(0.0, self.config.held.line.at(resources())),
            bytes: bytes(0.0, links * (changes_per_second() * change + pull)),
        }
    }

    /// Returns the costs of all roles.
    pub fn roles(&self) -> [Role; 4] {
        [self.entry(), self.placer(), self.operator(), self.follower()]
    }

    /// Returns the load on the store with the given number of placers per failure domain.
    pub fn store(&self, placers: f64) -> Store {
        let all = placers * size::DOMAINS;
        let renewals = RENEWALS_PER_LEASE / PLACER_LEASE.as_secs_f64();
        let owner_reads = OWNER_READS_PER_LEASE / PLACER_LEASE.as_secs_f64();
        let jobs = size::JOBS_PER_DAY * WRITES_PER_JOB / size::SECONDS_PER_DAY;
        let batches = self.cell.batches.line.at(CELL_WORKERS) * cells() * size::DOMAINS;
        Store {
            records: batches,
            leases: all * renewals,
            configuration: size::CHANGES_PER_DAY / size::SECONDS_PER_DAY + jobs,
            owner_reads: all * owner_reads,
            watches: all * PLACER_WATCHES + size::DOMAINS,
        }
    }
}

/// Load on the store at the expected size.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Record batches per second.
    pub records: f64,
    /// Lease renewals per second.
    pub leases: f64,
    /// Writes of configuration, home cells and removals per second.
    pub configuration: f64,
    /// Reads of cell owners per second.
    pub owner_reads: f64,
    /// Open watches.
    pub watches: f64,
}

impl Store {
    /// Returns all writes per second.
    pub fn writes(&self) -> f64 {
        self.records + self.leases + self.configuration
    }
}

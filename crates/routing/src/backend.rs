//! State that this entry keeps for one incarnation of a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::entity::Id;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;

use crate::eject::Health;
use crate::eject::Status;
use crate::latency::Latency;
use crate::latency::Typical;
use crate::limit::Limit;
use crate::pool::Pool;

/// Multiple of its expected latency for which a backend server may be silent before it is avoided.
const SILENCE_FACTOR: f64 = 3.0;

/// Availability of a backend server for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Takes new requests.
    Live,
    /// Finishes its requests and takes no new ones.
    Leaving,
    /// Is no longer listed; removed with its last attempt.
    Gone,
}

/// Index of a backend server in the lists of its locality.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// In no list: it is full, ejected, leaving or gone.
    None,
    /// In the list of those with free capacity.
    Ready(usize),
    /// In the list of those to be probed.
    Probe(usize),
}

/// Capacity and use of a backend server, or the sums over a locality.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// This entry's share of the slots, in thousandths of a slot.
    pub slots_milli: u64,
    /// Attempts in flight within that share.
    pub in_flight: u64,
    /// Backend servers that can take a request now or when an attempt in flight ends.
    pub usable: usize,
}

/// One incarnation of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its name.
    pub instance: id::Instance,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its address.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: Id<Pool>,
    /// Whether it is in this entry's failure domain.
    pub is_local: bool,
    /// Whether it takes new requests.
    pub presence: Presence,
    /// This entry's share of its connections, an upper bound of its attempts in flight.
    pub connections: u32,
    /// This entry's share of its slots, in thousandths of a slot.
    pub slots_milli: u32,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Its health, which may reduce its concurrency limit.
    pub health: Health,
    /// Its recent latency.
    pub latency: Latency,
    /// Its adaptive concurrency limit.
    pub limit: Limit,
    /// Time of its last answer, or of the first attempt after it had none in flight, if later.
    pub last_progress: Time,
    /// Its index in the lists of its locality.
    pub position: Position,
    /// The totals last added to those of its locality.
    pub counted: Totals,
    /// Version of the last membership list that contained it.
    pub version: u64,
}

impl Backend {
    /// Creates the state of a newly listed backend server.
    pub fn open(member: &list::Member, pool: Id<Pool>, is_local: bool, health: Health) -> Backend {
        Backend {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            address: member.address,
            pool,
            is_local,
            presence: Presence::Live,
            connections: 0,
            slots_milli: 0,
            in_flight: 0,
            health,
            latency: Latency::default(),
            limit: Limit::open(0),
            last_progress: Time::ZERO,
            position: Position::None,
            counted: Totals::default(),
            version: 0,
        }
    }

    /// Sets this entry's share and resets the adaptive limit to the whole share if it changed.
    pub fn set_share(&mut self, connections: u32, slots_milli: u32) {
        if self.connections == connections && self.slots_milli == slots_milli {
            return;
        }
        self.connections = connections;
        self.slots_milli = slots_milli;
        self.limit = Limit::open(self.concurrency_max());
    }

    /// Returns the upper bound of concurrent attempts: the share of its slots rounded up, and at
    /// most the share of its connections.
    pub fn concurrency_max(&self) -> u32 {
        self.slots_milli.div_ceil(1000).min(self.connections)
    }

    /// Returns the number of concurrent attempts allowed now.
    pub fn concurrency_limit(&self, now: Time) -> u32 {
        if self.presence != Presence::Live {
            return 0;
        }
        self.health.concurrency_limit(self.limit.attempts(self.concurrency_max()), now)
    }

    /// Returns its current contribution to the totals of its locality.
    pub fn totals(&self, now: Time) -> Totals {
        if self.concurrency_limit(now) == 0 {
            return Totals::default();
        }
        let slots_milli = match self.health.status() {
            Status::Probing { .. } => 0,
            _ => self.slots_milli.min(self.concurrency_limit(now) * 1000),
        };
        Totals {
            slots_milli: u64::from(slots_milli),
            in_flight: u64::from(self.in_flight),
            usable: 1,
        }
    }

    /// Returns the expected latency of a request sent now, multiplied by the attempts in flight
    /// including this one.
    ///
    /// If a backend server with attempts in flight is silent for far longer than its expected
    /// latency, the length of its silence counts instead, so that a frozen one is avoided before
    /// any attempt has ended.
    pub fn cost(&self, now: Time, typical: Typical) -> f64 {
        let mut expected = self.latency.expected(now, typical);
        if self.in_flight > 0 {
            let silent = self.silence(now).as_secs_f64();
            if silent > SILENCE_FACTOR * expected {
                expected = silent;
            }
        }
        expected.max(f64::MIN_POSITIVE) * f64::from(self.in_flight + 1)
    }

    /// Returns the time since it last answered or became busy.
    pub fn silence(&self, now: Time) -> Duration {
        now.saturating_sub(self.last_progress)
    }
}

//! One life of a backend server, as this entry sees it.

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

/// How much more than its usual latency a backend server may stay silent before it is avoided.
const SILENCE: f64 = 3.0;

/// Whether an instance takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Takes new requests.
    Live,
    /// Finishes what it has.
    Leaving,
    /// Is listed no more; goes with its last attempt.
    Gone,
}

/// Where a pool holds a backend server that can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Nowhere: it is full, ejected, leaving or gone.
    None,
    /// Among those with room.
    Ready(usize),
    /// Among those that want one request to show that they answer.
    Probe(usize),
}

/// What a backend server adds to its pool's sums at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// This entry's share of its slots, in thousandths.
    pub slots_milli: u64,
    /// Attempts in flight within that share.
    pub in_flight: u64,
    /// One, if it may get a request now or when its attempts have ended.
    pub usable: usize,
}

/// One life of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its name.
    pub instance: id::Instance,
    /// Which life of that name.
    pub incarnation: id::Incarnation,
    /// Its address.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: Id<Pool>,
    /// Whether it is in this entry's failure domain.
    pub is_local: bool,
    /// Whether it takes new requests.
    pub presence: Presence,
    /// This entry's share of its connections, which bounds attempts in flight at any time.
    pub connections: u32,
    /// This entry's share of its slots, in thousandths.
    pub slots_milli: u32,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Whether it is to be trusted.
    pub health: Health,
    /// Its recent latency.
    pub latency: Latency,
    /// Its adaptive limit.
    pub limit: Limit,
    /// When it last answered, or had its first attempt in flight after having none.
    pub last_progress: Time,
    /// Where its pool holds it.
    pub position: Position,
    /// What it adds to its pool's sums.
    pub counted: Totals,
    /// The version of the list that last had it.
    pub version: u64,
}

impl Backend {
    /// Opens a listed backend server.
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

    /// Sets this entry's share; the adaptive limit starts at the whole of it.
    pub fn set_share(&mut self, connections: u32, slots_milli: u32) {
        if self.connections == connections && self.slots_milli == slots_milli {
            return;
        }
        self.connections = connections;
        self.slots_milli = slots_milli;
        self.limit = Limit::open(self.concurrency_max());
    }

    /// Returns the attempts that it may ever have at once: the share of its slots, rounded up, and
    /// never more than the share of its connections.
    pub fn concurrency_max(&self) -> u32 {
        self.slots_milli.div_ceil(1000).min(self.connections)
    }

    /// Returns the attempts that it may have at once now.
    pub fn concurrency_limit(&self, now: Time) -> u32 {
        if self.presence != Presence::Live {
            return 0;
        }
        self.health.concurrency_limit(self.limit.attempts(self.concurrency_max()), now)
    }

    /// Works out what it adds to its pool's sums.
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

    /// Returns what a request sent now has to expect, weighed by what is in flight already.
    ///
    /// A backend server that has attempts in flight and stays silent far beyond its usual latency
    /// counts as slow as its silence is long, so that a frozen one is avoided before any attempt
    /// has ended.
    pub fn cost(&self, now: Time, typical: Typical) -> f64 {
        let mut expected = self.latency.expected(now, typical);
        if self.in_flight > 0 {
            let silent = self.silence(now).as_secs_f64();
            if silent > SILENCE * expected {
                expected = silent;
            }
        }
        expected.max(f64::MIN_POSITIVE) * f64::from(self.in_flight + 1)
    }

    /// Returns how long it has had something to answer without doing so.
    pub fn silence(&self, now: Time) -> Duration {
        now.saturating_sub(self.last_progress)
    }
}

//! What the duties of this process tell each other through their rings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::id;
use cowslipchute_ports::list;
use cowslipchute_ports::peer;
use cowslipchute_routing::action::Settled;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Attempt;
use cowslipchute_routing::event::Ending;

/// Services in force here, with the class that a request has unless it names a lower one.
pub type Services = BTreeMap<id::Service, Class>;

/// A front duty tells the deciding one.
#[derive(Debug)]
pub enum Report {
    /// A whole request is here.
    Arrived {
        /// Its number.
        request: id::Request,
        /// What it asks.
        arrival: Arrival,
    },
    /// The caller went away before its final answer.
    Abandoned {
        /// The request's number.
        request: id::Request,
    },
    /// An attempt ended.
    Ended {
        /// Its number.
        attempt: Attempt,
        /// How.
        ending: Ending,
    },
}

/// The deciding duty tells the front that holds the request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a backend server.
    Send(Dispatch),
    /// Stop an attempt and drop its answer.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// Give the caller the whole answer of an attempt.
    Forward {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: Attempt,
    },
    /// Give the caller an answer kept from an earlier run.
    Replay {
        /// The request.
        request: id::Request,
        /// The answer.
        answer: peer::Answer,
    },
    /// Give the caller an answer of our own.
    Reply {
        /// The request.
        request: id::Request,
        /// The result.
        code: Code,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Tell the owner of a key what became of the request; its answer is held by the front.
    Settle {
        /// The request.
        request: id::Request,
        /// The service.
        service: id::Service,
        /// The key.
        key: id::IdempotencyKey,
        /// What became of it.
        settled: Settled,
    },
    /// These services are in force; the first such order makes the front ready.
    Serve(Arc<Services>),
    /// A stop was asked for: every answer closes its connection.
    Drain,
}

/// One attempt as it is to be made.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: id::Request,
    /// The attempt.
    pub attempt: Attempt,
    /// The backend server's address.
    pub address: SocketAddr,
    /// Which life of the backend server.
    pub incarnation: id::Incarnation,
    /// Idle connections that a front may keep to the backend server.
    pub max_idle: usize,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// The watching duty tells the deciding one.
#[derive(Debug)]
pub enum Update {
    /// The platform's list was read.
    Listed {
        /// The list.
        view: Arc<list::View>,
    },
}

/// A duty asks the peer duty.
#[derive(Debug)]
pub enum PeerCommand {
    /// Ask the owner of a key whether the request may run.
    Claim {
        /// The request.
        request: id::Request,
        /// The service.
        service: id::Service,
        /// The key.
        key: id::IdempotencyKey,
    },
    /// Tell the owner of a key what became of the request.
    Settle {
        /// The request.
        request: id::Request,
        /// The service.
        service: id::Service,
        /// The key.
        key: id::IdempotencyKey,
        /// What became of it.
        settlement: peer::Settlement,
    },
    /// These instances are listed; the entries among them are peers.
    Listed {
        /// The list.
        view: Arc<list::View>,
    },
    /// Tell the other entries that an instance is leaving.
    Announce {
        /// The instance.
        instance: id::Instance,
        /// Which life of it.
        incarnation: id::Incarnation,
    },
}

/// The peer duty tells the deciding one.
#[derive(Debug)]
pub enum PeerEvent {
    /// The owner of a key gave its verdict.
    Claimed {
        /// The request.
        request: id::Request,
        /// The verdict; a lost one is `NotOwner`.
        verdict: peer::Claimed,
    },
    /// A peer heard that an instance is leaving.
    Leaving {
        /// The instance.
        instance: id::Instance,
        /// Which life of it.
        incarnation: id::Incarnation,
    },
}

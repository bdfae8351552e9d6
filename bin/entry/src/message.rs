//! The messages that the threads of this process exchange through their rings.

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

/// Declared services, with the class that a request has unless it names a lower one.
pub type Services = BTreeMap<id::Service, Class>;

/// A message from a front to the decision thread.
#[derive(Debug)]
pub enum Report {
    /// A request was read completely.
    Arrived {
        /// Its number.
        request: id::Request,
        /// Its properties that matter for routing.
        arrival: Arrival,
    },
    /// The caller disconnected before its final answer.
    Abandoned {
        /// The request's number.
        request: id::Request,
    },
    /// An attempt ended.
    Ended {
        /// Its number.
        attempt: Attempt,
        /// How it ended.
        ending: Ending,
    },
}

/// A message from the decision thread to the front that holds the request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a backend server.
    Send(Dispatch),
    /// Stop an attempt and drop its answer.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// Return the whole answer of an attempt to the caller.
    Forward {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: Attempt,
    },
    /// Return an answer stored from an earlier run to the caller.
    Replay {
        /// The request.
        request: id::Request,
        /// The answer.
        answer: peer::Answer,
    },
    /// Return an answer that this process generates to the caller.
    Reply {
        /// The request.
        request: id::Request,
        /// The result.
        code: Code,
        /// Delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
    /// Report the outcome of the request to the owner of its key; the front holds the answer.
    Settle {
        /// The request.
        request: id::Request,
        /// The service.
        service: id::Service,
        /// The key.
        key: id::IdempotencyKey,
        /// Its outcome.
        settled: Settled,
    },
    /// Replace the declared services; the first such command makes the front ready.
    Serve(Arc<Services>),
    /// Begin a stop: every answer closes its connection.
    Drain,
}

/// An attempt to be sent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: id::Request,
    /// The attempt.
    pub attempt: Attempt,
    /// The backend server's address.
    pub address: SocketAddr,
    /// The incarnation of the backend server.
    pub incarnation: id::Incarnation,
    /// Number of connections that a front may have to the backend server; zero if it keeps none
    /// idle.
    pub connections: usize,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// A message from the watch thread to the decision thread.
#[derive(Debug)]
pub enum Update {
    /// The platform's list changed.
    Listed {
        /// The list.
        view: Arc<list::View>,
    },
}

/// A message to the peer thread.
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
    /// Report the outcome of the request to the owner of its key.
    Settle {
        /// The request.
        request: id::Request,
        /// The service.
        service: id::Service,
        /// The key.
        key: id::IdempotencyKey,
        /// Its outcome.
        settlement: peer::Settlement,
    },
    /// The platform's list changed; the entries on it are peers.
    Listed {
        /// The list.
        view: Arc<list::View>,
    },
    /// Notify the other entries that an instance is leaving.
    Announce {
        /// The instance.
        instance: id::Instance,
        /// Its incarnation.
        incarnation: id::Incarnation,
    },
}

/// A message from the peer thread to the decision thread.
#[derive(Debug)]
pub enum PeerEvent {
    /// The owner of a key decided on a claim.
    Claimed {
        /// The request.
        request: id::Request,
        /// The verdict; `NotOwner` if the reply was lost.
        verdict: peer::Claimed,
    },
    /// A peer announced that an instance is leaving.
    Leaving {
        /// The instance.
        instance: id::Instance,
        /// Its incarnation.
        incarnation: id::Incarnation,
    },
}

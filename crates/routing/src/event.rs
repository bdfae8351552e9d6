//! Events that the router receives.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::id;
use cowslipchute_ports::list;
use cowslipchute_ports::peer;
use cowslipchute_resource::service;

/// Number of an attempt, never reused within a router.
pub type Attempt = u64;

/// A request as it arrives, without its body.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The service named by the caller.
    pub service: id::Service,
    /// The class that the caller asks for, if any; it can't be higher than the service's own.
    pub class: Option<Class>,
    /// Whether it is idempotent (GET, HEAD, OPTIONS, PUT, DELETE).
    pub idempotent: bool,
    /// The caller's idempotency key, if it sent one.
    pub key: Option<id::IdempotencyKey>,
    /// The time limit set by the caller, if any.
    pub deadline: Option<Duration>,
}

/// Ending of an attempt, as seen by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer has arrived.
    Answered {
        /// Its HTTP status.
        status: u16,
        /// Whether the backend server reported that it is leaving.
        leaving: bool,
    },
    /// The backend server reported that it did not run the request.
    Refused {
        /// Whether it refused because it is leaving.
        leaving: bool,
    },
    /// No byte of the request can have reached the backend server.
    Unsent,
    /// The connection broke, and the request may have run.
    Broken,
    /// The answer began and ended early.
    Truncated,
    /// The answer exceeds the size limit.
    TooLarge,
}

/// An event for the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A service is in force, or its declaration changed.
    Service {
        /// Its name.
        name: id::Service,
        /// Its desired state.
        spec: Arc<service::Spec>,
    },
    /// A service is no longer declared.
    ServiceGone {
        /// Its name.
        name: id::Service,
    },
    /// The platform's membership list was read; one that isn't newer than the last is ignored.
    Listed {
        /// The list.
        view: list::View,
    },
    /// An instance was reported to be leaving, possibly before the list says so.
    Leaving {
        /// The instance.
        instance: id::Instance,
        /// Its incarnation.
        incarnation: id::Incarnation,
    },
    /// A caller's request arrived.
    Arrived {
        /// Number of the request.
        request: id::Request,
        /// The request's properties.
        arrival: Arrival,
    },
    /// The caller disconnected; no answer is needed.
    Abandoned {
        /// Number of the request.
        request: id::Request,
    },
    /// An attempt ended.
    Ended {
        /// The attempt, which may already be cancelled.
        attempt: Attempt,
        /// How it ended.
        ending: Ending,
    },
    /// The owner of an idempotency key answered a claim; a lost answer counts as that of an
    /// instance that isn't the owner.
    Claimed {
        /// The request.
        request: id::Request,
        /// The owner's answer.
        verdict: peer::Claimed,
    },
    /// A timer is due. To be sent when [`next_due`](crate::router::Router::next_due) is reached,
    /// however busy the process is, but after the endings that have already arrived.
    Tick,
    /// Refuse new requests and finish those in progress.
    Drain,
}

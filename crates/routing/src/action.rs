//! Actions that the router requests.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_base::id;
use cowslipchute_ports::peer;

use crate::event::Attempt;

/// An action to be carried out by the caller of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend server and report the ending of the attempt.
    Send {
        /// The request.
        request: id::Request,
        /// The number of this attempt.
        attempt: Attempt,
        /// The backend server.
        instance: id::Instance,
        /// Its incarnation; a connection to another incarnation must not be used.
        incarnation: id::Incarnation,
        /// Its address.
        address: SocketAddr,
        /// Time left until the request's deadline, to be forwarded with the request.
        remaining: Duration,
    },
    /// Stop an attempt; its ending is no longer needed but may still be reported.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// Give the caller the complete answer of an attempt.
    Forward {
        /// The request, which ends with this action.
        request: id::Request,
        /// The attempt that answered.
        attempt: Attempt,
    },
    /// Give the caller the stored answer of an earlier run under the same key.
    Replay {
        /// The request, which ends with this action.
        request: id::Request,
        /// The answer.
        answer: peer::Answer,
    },
    /// Give the caller an answer made by this entry.
    Reply {
        /// The request, which ends with this action.
        request: id::Request,
        /// The result.
        code: Code,
        /// Delay after which the caller may retry, if a retry makes sense.
        retry_after: Option<Duration>,
    },
    /// Ask the owner of a key whether the request may run.
    Claim {
        /// The request.
        request: id::Request,
        /// The service.
        service: id::Service,
        /// The key.
        key: id::IdempotencyKey,
    },
    /// Report the outcome of a request to the owner of its key, which stores the answer of a
    /// request that ran for repeats.
    Settle {
        /// The request.
        request: id::Request,
        /// The service.
        service: id::Service,
        /// The key.
        key: id::IdempotencyKey,
        /// Whether the request ran.
        settled: Settled,
    },
    /// Announce to the other entries that a backend server is leaving.
    Announce {
        /// The instance.
        instance: id::Instance,
        /// Its incarnation.
        incarnation: id::Incarnation,
    },
    /// Write a log event.
    Note {
        /// The event.
        event: Event,
        /// The instance or service that the event concerns.
        subject: id::Instance,
    },
}

/// Outcome of a request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It ran, and this attempt has the answer.
    Ran {
        /// The attempt.
        attempt: Attempt,
    },
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

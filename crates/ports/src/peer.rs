//! Messages between our own processes.
//!
//! A call is one request and one reply on its own stream. `cowslipchute-peer` defines the encoding;
//! this module defines the messages.

use cowslipchute_base::id::Cell;
use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::IdempotencyKey;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Request;
use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Service;
use serde::Deserialize;
use serde::Serialize;

/// Stored resource as peers forward it: the unchanged bytes from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// Complete key in the store.
    pub key: String,
    /// Value, or `None` if the key was removed at `revision`.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Request of one process to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Call {
    /// Asks for the identity of the receiver and the revision of its configuration.
    Hello {
        /// Name of the sender.
        instance: Instance,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Failure domain of the sender.
        domain: Domain,
        /// Highest revision in force at the sender.
        revision: Revision,
    },
    /// Asks for the changes after a revision.
    Pull {
        /// Revision after which changes are wanted; zero asks for all.
        after: Revision,
    },
    /// Sends changes.
    Push {
        /// Changes in ascending order of their revisions.
        items: Vec<Item>,
        /// Revision up to which the items are complete, provided that `after` was in force at the receiver.
        revision: Revision,
        /// Revision after which the items begin.
        after: Revision,
    },
    /// Reports that a backend server or another instance is leaving.
    Leaving {
        /// Name of the instance.
        instance: Instance,
        /// Incarnation that is leaving; other incarnations aren't.
        incarnation: Incarnation,
    },
    /// Asks for permission to run the request with this idempotency key.
    Claim {
        /// Service within which keys are unique.
        service: Service,
        /// Idempotency key.
        key: IdempotencyKey,
        /// Request that claims the key.
        claimant: Claimant,
        /// Version of the key owners' roster that the sender used.
        roster: u64,
    },
    /// Reports the outcome of the request with this key.
    Settle {
        /// Service within which keys are unique.
        service: Service,
        /// Idempotency key.
        key: IdempotencyKey,
        /// Request to which the key was granted; grants to other requests are not affected.
        claimant: Claimant,
        /// Outcome of the request.
        settlement: Settlement,
        /// Version of the key owners' roster that the sender used.
        roster: u64,
    },
    /// Asks the receiver to give up the cell if it still owns it.
    Release {
        /// Name of the cell.
        cell: Cell,
        /// Epoch under which the sender has taken the cell.
        epoch: Epoch,
    },
    /// Hands over the state of key slots that the sender is about to give up to the receiver. The
    /// reply is `Noted` if the receiver holds the state until the roster shows whether the slots
    /// were given up, and `Misdirected` otherwise.
    Adopt {
        /// Handover in the encoding of `cowslipchute-claim`, so that only owners need to decode it.
        handover: Vec<u8>,
    },
}

/// Request of an entry process that claims a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Claimant {
    /// Instance of the entry process.
    pub instance: Instance,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Start time of the process in Unix microseconds; each start numbers its requests anew.
    pub started_at: u64,
    /// Number of the request within the process, which distinguishes two requests with the same key.
    pub request: Request,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Settlement {
    /// The request ran; the answer is kept for repeated requests if it is small enough.
    Ran(Option<Answer>),
    /// The request certainly did not run, so the key is free again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Answer kept for repeated requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if there was one.
    pub content_type: Option<String>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// The owner's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Claimed {
    /// The claimant may run the request once.
    Granted,
    /// The request has already run; with its answer if it is still kept.
    Ran(Option<Answer>),
    /// The request is running or may have run.
    InDoubt,
    /// The receiver doesn't own the key, or doesn't know whether the request ran.
    NotOwner,
}

/// Answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Answers `Hello`.
    Hello {
        /// Name of the sender.
        instance: Instance,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Failure domain of the sender.
        domain: Domain,
        /// Highest revision in force at the sender.
        revision: Revision,
    },
    /// Answers `Pull`.
    Items {
        /// Changes in ascending order of their revisions.
        items: Vec<Item>,
        /// Revision up to which the items are complete.
        revision: Revision,
        /// Whether the items are the complete configuration rather than the changes after the requested revision.
        whole: bool,
    },
    /// Answers `Claim`.
    Claimed(Claimed),
    /// Answers `Release`: the sender sends nothing more under lower epochs.
    Released,
    /// The call was carried out or its contents were recorded.
    Noted,
    /// The call is not for this process.
    Misdirected,
}

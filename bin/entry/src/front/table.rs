//! The table of one front's requests, attempts and answers, with its rings.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use cowslipchute_base::id;
use cowslipchute_daemon::ring;
use cowslipchute_ports::peer::Settlement;
use cowslipchute_routing::action::Settled;
use cowslipchute_routing::event::Attempt;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::front::client;
use crate::head::Head;
use crate::keys;
use crate::message::PeerCommand;
use crate::message::Report;
use crate::message::Services;
use crate::outbox::Outbox;
use crate::reply::Answer;
use crate::reply::Final;

/// The requests of one front.
pub struct Table {
    /// Number of the next request.
    pub next: id::Request,
    /// Declared services; `None` before the first configuration.
    pub services: Option<Arc<Services>>,
    /// Whether answers close their connections.
    pub draining: bool,
    /// Requests without a final answer, or whose key is not settled.
    pub requests: HashMap<id::Request, InFlight>,
    /// Attempts that have not ended.
    pub attempts: HashMap<Attempt, Running>,
    /// Clients to backend servers.
    pub clients: client::Table,
    /// To the decision thread.
    pub reports: Outbox<Report>,
    /// To the peer thread.
    pub peer_commands: ring::Sender<PeerCommand>,
}

/// A request that has no final answer yet, or whose key is not settled.
pub struct InFlight {
    /// The request's head.
    pub head: Arc<Head>,
    /// Its whole body.
    pub body: Bytes,
    /// Receives the final answer; `None` after it was sent or the caller disconnected.
    pub caller: Option<oneshot::Sender<Final>>,
    /// Whole answers that are not forwarded yet.
    pub answers: SmallVec<[Answered; 1]>,
    /// Whether the settlement of its key was sent to the key's owner.
    pub settled: bool,
    /// Number of attempts that have not ended.
    pub running: u16,
    /// Number of attempts made.
    pub sent: u16,
}

/// The answer of an attempt that ended.
pub struct Answered {
    /// The attempt.
    pub attempt: Attempt,
    /// Its answer.
    pub answer: Answer,
}

/// An attempt that has not ended.
pub struct Running {
    /// The request.
    pub request: id::Request,
    /// Aborts it.
    pub task: AbortHandle,
}

impl Table {
    /// Removes and returns the answer of an attempt.
    pub fn answer(&mut self, request: id::Request, attempt: Attempt) -> Option<Answer> {
        let in_flight = self.requests.get_mut(&request)?;
        let place = in_flight.answers.iter().position(|answered| answered.attempt == attempt)?;
        Some(in_flight.answers.swap_remove(place).answer)
    }

    /// Returns the settlement for the owner of the request's key, and marks the request as settled.
    pub fn settlement(&mut self, request: id::Request, settled: Settled) -> Settlement {
        let in_flight = self.requests.get_mut(&request);
        let Settled::Ran { attempt } = settled else {
            if let Some(in_flight) = in_flight {
                in_flight.settled = true;
            }
            return if settled == Settled::NotRun {
                Settlement::NotRun
            } else {
                Settlement::Unknown
            };
        };
        let answer = in_flight.and_then(|in_flight| {
            in_flight.settled = true;
            in_flight.answers.iter().find(|answered| answered.attempt == attempt)
        });
        let kept = answer.filter(|answered| answered.answer.body.len() <= keys::MAX_ANSWER_BYTES);
        Settlement::Ran(kept.map(|answered| answered.answer.to_stored()))
    }

    /// Sends the caller its final answer.
    pub fn finish(&mut self, request: id::Request, last: Final) {
        let Some(in_flight) = self.requests.get_mut(&request) else { return };
        if let Some(caller) = in_flight.caller.take() {
            // If the caller has just disconnected, its guard abandons the request.
            let _ = caller.send(last);
        }
        self.drop_if_done(request);
    }

    /// Removes a request that has no caller, no running attempt and no key to settle.
    pub fn drop_if_done(&mut self, request: id::Request) {
        let Some(in_flight) = self.requests.get(&request) else { return };
        let unsettled =
            in_flight.head.key.is_some() && !in_flight.settled && !in_flight.answers.is_empty();
        if in_flight.caller.is_none() && in_flight.running == 0 && !unsettled {
            self.requests.remove(&request);
        }
    }
}

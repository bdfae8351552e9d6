//! Events of the request simulation.

use cowslipchute_base::class::Class;
use cowslipchute_base::id;
use cowslipchute_routing::event::Ending;

use crate::requests::server::Call;

/// A scheduled event.
#[derive(Debug)]
pub(super) enum SimEvent {
    /// A caller sends a request.
    RequestSent(Class),
    /// A request reaches its entry.
    RequestArrived(usize),
    /// An attempt reaches a backend server.
    AttemptArrived { server: usize, incarnation: id::Incarnation, call: Call },
    /// A backend server finishes an attempt.
    AttemptFinished { server: usize, call: Call, status: u16 },
    /// The result of an attempt reaches its entry.
    AttemptEnded { call: Call, ending: Ending },
    /// A backend server notices a closed connection.
    ConnectionClosed { server: usize, call: Call },
    /// The owner of an idempotency key grants a claim.
    ClaimGranted { entry: usize, request: id::Request },
    /// An entry's timer is due.
    Tick(usize),
    /// An entry reads the list.
    ListRead(usize),
    /// An entry learns from another entry that an executor is leaving.
    LeavingAnnounced { entry: usize, instance: id::Instance, incarnation: id::Incarnation },
    /// The fault begins.
    Fault,
    /// An executor begins to leave, to be replaced.
    Leave(usize),
    /// A leaving executor begins to refuse requests.
    Refuse(usize),
    /// A leaving executor stops once it is idle.
    Shutdown(usize),
    /// The successor of a stopped executor is up.
    Restart(usize),
}

//! The requests in progress at one front, with their attempts and answers.
//!
//! Everything here runs on the front's own thread. The lock exists only because the HTTP library
//! requires `Sync`; it is never contended.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::id;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_daemon::ring;
use cowslipchute_gateway::http::Origin;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Attempt;
use poem::http::HeaderValue;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::front::client;
use crate::front::exchange::Outcome;
use crate::front::table::Answered;
use crate::front::table::InFlight;
use crate::front::table::Table;
use crate::head::Head;
use crate::message::PeerCommand;
use crate::message::Report;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::reply::Final;
use crate::settings::Limits;

/// Number of low bits of a request's number that hold its sequence number within the front.
const SEQUENCE_BITS: u32 = 48;

/// Returns the index of the front that holds a request.
pub fn front_of(request: id::Request) -> usize {
    (request >> SEQUENCE_BITS) as usize
}

/// The requests in progress at one front.
pub struct Pending {
    /// The value of the origin header of each attempt.
    pub(super) origin: HeaderValue,
    pub(super) limits: Limits,
    pub(super) metrics: Metrics,
    pub(super) clock: Clock,
    table: Mutex<Table>,
}

/// An admitted request.
pub struct Ticket {
    /// Its number.
    pub request: id::Request,
    /// Receives its final answer.
    pub answer: oneshot::Receiver<Final>,
}

/// The metric labels of a request; a service that isn't declared is not named.
#[derive(Clone, Debug)]
pub struct Label {
    /// The service, if it is declared.
    pub service: Option<id::Service>,
    /// The effective class.
    pub class: Class,
}

impl Pending {
    /// Opens the requests of a front, which isn't ready until it receives the services.
    ///
    /// # Panics
    ///
    /// Panics if the origin is not a valid header value, which the checks of the settings rule out.
    pub fn open(
        number: u16,
        origin: &Origin,
        limits: Limits,
        reports: ring::Sender<Report>,
        peer_commands: ring::Sender<PeerCommand>,
        metrics: Metrics,
    ) -> Pending {
        let table = Table {
            next: u64::from(number) << SEQUENCE_BITS,
            services: None,
            draining: false,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            clients: client::Table::default(),
            reports: Outbox::open(reports),
            peer_commands,
        };
        let origin = HeaderValue::try_from(origin.to_string())
            .expect("the settings' names are valid header values");
        Pending { origin, limits, metrics, clock: Clock::start(), table: Mutex::new(table) }
    }

    /// Locks and returns the table of requests.
    pub(super) fn table(&self) -> MutexGuard<'_, Table> {
        // A panic can't leave the table inconsistent, so a poisoned lock is ignored.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `true` if answers close their connections.
    pub fn draining(&self) -> bool {
        self.table().draining
    }

    /// Returns the metric labels of a request.
    pub fn label(&self, service: &id::Service, asked: Option<Class>) -> Label {
        let table = self.table();
        let found = table.services.as_ref().and_then(|services| services.get_key_value(service));
        match found {
            Some((service, own)) => Label {
                service: Some(service.clone()),
                class: asked.map_or(*own, |asked| asked.max(*own)),
            },
            None => Label { service: None, class: asked.unwrap_or_default() },
        }
    }

    /// Admits a completely read request and reports it to the decision thread.
    ///
    /// # Errors
    ///
    /// Returns `NotReady` before the first configuration, `Busy` if the ring to the decision thread
    /// is full, and `QueueTimeout` if the deadline has passed.
    pub fn take(&self, head: Head, body: Bytes, began: Instant) -> Result<Ticket, Code> {
        let mut table = self.table();
        if table.services.is_none() {
            return Err(Code::NotReady);
        }
        let deadline = match head.deadline {
            Some(deadline) => Some(remaining(deadline, began)?),
            None => None,
        };
        let arrival = Arrival {
            service: head.service.clone(),
            class: head.class,
            idempotent: head.idempotent(),
            key: head.key.clone(),
            deadline,
        };
        let request = table.next;
        if !table.reports.try_push(Report::Arrived { request, arrival }) {
            return Err(Code::Busy);
        }
        table.next += 1;
        let (caller, answer) = oneshot::channel();
        let in_flight = InFlight {
            head: Arc::new(head),
            body,
            caller: Some(caller),
            answers: SmallVec::new(),
            settled: false,
            running: 0,
            sent: 0,
        };
        table.requests.insert(request, in_flight);
        Ok(Ticket { request, answer })
    }

    /// Records that the caller disconnected.
    pub fn abandon(&self, request: id::Request) {
        let mut table = self.table();
        let Some(in_flight) = table.requests.get_mut(&request) else { return };
        in_flight.caller = None;
        table.drop_if_done(request);
        table.reports.push(Report::Abandoned { request });
    }

    /// Returns `true` if reports wait for free capacity in the ring.
    pub fn has_backlog(&self) -> bool {
        self.table().reports.has_backlog()
    }

    /// Sends waiting reports until the ring is full.
    pub fn flush(&self) {
        self.table().reports.flush();
    }

    /// Records how an attempt ended.
    pub(super) fn ended(&self, attempt: Attempt, outcome: Outcome) {
        let mut table = self.table();
        // An attempt without an entry was cancelled, so its outcome is dropped.
        let Some(running) = table.attempts.remove(&attempt) else { return };
        self.metrics.attempts.dec();
        if let Some(in_flight) = table.requests.get_mut(&running.request) {
            in_flight.running -= 1;
            if let Some(answer) = outcome.answer {
                in_flight.answers.push(Answered { attempt, answer });
            }
        }
        table.drop_if_done(running.request);
        table.reports.push(Report::Ended { attempt, ending: outcome.ending });
    }
}

/// Returns the time left until a deadline that started when the request began to arrive.
fn remaining(deadline: Duration, began: Instant) -> Result<Duration, Code> {
    let left = deadline.saturating_sub(began.elapsed());
    if left.is_zero() { Err(Code::QueueTimeout) } else { Ok(left) }
}

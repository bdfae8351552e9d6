//! One incarnation of a worker, as tracked by the owner of the cell.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::entity::Id;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndNumber;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Timestamp;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::colocation::interference::ImageIndex;
use crate::colocation::interference::Shares;
use crate::faults::health::Health;
use crate::faults::probation::Isolation;
use crate::settings::Settings;
use crate::workers::host::Hosted;

/// Bits of a command's epoch that hold the generation of the incarnation: enough for years of one
/// ownership. The remaining bits leave room for 2^33 ownership epochs below 2^53, up to which every
/// parser of numbers is exact.
const GENERATION_BITS: u32 = 20;
/// Incarnations beyond this one share an epoch, so that a late command may be accepted by a later
/// incarnation.
const MAX_GENERATION: u32 = (1 << GENERATION_BITS) - 1;

/// Index of a worker in the planner's table.
pub(crate) type WorkerId = Id<Worker>;

/// Fraction by which a worker's clock may run slow.
pub(crate) const CLOCK_DRIFT: f64 = 0.02;
/// Margin until a lease counts as expired: the network delay of the response, and the worker's
/// delay in stopping its runs.
const LEASE_EXPIRY_SLACK: Duration = Duration::from_millis(300);

/// A worker's clock in a report, between its request and its arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) stamp: Timestamp,
    pub(crate) requested_at: Time,
    pub(crate) at: Time,
}

/// Whether a worker responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It has not responded to this owner yet, so commands of previous owners may still be carried
    /// out.
    Unfenced { since: Time },
    /// It responds; the last response came at this time.
    Answering { at: Time },
    /// The last heartbeat went unanswered; the last response came at this time.
    Silent { at: Time },
}

/// State of the heartbeat to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heartbeat {
    /// To be sent at this time.
    Due(Time),
    /// Sent at this time.
    Sent(Time),
}

/// Expected distance of a latency-critical task from its target, in headroom.
#[derive(Clone, Debug)]
pub(crate) struct Margin {
    /// Its image, once a report has measured that image.
    pub(crate) image: Option<ImageIndex>,
    pub(crate) margin: f64,
    /// Standard deviation of `margin`.
    pub(crate) deviation: f64,
    /// Cost of the margin by itself ([`crate::colocation::risk::cost`]).
    pub(crate) cost: f64,
    /// Index of its horizon ([`crate::colocation::forecast_error::HORIZONS`]), if the feature is
    /// on.
    pub(crate) horizon: Option<usize>,
}

/// Conditions for a best-effort task on a worker. Placement passes read them many times between two
/// changes of the worker.
#[derive(Clone, Debug)]
pub(crate) struct Colocation {
    /// Margins of the latency-critical tasks.
    pub(crate) margins: SmallVec<[Margin; 8]>,
    /// CPU that best-effort tasks can still use, in millicores.
    pub(crate) best_effort_room: i64,
    /// Start of the longest current violation of a latency target.
    pub(crate) over_target_since: Option<Time>,
    /// When the forecasts were made.
    pub(crate) measured_at: Time,
}

/// An end that the worker reports until it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unacknowledged {
    pub(crate) number: EndNumber,
    pub(crate) job: JobId,
    /// Version of the job that includes the consequences of the end.
    pub(crate) version: u64,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: id::Instance,
    /// Start time in Unix milliseconds, once the worker has reported it.
    pub(crate) started_at: Option<id::Incarnation>,
    /// Start time of the latest earlier incarnation that has reported one. Its directory entry may
    /// arrive once more.
    pub(crate) predecessor_started_at: Option<id::Incarnation>,
    /// Whether an earlier incarnation, known from records only, has reported its start time.
    pub(crate) has_predecessor_with_start: bool,
    /// Generation of the first command to it; higher than those of earlier incarnations.
    pub(crate) first_generation: u32,
    /// The low bits of the epoch of its commands. Increases from one incarnation of a name to the
    /// next, and after unanswered starts ([`crate::workers::fence`]).
    pub(crate) generation: u32,
    /// Whether a start with the current generation went unanswered.
    pub(crate) start_unanswered: bool,
    /// `None` for a worker that is known from records only.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) service: id::Service,
    pub(crate) domain: id::Domain,
    pub(crate) labels: SmallVec<[Arc<str>; 2]>,
    pub(crate) rack: Option<id::Rack>,
    pub(crate) capacity: Amount,
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    /// Whether its machine is being drained for maintenance.
    pub(crate) draining_for_maintenance: bool,
    /// Whether maintenance of its machine was requested, which ends its incarnation.
    pub(crate) maintenance_ordered: bool,
    /// When its machine was listed as up after maintenance had been requested. A report requested
    /// later shows whether the incarnation survived the maintenance.
    pub(crate) listed_up: Option<Time>,
    /// When this owner first learned of it; zero if from a record, which a previous owner wrote.
    pub(crate) first_seen: Time,
    pub(crate) contact: Contact,
    /// Its clock at its last report. Responses to other commands aren't used for this: they may
    /// come from the next incarnation, and overtake reports.
    pub(crate) clock_reading: Option<ClockReading>,
    /// When it last responded to a heartbeat or any other command.
    pub(crate) last_answer: Option<Time>,
    /// The latest lease deadline that was sent to it, on its clock.
    pub(crate) lease_deadline: Timestamp,
    /// When a lease deadline was last sent to it.
    pub(crate) lease_sent_at: Time,
    /// Until when a command with a lease deadline for an earlier incarnation may be carried out by
    /// this one, unless it has responded: the deadline counts on its own clock.
    pub(crate) late_lease_until: Time,
    /// Highest number of an end that was handled.
    pub(crate) last_end_seen: EndNumber,
    /// Highest number of an end that may be acknowledged.
    pub(crate) acknowledged: EndNumber,
    /// The number that the latest heartbeat acknowledges, and the highest one whose heartbeat was
    /// answered. Zero acknowledges nothing.
    pub(crate) acknowledgement_sent: EndNumber,
    pub(crate) acknowledgement_answered: EndNumber,
    pub(crate) unacknowledged: VecDeque<Unacknowledged>,
    pub(crate) heartbeat: Heartbeat,
    /// Time up to which all ends are known ([`crate::workers::missing`]).
    pub(crate) ends_known_until: Time,
    /// When missing runs are logged next.
    pub(crate) missing_log_due: Time,
    pub(crate) runs: BTreeMap<Run, Hosted>,
    /// Sum of the amounts that its runs reserve.
    pub(crate) reserved: Amount,
    /// The amount of `reserved` that belongs to service tasks.
    pub(crate) reserved_by_services: Amount,
    pub(crate) health: Health,
    /// Number of its runs that are suspects ([`crate::faults::crash`]).
    pub(crate) suspects: u32,
    /// When a start was last sent to it.
    pub(crate) last_start_sent: Time,
    /// The step of that start.
    pub(crate) last_start_step: Option<StepId>,
    /// When a start of another step was last sent to it.
    pub(crate) other_start_sent: Time,
    /// `None` if something has changed since it was computed.
    pub(crate) colocation: Option<Colocation>,
    /// CPU use of best-effort images at the last measurement.
    pub(crate) shares: Shares,
    /// Time of the last measurement.
    pub(crate) measured_at: Time,
    /// Earliest time of the next placement on it.
    pub(crate) closed_until: Time,
    /// Until when nothing is placed on it since its runs are slow.
    pub(crate) slow_until: Time,
    /// Until when nothing is placed on it since runs there have failed.
    pub(crate) quarantined_until: Time,
    /// The step for whose next task it is reserved.
    pub(crate) reserved_for: Option<StepId>,
    /// The step on probation for which it is isolated, so that nothing else is started on it.
    pub(crate) isolated_for: Option<Isolation>,
}

impl Worker {
    /// Returns a worker that is known from a record only.
    pub(crate) fn unlisted(name: id::Instance, generation: u32, now: Time) -> Worker {
        Worker {
            name,
            started_at: None,
            predecessor_started_at: None,
            has_predecessor_with_start: false,
            first_generation: generation,
            generation,
            start_unanswered: false,
            address: None,
            service: id::Service::from(""),
            domain: id::Domain::from(""),
            labels: SmallVec::new(),
            rack: None,
            capacity: Amount::ZERO,
            listed: false,
            draining: false,
            draining_for_maintenance: false,
            maintenance_ordered: false,
            listed_up: None,
            first_seen: now,
            contact: Contact::Unfenced { since: now },
            clock_reading: None,
            last_answer: None,
            lease_deadline: 0,
            lease_sent_at: Time::ZERO,
            late_lease_until: Time::ZERO,
            last_end_seen: 0,
            acknowledged: 0,
            acknowledgement_sent: 0,
            acknowledgement_answered: 0,
            unacknowledged: VecDeque::new(),
            heartbeat: Heartbeat::Due(now),
            ends_known_until: Time::ZERO,
            missing_log_due: Time::ZERO,
            runs: BTreeMap::new(),
            reserved: Amount::ZERO,
            reserved_by_services: Amount::ZERO,
            health: Health::default(),
            suspects: 0,
            last_start_sent: Time::ZERO,
            last_start_step: None,
            other_start_sent: Time::ZERO,
            colocation: None,
            shares: Shares::new(),
            measured_at: Time::ZERO,
            closed_until: Time::ZERO,
            slow_until: Time::ZERO,
            quarantined_until: Time::ZERO,
            reserved_for: None,
            isolated_for: None,
        }
    }

    /// Updates the worker from its directory entry.
    pub(crate) fn update_registration(&mut self, registration: &Registration) {
        self.address = Some(registration.address);
        self.service = registration.service.clone();
        self.domain = registration.domain.clone();
        self.labels = registration.labels.clone();
        self.rack = registration.rack.clone();
        self.capacity = registration.capacity;
        self.draining = registration.draining;
        self.listed = true;
    }

    /// Returns `true` if the directory entry hasn't changed. Workers refresh their entries every
    /// second or two.
    pub(crate) fn matches_registration(&self, registration: &Registration) -> bool {
        self.listed
            && self.address == Some(registration.address)
            && (self.started_at == registration.started_at || registration.started_at.is_none())
            && self.draining == registration.draining
            && self.capacity == registration.capacity
            && self.service == registration.service
            && self.domain == registration.domain
            && self.labels == registration.labels
            && self.rack == registration.rack
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation { name: self.name.clone(), started_at: self.started_at }
    }

    /// Returns the epoch of commands to it, higher than those of previous owners and of earlier
    /// incarnations.
    pub(crate) fn command_epoch(&self, owner_epoch: id::Epoch) -> id::Epoch {
        epoch_of(owner_epoch, self.generation)
    }

    /// Returns `true` if a command with this epoch was addressed to this incarnation.
    pub(crate) fn has_used_epoch(&self, owner_epoch: id::Epoch, epoch: id::Epoch) -> bool {
        let first = epoch_of(owner_epoch, self.first_generation);
        (first..=self.command_epoch(owner_epoch)).contains(&epoch)
    }

    /// Estimates the current time of the worker's clock.
    pub(crate) fn clock(&self, now: Time) -> Option<Timestamp> {
        let reading = self.clock_reading?;
        Some(reading.stamp + now.saturating_sub(reading.at).as_millis() as Timestamp)
    }

    /// Accounts for the latest lease deadline that a previous owner may have sent, or this owner to
    /// an earlier incarnation. Deadlines never move back, and none was sent in the last `since`.
    pub(crate) fn inherit_deadline(&mut self, since: Duration, max_lease: Duration) {
        let Some(reading) = self.clock_reading else { return };
        let elapsed = since.mul_f64(1.0 - CLOCK_DRIFT).as_millis() as Timestamp;
        let last_granted = reading.stamp.saturating_sub(elapsed);
        self.lease_deadline =
            self.lease_deadline.max(last_granted + max_lease.as_millis() as Timestamp);
    }

    /// Returns `true` if its lease has certainly expired, so that all of its runs have ended.
    pub(crate) fn has_lease_expired(&self, now: Time, settings: &Settings) -> bool {
        // A run that is killed takes as long to end as one that is stopped.
        let slack = LEASE_EXPIRY_SLACK + settings.max_stop_time;
        match (self.contact, self.clock_reading) {
            (Contact::Unfenced { since }, _) | (Contact::Silent { at: since }, None) => {
                // The deadlines of previous owners are unknown, except for how late they can be.
                now >= since.max(self.late_lease_until)
                    + settings.max_lease.mul_f64(1.0 + CLOCK_DRIFT)
                    + slack
            }
            (_, Some(reading)) => {
                let elapsed = now.saturating_sub(reading.at).saturating_sub(slack);
                let min_elapsed = elapsed.mul_f64(1.0 - CLOCK_DRIFT).as_millis() as Timestamp;
                reading.stamp + min_elapsed > self.lease_deadline
            }
            (Contact::Answering { .. }, None) => false,
        }
    }

    /// Records that a command sent at this time was carried out. If the machine had been listed as
    /// up by then, its maintenance has ended.
    pub(crate) fn end_maintenance_if_outlived(&mut self, sent: Time) {
        if self.listed_up.take_if(|at| *at <= sent).is_some() {
            self.maintenance_ordered = false;
        }
    }

    /// Returns `true` if the worker may restart under its name, as one does that reports its start
    /// time.
    pub(crate) fn may_restart(&self) -> bool {
        self.started_at.is_some() || self.has_predecessor_with_start
    }

    pub(crate) fn answers(&self) -> bool {
        matches!(self.contact, Contact::Answering { .. })
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }

    pub(crate) fn add_run(&mut self, run: Run, hosted: Hosted) {
        self.reserved = self.reserved.plus(hosted.reserved());
        if hosted.long_running {
            self.reserved_by_services = self.reserved_by_services.plus(hosted.reserved());
        }
        self.suspects += u32::from(hosted.crashes > 0);
        self.colocation = None;
        let previous = self.runs.insert(run, hosted);
        debug_assert!(previous.is_none(), "a run is added only once");
    }

    pub(crate) fn remove_run(&mut self, run: Run) -> Option<Hosted> {
        let hosted = self.runs.remove(&run)?;
        self.reserved = self.reserved.minus(hosted.reserved());
        if hosted.long_running {
            self.reserved_by_services = self.reserved_by_services.minus(hosted.reserved());
        }
        self.suspects -= u32::from(hosted.crashes > 0);
        self.colocation = None;
        Some(hosted)
    }

    /// Records that a run is no longer a suspect.
    pub(crate) fn clear_suspect(&mut self, run: Run) {
        let Some(hosted) = self.runs.get_mut(&run) else { return };
        self.suspects -= u32::from(std::mem::take(&mut hosted.crashes) > 0);
    }

    /// Returns the runs that satisfy a predicate.
    pub(crate) fn runs_where(&self, predicate: impl Fn(&Hosted) -> bool) -> Vec<Run> {
        self.runs.iter().filter(|(_, hosted)| predicate(hosted)).map(|(run, _)| *run).collect()
    }

    /// Returns since when the run that has been missing from its reports for the longest has been
    /// missing.
    pub(crate) fn missing_since(&self) -> Option<Time> {
        self.runs.values().filter_map(|hosted| hosted.missing_since).min()
    }

    pub(crate) fn room(&self) -> Amount {
        self.capacity.minus(self.reserved)
    }

    /// Returns `true` if a latency-critical task runs on it.
    pub(crate) fn has_latency_critical(&self) -> bool {
        self.runs.values().any(Hosted::is_latency_critical)
    }

    pub(crate) fn has_best_effort(&self) -> bool {
        self.runs.values().any(|hosted| hosted.best_effort)
    }
}

fn epoch_of(owner_epoch: id::Epoch, generation: u32) -> id::Epoch {
    (owner_epoch << GENERATION_BITS) | id::Epoch::from(generation.min(MAX_GENERATION))
}

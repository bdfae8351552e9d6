//! One incarnation of a worker as the owner knows it.

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
use cowslipchute_ports::executor::Stamp;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::health::Health;
use crate::host::Hosted;
use crate::interference::ImageIndex;
use crate::interference::Shares;
use crate::probation::Isolation;
use crate::settings::Settings;

/// Bits of an order's epoch that tell incarnations within one ownership apart: as many as end in years of it. The
/// rest leaves room for 2^33 epochs below 2^53, up to which any reader of numbers is exact.
const GENERATION_BITS: u32 = 20;
/// Incarnations past this one share their epoch, which only widens what a late order may do.
const MAX_GENERATION: u32 = (1 << GENERATION_BITS) - 1;

/// Index of a worker in the planner's table.
pub(crate) type WorkerId = Id<Worker>;

/// A worker's clock may run this much slow.
const CLOCK_DRIFT: f64 = 0.02;
/// Added before a deadline counts as surely passed: the answer's way, and the worker's own delay
/// in acting on it.
const LEASE_EXPIRY_SLACK: Duration = Duration::from_millis(300);

/// What a worker's clock showed when its answer arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) stamp: Stamp,
    pub(crate) at: Time,
}

/// Whether a worker answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It has not answered this owner yet, so orders of earlier owners may still be carried out.
    Unfenced { since: Time },
    /// Its last answer is from then.
    Answering { at: Time },
    /// The last hold was not answered; the last answer is from then.
    Silent { at: Time },
}

/// The order that extends the deadline and lists the runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heartbeat {
    /// To be sent at this time.
    Due(Time),
    /// Sent at this time.
    Sent(Time),
}

/// How far a serving task is expected to stay from its target, in headroom.
#[derive(Clone, Debug)]
pub(crate) struct Margin {
    /// What it runs, once an account has told of that image.
    pub(crate) image: Option<ImageIndex>,
    pub(crate) margin: f64,
    /// Standard deviation of that.
    pub(crate) deviation: f64,
    /// What that costs by itself ([`crate::risk::cost`]).
    pub(crate) cost: f64,
}

/// What a task that fills would find on a worker. Placing passes ask for it many times between two
/// changes there.
#[derive(Clone, Debug)]
pub(crate) struct Colocation {
    /// The tasks that serve.
    pub(crate) margins: SmallVec<[Margin; 8]>,
    /// Thousandths of a processor that tasks which fill can still use.
    pub(crate) best_effort_room: i64,
    /// Since when the task that has been over its target for the longest has been.
    pub(crate) over_target_since: Option<Time>,
}

/// An end that the worker lists until it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unacknowledged {
    pub(crate) number: EndNumber,
    pub(crate) job: JobId,
    /// The version of the job that holds what follows from the end.
    pub(crate) version: u64,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: id::Instance,
    /// Unix milliseconds of its start, once it has told.
    pub(crate) started_at: Option<id::Incarnation>,
    /// Rises from one incarnation of a name to the next; the lower part of its orders' epoch.
    pub(crate) generation: u32,
    /// None for one that only records name.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) service: id::Service,
    pub(crate) domain: id::Domain,
    pub(crate) labels: SmallVec<[Arc<str>; 2]>,
    pub(crate) rack: Option<id::Rack>,
    pub(crate) capacity: Amount,
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    /// Whether its machine is being emptied for its upkeep.
    pub(crate) draining_for_maintenance: bool,
    /// Whether its upkeep is ordered, which ends its incarnation.
    pub(crate) maintenance_ordered: bool,
    /// When its machine was listed as up after its upkeep had been ordered. An account that is asked for later tells
    /// whether it outlived that.
    pub(crate) listed_up: Option<Time>,
    /// When this owner first heard of it; the beginning of time if it heard from a record, which an
    /// earlier owner wrote.
    pub(crate) first_seen: Time,
    pub(crate) contact: Contact,
    /// What its clock showed with its last account. Answers to other orders aren't read for that: they may be the
    /// next incarnation's, and overtake accounts.
    pub(crate) clock_reading: Option<ClockReading>,
    /// When it last answered a hold or any other order.
    pub(crate) last_answer: Option<Time>,
    /// The latest deadline that was sent to it.
    pub(crate) lease_deadline: Stamp,
    /// The highest end that was taken in.
    pub(crate) last_end_seen: EndNumber,
    /// The highest end that may be acknowledged.
    pub(crate) acknowledged: EndNumber,
    pub(crate) unacknowledged: VecDeque<Unacknowledged>,
    pub(crate) heartbeat: Heartbeat,
    pub(crate) runs: BTreeMap<Run, Hosted>,
    /// The sum of what its runs reserve.
    pub(crate) reserved: Amount,
    /// What of that is reserved by tasks that last.
    pub(crate) reserved_by_services: Amount,
    pub(crate) health: Health,
    /// How many of its runs are suspects ([`crate::crash`]).
    pub(crate) suspects: u32,
    /// When it was last ordered to start a run.
    pub(crate) last_start_sent: Time,
    /// None when something has changed since it was worked out.
    pub(crate) colocation: Option<Colocation>,
    /// What filling images used when figures were last read.
    pub(crate) shares: Shares,
    /// When that was.
    pub(crate) measured_at: Time,
    /// Nothing is placed there before this.
    pub(crate) closed_until: Time,
    /// The step for whose next task it is kept.
    pub(crate) reserved_for: Option<StepId>,
    /// The step on probation for which nothing else begins there.
    pub(crate) isolated_for: Option<Isolation>,
}

impl Worker {
    /// A worker of which only a record tells.
    pub(crate) fn unlisted(name: id::Instance, generation: u32, now: Time) -> Worker {
        Worker {
            name,
            started_at: None,
            generation,
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
            last_end_seen: 0,
            acknowledged: 0,
            unacknowledged: VecDeque::new(),
            heartbeat: Heartbeat::Due(now),
            runs: BTreeMap::new(),
            reserved: Amount::ZERO,
            reserved_by_services: Amount::ZERO,
            health: Health::default(),
            suspects: 0,
            last_start_sent: Time::ZERO,
            colocation: None,
            shares: Shares::new(),
            measured_at: Time::ZERO,
            closed_until: Time::ZERO,
            reserved_for: None,
            isolated_for: None,
        }
    }

    /// Takes over what the directory says.
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

    /// Tells whether the directory said the same before. Workers refresh their entries each second or two.
    pub(crate) fn matches_registration(&self, registration: &Registration) -> bool {
        self.listed
            && self.address == Some(registration.address)
            && (self.started_at == registration.born || registration.born.is_none())
            && self.draining == registration.draining
            && self.capacity == registration.capacity
            && self.service == registration.service
            && self.domain == registration.domain
            && self.labels == registration.labels
            && self.rack == registration.rack
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation { name: self.name.clone(), born: self.started_at }
    }

    /// Returns the epoch of orders to it: above those of earlier owners and of earlier incarnations.
    pub(crate) fn command_epoch(&self, owned: id::Epoch) -> id::Epoch {
        (owned << GENERATION_BITS) | id::Epoch::from(self.generation.min(MAX_GENERATION))
    }

    /// Estimates the worker's clock now.
    pub(crate) fn clock(&self, now: Time) -> Option<Stamp> {
        let reading = self.clock_reading?;
        Some(reading.stamp + now.saturating_sub(reading.at).as_millis() as Stamp)
    }

    /// Counts the latest deadline that an earlier owner may have given, or this one to an earlier incarnation:
    /// deadlines never shorten, and none was given for so long.
    pub(crate) fn inherit_deadline(&mut self, since: Duration, max_hold: Duration) {
        let Some(reading) = self.clock_reading else { return };
        let passed = since.mul_f64(1.0 - CLOCK_DRIFT).as_millis() as Stamp;
        let begun = reading.stamp.saturating_sub(passed);
        self.lease_deadline = self.lease_deadline.max(begun + max_hold.as_millis() as Stamp);
    }

    /// Tells whether whatever ran there has surely ended for want of a deadline.
    pub(crate) fn has_lease_expired(&self, now: Time, settings: &Settings) -> bool {
        // What is killed takes as long to end as what is stopped.
        let slack = LEASE_EXPIRY_SLACK + settings.max_stop_time;
        match (self.contact, self.clock_reading) {
            (Contact::Unfenced { since }, _) | (Contact::Silent { at: since }, None) => {
                // Earlier owners' deadlines aren't known, only how far ahead they can be.
                now >= since + settings.max_lease.mul_f64(1.0 + CLOCK_DRIFT) + slack
            }
            (_, Some(reading)) => {
                let passed = now.saturating_sub(reading.at).saturating_sub(slack);
                let least = passed.mul_f64(1.0 - CLOCK_DRIFT).as_millis() as Stamp;
                reading.stamp + least > self.lease_deadline
            }
            (Contact::Answering { .. }, None) => false,
        }
    }

    /// An order sent at a time was carried out: if the machine had been listed as up by then, its upkeep is over.
    pub(crate) fn end_maintenance_if_outlived(&mut self, sent: Time) {
        if self.listed_up.take_if(|at| *at <= sent).is_some() {
            self.maintenance_ordered = false;
        }
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
        let before = self.runs.insert(run, hosted);
        debug_assert!(before.is_none(), "a run is hosted once");
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

    /// A run is no suspect any more.
    pub(crate) fn clear_suspect(&mut self, run: Run) {
        let Some(hosted) = self.runs.get_mut(&run) else { return };
        self.suspects -= u32::from(std::mem::take(&mut hosted.crashes) > 0);
    }

    /// Returns the runs of which something holds.
    pub(crate) fn runs_where(&self, holds: impl Fn(&Hosted) -> bool) -> Vec<Run> {
        self.runs.iter().filter(|(_, hosted)| holds(hosted)).map(|(run, _)| *run).collect()
    }

    /// Returns since when the run has been missing from its accounts that has been for the longest.
    pub(crate) fn missing_since(&self) -> Option<Time> {
        self.runs.values().filter_map(|hosted| hosted.missing_since).min()
    }

    pub(crate) fn room(&self) -> Amount {
        self.capacity.minus(self.reserved)
    }

    /// Tells whether a task that serves runs there.
    pub(crate) fn has_latency_critical(&self) -> bool {
        self.runs.values().any(Hosted::is_latency_critical)
    }

    pub(crate) fn has_best_effort(&self) -> bool {
        self.runs.values().any(|hosted| hosted.best_effort)
    }
}

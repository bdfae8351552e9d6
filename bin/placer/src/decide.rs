//! The event loop that makes the decisions. It holds the ownership manager, the directory of job homes
//! and one cell decider for each owned cell, and passes their actions on to the other event loops.

mod cells;
mod homes;
mod host;
mod publish;
mod tenure;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::ring::Notifier;
use cowslipchute_daemon::ring::TryRecv;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::Change;
use cowslipchute_ports::list;
use cowslipchute_tenure::directory::Directory;
use cowslipchute_tenure::event::Event;
use cowslipchute_tenure::ownership;
use cowslipchute_tenure::ownership::Manager;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::api::Query;
use crate::catalogue::Catalogue;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::message::Answer;
use crate::message::Completion;
use crate::message::Exchange;
use crate::message::Inbound;
use crate::message::Observation;
use crate::message::Outbound;
use crate::message::Request;
use crate::message::Term;
use crate::metrics::Metrics;
use crate::status::Status;

use host::Host;

/// Number of values handled from one ring before the other rings are served.
const TURN_MAX: usize = 256;
/// Interval between reads of the cells of the whole deployment.
const CELLS_EVERY: Duration = Duration::from_secs(30);
/// Retry delay after a failed read of the cells or of records.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Receiving ends of the event loop's rings.
#[derive(Debug)]
pub struct Inputs {
    /// Wakes the event loop when a value arrives on any ring.
    pub bell: Notifier,
    /// From the store event loop.
    pub store: ring::Receiver<Answer>,
    /// From the workers event loop.
    pub workers: ring::Receiver<Completion>,
    /// From the watch event loop.
    pub watch: ring::Receiver<Observation>,
    /// From the link event loop.
    pub link: ring::Receiver<Inbound>,
    /// From the follower of the configuration.
    pub config: ring::Receiver<Change>,
    /// From the admin event loop.
    pub queries: mpsc::Receiver<Query>,
}

/// Sending ends of the event loop's rings.
#[derive(Debug)]
pub struct Outputs {
    /// To the store event loop.
    pub store: ring::Sender<Request>,
    /// To the workers event loop.
    pub workers: ring::Sender<Exchange>,
    /// To the link event loop.
    pub link: ring::Sender<Outbound>,
}

/// Settings and handles that the event loop is opened with.
#[derive(Debug)]
pub struct Context {
    /// Settings of the ownership manager.
    pub ownership: ownership::Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// Records notes for operators.
    pub journal: Journal,
    /// Metrics of the placer.
    pub metrics: Metrics,
    /// Readiness of the process for work.
    pub readiness: Readiness,
    /// Publishes the status for operators.
    pub status: watch::Sender<Arc<Status>>,
    /// Publishes the listed instances for the follower of the configuration.
    pub members: watch::Sender<Vec<list::Member>>,
    /// Dropped when the event loop ends, which ends the watch event loop.
    pub ended: oneshot::Sender<()>,
}

/// State of the event loop.
#[derive(Debug)]
pub struct Decide {
    context: Context,
    outputs: Outputs,
    manager: Manager,
    directory: Directory,
    catalogue: Catalogue,
    view: Option<list::View>,
    hosts: BTreeMap<Term, Host>,
    cells_due: Time,
    departures_due: Time,
    published: Time,
    list_stale: bool,
    drained: bool,
}

impl Decide {
    /// Returns the initial state of the event loop.
    pub fn open(context: Context, outputs: Outputs) -> Decide {
        Decide {
            manager: Manager::open(context.ownership.clone()),
            directory: Directory::open(context.ownership.rank_delay),
            context,
            outputs,
            catalogue: Catalogue::default(),
            view: None,
            hosts: BTreeMap::new(),
            cells_due: Time::ZERO,
            departures_due: Time::ZERO,
            published: Time::ZERO,
            list_stale: false,
            drained: false,
        }
    }

    /// Runs until every cell has been released after a requested stop, or until the stop is forced.
    pub async fn run(mut self, mut inputs: Inputs, mut stop: Stop) {
        let mut asked = false;
        while !self.drained && stop.stage() < Stage::Forced {
            if stop.stage() == Stage::Draining && !asked {
                asked = true;
                self.context.readiness.set(false);
                self.step_manager(Event::Drain);
            }
            let more = self.turn(&mut inputs);
            self.publish();
            if more {
                tokio::task::yield_now().await;
                continue;
            }
            let next = if asked { Stage::Forced } else { Stage::Draining };
            let due = self.context.clock.at(self.next_due());
            tokio::select! {
                () = inputs.bell.wait() => {}
                () = tokio::time::sleep_until(due) => {}
                () = stop.wait_for_stage(next) => {}
            }
        }
        self.publish_now();
    }

    /// Handles received messages and due timers; returns `true` if more messages may be waiting.
    fn turn(&mut self, inputs: &mut Inputs) -> bool {
        // Step the ownership manager first, so that it detects a pause of this process before any
        // message that arrived during the pause is handled.
        self.step_manager(Event::Tick);
        self.answer_queries(&mut inputs.queries);
        let mut more = drain(&mut inputs.store, |answer| self.on_answer(answer));
        more |= drain(&mut inputs.link, |inbound| self.on_inbound(inbound));
        more |= drain(&mut inputs.config, |change| self.on_config(change));
        more |= drain(&mut inputs.watch, |observation| self.on_observation(observation));
        if self.manager.is_suspended() {
            return more;
        }
        more |= drain(&mut inputs.workers, |completion| self.on_completion(completion));
        self.tick_cells();
        self.tick_homes();
        self.tick_departures();
        more
    }

    fn now(&self) -> Time {
        self.context.clock.now()
    }

    fn next_due(&self) -> Time {
        let now = self.now();
        let mut due = self.manager.next_due(now);
        if self.manager.is_suspended() {
            return due;
        }
        due = due.min(self.cells_due);
        due = due.min(self.directory.next_due().unwrap_or(due));
        for host in self.hosts.values() {
            due = due.min(host.next_due().unwrap_or(due));
        }
        due
    }

    fn on_inbound(&mut self, inbound: Inbound) {
        self.step_manager(match inbound {
            Inbound::Release { call, cell, epoch } => Event::StoppedQueried { call, cell, epoch },
            Inbound::Released { cell, epoch, owner } => Event::StopConfirmed { cell, epoch, owner },
        });
    }

    fn on_observation(&mut self, observation: Observation) {
        match observation {
            Observation::Listed(view) => self.on_list(view),
            Observation::ListFailed(error) => self.on_list_failed(error),
            Observation::Changed => self.step_manager(Event::Changed),
            Observation::Homes(step) => self.on_homes(&step),
        }
    }

    fn on_list(&mut self, view: list::View) {
        self.list_stale = false;
        if self.view.as_ref().is_some_and(|last| last.version > view.version) {
            return;
        }
        self.context.members.send_replace(view.members.clone());
        self.view = Some(view.clone());
        self.step_manager(Event::Listed { view });
        self.send_workers_to_all();
    }

    fn on_list_failed(&mut self, error: String) {
        if !self.list_stale {
            self.list_stale = true;
            let instance = self.context.ownership.instance.clone();
            self.note(LogEvent::ListStale, Subject::plain(instance), error);
        }
    }

    fn note(&self, event: LogEvent, subject: Subject, reason: String) {
        self.context.metrics.event(event);
        self.context.journal.note(self.now(), event, subject, reason);
    }

    fn request(&mut self, request: Request) {
        // The ring's capacity is many times the number of calls that can be in flight.
        if self.outputs.store.send(request).is_err() {
            debug_assert!(self.drained, "the store duty keeps up with bounded requests");
        }
    }

    /// Iterates over the listed workers of a cell.
    fn cell_workers(&self, cell: &id::Cell) -> impl Iterator<Item = &list::Member> {
        let slice = cell.rsplit_once('/').and_then(|(_, slice)| slice.parse().ok());
        let members = self.view.iter().flat_map(|view| view.members.iter());
        members.filter(move |member| {
            member.role == list::Role::Worker
                && member.domain == self.context.ownership.domain
                && self.manager.plan().cell_index(&member.rack) == slice
                && slice.is_some()
        })
    }
}

/// Handles up to `TURN` values from a ring; returns `true` if more may be waiting.
fn drain<T>(receiver: &mut ring::Receiver<T>, mut handle: impl FnMut(T)) -> bool {
    for _ in 0..TURN_MAX {
        match receiver.try_recv() {
            TryRecv::Value(value) => handle(value),
            TryRecv::Empty | TryRecv::Closed => return false,
        }
    }
    true
}

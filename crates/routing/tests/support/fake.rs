//! Fake backend servers that answer automatically, for scenarios with many requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::fmt::Write as _;
use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::id::Time;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Attempt;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;

use crate::support::world::World;

/// Behaviour of a backend server for every request.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time until the attempt ends; `None` if the backend server is frozen.
    pub latency: Option<Duration>,
    /// Ending of the attempt.
    pub ending: Ending,
}

/// A series of requests at even intervals.
pub struct Load {
    /// Number of requests.
    pub count: u64,
    /// Interval between two requests.
    pub every: Duration,
    /// Time of the first request, from the start of the run.
    pub after: Duration,
    /// Number of the first request.
    pub first: u64,
    /// Properties of each request.
    pub arrival: Arrival,
}

/// A change during a run.
pub enum Change {
    /// A backend server changes its behaviour.
    Behave(String, Behaviour),
    /// The router reads the list.
    List,
    /// The router starts to drain.
    Drain,
    /// The router's process is frozen for this duration.
    Freeze(Duration),
}

/// A change and its time.
pub struct Timed {
    /// Time from the start of the run.
    pub after: Duration,
    /// The change.
    pub change: Change,
}

/// Summary of a run.
#[derive(Default)]
struct Summary {
    counts: BTreeMap<String, u64>,
    arrivals: BTreeMap<u64, (String, Time)>,
    slowest: BTreeMap<String, Duration>,
}

impl Summary {
    fn count(&mut self, what: String) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn forward(&mut self, now: Time, request: u64) {
        let Some((service, at)) = self.arrivals.get(&request).cloned() else { return };
        self.count(format!("{service} forward"));
        let slowest = self.slowest.entry(service).or_default();
        *slowest = (now - at).max(*slowest);
    }

    fn reply(&mut self, request: u64, code: Code) {
        let service = self.arrivals.get(&request).map_or("earlier", |(service, _)| service);
        self.count(format!("{service} reply {code:?}"));
    }

    fn add(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { instance, .. } => self.count(format!("send {instance}")),
                Action::Forward { request, .. } => self.forward(now, *request),
                Action::Reply { request, code, .. } => self.reply(*request, *code),
                Action::Note { event, subject } => self.count(format!("note {event:?} {subject}")),
                Action::Announce { instance, .. } => self.count(format!("announce {instance}")),
                Action::Cancel { .. } => self.count("cancel".to_owned()),
                _ => {}
            }
        }
    }

    fn text(&self) -> String {
        let mut out = String::new();
        for (what, count) in &self.counts {
            writeln!(out, "{what} x{count}").expect("a string takes any text");
        }
        for (service, slowest) in &self.slowest {
            writeln!(out, "{service} slowest {slowest:?}").expect("a string takes any text");
        }
        out
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Change(usize),
    End(Attempt),
    Arrive(u64),
}

/// Runs loads to their end and returns one line for each kind of action. Backend servers without a
/// configured behaviour answer with status 200 after 10 ms.
pub fn run(
    world: &mut World,
    loads: &[Load],
    changes: &[Timed],
    behaviours: &mut BTreeMap<String, Behaviour>,
) -> String {
    let healthy = Behaviour {
        latency: Some(Duration::from_millis(10)),
        ending: Ending::Answered { status: 200, leaving: false },
    };
    let start = world.now;
    let mut summary = Summary::default();
    let mut arrivals: BTreeMap<u64, &Arrival> = BTreeMap::new();
    let mut endings: BTreeMap<Attempt, Ending> = BTreeMap::new();
    let mut heap: BinaryHeap<Reverse<(Time, Next)>> = BinaryHeap::new();
    for load in loads {
        for n in 0..load.count {
            arrivals.insert(load.first + n, &load.arrival);
            let at = start + load.after + load.every * n as u32;
            summary.arrivals.insert(load.first + n, (load.arrival.service.to_string(), at));
            heap.push(Reverse((at, Next::Arrive(load.first + n))));
        }
    }
    for (index, timed) in changes.iter().enumerate() {
        heap.push(Reverse((start + timed.after, Next::Change(index))));
    }
    loop {
        let next = heap.peek().map(|entry| entry.0.0);
        let (at, event) = match (next, world.router.next_due()) {
            (None, None) => return summary.text(),
            (None, Some(due)) => (due, Event::Tick),
            (Some(next), Some(due)) if due < next => (due, Event::Tick),
            (Some(next), _) => match heap.pop().expect("it was peeked at").0.1 {
                Next::Arrive(request) => {
                    (next, Event::Arrived { request, arrival: arrivals[&request].clone() })
                }
                Next::End(attempt) => (next, Event::Ended { attempt, ending: endings[&attempt] }),
                Next::Change(index) => match &changes[index].change {
                    Change::Drain => (next, Event::Drain),
                    Change::List => {
                        world.view.version += 1;
                        (next, Event::Listed { view: world.view.clone() })
                    }
                    Change::Behave(name, behaviour) => {
                        behaviours.insert(name.clone(), *behaviour);
                        continue;
                    }
                    Change::Freeze(time) => {
                        world.now = next + *time;
                        continue;
                    }
                },
            },
        };
        // Events that occur while the router's process is frozen are handled when it resumes.
        world.now = at.max(world.now);
        let actions = world.step(event);
        for action in &actions {
            let Action::Send { attempt, instance, .. } = action else { continue };
            let behaviour = behaviours.get(&**instance).copied().unwrap_or(healthy);
            endings.insert(*attempt, behaviour.ending);
            if let Some(latency) = behaviour.latency {
                heap.push(Reverse((world.now + latency, Next::End(*attempt))));
            }
        }
        summary.add(world.now, &actions);
    }
}

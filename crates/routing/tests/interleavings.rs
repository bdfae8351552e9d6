//! Property tests: random events in random order against the invariants of `support/check.rs`.

mod support;

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_resource::service::Spec;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Attempt;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::strategy::Just;

use support::world::World;
use support::world::arrival;
use support::world::member;
use support::world::settings;

const SERVICES: [&str; 2] = ["web", "web-trial"];
const BACKENDS: usize = 6;

#[derive(Clone, Debug)]
enum Op {
    Arrive {
        service: usize,
        idempotent: bool,
        keyed: bool,
        class: Class,
        deadline: Option<u64>,
    },
    End {
        which: prop::sample::Index,
        ending: Ending,
    },
    EndAgain {
        which: prop::sample::Index,
        ending: Ending,
    },
    Claimed {
        which: prop::sample::Index,
        verdict: Claimed,
    },
    Abandon {
        which: prop::sample::Index,
    },
    Pass {
        micros: u64,
    },
    /// The process stalls, so that due timers fire late.
    Freeze {
        micros: u64,
    },
    Replace {
        backend: usize,
    },
    Remove {
        backend: usize,
    },
    MarkLeaving {
        backend: usize,
    },
    NotifyLeaving {
        backend: usize,
    },
    List,
    Redeclare {
        queue: u32,
        attempts: u8,
    },
    RemoveService {
        service: usize,
    },
    /// Every backend server is replaced by one of another service.
    ReplaceAll,
    Drain,
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        6 => (prop_oneof![3 => Just(200_u16), 1 => Just(503)], prop::bool::weighted(0.05))
            .prop_map(|(status, leaving)| Ending::Answered { status, leaving }),
        2 => prop::bool::weighted(0.2).prop_map(|leaving| Ending::Refused { leaving }),
        2 => Just(Ending::Unsent),
        1 => Just(Ending::Broken),
        1 => Just(Ending::Truncated),
        1 => Just(Ending::TooLarge),
    ]
}

fn verdict() -> impl Strategy<Value = Claimed> {
    prop_oneof![
        4 => Just(Claimed::Granted),
        1 => Just(Claimed::Ran(None)),
        1 => Just(Claimed::InDoubt),
        1 => Just(Claimed::NotOwner),
    ]
}

fn arrive() -> impl Strategy<Value = Op> {
    let class =
        prop_oneof![4 => Just(Class::Paying), 2 => Just(Class::Trial), 1 => Just(Class::Batch)];
    let deadline = prop::option::of(1..3000_u64);
    (0..SERVICES.len(), any::<bool>(), any::<bool>(), class, deadline).prop_map(
        |(service, idempotent, keyed, class, deadline)| Op::Arrive {
            service,
            idempotent,
            keyed,
            class,
            deadline,
        },
    )
}

fn op() -> impl Strategy<Value = Op> {
    let which = || any::<prop::sample::Index>();
    prop_oneof![
        40 => arrive(),
        30 => (which(), ending()).prop_map(|(which, ending)| Op::End { which, ending }),
        2 => (which(), ending()).prop_map(|(which, ending)| Op::EndAgain { which, ending }),
        10 => (which(), verdict()).prop_map(|(which, verdict)| Op::Claimed { which, verdict }),
        3 => which().prop_map(|which| Op::Abandon { which }),
        15 => (0..300_000_u64).prop_map(|micros| Op::Pass { micros }),
        3 => (0..2_000_000_u64).prop_map(|micros| Op::Freeze { micros }),
        2 => (0..BACKENDS).prop_map(|backend| Op::Replace { backend }),
        1 => (0..BACKENDS).prop_map(|backend| Op::Remove { backend }),
        1 => (0..BACKENDS).prop_map(|backend| Op::MarkLeaving { backend }),
        1 => (0..BACKENDS).prop_map(|backend| Op::NotifyLeaving { backend }),
        4 => Just(Op::List),
        1 => (0..4_u32, 1..5_u8).prop_map(|(queue, attempts)| Op::Redeclare { queue, attempts }),
        1 => prop::bool::weighted(0.2).prop_map(|yes| if yes { Op::ReplaceAll } else { Op::List }),
        1 => (0..SERVICES.len()).prop_map(|service| Op::RemoveService { service }),
        1 => prop::bool::weighted(0.1).prop_map(|drain| if drain { Op::Drain } else { Op::List }),
    ]
}

/// A world and the events that can follow.
struct Driver {
    world: World,
    attempts: Vec<Attempt>,
    ended: Vec<Attempt>,
    claims: Vec<u64>,
    arrived: u64,
    incarnation: u64,
}

impl Driver {
    fn open(seed: u64, entries: u16) -> Driver {
        let mut world = World::open(cowslipchute_routing::router::Settings {
            seed,
            entries,
            requests_max: 40,
            ..settings()
        });
        for index in 0..BACKENDS {
            world.view.members.push(backend(index, 1));
        }
        let mut driver = Driver {
            world,
            attempts: Vec::new(),
            ended: Vec::new(),
            claims: Vec::new(),
            arrived: 0,
            incarnation: 1,
        };
        driver.declare(3, 3);
        driver.world.list();
        driver
    }

    fn declare(&mut self, queue: u32, attempts: u8) {
        let plain = Spec { queue, attempts, ..Spec::default() };
        let trial = Spec {
            class: Class::Trial,
            backends_of: Some(SERVICES[0].to_owned()),
            ..plain.clone()
        };
        self.world.service(SERVICES[0], plain);
        self.world.service(SERVICES[1], trial);
    }

    fn send(&mut self, event: Event) {
        let actions = self.world.step(event);
        self.collect(&actions);
    }

    fn collect(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { attempt, .. } => self.attempts.push(*attempt),
                Action::Claim { request, .. } => self.claims.push(*request),
                _ => {}
            }
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Arrive { service, idempotent, keyed, class, deadline } => {
                self.arrived += 1;
                let request = Arrival {
                    class: Some(class),
                    key: keyed.then(|| "key".into()),
                    deadline: deadline.map(Duration::from_millis),
                    ..arrival(SERVICES[service], idempotent)
                };
                self.send(Event::Arrived { request: self.arrived, arrival: request });
            }
            Op::End { which, ending } if !self.attempts.is_empty() => {
                let attempt = self.attempts.remove(which.index(self.attempts.len()));
                self.ended.push(attempt);
                self.send(Event::Ended { attempt, ending });
            }
            Op::EndAgain { which, ending } if !self.ended.is_empty() => {
                let attempt = self.ended[which.index(self.ended.len())];
                self.send(Event::Ended { attempt, ending });
            }
            Op::Claimed { which, verdict } if !self.claims.is_empty() => {
                let request = self.claims.remove(which.index(self.claims.len()));
                self.send(Event::Claimed { request, verdict });
            }
            Op::Abandon { which } if self.arrived > 0 => {
                let request = 1 + which.index(self.arrived as usize) as u64;
                self.send(Event::Abandoned { request });
            }
            Op::Pass { micros } => {
                let actions = self.world.pass(Duration::from_micros(micros));
                self.collect(&actions);
            }
            Op::Freeze { micros } => self.world.now += Duration::from_micros(micros),
            Op::Replace { backend: index } => {
                self.incarnation += 1;
                let fresh = backend(index, self.incarnation);
                let members = &mut self.world.view.members;
                members.retain(|member| member.instance != fresh.instance);
                members.push(fresh);
            }
            Op::Remove { backend: index } => {
                let gone = backend(index, 1).instance;
                self.world.view.members.retain(|member| member.instance != gone);
            }
            Op::MarkLeaving { backend: index } => {
                let leaving = backend(index, 1).instance;
                let members = self.world.view.members.iter_mut();
                for member in members.filter(|member| member.instance == leaving) {
                    member.state = list::State::Leaving;
                }
            }
            Op::NotifyLeaving { backend: index } => {
                let instance = backend(index, 1).instance;
                self.send(Event::Leaving { instance, incarnation: self.incarnation });
            }
            Op::List => {
                let actions = self.world.list();
                self.collect(&actions);
            }
            Op::Redeclare { queue, attempts } => self.declare(queue, attempts),
            Op::RemoveService { service } => {
                self.send(Event::ServiceGone { name: SERVICES[service].into() })
            }
            Op::ReplaceAll => {
                self.incarnation += 1;
                for member in &mut self.world.view.members {
                    member.incarnation = self.incarnation;
                    member.service = format!("other-{}", self.incarnation).into();
                }
            }
            Op::Drain => self.send(Event::Drain),
            _ => {}
        }
    }
}

fn backend(index: usize, incarnation: u64) -> list::Member {
    let domain = if index.is_multiple_of(2) { "a" } else { "b" };
    let mut member = member(&format!("b{index}"), SERVICES[0], domain);
    member.incarnation = incarnation;
    member.slots = 3;
    member.connections = 7;
    member
}

proptest! {
    /// The invariants hold after every step of any sequence of events, and no request is left at
    /// the end.
    #[test]
    fn promises_hold_in_any_order(
        seed in any::<u64>(),
        entries in 1..4_u16,
        ops in vec(op(), 1..300),
    ) {
        let mut driver = Driver::open(seed, entries);
        for op in ops {
            driver.apply(op);
        }
        driver.send(Event::Drain);
        let actions = driver.world.pass(Duration::from_secs(10));
        driver.collect(&actions);
        assert_eq!(driver.world.router.in_progress(), 0, "no request is in progress after a drain");
        for request in std::mem::take(&mut driver.claims) {
            driver.send(Event::Claimed { request, verdict: Claimed::Granted });
        }
    }

    /// The same events and seed give the same actions.
    #[test]
    fn a_seed_decides_everything(seed in any::<u64>(), ops in vec(op(), 1..100)) {
        let run = |ops: Vec<Op>| {
            let mut driver = Driver::open(seed, 2);
            for op in ops {
                driver.apply(op);
            }
            (driver.attempts, driver.claims, format!("{:?}", driver.world.router.next_due()))
        };
        assert_eq!(run(ops.clone()), run(ops));
    }
}

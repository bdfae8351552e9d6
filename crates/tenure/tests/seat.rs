//! Leader election in virtual time, with processes, a store with leases, and faults.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_tenure::election::Action;
use cowslipchute_tenure::election::Election;
use cowslipchute_tenure::election::Event;
use cowslipchute_tenure::election::Settings;

const TTL: Duration = Duration::from_millis(2500);
const STEP: Duration = Duration::from_millis(10);

/// The connection between a process and the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Connection {
    #[default]
    Open,
    /// Neither calls nor answers are delivered.
    Cut,
    /// Calls are delivered, answers are not.
    Mute,
}

#[derive(Default)]
struct Store {
    revision: Revision,
    key: Option<kv::Entry>,
    leases: Vec<(kv::LeaseId, Time)>,
}

impl Store {
    fn expire(&mut self, now: Time) {
        self.leases.retain(|(_, until)| *until > now);
        let live = |lease| self.leases.iter().any(|(id, _)| *id == lease);
        if self.key.as_ref().is_some_and(|entry| !live(entry.lease)) {
            self.key = None;
            self.revision += 1;
        }
    }
}

struct Process {
    seat: Election,
    mark: Vec<u8>,
    connection: Connection,
    frozen: bool,
    seen_revision: Revision,
    /// Answers in flight.
    answers: VecDeque<Event>,
    owns: Option<Revision>,
    until: Time,
}

struct World {
    now: Time,
    store: Store,
    processes: Vec<Process>,
    owners: Vec<(usize, Revision)>,
}

impl World {
    fn open(processes: usize) -> World {
        let processes = (0..processes).map(|index| {
            let mark = vec![index as u8];
            let delay = Duration::from_millis(20 * (index as u64 + 1));
            Process {
                seat: Election::open(Settings {
                    ttl: TTL,
                    claim_delay: delay,
                    holder: mark.clone(),
                }),
                mark,
                connection: Connection::Open,
                frozen: false,
                seen_revision: Revision::MAX,
                answers: VecDeque::new(),
                owns: None,
                until: Time::ZERO,
            }
        });
        World {
            now: Duration::from_secs(10),
            store: Store { revision: 1, ..Store::default() },
            processes: processes.collect(),
            owners: Vec::new(),
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            self.store.expire(self.now);
            for index in 0..self.processes.len() {
                self.step(index);
            }
            self.check();
        }
    }

    fn step(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.frozen {
            return;
        }
        let mut events: Vec<Event> = process.answers.drain(..).collect();
        if process.connection == Connection::Open && process.seen_revision != self.store.revision {
            process.seen_revision = self.store.revision;
            let entry = self.store.key.clone();
            events.push(Event::Seen { at: self.store.revision, entry });
        }
        events.push(Event::Tick);
        let mut actions = Vec::new();
        for event in events {
            process.seat.step(self.now, event, &mut actions);
        }
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let now = self.now;
        let process = &mut self.processes[index];
        match action {
            Action::Own { epoch, until } => {
                process.owns = Some(epoch);
                process.until = until;
                self.owners.push((index, epoch));
                return;
            }
            Action::Extend { until } => {
                process.until = until;
                return;
            }
            Action::Stop { .. } => {
                process.owns = None;
                return;
            }
            _ => {}
        }
        let line = process.connection;
        let reaches = line != Connection::Cut;
        let lost = || kv::Error::Unknown(String::from("no answer"));
        let mark = process.mark.clone();
        let store = &mut self.store;
        let event = match action {
            Action::Grant { ticket, ttl } => {
                let lease = store.leases.len() as kv::LeaseId + now.as_millis() as kv::LeaseId;
                if reaches {
                    store.leases.push((lease, now + ttl));
                }
                Event::Granted { ticket, outcome: Ok(lease) }
            }
            Action::Claim { ticket, lease } => {
                let applied = reaches && store.key.is_none();
                if applied {
                    store.revision += 1;
                    let revision = store.revision;
                    let key = String::from("seat");
                    store.key = Some(kv::Entry { key, value: mark, revision, lease });
                }
                let current = store.key.iter().cloned().collect();
                let verdict = kv::TxnOutcome { applied, revision: store.revision, current };
                Event::Claimed { ticket, outcome: Ok(verdict) }
            }
            Action::Renew { ticket, lease } => {
                let known = store.leases.iter_mut().find(|(id, _)| *id == lease);
                let outcome = match known {
                    Some((_, until)) => {
                        if reaches {
                            *until = now + TTL;
                        }
                        Ok(TTL)
                    }
                    None => Err(kv::Error::LeaseExpired),
                };
                Event::Renewed { ticket, outcome }
            }
            Action::Revoke { lease } => {
                if reaches {
                    store.leases.retain(|(id, _)| *id != lease);
                }
                return;
            }
            Action::ReadKey => Event::Seen { at: store.revision, entry: store.key.clone() },
            Action::Own { .. } | Action::Extend { .. } | Action::Stop { .. } => return,
        };
        let answer = match (line, event) {
            (Connection::Open, event) => event,
            (_, Event::Granted { ticket, .. }) => Event::Granted { ticket, outcome: Err(lost()) },
            (_, Event::Claimed { ticket, .. }) => Event::Claimed { ticket, outcome: Err(lost()) },
            (_, Event::Renewed { ticket, .. }) => Event::Renewed { ticket, outcome: Err(lost()) },
            (_, _) => return,
        };
        self.processes[index].answers.push_back(answer);
    }

    /// Checks that at most one process runs the cell under a valid lease, and that epochs rise.
    fn check(&self) {
        let acting = self.processes.iter().filter(|process| {
            process.owns.is_some() && process.until > self.now && !process.frozen
        });
        assert!(acting.count() <= 1, "two owners run the cell at {:?}", self.now);
        for pair in self.owners.windows(2) {
            assert!(pair[0].1 < pair[1].1, "a later owner has a higher epoch");
        }
    }

    fn acting(&self) -> Option<usize> {
        self.processes.iter().position(|process| process.owns.is_some() && process.until > self.now)
    }
}

fn elected(processes: usize) -> World {
    let mut world = World::open(processes);
    world.run(Duration::from_secs(1));
    assert_eq!(world.acting(), Some(0), "the process with the shortest delay is elected");
    world
}

#[test]
fn an_owner_that_is_gone_is_replaced_when_its_lease_has_lapsed() {
    let mut world = elected(3);
    world.processes[0].frozen = true;
    world.run(TTL + Duration::from_millis(500));
    assert_eq!(world.acting(), Some(1));
}

#[test]
fn an_owner_that_was_frozen_past_its_lease_gives_the_cell_up() {
    let mut world = elected(2);
    world.processes[0].frozen = true;
    world.run(Duration::from_secs(5));
    world.processes[0].frozen = false;
    world.run(Duration::from_secs(1));
    assert_eq!(world.processes[0].owns, None);
    assert_eq!(world.acting(), Some(1));
}

#[test]
fn an_owner_whose_answers_are_lost_lets_its_lease_lapse() {
    let mut world = elected(2);
    world.processes[0].connection = Connection::Mute;
    world.run(TTL * 2 + Duration::from_secs(1));
    assert_eq!(world.acting(), Some(1));
}

#[test]
fn an_owner_that_was_cut_off_for_less_than_its_lease_goes_on() {
    let mut world = elected(2);
    world.processes[0].connection = Connection::Cut;
    world.run(Duration::from_secs(1));
    world.processes[0].connection = Connection::Open;
    world.run(Duration::from_secs(3));
    assert_eq!(world.owners.len(), 1);
    assert_eq!(world.acting(), Some(0));
}

#[test]
fn a_store_that_kept_the_leases_through_an_outage_keeps_the_owner() {
    let mut world = elected(2);
    for process in &mut world.processes {
        process.connection = Connection::Cut;
    }
    for _ in 0..400 {
        // Leases don't expire while the store is down.
        for lease in &mut world.store.leases {
            lease.1 += STEP;
        }
        world.run(STEP);
    }
    assert_eq!(world.acting(), None, "a lease that can't be renewed doesn't count as valid");
    for process in &mut world.processes {
        process.connection = Connection::Open;
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.acting(), Some(0));
    assert_eq!(world.owners.len(), 1);
}

#[test]
fn a_claim_whose_answer_is_lost_is_settled_by_what_is_seen() {
    let mut world = World::open(1);
    world.run(Duration::from_millis(30));
    world.processes[0].connection = Connection::Mute;
    world.run(Duration::from_millis(100));
    world.processes[0].connection = Connection::Open;
    world.run(Duration::from_secs(4));
    assert_eq!(world.acting(), Some(0));
}

#[test]
fn a_planned_stop_hands_over_without_waiting_for_the_lease() {
    let mut world = elected(2);
    let mut actions = Vec::new();
    world.processes[0].seat.step(world.now, Event::Drain, &mut actions);
    for action in actions {
        world.perform(0, action);
    }
    world.run(Duration::from_millis(300));
    assert_eq!(world.acting(), Some(1));
    world.run(Duration::from_secs(5));
    assert_eq!(world.acting(), Some(1), "a drained process doesn't claim the cell again");
}

#[test]
fn lines_that_come_and_go_never_make_two_owners() {
    for seed in 0..200u64 {
        let mut world = World::open(3);
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut next = |below: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % below
        };
        for _ in 0..60 {
            let index = next(3) as usize;
            match next(6) {
                0 => world.processes[index].connection = Connection::Cut,
                1 => world.processes[index].connection = Connection::Mute,
                2 => world.processes[index].frozen = true,
                3 => world.processes[index].frozen = false,
                _ => world.processes[index].connection = Connection::Open,
            }
            world.run(Duration::from_millis(50 + next(1200)));
        }
        for process in &mut world.processes {
            process.connection = Connection::Open;
            process.frozen = false;
        }
        world.run(Duration::from_secs(8));
        assert!(world.acting().is_some(), "seed {seed}: no process owns the cell after recovery");
    }
}

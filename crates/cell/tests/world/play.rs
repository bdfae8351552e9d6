//! Sequences of random steps, run in a simulation with two replaceable owners.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Former;
use cowslipchute_cell::status;
use cowslipchute_resource::job;

use super::World;

/// Number of workers in the simulation.
pub const WORKERS: usize = 3;
/// The leases that a policy step selects from, in seconds.
pub const LEASES: [u64; 3] = [6, 10, 25];

/// Maximum time for the remaining work at the end.
const REMAINING_WORK_TIME: Duration = Duration::from_secs(240);
/// Time between two checks whether all work has ended and all results are acknowledged.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub enum Step {
    Wait(u16),
    Deliver(u8),
    DeliverAll,
    CompleteBatch(u8),
    LoseTransfers(u8),
    LoseAnswer(u8),
    LoseExchange(u8),
    Fails(u8, bool),
    Measure(u8, u16),
    DelayExchanges(u8),
    DeliverLate(u8),
    Partition(u8),
    Heal(u8),
    Restart(u8, bool),
    Unlist(u8),
    List(u8),
    Publish,
    Lag(u8),
    Freeze(u8),
    Thaw(u8),
    Kill(u8),
    Release(u8),
    Own(u8),
    Declare(u8, u8),
    Cancel(u8),
    Undeclare(u8),
    StoreDown(bool),
    LoseStoreAnswer,
    Lease(u8, u8),
}

pub struct Simulation {
    world: World,
    /// The indices of the two current owner processes.
    slots: [usize; 2],
    /// The owner that took the cell last, unless it has released it.
    holder: Option<usize>,
    /// Owners that took the cell at any time and have neither released it nor ended. Like the claim
    /// in the store, the set is carried over when another owner takes the cell.
    unreleased: BTreeSet<usize>,
}

impl Simulation {
    pub fn open() -> Simulation {
        let mut world = World::default();
        for index in 0..WORKERS {
            let capacity = Amount { cpu_milli: 3000, memory_mib: 4000, accelerators: 1 };
            world.add_worker(&worker(index as u8), ["r1", "r2"][index % 2], capacity);
        }
        world.publish();
        let slots = [world.open("a"), world.open("b")];
        let mut simulation = Simulation { world, slots, holder: None, unreleased: BTreeSet::new() };
        simulation.own(0);
        simulation
    }

    fn slot(&self, slot: u8) -> usize {
        self.slots[usize::from(slot)]
    }

    /// Takes the cell for a slot, with what a placer would know about the former owner.
    fn own(&mut self, slot: u8) {
        let owner = self.slot(slot);
        if self.holder == Some(owner) || self.world.owners[owner].frozen {
            return;
        }
        let former = match self.holder {
            _ if self.has_unreleased(owner) => Former::Unheard,
            None => Former::Released,
            Some(_) => Former::Ended,
        };
        self.world.own(owner, former);
        self.holder = Some(owner);
        self.unreleased.insert(owner);
    }

    /// Returns `true` if an owner other than `owner` may still be renewing leases.
    fn has_unreleased(&self, owner: usize) -> bool {
        self.unreleased.iter().any(|&other| other != owner)
    }

    fn kill(&mut self, slot: u8) {
        let owner = self.slot(slot);
        self.world.owners[owner].alive = false;
        self.slots[usize::from(slot)] =
            self.world.open(&format!("{}'", self.world.owners[owner].name));
        self.unreleased.remove(&owner);
        let other = self.slots[1 - usize::from(slot)];
        if self.holder == Some(other) && !self.has_unreleased(other) {
            self.world.deliver_event(other, Event::Former { former: Former::Ended });
        }
    }

    fn release(&mut self, slot: u8) {
        let owner = self.slot(slot);
        if self.holder == Some(owner) && !self.world.owners[owner].frozen {
            self.world.deliver_event(owner, Event::OwnershipLost);
            self.holder = None;
            self.unreleased.remove(&owner);
        }
    }

    fn declare(&mut self, index: u8, kind: u8) {
        let name = format!("job-{index}");
        if self.world.jobs.contains_key(name.as_str()) || self.world.was_used(&name) {
            return;
        }
        let class = Class::ALL[usize::from(kind) % 3];
        let amount = Amount {
            cpu_milli: 500 + 500 * u32::from(kind % 4),
            memory_mib: 1000,
            accelerators: u16::from(kind.is_multiple_of(5)),
        };
        let spec = job::Spec {
            class,
            tasks: 1 + u32::from(kind % 6),
            amount,
            duration: Duration::from_secs(1 + u64::from(kind % 13)),
            urgent: kind % 7 == 3,
            // No task may remain parked at the end.
            failures_max: 1000,
            ..job::Spec::default()
        };
        self.world.declare(&name, spec);
    }

    pub fn take(&mut self, step: &Step) {
        let world = &mut self.world;
        match *step {
            Step::Wait(tenths) => {
                world.now += Duration::from_millis(100 * u64::from(tenths));
                world.check();
                for owner in 0..world.owners.len() {
                    world.tick(owner);
                }
            }
            Step::Deliver(index) => {
                let count = world.transfers.len();
                if count > 0 {
                    world.deliver(usize::from(index) % count);
                }
            }
            Step::DeliverAll => world.run(Duration::ZERO),
            Step::CompleteBatch(slot) => {
                world.complete_batch(self.slots[usize::from(slot)]);
            }
            Step::LoseTransfers(w) => world.lose_transfers(&worker(w)),
            Step::LoseAnswer(w) => world.fake(&worker(w)).lose_answers += 1,
            Step::LoseExchange(w) => world.fake(&worker(w)).lose_exchanges += 1,
            Step::Fails(w, on) => world.fake(&worker(w)).fails_runs = on,
            Step::Measure(w, slowdown) => world.measure(&worker(w), u32::from(slowdown)),
            Step::DelayExchanges(w) => world.delay_exchanges(&worker(w)),
            Step::DeliverLate(index) => {
                if !world.late_exchanges.is_empty() {
                    world.deliver_late(usize::from(index) % world.late_exchanges.len());
                }
            }
            Step::Partition(w) => world.fake(&worker(w)).partitioned = true,
            Step::Heal(w) => world.fake(&worker(w)).partitioned = false,
            Step::Restart(w, listed) => {
                world.fake(&worker(w)).restart();
                world.list(&worker(w));
                if listed {
                    world.publish();
                }
            }
            Step::Unlist(w) => {
                world.fake(&worker(w)).crash();
                world.listed.remove(&worker(w));
            }
            Step::List(w) => {
                if !world.fake(&worker(w)).alive {
                    world.fake(&worker(w)).restart();
                    world.list(&worker(w));
                }
            }
            Step::Publish => world.publish(),
            Step::Lag(slot) => {
                let owner = self.slots[usize::from(slot)];
                world.owners[owner].lags ^= true;
            }
            Step::Freeze(slot) => world.freeze(self.slots[usize::from(slot)]),
            Step::Thaw(slot) => world.thaw(self.slots[usize::from(slot)]),
            Step::Kill(slot) => self.kill(slot),
            Step::Release(slot) => self.release(slot),
            Step::Own(slot) => self.own(slot),
            Step::Declare(index, kind) => self.declare(index, kind),
            Step::Cancel(index) => {
                let name = format!("job-{index}");
                if let Some(spec) = world.jobs.get(name.as_str()) {
                    let spec = job::Spec { cancelled: true, ..(**spec).clone() };
                    world.declare(&name, spec);
                }
            }
            Step::Undeclare(index) => {
                let name = format!("job-{index}");
                if world.jobs.contains_key(name.as_str()) {
                    world.undeclare(&name);
                }
            }
            Step::StoreDown(down) => world.store.down = down,
            Step::LoseStoreAnswer => world.store.lose_answers += 1,
            Step::Lease(slot, lease) => {
                // Only one of the owners gets this policy.
                world.policy.lease = Duration::from_secs(LEASES[usize::from(lease)]);
                let spec = Arc::new(world.policy.clone());
                world.deliver_event(self.slots[usize::from(slot)], Event::Policy { spec });
            }
        }
    }

    /// Returns `true` if every task has ended and no worker retains a result.
    fn is_settled(&self) -> bool {
        let counts = self.world.owners[self.slots[0]].cell.counts();
        let expected: u32 = self.world.jobs.values().map(|spec| spec.tasks).sum();
        counts.done + counts.cancelled == expected
            && self.world.fakes.values().all(|fake| fake.held().count() == 0)
            && self.records() == self.world.jobs.len()
    }

    fn records(&self) -> usize {
        self.world.store.records.keys().filter(|job| !job.starts_with('@')).count()
    }

    /// Removes all faults and checks that every task ends.
    pub fn finish(&mut self) {
        let world = &mut self.world;
        world.store.down = false;
        world.store.lose_answers = 0;
        for index in 0..WORKERS as u8 {
            let fake = world.fake(&worker(index));
            fake.partitioned = false;
            fake.fails_runs = false;
            fake.lose_answers = 0;
            fake.lose_exchanges = 0;
            if !fake.alive {
                fake.restart();
            }
            world.list(&worker(index));
        }
        for owner in 0..world.owners.len() {
            world.owners[owner].lags = false;
            world.thaw(owner);
        }
        world.publish();
        self.release(0);
        self.release(1);
        self.own(0);
        let rounds = REMAINING_WORK_TIME.as_secs() / CHECK_INTERVAL.as_secs();
        for _ in 0..rounds {
            self.world.run(CHECK_INTERVAL);
            if self.is_settled() {
                break;
            }
        }
        let owner = &self.world.owners[self.slots[0]];
        let counts = owner.cell.counts();
        let ended = counts.done + counts.cancelled;
        let expected: u32 = self.world.jobs.values().map(|spec| spec.tasks).sum();
        assert_eq!(owner.cell.phase(), status::Phase::Ready);
        assert_eq!(ended, expected, "not every task has ended: {counts:?}");
        for fake in self.world.fakes.values() {
            assert_eq!(fake.held().count(), 0, "{} retains results of ended tasks", fake.name);
        }
        assert_eq!(self.records(), self.world.jobs.len(), "a record for each declared job");
    }
}

fn worker(index: u8) -> String {
    format!("w{index}")
}

/// Runs the steps, then removes all faults and checks that every task ends.
pub fn run_steps(steps: &[Step]) {
    let mut simulation = Simulation::open();
    steps.iter().for_each(|step| simulation.take(step));
    simulation.finish();
}

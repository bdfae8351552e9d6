//! Checks job homes under random interleavings. Two placers, each with one cell, read declarations
//! and homes late, and writes are lost or delayed. After every step, a job must be active in at
//! most one cell.

// The leases of the store are not used here.
#[allow(dead_code)]
#[path = "world/store.rs"]
mod store;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_resource::job;
use cowslipchute_resource::key::HOME;
use cowslipchute_tenure::directory::Action;
use cowslipchute_tenure::directory::Directory;
use proptest::prelude::*;
use store::Memory;

const JOBS: [&str; 2] = ["rebuild", "report"];
const DELAY: Duration = Duration::from_millis(100);

/// The outcome of a write.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Delivered,
    /// The write takes effect; the answer is lost.
    Applied,
    Dropped,
    /// The answer is lost now; the write may take effect later, on `Land`.
    Late,
}

#[derive(Clone, Debug)]
enum Op {
    Declare(usize),
    Withdraw(usize),
    /// A placer reads the current declarations.
    Configure(usize),
    /// A placer reads the current homes.
    Follow(usize),
    /// A placer claims the jobs that are due.
    Claim(usize, WriteOutcome),
    /// A cell has finished a removed job and writes its removal.
    Remove(usize, usize, WriteOutcome),
    /// A cell releases a job to another home.
    Depart(usize, usize),
    Land,
}

/// One placer and its cell.
struct Node {
    directory: Directory,
    cell: id::Cell,
    jobs: BTreeMap<id::Job, JobState>,
}

/// The state of a job in a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    Active,
    /// The cell was notified of the removal; parts of the job may still run.
    Finishing {
        depart: bool,
    },
    /// Nothing of the job is left in the cell; its removal is being written.
    Removing {
        depart: bool,
    },
}

struct World {
    now: Time,
    store: Memory,
    declared: BTreeMap<id::Job, id::Revision>,
    nodes: Vec<Node>,
    late_writes: Vec<kv::Txn>,
}

impl World {
    fn open() -> World {
        let cells: Vec<id::Cell> = vec!["d/0".into(), "d/1".into()];
        let node = |cell: &id::Cell| {
            let mut directory = Directory::open(DELAY);
            directory.set_cells(cells.clone());
            directory.add_owned_cell(cell, &mut Vec::new());
            Node { directory, cell: cell.clone(), jobs: BTreeMap::new() }
        };
        World {
            now: Time::ZERO,
            store: Memory::default(),
            declared: BTreeMap::new(),
            nodes: cells.iter().map(node).collect(),
            late_writes: Vec::new(),
        }
    }

    fn perform(&mut self, op: Op) {
        self.now += DELAY;
        match op {
            Op::Declare(job) => {
                self.store.revision += 1;
                self.declared.insert(JOBS[job].into(), self.store.revision);
            }
            Op::Withdraw(job) => {
                self.store.revision += 1;
                self.declared.remove(JOBS[job]);
            }
            Op::Configure(node) => self.configure(node),
            Op::Follow(node) => self.follow(node),
            Op::Claim(node, fate) => self.claim(node, fate),
            Op::Remove(node, job, fate) => self.remove(node, JOBS[job].into(), fate),
            Op::Depart(node, job) => self.depart(node, JOBS[job].into()),
            Op::Land => {
                if !self.late_writes.is_empty() {
                    let txn = self.late_writes.remove(0);
                    let _ = self.store.commit(&txn);
                }
            }
        }
        self.check();
    }

    fn configure(&mut self, node: usize) {
        let mut actions = Vec::new();
        let directory = &mut self.nodes[node].directory;
        for name in JOBS {
            let name: id::Job = name.into();
            if self.declared.contains_key(&name) {
                directory.declared(self.now, &name, &Arc::new(job::Spec::default()), &mut actions);
            } else if directory.is_declared(&name) {
                directory.undeclared(&name, &mut actions);
            }
        }
        directory.set_declared_revision(self.store.revision, &mut actions);
        self.apply(node, actions);
    }

    fn follow(&mut self, node: usize) {
        let entries = self.store.read(HOME).entries;
        let mut actions = Vec::new();
        self.nodes[node].directory.load_homes(self.now, &entries, &mut actions);
        self.apply(node, actions);
    }

    fn claim(&mut self, node: usize, fate: WriteOutcome) {
        let mut actions = Vec::new();
        self.nodes[node].directory.tick(self.now, &mut actions);
        for action in std::mem::take(&mut actions) {
            let Action::Claim { txn } = action else { panic!("a tick produces only claims") };
            let outcome = self.write(&txn, fate);
            let directory = &mut self.nodes[node].directory;
            directory.claim_ended(self.now, outcome, &txn, DELAY, &mut actions);
        }
        self.apply(node, actions);
    }

    fn depart(&mut self, node: usize, job: id::Job) {
        let node = &mut self.nodes[node];
        if node.jobs.get(&job) == Some(&JobState::Active) && node.directory.can_move(&job) {
            node.jobs.insert(job, JobState::Finishing { depart: true });
        }
    }

    fn remove(&mut self, node: usize, job: id::Job, fate: WriteOutcome) {
        let at = &mut self.nodes[node];
        let depart = match at.jobs.get(&job) {
            Some(JobState::Finishing { depart } | JobState::Removing { depart }) => *depart,
            _ => return,
        };
        at.jobs.insert(job.clone(), JobState::Removing { depart });
        let txn = at.directory.begin_removal(&job, &at.cell, depart).unwrap_or_default();
        let outcome = self.write(&txn, fate);
        // A lost answer is resolved by a read, which is modelled by repeating the write.
        if outcome.is_ok_and(|verdict| verdict.applied) {
            let at = &mut self.nodes[node];
            at.jobs.remove(&job);
            let mut actions = Vec::new();
            at.directory.removal_written(&job, &mut actions);
            self.apply(node, actions);
        }
    }

    fn write(&mut self, txn: &kv::Txn, fate: WriteOutcome) -> Result<kv::TxnOutcome, kv::Error> {
        let lost = Err(kv::Error::Unknown(String::from("lost")));
        match fate {
            WriteOutcome::Delivered => self.store.commit(txn),
            WriteOutcome::Applied => self.store.commit(txn).and(lost),
            WriteOutcome::Dropped => lost,
            WriteOutcome::Late => {
                self.late_writes.push(txn.clone());
                lost
            }
        }
    }

    fn apply(&mut self, node: usize, actions: Vec<Action>) {
        let node = &mut self.nodes[node];
        for action in actions {
            match action {
                Action::Claim { .. } => panic!("only a tick produces claims"),
                Action::Assigned { cell, name, .. } => {
                    assert_eq!(cell, node.cell);
                    node.jobs.insert(name, JobState::Active);
                }
                Action::Removed { cell, name } => {
                    assert_eq!(cell, node.cell);
                    if node.jobs.get(&name) == Some(&JobState::Active) {
                        node.jobs.insert(name, JobState::Finishing { depart: false });
                    }
                }
            }
        }
    }

    /// Checks that no job is active, or may still run, in two cells.
    fn check(&self) {
        for name in JOBS {
            let busy = |node: &&Node| {
                let state = node.jobs.get(name);
                state.is_some_and(|state| !matches!(state, JobState::Removing { .. }))
            };
            let cells: Vec<&id::Cell> =
                self.nodes.iter().filter(busy).map(|node| &node.cell).collect();
            assert!(cells.len() <= 1, "{name} is active in {cells:?}");
        }
    }

    /// Ends all faults and runs until the state is stable.
    fn end_faults(&mut self) {
        for _ in 0..6 {
            while !self.late_writes.is_empty() {
                self.perform(Op::Land);
            }
            for node in 0..self.nodes.len() {
                self.perform(Op::Configure(node));
                self.perform(Op::Follow(node));
                for job in 0..JOBS.len() {
                    self.perform(Op::Remove(node, job, WriteOutcome::Delivered));
                }
                self.now += DELAY * 10;
                self.perform(Op::Claim(node, WriteOutcome::Delivered));
                self.perform(Op::Follow(node));
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let fate = || {
        prop_oneof![
            3 => Just(WriteOutcome::Delivered),
            1 => Just(WriteOutcome::Applied),
            1 => Just(WriteOutcome::Dropped),
            1 => Just(WriteOutcome::Late),
        ]
    };
    prop_oneof![
        2 => (0..2usize).prop_map(Op::Declare),
        2 => (0..2usize).prop_map(Op::Withdraw),
        4 => (0..2usize).prop_map(Op::Configure),
        4 => (0..2usize).prop_map(Op::Follow),
        4 => (0..2usize, fate()).prop_map(|(node, fate)| Op::Claim(node, fate)),
        4 => (0..2usize, 0..2usize, fate()).prop_map(|(n, j, f)| Op::Remove(n, j, f)),
        1 => (0..2usize, 0..2usize).prop_map(|(node, job)| Op::Depart(node, job)),
        1 => Just(Op::Land),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn a_job_is_active_in_one_cell(ops in prop::collection::vec(op(), 1..80)) {
        let mut world = World::open();
        for op in ops {
            world.perform(op);
        }
        world.end_faults();
        for name in JOBS {
            let active = |node: &&Node| node.jobs.get(name) == Some(&JobState::Active);
            let count = world.nodes.iter().filter(active).count();
            let declared = world.declared.contains_key(name);
            let homes = world.store.read(&format!("{HOME}{name}")).entries;
            let tried = String::from_utf8_lossy(&homes.first().map_or(vec![], |e| e.value.clone()))
                .matches("d/").count();
            // A job that has tried all cells stays in the last one.
            prop_assert!(
                count == usize::from(declared),
                "{} declared {} active {} tried {}", name, declared, count, tried
            );
        }
    }
}

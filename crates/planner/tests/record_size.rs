//! Guards against a job that is accepted and whose record can't be stored at a later state of its
//! life: no state of its tasks takes a record beyond the bound that decides on its acceptance.

use cowslipchute_planner::bound::Bound;
use cowslipchute_planner::bound::MAX_CHECKPOINT_BYTES;
use cowslipchute_planner::record::Crashes;
use cowslipchute_planner::record::Occurrence;
use cowslipchute_planner::record::Outstanding;
use cowslipchute_planner::record::Record;
use cowslipchute_planner::record::Settled;
use cowslipchute_planner::record::Task;
use cowslipchute_planner::record::Wait;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::executor::MAX_WORKER_NAME_BYTES;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;

/// Failed attempts that the queue allows.
const MAX_ATTEMPTS: u32 = 12;
/// Crashes that can be counted against a task before its job ends.
const MAX_CRASHES: usize = 5;

/// All that a record may hold about one task.
#[derive(Clone, Debug)]
struct Stored {
    task: Task,
    crashes: Option<Vec<u32>>,
    outstanding: Option<(String, u32)>,
    is_settled: bool,
    waits_since: Option<u64>,
}

fn name() -> impl Strategy<Value = String> {
    (0..=MAX_WORKER_NAME_BYTES).prop_map(|bytes| "w".repeat(bytes))
}

fn task() -> impl Strategy<Value = Task> {
    let attempts = vec(any::<u32>(), 0..=MAX_ATTEMPTS as usize);
    let worker = option::of((name(), option::of(any::<u64>())));
    let checkpoint = option::of(0..=MAX_CHECKPOINT_BYTES);
    (any::<u32>(), any::<bool>(), attempts, worker, checkpoint).prop_map(
        |(attempt, done, failed, worker, checkpoint)| Task {
            attempt,
            done,
            failed: failed.into(),
            worker: worker
                .map(|(name, started_at)| Incarnation { name: name.as_str().into(), started_at }),
            checkpoint: checkpoint.map(|bytes| "c".repeat(bytes).into()),
        },
    )
}

fn stored() -> impl Strategy<Value = Stored> {
    let crashes = option::of(vec(any::<u32>(), 0..=MAX_CRASHES));
    let outstanding = option::of((name(), any::<u32>()));
    (task(), crashes, outstanding, any::<bool>(), option::of(any::<u64>())).prop_map(
        |(task, crashes, outstanding, is_settled, waits_since)| Stored {
            task,
            crashes,
            is_settled: is_settled && outstanding.is_none(),
            outstanding,
            waits_since,
        },
    )
}

/// Steps of a job, each with what the record holds about its tasks.
fn steps() -> impl Strategy<Value = Vec<(bool, Vec<Stored>)>> {
    vec((any::<bool>(), vec(stored(), 1..20)), 1..6)
}

fn spec(steps: &[(bool, Vec<Stored>)]) -> Spec {
    let steps = steps.iter().map(|(long_running, tasks)| Step {
        count: tasks.len() as u32,
        long_running: *long_running,
        ..Step::default()
    });
    Spec { steps: steps.collect(), ..Spec::default() }
}

fn record(steps: &[(bool, Vec<Stored>)], number: u32, opened: u32) -> Record {
    let mut record = Record { started: true, opened, ..Record::default() };
    let tasks = |(_, tasks): &(bool, Vec<Stored>)| {
        tasks.iter().map(|stored| stored.task.clone()).collect::<Vec<Task>>()
    };
    let steps_stored = steps.iter().map(tasks).collect();
    record.occurrences.push(Occurrence { number, steps: steps_stored });
    for (step, (long_running, tasks)) in steps.iter().enumerate() {
        let step = step as u16;
        for (index, stored) in tasks.iter().enumerate() {
            let (occurrence, index) = (number, index as u32);
            if let Some(attempts) = stored.crashes.clone() {
                let attempts = attempts.into();
                record.crashes.push(Crashes { occurrence, step, index, attempts });
            }
            if let Some((worker, age_ms)) = &stored.outstanding {
                let worker = worker.as_str().into();
                record.outstanding.push(Outstanding {
                    occurrence,
                    step,
                    index,
                    worker,
                    age_ms: *age_ms,
                });
            }
            if *long_running && stored.is_settled {
                record.settled.push(Settled { occurrence, step, index });
            }
            if let (true, Some(since_ms)) = (*long_running, stored.waits_since) {
                record.waits.push(Wait { occurrence, step, index, since_ms });
            }
        }
    }
    record
}

proptest! {
    #[test]
    fn no_state_of_a_job_takes_its_record_beyond_the_bound(
        (steps, number, opened) in (steps(), any::<u32>(), any::<u32>()),
    ) {
        let bound = Bound::of(&spec(&steps), MAX_ATTEMPTS).bytes();
        let bytes = record(&steps, number, opened).encode().len();
        assert!(bytes <= bound, "{bytes} of {bound}");
    }

    #[test]
    fn as_many_occurrences_may_be_open_as_fit(
        (steps, limit) in (steps(), Just(1_usize << 20)),
    ) {
        let bound = Bound::of(&spec(&steps), MAX_ATTEMPTS);
        let open = bound.max_open_occurrences(limit);
        assert!(bound.bytes_with(open) <= limit && bound.bytes_with(open + 1) > limit);
    }
}

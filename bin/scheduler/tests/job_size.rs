//! Jobs that could not be stored at each state of their life are rejected, with the bound and their
//! size.

use std::time::Duration;

use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use cowslipchute_scheduler::job_size::Error;
use cowslipchute_scheduler::job_size::Limit;
use yare::parameterized;

/// Largest value of the users' store.
const MAX_VALUE_BYTES: usize = 1 << 20;

fn queue(max_attempts: u32) -> Queue {
    Queue {
        name: "q".into(),
        host: "host".into(),
        prefix: "/q/".into(),
        service: "desk".into(),
        priority: 1,
        max_attempts,
        slack_factor: 1.5,
        allowance: Duration::from_millis(250),
        advice: None,
    }
}

fn check(steps: usize, count: u32, job_bytes: usize) -> Result<(), Error> {
    let step = Step { count, ..Step::default() };
    let spec = Spec { steps: vec![step; steps], ..Spec::default() };
    Limit::open(MAX_VALUE_BYTES).check(&spec, &queue(3), job_bytes)
}

/// Guards against a queue that takes no job, since the bound allows for each failure that the queue
/// does.
#[parameterized(
    a_million = { 1_000_000 },
    nearly_unlimited = { u32::MAX - 1 },
    unlimited = { u32::MAX },
)]
fn a_queue_that_allows_any_number_of_failures_takes_jobs(max_attempts: u32) {
    let step = Step { count: 20, ..Step::default() };
    let spec = Spec { steps: vec![step; 2], ..Spec::default() };
    let checked = Limit::open(MAX_VALUE_BYTES).check(&spec, &queue(max_attempts), 5000);
    assert_eq!(checked, Ok(()));
}

#[parameterized(
    a_task = { 1, 1 },
    steps_of_twenty = { 64, 20 },
    a_large_step = { 1, 2500 },
)]
fn what_clients_send_is_accepted(steps: usize, count: u32) {
    assert_eq!(check(steps, count, 5000), Ok(()));
}

/// Guards against a job that is accepted and whose record outgrows a value of the store.
#[parameterized(
    many_steps = { 64, 4096 },
    twelve_steps = { 12, 4096 },
    one_step = { 1, 4096 },
)]
fn a_job_whose_record_may_outgrow_a_value_is_rejected(steps: usize, count: u32) {
    let expected_tasks = steps as u64 * u64::from(count);
    let Err(Error::Record { tasks, bytes, limit }) = check(steps, count, 5000) else {
        panic!("it is rejected for its record");
    };
    assert_eq!((tasks, limit), (expected_tasks, MAX_VALUE_BYTES));
    assert!(bytes > limit);
}

/// Guards against a job that takes the jobs of its batch with it, since its own entry is too large.
#[test]
fn a_job_whose_entry_outgrows_a_value_is_rejected() {
    let expected = Error::Job { bytes: MAX_VALUE_BYTES + 1, limit: MAX_VALUE_BYTES };
    assert_eq!(check(1, 1, MAX_VALUE_BYTES + 1), Err(expected));
}

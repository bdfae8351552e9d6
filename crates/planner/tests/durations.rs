//! What is learnt about durations, and what is derived from it.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_planner::durations::Durations;
use cowslipchute_planner::durations::Kind;
use yare::parameterized;

const NOW: Duration = Duration::from_secs(1000);
/// Relative error of a histogram of one significant digit.
const TOLERANCE: f64 = 0.07;

fn queue(name: &str) -> Arc<str> {
    name.into()
}

/// Returns durations learnt from a tail: 30 in a thousand tasks take seven times as long as the
/// others. The order is that of a generator with a fixed seed.
fn long_tailed(samples: u64, usual: f64) -> Durations {
    let mut durations = Durations::default();
    let mut seed: u64 = 7;
    for _ in 0..samples {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let factor = if (seed >> 33) % 1000 < 30 { 7.0 } else { 1.0 };
        durations.record(NOW, &queue("q"), Kind::Short, usual * factor);
    }
    durations
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual / expected - 1.0).abs() <= TOLERANCE, "{actual} instead of {expected}");
}

#[parameterized(
    one = { 1, 1.0 },
    ten = { 10, 1.0 },
    twenty = { 20, 1.0 },
    fifty = { 50, 7.0 },
    many = { 1000, 7.0 },
)]
fn the_longest_of_many_tasks_is_in_the_tail(tasks: u32, expected: f64) {
    let longest = long_tailed(4000, 1.0).longest_of("q", Kind::Short, tasks);
    assert_near(longest.unwrap(), expected);
}

#[parameterized(
    new = { 0, 1000 },
    half_done = { 500, 500 },
    beyond_the_usual = { 1500, 5500 },
    beyond_everything = { 8000, 2000 },
)]
fn a_run_that_has_outlasted_the_usual_is_expected_to_take_as_long_as_the_tail(
    worked_ms: u64,
    expected_ms: u64,
) {
    let durations = long_tailed(4000, 1.0);
    let estimate = Duration::from_secs(1);
    let worked = Duration::from_millis(worked_ms);
    let remaining = durations.remaining("q", Kind::Short, estimate, worked).unwrap();
    // Both ends of the remaining time have the error of the histogram.
    let error = remaining.abs_diff(Duration::from_millis(expected_ms));
    assert!(error <= (worked + remaining).mul_f64(TOLERANCE), "{remaining:?}");
}

#[test]
fn too_few_samples_say_nothing() {
    let durations = long_tailed(39, 2.0);
    assert_eq!(durations.quantile("q", Kind::Short, 0.5), None);
    assert_eq!(durations.quantile("other", Kind::Short, 0.5), None);
}

#[test]
fn a_new_release_replaces_what_was_learnt() {
    let mut durations = long_tailed(4096, 2.0);
    for _ in 0..2 * 2048 {
        durations.record(NOW, &queue("q"), Kind::Short, 0.5);
    }
    assert_near(durations.quantile("q", Kind::Short, 0.5).unwrap(), 0.5);
    assert_near(durations.quantile("q", Kind::Short, 0.99).unwrap(), 0.5);
}

#[test]
fn the_number_of_queues_is_bounded_and_idle_ones_give_way() {
    let mut durations = Durations::default();
    let learn = |durations: &mut Durations, now, index: u32| {
        for _ in 0..48 {
            durations.record(now, &queue(&format!("q{index}")), Kind::Short, 1.0);
        }
    };
    (0..1400).for_each(|index| learn(&mut durations, NOW, index));
    assert_eq!(durations.quantiles([0.5]).len(), 32);
    learn(&mut durations, NOW + Duration::from_secs(61), 1400);
    assert_eq!(durations.quantiles([0.5]).len(), 32);
    assert!(durations.quantile("q1400", Kind::Short, 0.5).is_some());
}

#[test]
fn the_next_owner_knows_the_same() {
    let durations = long_tailed(4000, 2.0);
    let next = durations.handed_over(NOW);
    assert_eq!(next.quantiles([0.5, 0.9, 0.99]), durations.quantiles([0.5, 0.9, 0.99]));
}

#[test]
fn what_is_stored_is_small() {
    let mut durations = Durations::default();
    for index in 0..20_000_u32 {
        let name = queue(&format!("a-queue-with-a-long-name-{}", index % 40));
        let spread = f64::from(index.wrapping_mul(2_654_435_761) % 6000) / 1000.0;
        durations.record(NOW, &name, Kind::BestEffort, 0.2 + spread);
    }
    assert!(durations.stored_size() <= 6000, "{}", durations.stored_size());
}

//! Larger instances claim a vacant cell first, and equal ones don't wait for each other.

use std::time::Duration;

use cowslipchute_scheduler::precedence::Precedence;
use yare::parameterized;

/// Time within which all instances see a vacancy after an outage of the store.
const VACANCY_NOTICE_TIME: Duration = Duration::from_millis(400);

fn after_owners(own: f64, owners: &[f64]) -> Precedence {
    let mut precedence = Precedence::open(own);
    for share in owners {
        precedence.observe_owner(*share);
    }
    precedence
}

#[parameterized(
    equal = { 0.1, &[0.1], Duration::ZERO },
    larger_than_any_owner = { 0.5, &[0.1], Duration::ZERO },
    half = { 0.25, &[0.5], Duration::from_millis(80) },
    a_later_owner_is_smaller = { 0.25, &[0.5, 0.07], Duration::from_millis(80) },
    a_hundredth = { 0.005, &[1.0], Duration::from_millis(600) },
)]
fn an_instance_waits_by_how_much_smaller_it_is(own: f64, owners: &[f64], delay: Duration) {
    assert_eq!(after_owners(own, owners).delay(), delay);
}

#[test]
fn the_smallest_comes_after_every_larger_one_has_noticed() {
    assert!(after_owners(0.069, &[0.5]).delay() > VACANCY_NOTICE_TIME);
    assert!(
        after_owners(0.5, &[0.5]).delay() + VACANCY_NOTICE_TIME
            < after_owners(0.069, &[0.5]).delay()
    );
}

#[test]
fn before_any_owner_was_seen_the_order_is_by_size_alone() {
    assert_eq!(Precedence::open(0.5).delay(), Duration::from_millis(50));
    assert!(Precedence::open(0.25).delay() < Precedence::open(0.12).delay());
}

//! Clients are refused without a call while the store doesn't answer, and served as soon as it does.

use std::time::Duration;

use cowslipchute_scheduler::health::Health;

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[test]
fn a_store_that_answers_refuses_nobody() {
    let health = Health::default();
    assert!(!health.refuses(at(0)));
    health.answered();
    assert!(!health.refuses(at(1)));
}

#[test]
fn after_a_call_without_an_answer_one_client_in_a_while_finds_out() {
    let health = Health::default();
    health.failed(at(0));
    assert!(!health.refuses(at(1)), "the first one finds out");
    assert!(health.refuses(at(2)));
    assert!(health.refuses(at(200)));
    assert!(!health.refuses(at(300)), "another one does after a quarter of a second");
    assert!(health.refuses(at(301)));
    health.answered();
    assert!(!health.refuses(at(302)));
}

#[test]
fn a_failure_long_ago_tells_nothing() {
    let health = Health::default();
    health.failed(at(0));
    assert!(!health.refuses(at(1)));
    assert!(!health.refuses(at(4000)));
}

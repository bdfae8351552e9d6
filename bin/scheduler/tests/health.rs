//! Clients are refused without a call while the store doesn't answer, and served as soon as it does.

use std::time::Duration;

use cowslipchute_scheduler::health::Health;
use cowslipchute_scheduler::health::Verdict;

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[test]
fn a_store_that_answers_refuses_nobody() {
    let health = Health::default();
    assert_eq!(health.verdict(at(0)), Verdict::Serve);
    health.answered(at(0), at(0));
    assert_eq!(health.verdict(at(1)), Verdict::Serve);
}

#[test]
fn after_a_call_without_an_answer_a_read_finds_out_and_no_write() {
    let health = Health::default();
    health.failed(at(0), at(0));
    assert_eq!(health.verdict(at(1)), Verdict::Probe, "the first one finds out by a read");
    assert_eq!(health.verdict(at(2)), Verdict::Refuse);
    health.failed(at(3), at(3));
    assert_eq!(health.verdict(at(200)), Verdict::Refuse);
    assert_eq!(health.verdict(at(300)), Verdict::Probe, "another after a quarter of a second");
    assert_eq!(health.verdict(at(301)), Verdict::Refuse);
    health.answered(at(302), at(302));
    assert_eq!(health.verdict(at(302)), Verdict::Serve);
}

#[test]
fn a_failure_long_ago_tells_nothing() {
    let health = Health::default();
    health.failed(at(0), at(0));
    assert_eq!(health.verdict(at(1)), Verdict::Probe);
    assert_eq!(health.verdict(at(4000)), Verdict::Serve);
    health.failed(at(4100), at(4100));
    assert_eq!(health.verdict(at(4100)), Verdict::Probe, "it is another outage");
}

#[test]
fn new_clients_are_wanted_while_the_store_is_surely_reached() {
    let health = Health::default();
    assert_eq!(health.readiness(at(0)), Verdict::Probe, "nothing was heard of it yet");
    health.answered(at(5), at(5));
    assert_eq!(health.readiness(at(900)), Verdict::Serve);
    assert_eq!(health.readiness(at(1100)), Verdict::Probe, "its last answer is too old");
    assert_eq!(
        health.verdict(at(1100)),
        Verdict::Serve,
        "a client that comes all the same is served"
    );
    health.failed(at(1500), at(1500));
    assert_eq!(health.readiness(at(2100)), Verdict::Probe);
    assert_eq!(health.readiness(at(2200)), Verdict::Refuse);
    health.answered(at(3100), at(3100));
    assert_eq!(health.readiness(at(3200)), Verdict::Serve);
}

/// A member whose calls to the store were lost told a client that nobody knows whether its job was taken in, in place
/// of refusing it: the answer to a watch that had been waiting since before the cut ended the outage.
#[test]
fn an_answer_to_a_call_from_before_an_outage_does_not_end_it() {
    let health = Health::default();
    health.failed(at(1000), at(1700));
    health.answered(at(900), at(1800));
    assert_eq!(health.verdict(at(1801)), Verdict::Probe);
    assert_eq!(health.readiness(at(1802)), Verdict::Refuse);
    health.answered(at(1801), at(1805));
    assert_eq!(health.verdict(at(1806)), Verdict::Serve);
}

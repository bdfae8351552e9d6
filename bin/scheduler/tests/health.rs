//! Clients are refused without a call while the store doesn't answer, and served as soon as it
//! does.

use std::time::Duration;

use cowslipchute_scheduler::health::Access;
use cowslipchute_scheduler::health::Health;

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[test]
fn a_store_that_answers_refuses_nobody() {
    let health = Health::default();
    assert_eq!(health.access(at(0)), Access::Serve);
    health.record_success(at(0), at(0));
    assert_eq!(health.access(at(1)), Access::Serve);
}

#[test]
fn after_a_call_without_an_answer_a_read_finds_out_and_no_write() {
    let health = Health::default();
    health.record_failure(at(0), at(0));
    assert_eq!(health.access(at(1)), Access::Probe, "the first client probes with a read");
    assert_eq!(health.access(at(2)), Access::Refuse);
    health.record_failure(at(3), at(3));
    assert_eq!(health.access(at(200)), Access::Refuse);
    assert_eq!(health.access(at(300)), Access::Probe, "another probes after a quarter of a second");
    assert_eq!(health.access(at(301)), Access::Refuse);
    health.record_success(at(302), at(302));
    assert_eq!(health.access(at(302)), Access::Serve);
}

#[test]
fn a_failure_long_ago_tells_nothing() {
    let health = Health::default();
    health.record_failure(at(0), at(0));
    assert_eq!(health.access(at(1)), Access::Probe);
    assert_eq!(health.access(at(4000)), Access::Serve);
    health.record_failure(at(4100), at(4100));
    assert_eq!(health.access(at(4100)), Access::Probe, "this is another outage");
}

#[test]
fn new_clients_are_wanted_while_the_store_is_surely_reached() {
    let health = Health::default();
    assert_eq!(health.readiness(at(0)), Access::Probe, "the store has not answered yet");
    health.record_success(at(5), at(5));
    assert_eq!(health.readiness(at(900)), Access::Serve);
    assert_eq!(health.readiness(at(1100)), Access::Probe, "the last answer is too old");
    assert_eq!(health.access(at(1100)), Access::Serve, "a client that connects anyway is served");
    health.record_failure(at(1500), at(1500));
    assert_eq!(health.readiness(at(2100)), Access::Probe);
    assert_eq!(health.readiness(at(2200)), Access::Refuse);
    health.record_success(at(3100), at(3100));
    assert_eq!(health.readiness(at(3200)), Access::Serve);
}

/// Guards against an outage that ends too early: the answer to a watch that was sent before the
/// outage ended it, and a client was then told that the outcome of its submission is unknown
/// instead of being refused.
#[test]
fn an_answer_to_a_call_from_before_an_outage_does_not_end_it() {
    let health = Health::default();
    health.record_failure(at(1000), at(1700));
    health.record_success(at(900), at(1800));
    assert_eq!(health.access(at(1801)), Access::Probe);
    assert_eq!(health.readiness(at(1802)), Access::Refuse);
    health.record_success(at(1801), at(1805));
    assert_eq!(health.access(at(1806)), Access::Serve);
}

/// Guards against a pause that outlasts the outage, or that uses up a client's timeout.
#[test]
fn clients_are_told_to_retry_by_the_length_of_earlier_outages() {
    let client_timeout = Duration::from_secs(3);
    let health = Health::default();
    health.record_failure(at(0), at(10));
    assert_eq!(health.retry_after(at(10), client_timeout), Duration::from_secs(1));
    health.record_success(at(500), at(500));
    health.record_failure(at(1000), at(1010));
    assert_eq!(health.retry_after(at(1100), client_timeout), Duration::from_millis(400));
    assert_eq!(health.retry_after(at(1600), client_timeout), Duration::from_secs(1));
}

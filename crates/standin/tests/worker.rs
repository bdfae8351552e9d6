//! The rules of a worker in virtual time: epochs, leases, results, inventory, capacity.

mod common;

use std::time::Duration;

use common::Bench;
use common::amount;
use common::millis;
use common::run;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Grant;
use cowslipchute_ports::worker::Phase;
use cowslipchute_standin::worker::behavior::Behavior;
use cowslipchute_standin::worker::ledger::Violation;
use cowslipchute_standin::worker::timing::Health;
use yare::parameterized;

#[parameterized(
    higher = { 6, 1, true },
    the_same = { 5, 1, true },
    lower = { 4, 1, false },
    another_life = { 6, 2, false },
)]
fn an_exchange_is_obeyed_only_under_its_epoch_and_life(epoch: u64, incarnation: u64, obeyed: bool) {
    let mut bench = Bench::open();
    bench.epoch = 5;
    bench.lease(0, 10_000);
    bench.epoch = epoch;
    bench.incarnation = incarnation;
    let report = bench.start(10, "j", 1, 1000);
    assert_eq!(report.obeyed, obeyed);
    assert_eq!(report.epoch, if obeyed { epoch } else { 5 }, "the highest epoch is reported");
    assert_eq!(bench.active(), u64::from(obeyed));
}

#[test]
fn a_refused_exchange_does_nothing_at_all() {
    let mut bench = Bench::open();
    bench.epoch = 5;
    bench.lease(0, 1000);
    bench.start(0, "j", 1, 400);
    let known = bench.known;
    bench.epoch = 4;
    let report = bench.send(500, |exchange| {
        exchange.grant = Some(Grant { stamp: 500, valid: millis(10_000) });
        exchange.commands.push(Command::Stop { run: run("k", 1) });
        exchange.acks.push(run("j", 1));
    });
    assert_eq!((report.version, report.held.len(), report.whole), (known, 0, false));
    bench.epoch = 5;
    bench.known = 0;
    let report = bench.send(2000, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Done), "it was not acknowledged");
}

#[parameterized(
    before_the_lapse = { 1099, Phase::Running },
    at_the_lapse = { 1100, Phase::Stopped },
    after_it = { 5000, Phase::Stopped },
)]
fn a_run_lasts_no_longer_than_its_lease(at: u64, phase: Phase) {
    let mut bench = Bench::open();
    bench.lease(100, 1000);
    bench.start(200, "j", 1, 0);
    bench.known = 0;
    let report = bench.send(at, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(phase));
}

#[parameterized(
    delayed_on_the_way = { 100, 1000, 1100 },
    shorter_than_the_one_before = { 850, 100, 1000 },
    from_a_clock_that_is_ahead = { 5000, 1000, 1000 },
)]
fn a_grant_counts_from_its_stamp(stamp: u64, valid: u64, lapse: u64) {
    let mut bench = Bench::open();
    bench.lease(0, 1000);
    bench.start(0, "j", 1, 0);
    let grant = Grant { stamp, valid: millis(valid) };
    bench.send(900, |exchange| exchange.grant = Some(grant));
    bench.known = 0;
    let report = bench.send(lapse - 1, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Running));
    let report = bench.send(lapse, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Stopped));
}

#[test]
fn what_ends_by_itself_before_the_lapse_has_ended_by_itself() {
    let mut bench = Bench::open();
    bench.lease(0, 1000);
    bench.start(0, "done", 1, 1000);
    bench.start(0, "late", 1, 1001);
    let report = bench.send(9000, |_| {});
    assert_eq!(bench.phase(&report, "done", 1), Some(Phase::Done));
    assert_eq!(bench.phase(&report, "late", 1), Some(Phase::Stopped));
}

#[test]
fn a_start_without_a_lease_does_not_run() {
    let mut bench = Bench::open();
    let report = bench.start(0, "j", 1, 100);
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Stopped));
    assert_eq!(bench.count().started, 0);
}

#[parameterized(
    in_time = { 999, Phase::Running },
    after_it_lapsed = { 1000, Phase::Stopped },
)]
fn a_start_is_obeyed_only_under_its_own_grant(arrives: u64, phase: Phase) {
    let mut bench = Bench::open();
    bench.lease(0, 1000);
    let delayed_grant = bench.grant;
    // By now the owner has given up the delayed start, received a report again and renewed the
    // lease.
    bench.lease(500, 60_000);
    bench.grant = delayed_grant;
    let report = bench.start(arrives, "j", 1, 0);
    assert_eq!(bench.phase(&report, "j", 1), Some(phase));
}

#[test]
fn a_result_is_kept_until_it_is_acknowledged() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 100);
    bench.known = 0;
    let report = bench.send(50_000, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Done));
    let report = bench.send(50_001, |exchange| exchange.acks.push(run("j", 1)));
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Forgotten));
    bench.known = 0;
    let report = bench.send(50_002, |_| {});
    assert_eq!((report.whole, report.held.len()), (true, 0));
}

#[test]
fn a_running_run_can_not_be_acknowledged() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 0);
    bench.send(10, |exchange| exchange.acks.push(run("j", 1)));
    bench.known = 0;
    let report = bench.send(20, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Running));
}

#[test]
fn a_start_that_is_sent_again_does_nothing() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 100);
    bench.start(10, "j", 1, 100);
    bench.start(200, "j", 1, 100);
    assert_eq!(bench.count().started, 1);
    assert_eq!(bench.violations(), []);
}

#[test]
fn a_start_that_comes_after_its_stop_or_acknowledgement_is_fenced() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    let stop = Command::Stop { run: run("early", 1) };
    let report = bench.send(0, |exchange| exchange.commands.push(stop));
    assert_eq!(bench.phase(&report, "early", 1), Some(Phase::Forgotten));
    bench.start(0, "done", 2, 100);
    bench.send(200, |exchange| exchange.acks.push(run("done", 2)));
    for (job, attempt) in [("early", 1), ("done", 2), ("done", 1)] {
        let report = bench.start(300, job, attempt, 100);
        assert_eq!(bench.phase(&report, job, attempt), Some(Phase::Forgotten));
    }
    assert_eq!(bench.count().started, 1);
    let report = bench.start(300, "early", 2, 100);
    assert_eq!(bench.phase(&report, "early", 2), Some(Phase::Running), "a later attempt runs");
}

#[test]
fn a_report_holds_what_changed_since_the_version_known() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "a", 1, 0);
    let report = bench.start(0, "b", 1, 0);
    assert_eq!((report.whole, report.held.len()), (false, 1));
    let report = bench.send(10, |_| {});
    assert_eq!((report.whole, report.held.len()), (false, 0));
    bench.known = 0;
    let report = bench.send(20, |_| {});
    assert_eq!((report.whole, report.held.len()), (true, 2));
    bench.known = report.version + 1;
    let report = bench.send(30, |_| {});
    assert!(report.whole, "the response to an unknown version is the whole inventory");
}

#[test]
fn an_eviction_keeps_the_progress_for_the_next_attempt_elsewhere() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 10_000);
    let evict = Command::Evict { run: run("j", 1) };
    let report = bench.send(4000, |exchange| exchange.commands.push(evict));
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Stopping));
    assert_eq!(report.held[0].amount, amount(1000), "it occupies its amount until it has stopped");
    let report = bench.send(4200, |_| {});
    let Some(Phase::Evicted { checkpoint }) = bench.phase(&report, "j", 1) else {
        panic!("{report:?} holds no checkpoint");
    };
    bench.worker = 1;
    bench.known = 0;
    bench.send(4200, |exchange| {
        exchange.grant = Some(Grant { stamp: 4200, valid: millis(60_000) });
        exchange.commands.push(Command::Start {
            run: run("j", 2),
            amount: amount(1000),
            checkpoint,
            duration: millis(10_000),
        });
    });
    let report = bench.send(10_199, |_| {});
    assert_eq!(bench.phase(&report, "j", 2), None, "it has not changed yet");
    let report = bench.send(10_200, |_| {});
    assert_eq!(bench.phase(&report, "j", 2), Some(Phase::Done), "4 s of 10 s were done before");
    assert_eq!(bench.violations(), []);
}

#[parameterized(
    unthrottled = { 1000, 1000 },
    halved = { 500, 2000 },
)]
fn a_throttle_slows_a_run_down(permille: u16, ends: u64) {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 1000);
    let throttle = Command::Throttle { run: run("j", 1), permille };
    bench.send(0, |exchange| exchange.commands.push(throttle));
    let report = bench.send(ends - 1, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), None, "it has not changed yet");
    let report = bench.send(ends, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Done));
}

#[test]
fn a_start_beyond_the_capacity_fails_and_is_recorded() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "fits", 1, 0);
    let grant = bench.grant;
    let report = bench.send(0, |exchange| {
        exchange.grant = grant;
        exchange.commands.push(Command::Start {
            run: run("large", 1),
            amount: amount(common::CPU_MILLI),
            checkpoint: None,
            duration: Duration::ZERO,
        });
    });
    assert!(matches!(bench.phase(&report, "large", 1), Some(Phase::Failed { .. })));
    assert!(matches!(bench.violations()[..], [Violation::Overcommitted { .. }]));
}

#[parameterized(
    while_it_runs = { 500, true },
    when_its_lease_has_lapsed = { 1000, false },
)]
fn a_task_in_two_places_is_recorded(at: u64, violated: bool) {
    let mut bench = Bench::open();
    bench.lease(0, 1000);
    bench.start(0, "j", 1, 0);
    bench.worker = 1;
    bench.known = 0;
    bench.lease(at, 1000);
    bench.start(at, "j", 2, 0);
    let found = matches!(bench.violations()[..], [Violation::TwoPlaces { .. }]);
    assert_eq!(found, violated);
}

#[test]
fn a_task_that_is_started_after_its_acknowledged_end_is_recorded() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 100);
    bench.send(100, |exchange| exchange.acks.push(run("j", 1)));
    bench.start(200, "j", 2, 100);
    assert!(matches!(bench.violations()[..], [Violation::StartedAfterDone { .. }]));
}

#[test]
fn a_start_of_an_older_attempt_is_recorded() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 2, 100);
    bench.worker = 1;
    bench.known = 0;
    bench.lease(200, 60_000);
    bench.start(200, "j", 1, 100);
    assert!(matches!(bench.violations()[..], [Violation::StaleAttempt { newer: 2, .. }]));
}

#[test]
fn a_killed_worker_holds_nothing_in_its_next_life() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 0);
    bench.reboot(500);
    let old: Exchange = bench.exchange();
    assert!(!bench.send_as(600, &old).obeyed, "it was addressed to the previous incarnation");
    bench.incarnation = 2;
    bench.known = 0;
    let report = bench.send(600, |_| {});
    assert_eq!((report.incarnation, report.held.len()), (2, 0));
    assert_eq!(report.stamp, 100, "its clock was reset");
    assert_eq!(bench.count().killed, 1);
}

#[test]
fn measurements_come_late_and_once() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 0);
    assert_eq!(bench.send(2999, |_| {}).usage, []);
    let usage = bench.send(3000, |_| {}).usage;
    assert_eq!((usage.len(), usage[0].measured, usage[0].slowdown_permille), (1, 1000, 1000));
    assert_eq!(bench.send(3001, |_| {}).usage, []);
}

#[test]
fn tasks_that_share_a_worker_slow_each_other_down_by_pair() {
    let mut bench = Bench::open_with(Behavior { pair_permille: 4000, ..Behavior::default() });
    bench.lease(0, 600_000);
    bench.start(0, "alone", 1, 0);
    let usage = bench.send(4000, |_| {}).usage;
    assert!(usage.iter().all(|usage| usage.slowdown_permille == 1000), "{usage:?}");
    for job in ["b", "c", "d"] {
        bench.start(4000, job, 1, 0);
    }
    let usage = bench.send(9000, |_| {}).usage;
    let last = usage.last().expect("it was measured").measured;
    let slowdowns: std::collections::BTreeSet<u32> = usage
        .iter()
        .filter(|usage| usage.measured == last)
        .map(|usage| usage.slowdown_permille)
        .collect();
    assert!(slowdowns.len() > 1, "pairs have different slowdowns: {slowdowns:?}");
    assert!(slowdowns.last() > Some(&1000), "{slowdowns:?}");
}

#[test]
fn a_slowed_run_ends_later() {
    let behavior = Behavior { pair_permille: 4000, ..Behavior::default() };
    let mut bench = Bench::open_with(behavior);
    bench.lease(0, 600_000);
    bench.start(0, "a", 1, 10_000);
    bench.start(0, "b", 1, 0);
    bench.start(0, "c", 1, 0);
    let slowdown = bench.send(3000, |_| {}).usage[0].slowdown_permille;
    assert!(slowdown > 1000, "the seed gives the pair a slowdown");
    let ends = 10 * u64::from(slowdown);
    assert_eq!(bench.active(), 3);
    bench.send(ends - 100, |_| {});
    assert_eq!(bench.active(), 3);
    bench.send(ends + 100, |_| {});
    assert_eq!(bench.active(), 2);
}

#[parameterized(
    of_a_failing_worker = { true, "sound" },
    of_a_failing_job = { false, "faulty" },
)]
fn runs_fail_shortly_after_their_start(failing: bool, job: &str) {
    let behavior = Behavior { failing: ["faulty".into()].into(), ..Behavior::default() };
    let mut bench = Bench::open_with(behavior);
    bench.set_health(Health { failing, ..Health::default() });
    bench.lease(0, 60_000);
    let report = bench.start(0, job, 1, 10_000);
    assert_eq!(bench.phase(&report, job, 1), Some(Phase::Running));
    let report = bench.send(50, |_| {});
    assert!(matches!(bench.phase(&report, job, 1), Some(Phase::Failed { .. })));
}

#[test]
fn a_stop_overrules_an_eviction_and_keeps_nothing() {
    let mut bench = Bench::open();
    bench.lease(0, 60_000);
    bench.start(0, "j", 1, 0);
    let (evict, stop) = (Command::Evict { run: run("j", 1) }, Command::Stop { run: run("j", 1) });
    bench.send(100, |exchange| exchange.commands.extend([evict.clone(), stop]));
    let report = bench.send(110, |exchange| exchange.commands.push(evict));
    assert_eq!(bench.active(), 1, "it occupies its amount until it has stopped");
    assert_eq!(report.held.len(), 0, "evicting a run that is being stopped changes nothing");
    let report = bench.send(120, |_| {});
    assert_eq!(bench.phase(&report, "j", 1), Some(Phase::Stopped));
}

//! Regression tests: step sequences that violated an invariant, minimised from failures of the
//! random interleavings.

mod world;

use world::play::Step;
use world::play::run_steps;

/// Workers whose leases have expired report results.
#[test]
fn an_end_stays_recorded_when_lapsed_workers_come_back() {
    run_steps(&[
        Step::Declare(1, 20),
        Step::DeliverAll,
        Step::Wait(1),
        Step::Declare(0, 184),
        Step::DeliverAll,
        Step::Wait(102),
        Step::LoseTransfers(0),
        Step::DeliverAll,
    ]);
}

/// The former owner used a worker that the next owner's list doesn't show.
#[test]
fn a_worker_that_the_next_owner_does_not_see_is_not_forgotten() {
    run_steps(&[
        Step::Unlist(1),
        Step::Kill(1),
        Step::Declare(0, 2),
        Step::DeliverAll,
        Step::List(1),
        Step::Wait(1),
        Step::Kill(0),
        Step::Own(0),
        Step::Own(1),
        Step::DeliverAll,
    ]);
}

/// A start arrives after the next owner has cancelled the task and dropped its checkpoint.
#[test]
fn a_late_start_resumes_from_what_its_sender_knew() {
    run_steps(&[
        Step::Wait(1),
        Step::Declare(0, 4),
        Step::DeliverAll,
        Step::Declare(1, 45),
        Step::Deliver(2),
        Step::Wait(3),
        Step::Thaw(0),
        Step::Release(0),
        Step::Cancel(1),
        Step::Own(0),
        Step::DeliverAll,
        Step::Wait(2),
        Step::Wait(1),
        Step::CompleteBatch(0),
        Step::Freeze(0),
        Step::DeliverAll,
        Step::Cancel(0),
    ]);
}

/// A run was evicted, and a later checkpoint is reported before its first one is stored.
#[test]
fn nothing_resumes_from_a_checkpoint_that_is_not_stored() {
    run_steps(&[
        Step::Declare(0, 62),
        Step::Own(1),
        Step::DeliverAll,
        Step::Wait(1),
        Step::Wait(102),
        Step::DeliverAll,
        Step::Declare(2, 143),
        Step::Unlist(2),
        Step::Wait(3),
        Step::StoreDown(true),
        Step::Own(0),
        Step::DeliverAll,
        Step::Publish,
        Step::Wait(17),
        Step::DelayExchanges(0),
        Step::Cancel(2),
        Step::Wait(1),
        Step::Own(1),
        Step::Wait(85),
        Step::DeliverAll,
        Step::Wait(22),
        Step::Wait(20),
        Step::Wait(16),
        Step::Wait(18),
        Step::Wait(25),
        Step::Wait(1),
    ]);
}

/// An owner releases the cell that it took from a former owner whose state is unknown.
#[test]
fn a_release_says_nothing_of_the_owner_before() {
    run_steps(&[
        Step::Declare(3, 82),
        Step::Own(1),
        Step::DeliverAll,
        Step::StoreDown(true),
        Step::Own(0),
        Step::Deliver(1),
        Step::Declare(1, 111),
        Step::Own(1),
        Step::Release(1),
        Step::Own(1),
        Step::Wait(114),
        Step::Deliver(6),
        Step::DeliverAll,
    ]);
}

/// A lagging owner learns from a report of a worker's new incarnation, which the next owner's list
/// doesn't show yet.
#[test]
fn a_worker_met_before_any_list_shows_it_waits_for_one() {
    run_steps(&[
        Step::CompleteBatch(0),
        Step::Kill(0),
        Step::Own(0),
        Step::Lag(1),
        Step::Unlist(1),
        Step::Restart(2, true),
        Step::CompleteBatch(0),
        Step::Own(1),
        Step::DeliverAll,
        Step::List(1),
        Step::Wait(10),
        Step::Own(0),
        Step::DeliverAll,
        Step::Declare(1, 245),
    ]);
}

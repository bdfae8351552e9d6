//! Random interleavings of two owners, unreliable workers and a failing store.
//!
//! The simulation checks all invariants after every step. At the end all faults are removed, and
//! then every task has to end exactly once.

mod world;

use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;
use world::play::LEASES;
use world::play::Step;
use world::play::WORKERS;
use world::play::run_steps;

/// Number of job names that a declaration selects from.
const JOBS: usize = 4;
/// Number of cases unless `PROPTEST_CASES` is set.
const CASES: u32 = 300;
/// Upper bound of the number of steps in a case.
const STEPS: usize = 160;

fn step() -> impl Strategy<Value = Step> {
    let worker = || 0..WORKERS as u8;
    prop_oneof![
        6 => (1u16..30).prop_map(Step::Wait),
        1 => (30u16..150).prop_map(Step::Wait),
        8 => (0u8..8).prop_map(Step::Deliver),
        4 => proptest::strategy::Just(Step::DeliverAll),
        3 => (0u8..2).prop_map(Step::CompleteBatch),
        1 => worker().prop_map(Step::LoseTransfers),
        1 => worker().prop_map(Step::LoseAnswer),
        1 => worker().prop_map(Step::LoseExchange),
        1 => (worker(), proptest::bool::ANY).prop_map(|(w, on)| Step::Fails(w, on)),
        2 => (worker(), 1000u16..1400).prop_map(|(w, slowdown)| Step::Measure(w, slowdown)),
        2 => worker().prop_map(Step::DelayExchanges),
        2 => (0u8..4).prop_map(Step::DeliverLate),
        1 => worker().prop_map(Step::Partition),
        2 => worker().prop_map(Step::Heal),
        1 => (worker(), proptest::bool::ANY).prop_map(|(w, listed)| Step::Restart(w, listed)),
        1 => worker().prop_map(Step::Unlist),
        1 => worker().prop_map(Step::List),
        1 => proptest::strategy::Just(Step::Publish),
        1 => (0u8..2).prop_map(Step::Lag),
        1 => (0u8..2).prop_map(Step::Freeze),
        2 => (0u8..2).prop_map(Step::Thaw),
        1 => (0u8..2).prop_map(Step::Kill),
        1 => (0u8..2).prop_map(Step::Release),
        2 => (0u8..2).prop_map(Step::Own),
        4 => (0..JOBS as u8, proptest::num::u8::ANY).prop_map(|(j, kind)| Step::Declare(j, kind)),
        1 => (0..JOBS as u8).prop_map(Step::Cancel),
        1 => (0..JOBS as u8).prop_map(Step::Undeclare),
        1 => proptest::bool::ANY.prop_map(Step::StoreDown),
        1 => proptest::strategy::Just(Step::LoseStoreAnswer),
        1 => (0u8..2, 0..LEASES.len() as u8).prop_map(|(slot, lease)| Step::Lease(slot, lease)),
    ]
}

#[test]
fn what_must_hold_holds_in_any_order_of_events() {
    let defaults = Config::default();
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { defaults.cases } else { CASES };
    // The seed comes from PROPTEST_RNG_SEED, which .cargo/config.toml sets.
    let config = Config { cases, failure_persistence: None, ..defaults };
    let steps = proptest::collection::vec(step(), 1..STEPS);
    TestRunner::new(config)
        .run(&steps, |steps| {
            run_steps(&steps);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}

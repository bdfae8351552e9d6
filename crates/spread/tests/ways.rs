//! The production decisions bring every change into force at every instance under each simulated
//! fault.

// The example uses the items that are unused here.
#[allow(dead_code)]
#[path = "../examples/ways/fleet.rs"]
mod fleet;
#[path = "../examples/ways/queue.rs"]
mod queue;
#[path = "../examples/ways/traffic.rs"]
mod traffic;
#[allow(dead_code)]
#[path = "../examples/ways/way.rs"]
mod way;

use std::time::Duration;

use fleet::Fault;
use fleet::Fleet;
use fleet::Outcome;
use fleet::Size;
use way::Way;
use yare::parameterized;

const LENGTH: Duration = Duration::from_secs(60);
/// Required maximum time until a change is in force, at the fleet size expected in two years.
const IN_FORCE_MAX: Duration = Duration::from_secs(17);
/// Maximum median time to be in force by pushes, shorter than the interval of pulls.
const IN_FORCE_P50_MAX: Duration = Duration::from_millis(100);
/// Maximum bytes per second that a daemon may spend on control traffic.
const BUSIEST_BYTES_MAX: f64 = 13_000.0;

fn run(instances: usize, domains: usize, fault: Fault, seed: u64) -> Outcome {
    Fleet::open(Size { instances, domains }, Way::Shipped, fault, seed).run(LENGTH)
}

#[parameterized(
    none_small = { 9, 3, Fault::None },
    none = { 90, 3, Fault::None },
    lost_calls_small = { 9, 3, Fault::LostCalls },
    lost_calls = { 90, 3, Fault::LostCalls },
    killed_holders_small = { 9, 3, Fault::KilledHolders },
    killed_holders = { 90, 3, Fault::KilledHolders },
    cut_from_store_small = { 9, 3, Fault::CutFromStore },
    cut_from_store = { 90, 3, Fault::CutFromStore },
)]
fn every_change_comes_into_force(instances: usize, domains: usize, fault: Fault) {
    for seed in 1..=3 {
        let outcome = run(instances, domains, fault, seed);
        assert!(outcome.in_force_max < IN_FORCE_MAX, "seed {seed}: {outcome:?}");
        assert!(outcome.busiest_bytes < BUSIEST_BYTES_MAX, "seed {seed}: {outcome:?}");
        if matches!(fault, Fault::None | Fault::KilledHolders) {
            assert!(outcome.in_force_p50 < IN_FORCE_P50_MAX, "seed {seed}: {outcome:?}");
        }
        assert!(outcome.watches <= domains * 4, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn without_faults_there_is_one_watch_for_each_domain() {
    assert_eq!(run(90, 3, Fault::None, 1).watches, 3);
}

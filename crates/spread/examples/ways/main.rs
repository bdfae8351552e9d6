//! Compares ways of distributing configuration by store calls, bytes and time to be in force.
//!
//! `cargo run --release -p cowslipchute-spread --example ways -- [SEED] [SECONDS]` prints the table
//! of `docs/design/config.md`. Time is virtual. The shipped way runs the production decisions; the
//! others are minimal models. Sizes of messages are estimates, given in `traffic.rs`.

mod fleet;
mod queue;
mod traffic;
mod way;

use std::time::Duration;

use fleet::Fault;
use fleet::Fleet;
use way::Way;

/// Sizes of the simulated fleets.
const FLEETS: [fleet::Size; 2] =
    [fleet::Size { instances: 9, domains: 3 }, fleet::Size { instances: 500, domains: 18 }];

fn main() {
    let mut arguments = std::env::args().skip(1).map(|word| word.parse::<u64>().expect("a number"));
    let seed = arguments.next().unwrap_or(1);
    let length = Duration::from_secs(arguments.next().unwrap_or(120));
    println!("seed {seed}, {} s of virtual time, a change every 1.88 s\n", length.as_secs());
    println!(
        "| Instances | Way | Fault | Watches | Store calls/s | Store bytes/s | \
         Busiest instance bytes/s | In force p50 ms | max ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in FLEETS {
        for way in Way::ALL {
            run(size, way, Fault::None, seed, length);
        }
        for fault in [Fault::LostCalls, Fault::KilledHolders, Fault::CutFromStore] {
            run(size, Way::Shipped, fault, seed, length);
        }
    }
}

fn run(size: fleet::Size, way: Way, fault: Fault, seed: u64, length: Duration) {
    let result = Fleet::open(size, way, fault, seed).run(length);
    println!(
        "| {} in {} | {} | {} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} |",
        size.instances,
        size.domains,
        way.as_str(),
        fault.as_str(),
        result.watches,
        result.store_calls,
        result.store_bytes,
        result.busiest_bytes,
        result.in_force_p50.as_secs_f64() * 1000.0,
        result.in_force_max.as_secs_f64() * 1000.0,
    );
}

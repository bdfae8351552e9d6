//! The table of what an owner's turns cost.

use std::fmt::Write as _;

use crate::passes::cell::Cell;
use crate::passes::cell::Cost;

/// Sizes of cells: those of the users' deployments, and beyond.
const WORKERS: [usize; 5] = [48, 120, 350, 1_100, 3_000];
/// Seconds that are measured, after one that isn't.
const SECONDS: u32 = 3;

/// Measures cells of each size and renders the table.
pub fn markdown() -> String {
    let mut out = String::from(
        "| workers | accounts, ms of processor time a second | placing and ordering |\n|---|---|---|\n",
    );
    for workers in WORKERS {
        let cost = measure(workers);
        let milliseconds = |time: std::time::Duration| time.as_secs_f64() * 1e3;
        writeln!(
            out,
            "| {workers} | {:.1} | {:.1} |",
            milliseconds(cost.accounts),
            milliseconds(cost.settling)
        )
        .expect("a string takes any text");
    }
    out
}

fn measure(workers: usize) -> Cost {
    let mut cell = Cell::open(workers);
    cell.second();
    let mut sum = Cost::default();
    for _ in 0..SECONDS {
        let cost = cell.second();
        sum.accounts += cost.accounts;
        sum.settling += cost.settling;
    }
    Cost { accounts: sum.accounts / SECONDS, settling: sum.settling / SECONDS }
}

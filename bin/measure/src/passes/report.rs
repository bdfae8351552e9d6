//! Table of the cost of planner passes.

use std::fmt::Write as _;

use crate::passes::cell::Cell;
use crate::passes::cell::Cost;

/// Sizes of cells: those of the users' deployments, and larger ones.
const WORKER_COUNTS: [usize; 5] = [48, 120, 350, 1_100, 3_000];
/// Seconds measured, after one second of warm-up.
const MEASURED_SECONDS: u32 = 3;

/// Measures cells of each size and renders the table as Markdown.
pub fn markdown() -> String {
    let mut out = String::from(
        "| workers | accounts, ms of processor time a second | placing and ordering |\n|---|---|---|\n",
    );
    for workers in WORKER_COUNTS {
        let cost = measure(workers);
        let milliseconds = |time: std::time::Duration| time.as_secs_f64() * 1e3;
        writeln!(
            out,
            "| {workers} | {:.1} | {:.1} |",
            milliseconds(cost.reports),
            milliseconds(cost.planning)
        )
        .expect("writing to a string can't fail");
    }
    out
}

fn measure(workers: usize) -> Cost {
    let mut cell = Cell::open(workers);
    cell.run_second();
    let mut sum = Cost::default();
    for _ in 0..MEASURED_SECONDS {
        let cost = cell.run_second();
        sum.reports += cost.reports;
        sum.planning += cost.planning;
    }
    Cost { reports: sum.reports / MEASURED_SECONDS, planning: sum.planning / MEASURED_SECONDS }
}

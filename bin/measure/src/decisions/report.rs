//! Tables of the cost of decisions and takeovers.

use std::fmt::Write as _;
use std::time::Duration;

use crate::decisions::cell::Cell;
use crate::decisions::load::Load;
use crate::decisions::tally::Tally;

/// Numbers of workers.
const WORKER_COUNTS: [usize; 2] = [1_100, 3_000];
/// Numbers of open jobs.
const JOB_COUNTS: [usize; 2] = [1_000, 2_000];
/// Virtual time that is measured.
const MEASURED: Duration = Duration::from_secs(2);

/// Measures cells of each size and renders tables as Markdown.
pub fn markdown() -> String {
    let mut out = String::new();
    for workers in WORKER_COUNTS {
        write_steady(&mut out, &format!("{workers} workers, partly free"), || {
            Cell::open(workers, Load::partly_free(workers))
        });
        for jobs in JOB_COUNTS {
            let title = format!("{workers} workers, {jobs} open jobs, full");
            let cell =
                write_steady(&mut out, &title, || Cell::open(workers, Load::full(workers, jobs)));
            write_takeover(&mut out, &title, cell);
        }
    }
    out
}

fn write_steady(out: &mut String, title: &str, open: impl FnOnce() -> Cell) -> Cell {
    let mut cell = open();
    cell.run(MEASURED);
    line(out, &format!("## {title}: {} s, waiting {:?}\n", MEASURED.as_secs(), cell.waiting()));
    write_tally(out, &cell.tally);
    cell
}

fn write_takeover(out: &mut String, title: &str, mut cell: Cell) {
    let (jobs, records) = cell.stored();
    let time = cell.take_over();
    let time = time.map_or("not within the limit".to_string(), |time| format!("{time:?}"));
    line(out, &format!("## {title}: takeover of {jobs} jobs, {records} records: {time}\n"));
    write_tally(out, &cell.tally);
}

fn write_tally(out: &mut String, tally: &Tally) {
    line(out, "| what | number | µs each | longest, ms | ms in all |\n|---|---|---|---|---|");
    for (kind, cost) in &tally.costs {
        let (mean, longest) = (cost.mean().as_secs_f64() * 1e6, milliseconds(cost.longest));
        let (count, total) = (cost.count, milliseconds(cost.total));
        line(out, &format!("| {kind} | {count} | {mean:.1} | {longest:.1} | {total:.1} |"));
    }
    line(out, &format!("| all | | | | {:.1} |\n", milliseconds(tally.total())));
    line(out, &format!("Actions: {:?}\n\nNotes: {:?}\n", tally.actions, tally.notes));
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn line(out: &mut String, text: &str) {
    writeln!(out, "{text}").expect("writing to a string can't fail");
}

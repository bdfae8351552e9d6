//! Report on a loopback run, as Markdown.

use std::fmt::Write as _;

use crate::loopback::drive::Outcome;
use crate::loopback::drive::Plan;
use crate::loopback::drive::Side;
use crate::loopback::process;

/// Renders the measurements.
pub fn markdown(plan: &Plan, outcome: &Outcome) -> String {
    let mut out = String::from("| side | requests/s | p50 µs | p99 µs | p99.9 µs | not good |\n");
    out.push_str("|---|---|---|---|---|---|\n");
    write_side(&mut out, "direct", &outcome.direct);
    write_side(&mut out, "entry", &outcome.entry);
    let added = |quantile| {
        quantile_us(&outcome.entry, quantile) as i64 - quantile_us(&outcome.direct, quantile) as i64
    };
    writeln!(
        out,
        "\nAdded by the entry with {} connections{}: p50 {} µs, p99 {} µs. Load of the machine \
         meanwhile: {}.",
        plan.connections,
        plan.rate.map_or_else(String::new, |rate| format!(" at {rate} requests/s")),
        added(0.5),
        added(0.99),
        process::load_average(),
    )
    .expect("writing to a string can't fail");
    write_usage(&mut out, outcome);
    out
}

fn quantile_us(side: &Side, quantile: f64) -> u64 {
    side.results.latency.value_at_quantile(quantile)
}

fn write_side(out: &mut String, name: &str, side: &Side) {
    writeln!(
        out,
        "| {name} | {:.0} | {} | {} | {} | {} |",
        side.results.successes as f64 / side.elapsed.as_secs_f64(),
        quantile_us(side, 0.5),
        quantile_us(side, 0.99),
        quantile_us(side, 0.999),
        side.results.failures,
    )
    .expect("writing to a string can't fail");
}

fn write_usage(out: &mut String, outcome: &Outcome) {
    let (Some(connection), Some(resident)) = (outcome.connection_bytes, outcome.resident_bytes)
    else {
        return;
    };
    let cpu_seconds = outcome.entry.cpu_time.as_secs_f64();
    let good = outcome.entry.results.successes as f64;
    writeln!(
        out,
        "\nThe entry used {:.1} µs of processor a request, so {:.0} requests/s on a core. An idle \
         connection takes {:.0} bytes; {:.1} MB are resident at the end.",
        cpu_seconds * 1e6 / good,
        good / cpu_seconds,
        connection,
        resident as f64 / 1e6,
    )
    .expect("writing to a string can't fail");
}

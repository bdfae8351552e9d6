//! Reports on the request policies, as Markdown for docs/MEASUREMENTS.md or as JSON.

use std::fmt::Write as _;

use serde::Serialize;

use crate::requests::case::Case;
use crate::requests::figures::Counts;
use crate::requests::figures::Figures;
use crate::requests::policy::Kind;
use crate::requests::simulation;

/// All policies in one case, combined over the seeds.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Table {
    /// Name of the case.
    pub case: &'static str,
    /// One row for each policy.
    pub rows: Vec<Row>,
}

/// One policy in one case.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the policy.
    pub policy: &'static str,
    /// Median paying latency in milliseconds.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Seed with the highest 99th percentile.
    pub worst_seed: u64,
    /// 99th percentile of that seed.
    pub worst_p99: f64,
    /// Successful answers to paying callers per second.
    pub paying_rate: f64,
    /// Successful answers to trial callers per second.
    pub trial_rate: f64,
    /// Event counts.
    pub counts: Counts,
}

/// Measures every policy in one case, all with the same seeds.
pub fn measure(case: &Case, seeds: &[u64]) -> Table {
    let rows = Kind::ALL.into_iter().map(|kind| row(case, kind, seeds)).collect();
    Table { case: case.name, rows }
}

fn row(case: &Case, kind: Kind, seeds: &[u64]) -> Row {
    let mut sum = Figures::default();
    let mut worst_seed = 0;
    let mut worst_p99 = 0.0;
    for &seed in seeds {
        let figures = simulation::run(case, kind, seed);
        if figures.paying_ms(0.99) > worst_p99 {
            worst_p99 = figures.paying_ms(0.99);
            worst_seed = seed;
        }
        sum.add(&figures);
    }
    Row {
        policy: kind.as_str(),
        p50: sum.paying_ms(0.5),
        p99: sum.paying_ms(0.99),
        p999: sum.paying_ms(0.999),
        worst_seed,
        worst_p99,
        paying_rate: sum.paying_rate(),
        trial_rate: sum.trial_rate(),
        counts: sum.counts,
    }
}

/// Renders the tables as Markdown.
pub fn markdown(tables: &[Table]) -> String {
    let mut out = String::new();
    let columns = "| case | policy | p50 ms | p99 ms | p99.9 ms | worst p99 (seed) | paying good/s | \
                trial good/s | paying not run | failed | unknown | extra attempts | doubled | \
                lost | denied but ran | late to leaving | connections |\n";
    out.push_str(columns);
    out.push_str(&"|---".repeat(columns.matches('|').count() - 1));
    out.push_str("|\n");
    for table in tables {
        for row in &table.rows {
            write_row(&mut out, table.case, row);
        }
    }
    out
}

fn write_row(out: &mut String, case: &str, row: &Row) {
    let counts = &row.counts;
    writeln!(
        out,
        "| {case} | {} | {:.1} | {:.1} | {:.1} | {:.1} ({}) | {:.0} | {:.0} | {} | {} | {} | {} | \
         {} | {} | {} | {} | {} |",
        row.policy,
        row.p50,
        row.p99,
        row.p999,
        row.worst_p99,
        row.worst_seed,
        row.paying_rate,
        row.trial_rate,
        counts.paying_refused,
        counts.failed,
        counts.unknown,
        counts.extra_attempts,
        counts.doubled,
        counts.lost + counts.answered_twice,
        counts.denied_but_ran,
        counts.late_to_leaving,
        counts.connections_peak,
    )
    .expect("writing to a string can't fail");
}

//! Reports on the task policies, as Markdown for docs/MEASUREMENTS.md or as JSON.

use std::fmt::Write as _;

use serde::Serialize;

use crate::tasks::figures::Counts;
use crate::tasks::figures::Figures;
use crate::tasks::fleet::Fleet;
use crate::tasks::policy::Kind;
use crate::tasks::simulation;

/// All policies on one deployment, combined over the seeds.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Table {
    /// Name of the deployment.
    pub fleet: &'static str,
    /// One row for each policy.
    pub rows: Vec<Row>,
}

/// One policy on one deployment.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the policy.
    pub policy: &'static str,
    /// Median slowdown of paying services.
    pub slowdown_p50: f64,
    /// 99th percentile.
    pub slowdown_p99: f64,
    /// Maximum.
    pub slowdown_max: f64,
    /// 99th percentile of the slowdown due to batch and trial tasks on the same worker.
    pub by_batch_p99: f64,
    /// Seed with the highest such 99th percentile.
    pub worst_seed: u64,
    /// 99th percentile of that seed.
    pub worst_p99: f64,
    /// Processor time granted to batch and trial runs, as a share of what paying work left.
    pub occupied: f64,
    /// The same, less throttling and lost work.
    pub running: f64,
    /// The same, also less interference: work done.
    pub useful_granted: f64,
    /// Work done by actual instead of granted CPU, as a share of the same.
    pub useful_real: f64,
    /// Batch and trial work lost to evictions, failures and crashes, in processor-hours.
    pub lost_hours: f64,
    /// Median start latency of urgent jobs in seconds.
    pub urgent_p50: f64,
    /// 99th percentile.
    pub urgent_p99: f64,
    /// Maximum.
    pub urgent_max: f64,
    /// Commands that the policy issues per second of processor time.
    pub commands_per_second: f64,
    /// Policy calls per second of processor time.
    pub steps_per_second: f64,
    /// Memory that the policy held at the end, in bytes.
    pub state_bytes: usize,
    /// Event counts.
    pub counts: Counts,
}

/// Thousandths of a processor times seconds in a processor-hour.
const PROCESSOR_HOUR: f64 = 1000.0 * 3600.0;

/// Measures the given policies on one deployment, all with the same seeds.
pub fn measure(fleet: &Fleet, kinds: &[Kind], seeds: &[u64]) -> Table {
    let rows = kinds.iter().map(|&kind| row(fleet, kind, seeds)).collect();
    Table { fleet: fleet.name, rows }
}

fn row(fleet: &Fleet, kind: Kind, seeds: &[u64]) -> Row {
    let mut sum = Figures::default();
    let mut worst_seed = 0;
    let mut worst_p99 = 0.0;
    for &seed in seeds {
        let figures = simulation::run(fleet, kind, seed);
        if figures.batch_slowdown_at(0.99) > worst_p99 {
            worst_p99 = figures.batch_slowdown_at(0.99);
            worst_seed = seed;
        }
        sum.add(&figures);
    }
    let useful = sum.useful();
    Row {
        policy: kind.as_str(),
        slowdown_p50: sum.slowdown_at(0.5),
        slowdown_p99: sum.slowdown_at(0.99),
        slowdown_max: sum.slowdown_at(1.0),
        by_batch_p99: sum.batch_slowdown_at(0.99),
        worst_seed,
        worst_p99,
        occupied: sum.progress.occupied / sum.progress.available,
        running: useful.running / sum.progress.available,
        useful_granted: useful.granted / sum.progress.available,
        useful_real: useful.real / sum.progress.available,
        lost_hours: sum.progress.lost.granted / PROCESSOR_HOUR,
        urgent_p50: sum.urgent_at(0.5),
        urgent_p99: sum.urgent_at(0.99),
        urgent_max: sum.urgent_at(1.0),
        commands_per_second: sum.commands_per_second(),
        steps_per_second: sum.steps_per_second(),
        state_bytes: sum.state_bytes,
        counts: sum.counts,
    }
}

/// Renders the tables as Markdown: effects on the tasks, then costs of the decisions.
pub fn markdown(tables: &[Table]) -> String {
    let mut out = String::new();
    write_effects(&mut out, tables);
    out.push('\n');
    write_costs(&mut out, tables);
    out
}

fn write_heading(out: &mut String, columns: &str) {
    out.push_str(columns);
    out.push('\n');
    out.push_str(&"|---".repeat(columns.matches('|').count() - 1));
    out.push_str("|\n");
}

fn write_effects(out: &mut String, tables: &[Table]) {
    write_heading(
        out,
        "| deployment | policy | slowdown p50 | p99 | max | by batch p99 | worst (seed) | granted | \
         at work | work done | of real size | evictions | throttles | lost core-h | urgent p50 s | \
         p99 s | max s | urgent waiting | services waiting |",
    );
    for (table, row) in rows(tables) {
        let counts = &row.counts;
        writeln!(
            out,
            "| {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} ({}) | {:.1} % | {:.1} % | {:.1} % | \
             {:.1} % | {} | {} | {:.2} | {:.3} | {:.3} | {:.3} | {} of {} | {} |",
            table.fleet,
            row.policy,
            row.slowdown_p50,
            row.slowdown_p99,
            row.slowdown_max,
            row.by_batch_p99,
            row.worst_p99,
            row.worst_seed,
            row.occupied * 100.0,
            row.running * 100.0,
            row.useful_granted * 100.0,
            row.useful_real * 100.0,
            counts.evictions,
            counts.throttles,
            row.lost_hours,
            row.urgent_p50,
            row.urgent_p99,
            row.urgent_max,
            counts.urgent_waiting,
            counts.urgent,
            counts.services_waiting,
        )
        .expect("writing to a string can't fail");
    }
}

fn write_costs(out: &mut String, tables: &[Table]) {
    write_heading(
        out,
        "| deployment | policy | starts | done | done twice | two places | beyond capacity | \
         leases lapsed | commands/s of a core | calls/s of a core | state MB | store batches | \
         spins |",
    );
    for (table, row) in rows(tables) {
        let counts = &row.counts;
        writeln!(
            out,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.2} | {} | {} |",
            table.fleet,
            row.policy,
            counts.starts,
            counts.done,
            counts.done_twice,
            counts.two_places,
            counts.beyond,
            counts.lapsed,
            row.commands_per_second,
            row.steps_per_second,
            row.state_bytes as f64 / 1e6,
            counts.batches,
            counts.spins,
        )
        .expect("writing to a string can't fail");
    }
}

fn rows(tables: &[Table]) -> impl Iterator<Item = (&Table, &Row)> {
    tables.iter().flat_map(|table| table.rows.iter().map(move |row| (table, row)))
}

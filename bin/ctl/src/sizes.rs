//! Completion rates of each queue's jobs by job size.
//!
//! A queue may do well on average although its largest jobs are never completed. The report reads the
//! scheduler's logs, as [`crate::trace`] does, and shows for each decile of a queue's jobs the fraction
//! completed in time and the fraction completed before the job counted as lost. `docs/OPERATIONS.md`
//! explains how to interpret it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use cowslipchute_base::event::Event;
use cowslipchute_base::size::MAX_LATE_FACTOR;
use cowslipchute_base::size::Size;
use serde_json::Value;
use serde_json::json;

use crate::output::Format;
use crate::output::Table;
use crate::trace::Line;

/// Number of groups into which the jobs of a queue are divided by size.
const DECILES: usize = 10;
/// Minimum number of jobs of a queue; with fewer, deciles would be empty.
const MIN_JOBS: usize = DECILES;

/// Length of a day. Only the time of day of a timestamp is read, and a job may end on the next day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A property by which jobs are ordered: the label of its rows and its value for a size.
type Dimension = (&'static str, fn(&Size) -> f64);

const DIMENSIONS: [Dimension; 4] = [
    ("work", |size| size.core_seconds),
    ("widest", |size| f64::from(size.max_task_cpu_milli)),
    ("tasks", |size| f64::from(size.tasks)),
    ("chain", |size| size.critical_path.as_secs_f64()),
];

/// A job as recorded in the logs.
#[derive(Clone, Debug)]
struct Job {
    size: Size,
    known_at: String,
    ended: Option<(String, String)>,
}

/// Whether a job was completed, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    InTime,
    Late,
    Missed,
}

impl Job {
    fn outcome(&self) -> Outcome {
        let Some((ended, result)) = &self.ended else { return Outcome::Missed };
        if result != "completed" {
            return Outcome::Missed;
        }
        let (Some(known), Some(ended)) = (seconds_of_day(&self.known_at), seconds_of_day(ended))
        else {
            return Outcome::Missed;
        };
        let took = (ended - known).rem_euclid(SECONDS_PER_DAY);
        let objective = self.size.objective.as_secs_f64();
        if took <= objective {
            Outcome::InTime
        } else if took <= objective * MAX_LATE_FACTOR {
            Outcome::Late
        } else {
            Outcome::Missed
        }
    }

    /// Returns `true` if the job is included in the report. Jobs that were cancelled by their client
    /// or that can't be completed are excluded.
    fn is_counted(&self) -> bool {
        self.ended.as_ref().is_none_or(|(_, result)| result == "completed")
    }
}

/// Returns the time of day of a timestamp in seconds.
fn seconds_of_day(timestamp: &str) -> Option<f64> {
    let time = timestamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}

/// Numbers of jobs in one group of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    jobs: usize,
    in_time: usize,
    late: usize,
}

impl Tally {
    fn of<'a>(jobs: impl IntoIterator<Item = &'a Job>) -> Tally {
        let mut tally = Tally::default();
        for job in jobs {
            tally.jobs += 1;
            match job.outcome() {
                Outcome::InTime => tally.in_time += 1,
                Outcome::Late => tally.late += 1,
                Outcome::Missed => {}
            }
        }
        tally
    }

    /// Returns the fractions of jobs completed in time and completed at all.
    fn fractions(self) -> (f64, f64) {
        let fraction = |count: usize| count as f64 / self.jobs.max(1) as f64;
        (fraction(self.in_time), fraction(self.in_time + self.late))
    }

    fn text(self) -> String {
        let (in_time, served) = self.fractions();
        format!("{in_time:.2}/{served:.2}")
    }

    fn json(self) -> Value {
        let (in_time, served) = self.fractions();
        json!({ "jobs": self.jobs, "in_time": in_time, "served": served })
    }
}

/// The completion report of all queues.
#[derive(Clone, Debug)]
pub struct Report {
    queues: BTreeMap<String, Vec<Job>>,
}

impl Report {
    /// Collects the jobs recorded in log lines. A job's time counts from its first `JobKnown` line,
    /// which is when an owner first learned of it.
    pub fn open(mut lines: Vec<Line>) -> Report {
        lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        let mut jobs: HashMap<String, Job> = HashMap::new();
        for line in lines {
            let (Some(id), Some(detail)) = (line.job, line.detail) else { continue };
            if line.event == Event::JobKnown.number() {
                // Earlier versions logged only the queue here.
                let Ok(size) = detail.parse() else { continue };
                jobs.entry(id).or_insert(Job { size, known_at: line.ts, ended: None });
            } else if line.event == Event::JobEnded.number()
                && let Some(job) = jobs.get_mut(&id)
            {
                job.ended = Some((line.ts, detail));
            }
        }
        let mut queues: BTreeMap<String, Vec<Job>> = BTreeMap::new();
        for job in jobs.into_values().filter(Job::is_counted) {
            queues.entry(job.size.queue.clone()).or_default().push(job);
        }
        queues.retain(|_, jobs| jobs.len() >= MIN_JOBS);
        Report { queues }
    }

    fn rows(&self) -> impl Iterator<Item = (&str, &'static str, Vec<Tally>, Tally)> {
        self.queues.iter().flat_map(|(queue, jobs)| {
            DIMENSIONS.iter().map(move |&(name, value)| {
                let mut sorted: Vec<&Job> = jobs.iter().collect();
                sorted.sort_by(|a, b| value(&a.size).total_cmp(&value(&b.size)));
                let bound = |decile: usize| sorted.len() * decile / DECILES;
                let deciles = (0..DECILES).map(|decile| {
                    Tally::of(sorted[bound(decile)..bound(decile + 1)].iter().copied())
                });
                (&**queue, name, deciles.collect(), Tally::of(jobs))
            })
        })
    }

    /// Renders the report.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Json => format!("{}\n", self.json()),
            Format::Table | Format::Quiet => self.table().render(),
        }
    }

    fn table(&self) -> Table {
        let mut headings = vec!["queue".to_owned(), "by".to_owned(), "all".to_owned()];
        headings.extend((1..=DECILES).map(|decile| decile.to_string()));
        let mut table = Table::new(headings.iter().map(String::as_str));
        for (queue, name, deciles, all) in self.rows() {
            let mut cells = vec![queue.to_owned(), name.to_owned(), all.text()];
            cells.extend(deciles.into_iter().map(Tally::text));
            table.row(cells);
        }
        table
    }

    fn json(&self) -> Value {
        let rows = self.rows().map(|(queue, by, deciles, all)| {
            let deciles: Vec<Value> = deciles.into_iter().map(Tally::json).collect();
            json!({ "queue": queue, "by": by, "all": all.json(), "tenths": deciles })
        });
        rows.collect()
    }
}

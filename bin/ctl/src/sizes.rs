//! How jobs of each queue were served, by their size.
//!
//! A queue may be served well on average while its largest jobs never are. Reads the scheduler's logs, as
//! [`crate::trace`] does, and shows for each tenth of a queue's jobs how many were done in time, and how many at
//! all before they counted as lost. `docs/OPERATIONS.md` tells what to look for.

use std::collections::BTreeMap;
use std::collections::HashMap;

use cowslipchute_base::event::Event;
use cowslipchute_base::size::LATE_LIMIT;
use cowslipchute_base::size::Size;
use serde_json::Value;
use serde_json::json;

use crate::output::Format;
use crate::output::Table;
use crate::trace::Line;

/// Groups of jobs by size.
const TENTHS: usize = 10;
/// Fewer jobs of a queue than this say nothing by tenths.
const LEAST_JOBS: usize = TENTHS;

/// Time stamps are read as times of day, and a job may end on the next one.
const SECONDS_A_DAY: f64 = 86_400.0;

/// What jobs are ordered by: the heading of its rows, and how it is read off.
type Measure = (&'static str, fn(&Size) -> f64);

const MEASURES: [Measure; 4] = [
    ("work", |size| size.work),
    ("widest", |size| f64::from(size.widest_milli)),
    ("tasks", |size| f64::from(size.tasks)),
    ("chain", |size| size.chain.as_secs_f64()),
];

/// A job as the logs tell of it.
#[derive(Clone, Debug)]
struct Job {
    size: Size,
    known: String,
    ended: Option<(String, String)>,
}

/// How a job was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    InTime,
    Late,
    Not,
}

impl Job {
    fn service(&self) -> Service {
        let Some((ended, how)) = &self.ended else { return Service::Not };
        if how != "completed" {
            return Service::Not;
        }
        let (Some(known), Some(ended)) = (seconds(&self.known), seconds(ended)) else {
            return Service::Not;
        };
        let took = (ended - known).rem_euclid(SECONDS_A_DAY);
        let objective = self.size.objective.as_secs_f64();
        if took <= objective {
            Service::InTime
        } else if took <= objective * LATE_LIMIT {
            Service::Late
        } else {
            Service::Not
        }
    }

    /// Tells whether it was owed: what its client cancelled, or what can't be done, is not.
    fn is_owed(&self) -> bool {
        self.ended.as_ref().is_none_or(|(_, how)| how == "completed")
    }
}

/// Reads the time of day out of a time stamp, in seconds.
fn seconds(stamp: &str) -> Option<f64> {
    let time = stamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}

/// How the jobs of one queue in one group were served.
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
            match job.service() {
                Service::InTime => tally.in_time += 1,
                Service::Late => tally.late += 1,
                Service::Not => {}
            }
        }
        tally
    }

    /// Returns the parts that were served in time, and served at all.
    fn parts(self) -> (f64, f64) {
        let part = |count: usize| count as f64 / self.jobs.max(1) as f64;
        (part(self.in_time), part(self.in_time + self.late))
    }

    fn text(self) -> String {
        let (in_time, served) = self.parts();
        format!("{in_time:.2}/{served:.2}")
    }

    fn json(self) -> Value {
        let (in_time, served) = self.parts();
        json!({ "jobs": self.jobs, "in_time": in_time, "served": served })
    }
}

/// How the jobs of all queues were served.
#[derive(Clone, Debug)]
pub struct Report {
    queues: BTreeMap<String, Vec<Job>>,
}

impl Report {
    /// Gathers the jobs that the lines tell of. Each counts from when an owner first learnt of it.
    pub fn open(mut lines: Vec<Line>) -> Report {
        lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        let mut jobs: HashMap<String, Job> = HashMap::new();
        for line in lines {
            let (Some(id), Some(detail)) = (line.job, line.detail) else { continue };
            if line.event == Event::JobKnown.number() {
                // An earlier version told the queue alone.
                let Ok(size) = detail.parse() else { continue };
                jobs.entry(id).or_insert(Job { size, known: line.ts, ended: None });
            } else if line.event == Event::JobEnded.number()
                && let Some(job) = jobs.get_mut(&id)
            {
                job.ended = Some((line.ts, detail));
            }
        }
        let mut queues: BTreeMap<String, Vec<Job>> = BTreeMap::new();
        for job in jobs.into_values().filter(Job::is_owed) {
            queues.entry(job.size.queue.clone()).or_default().push(job);
        }
        queues.retain(|_, jobs| jobs.len() >= LEAST_JOBS);
        Report { queues }
    }

    fn rows(&self) -> impl Iterator<Item = (&str, &'static str, Vec<Tally>, Tally)> {
        self.queues.iter().flat_map(|(queue, jobs)| {
            MEASURES.iter().map(move |&(name, measure)| {
                let mut sorted: Vec<&Job> = jobs.iter().collect();
                sorted.sort_by(|a, b| measure(&a.size).total_cmp(&measure(&b.size)));
                let bound = |tenth: usize| sorted.len() * tenth / TENTHS;
                let tenths = (0..TENTHS)
                    .map(|tenth| Tally::of(sorted[bound(tenth)..bound(tenth + 1)].iter().copied()));
                (&**queue, name, tenths.collect(), Tally::of(jobs))
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
        headings.extend((1..=TENTHS).map(|tenth| tenth.to_string()));
        let mut table = Table::new(headings.iter().map(String::as_str));
        for (queue, name, tenths, all) in self.rows() {
            let mut cells = vec![queue.to_owned(), name.to_owned(), all.text()];
            cells.extend(tenths.into_iter().map(Tally::text));
            table.row(cells);
        }
        table
    }

    fn json(&self) -> Value {
        let rows = self.rows().map(|(queue, by, tenths, all)| {
            let tenths: Vec<Value> = tenths.into_iter().map(Tally::json).collect();
            json!({ "queue": queue, "by": by, "all": all.json(), "tenths": tenths })
        });
        rows.collect()
    }
}

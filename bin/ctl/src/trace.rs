//! Follows one job through the logs of all instances: what was decided about it, when, where and on
//! what grounds, with what happened to the owner and the store meanwhile.
//!
//! Reads the JSON lines that the scheduler writes, in any order and mixed with other text.
//! `docs/OPERATIONS.md` shows how to get from a trace to a cause.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::Read as _;
use std::path::Path;
use std::path::PathBuf;

use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::failure::Failure;
use crate::output::Format;
use crate::output::Table;

/// Events that concern every job while they last.
const AROUND: [Event; 7] = [
    Event::StoreLost,
    Event::StoreBack,
    Event::SeatTaken,
    Event::SeatLost,
    Event::SeatLeft,
    Event::Started,
    Event::Stopping,
];
/// Part of a time of day in a time stamp: hours to milliseconds.
const TIME_OF_DAY: std::ops::Range<usize> = 11..23;

/// One line of a log, as far as a trace shows it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Line {
    /// When it was written, by its instance's time of day.
    pub ts: String,
    /// The instance.
    pub instance: String,
    /// The event's name.
    pub name: String,
    /// The event's number.
    pub event: u16,
    /// The job, if it is about one.
    #[serde(default)]
    pub job: Option<String>,
    /// The task: job, occurrence, step and index.
    #[serde(default)]
    pub task: Option<String>,
    /// Which run of the task.
    #[serde(default)]
    pub attempt: Option<u64>,
    /// The worker.
    #[serde(default)]
    pub worker: Option<String>,
    /// What decided it.
    #[serde(default)]
    pub detail: Option<String>,
    /// The same, of a refusal.
    #[serde(default)]
    pub reason: Option<String>,
    /// The numbered result of a refusal.
    #[serde(default)]
    pub code: Option<u16>,
}

impl Line {
    /// Reads a line of a log; nothing if it is none. Text before the object is left aside.
    pub fn read(text: &str) -> Option<Line> {
        serde_json::from_str(text.get(text.find('{')?..)?.trim_end()).ok()
    }

    fn is_about(&self, job: &str) -> bool {
        self.job.as_deref() == Some(job)
    }

    fn is_around(&self) -> bool {
        AROUND.iter().any(|event| event.number() == self.event)
    }

    fn why(&self) -> String {
        let code = self.code.map(|code| format!("{code} "));
        let text = self.detail.as_deref().or(self.reason.as_deref()).unwrap_or_default();
        format!("{}{text}", code.unwrap_or_default())
    }

    fn time(&self) -> &str {
        self.ts.get(TIME_OF_DAY).unwrap_or(&self.ts)
    }

    /// The task without its job, which is the same in all lines.
    fn short_task(&self) -> String {
        let task = self.task.as_deref().unwrap_or_default();
        task.split_once('.').map_or_else(String::new, |(_, rest)| rest.to_owned())
    }
}

/// Reads the lines of files, or of standard input where none is named.
///
/// # Errors
///
/// `BadFile` when one can't be read.
pub fn read(files: &[PathBuf]) -> Result<Vec<Line>, Failure> {
    if files.is_empty() {
        let mut text = Vec::new();
        std::io::stdin().lock().read_to_end(&mut text).map_err(|error| bad("-", &error))?;
        return Ok(lines(&text));
    }
    let mut all = Vec::new();
    for file in files {
        all.extend(lines(&fs::read(file).map_err(|error| bad(file, &error))?));
    }
    Ok(all)
}

fn bad(file: impl AsRef<Path>, error: &std::io::Error) -> Failure {
    Failure::new(Code::BadFile, format!("{}: {error}", file.as_ref().display()))
}

fn lines(text: &[u8]) -> Vec<Line> {
    String::from_utf8_lossy(text).lines().filter_map(Line::read).collect()
}

/// A job's lines in order, and what happened around them.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    job: String,
    lines: Vec<Line>,
}

impl Trace {
    /// Picks a job's lines out of all. The job's number may be given with or without leading zeros.
    ///
    /// # Errors
    ///
    /// `NoJob` when no line is about it, `BadSetting` when that is no job's number.
    pub fn open(mut lines: Vec<Line>, job: &str) -> Result<Trace, Failure> {
        let number = u64::from_str_radix(job, 16)
            .map_err(|_| Failure::new(Code::BadSetting, format!("{job:?} is no job's number")))?;
        let job = format!("{number:016x}");
        lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        let first = lines.iter().position(|line| line.is_about(&job));
        let last = lines.iter().rposition(|line| line.is_about(&job));
        let (Some(first), Some(last)) = (first, last) else {
            let text = format!("no line is about job {job}");
            let remedy =
                "give the logs of all instances; event 267 tells of lines that were left out";
            return Err(Failure::new(Code::NoJob, text).remedy(remedy));
        };
        let between = lines.drain(first..=last);
        let lines = between.filter(|line| line.is_about(&job) || line.is_around()).collect();
        Ok(Trace { job, lines })
    }

    fn own(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(|line| line.is_about(&self.job))
    }

    fn first(&self, event: Event) -> Option<&Line> {
        self.own().find(|line| line.event == event.number())
    }

    /// Counts the job's runs by how they ended.
    fn ends(&self) -> BTreeMap<String, u64> {
        let mut ends = BTreeMap::new();
        for line in self.own().filter(|line| line.event == Event::RunEnded.number()) {
            *ends.entry(line.why()).or_insert(0) += 1;
        }
        ends
    }

    /// Says in a few lines what became of the job.
    pub fn summary(&self) -> String {
        let mut text = format!("job {}\n", self.job);
        let steps = [
            ("refused", Event::JobRefused),
            ("unsettled", Event::JobUnsettled),
            ("accepted", Event::JobAccepted),
            ("known to the owner", Event::JobKnown),
            ("first start", Event::RunStarted),
            ("cancelling", Event::JobCancelling),
            ("ended", Event::JobEnded),
        ];
        for (word, event) in steps {
            if let Some(line) = self.first(event) {
                let (time, instance) = (line.time(), &line.instance);
                let _ = writeln!(text, "{word}: {time} at {instance} {}", line.why().trim_end());
            }
        }
        let ends = self.ends();
        if !ends.is_empty() {
            let ends: Vec<String> =
                ends.iter().map(|(how, count)| format!("{count} {how}")).collect();
            let _ = writeln!(text, "runs: {}", ends.join(", "));
        }
        text
    }

    /// Renders the trace.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Quiet => self.summary(),
            Format::Json => format!("{}\n", self.json()),
            Format::Table => {
                let mut table =
                    Table::new(["time", "instance", "event", "task", "run", "worker", "why"]);
                for line in &self.lines {
                    table.row(vec![
                        line.time().to_owned(),
                        line.instance.clone(),
                        line.name.clone(),
                        line.short_task(),
                        line.attempt.map_or_else(String::new, |attempt| attempt.to_string()),
                        line.worker.clone().unwrap_or_default(),
                        line.why(),
                    ]);
                }
                format!("{}\n{}", self.summary(), table.render())
            }
        }
    }

    fn json(&self) -> Value {
        let lines: Vec<Value> = self
            .lines
            .iter()
            .map(|line| {
                json!({
                    "ts": line.ts, "instance": line.instance, "event": line.event, "name": line.name,
                    "task": line.task, "attempt": line.attempt, "worker": line.worker, "why": line.why(),
                })
            })
            .collect();
        json!({ "job": self.job, "runs": self.ends(), "lines": lines })
    }
}

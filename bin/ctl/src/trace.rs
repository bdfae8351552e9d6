//! Traces one job through the logs of all instances: each decision about it with its time, instance
//! and reason, and changes of ownership and of the store's availability in between.
//!
//! Reads the JSON lines that the scheduler writes, in any order and mixed with other text.
//! `docs/OPERATIONS.md` explains how to diagnose a job from its trace.

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

/// Events that are not about one job but may affect all of them.
const CONTEXT_EVENTS: [Event; 7] = [
    Event::StoreLost,
    Event::StoreBack,
    Event::SeatTaken,
    Event::SeatLost,
    Event::SeatLeft,
    Event::Started,
    Event::Stopping,
];
/// Byte range of the time of day in a timestamp, from hours to milliseconds.
const TIME_OF_DAY: std::ops::Range<usize> = 11..23;

/// The fields of a log line that a trace shows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct Line {
    /// The time at which it was written, by its instance's clock.
    pub ts: String,
    /// The instance that wrote it.
    pub instance: String,
    /// The event's name.
    pub name: String,
    /// The event's number.
    pub event: u16,
    /// The job that the line is about, if any.
    #[serde(default)]
    pub job: Option<String>,
    /// The task: job, occurrence, step and index.
    #[serde(default)]
    pub task: Option<String>,
    /// The number of the task's run.
    #[serde(default)]
    pub attempt: Option<u64>,
    /// The worker.
    #[serde(default)]
    pub worker: Option<String>,
    /// The reason of a decision, or details of it.
    #[serde(default)]
    pub detail: Option<String>,
    /// The reason of a refusal.
    #[serde(default)]
    pub reason: Option<String>,
    /// The result code of a refusal.
    #[serde(default)]
    pub code: Option<u16>,
}

impl Line {
    /// Parses a line of a log and ignores any text before the JSON object. Returns `None` if the line
    /// is not a log line.
    pub fn parse(text: &str) -> Option<Line> {
        serde_json::from_str(text.get(text.find('{')?..)?.trim_end()).ok()
    }

    fn is_about(&self, job: &str) -> bool {
        self.job.as_deref() == Some(job)
    }

    fn is_context(&self) -> bool {
        CONTEXT_EVENTS.iter().any(|event| event.number() == self.event)
    }

    fn why(&self) -> String {
        let code = self.code.map(|code| format!("{code} "));
        let text = self.detail.as_deref().or(self.reason.as_deref()).unwrap_or_default();
        format!("{}{text}", code.unwrap_or_default())
    }

    fn time(&self) -> &str {
        self.ts.get(TIME_OF_DAY).unwrap_or(&self.ts)
    }

    /// Returns the task without its job, which is the same in all lines.
    fn short_task(&self) -> String {
        let task = self.task.as_deref().unwrap_or_default();
        task.split_once('.').map_or_else(String::new, |(_, rest)| rest.to_owned())
    }
}

/// Reads the lines of files, or of standard input if no file is given.
///
/// # Errors
///
/// `BadFile` when a file can't be read.
pub fn read(files: &[PathBuf]) -> Result<Vec<Line>, Failure> {
    if files.is_empty() {
        let mut text = Vec::new();
        std::io::stdin().lock().read_to_end(&mut text).map_err(|error| bad_file("-", &error))?;
        return Ok(lines(&text));
    }
    let mut all = Vec::new();
    for file in files {
        all.extend(lines(&fs::read(file).map_err(|error| bad_file(file, &error))?));
    }
    Ok(all)
}

fn bad_file(file: impl AsRef<Path>, error: &std::io::Error) -> Failure {
    Failure::new(Code::BadFile, format!("{}: {error}", file.as_ref().display()))
}

fn lines(text: &[u8]) -> Vec<Line> {
    String::from_utf8_lossy(text).lines().filter_map(Line::parse).collect()
}

/// A job's log lines and the context events between them, in order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    job: String,
    lines: Vec<Line>,
}

impl Trace {
    /// Selects a job's lines. The job's id may be given with or without leading zeros.
    ///
    /// # Errors
    ///
    /// `NoJob` when no line is about the job, `BadSetting` when `job` is not a job id.
    pub fn open(mut lines: Vec<Line>, job: &str) -> Result<Trace, Failure> {
        let number = u64::from_str_radix(job, 16)
            .map_err(|_| Failure::new(Code::BadSetting, format!("{job:?} is not a job id")))?;
        let job = format!("{number:016x}");
        lines.sort_by(|a, b| a.ts.cmp(&b.ts));
        let first = lines.iter().position(|line| line.is_about(&job));
        let last = lines.iter().rposition(|line| line.is_about(&job));
        let (Some(first), Some(last)) = (first, last) else {
            let text = format!("no line is about job {job}");
            let remedy =
                "pass the logs of all instances; event 267 reports lines that were dropped";
            return Err(Failure::new(Code::NoJob, text).remedy(remedy));
        };
        let between = lines.drain(first..=last);
        let lines = between.filter(|line| line.is_about(&job) || line.is_context()).collect();
        Ok(Trace { job, lines })
    }

    fn job_lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(|line| line.is_about(&self.job))
    }

    fn first(&self, event: Event) -> Option<&Line> {
        self.job_lines().find(|line| line.event == event.number())
    }

    /// Returns the number of the job's runs by result.
    fn run_results(&self) -> BTreeMap<String, u64> {
        let mut results = BTreeMap::new();
        for line in self.job_lines().filter(|line| line.event == Event::RunEnded.number()) {
            *results.entry(line.why()).or_insert(0) += 1;
        }
        results
    }

    /// Returns a summary of the job in a few lines.
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
        for (label, event) in steps {
            if let Some(line) = self.first(event) {
                let (time, instance) = (line.time(), &line.instance);
                let _ = writeln!(text, "{label}: {time} at {instance} {}", line.why().trim_end());
            }
        }
        let results = self.run_results();
        if !results.is_empty() {
            let results: Vec<String> =
                results.iter().map(|(result, count)| format!("{count} {result}")).collect();
            let _ = writeln!(text, "runs: {}", results.join(", "));
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
        json!({ "job": self.job, "runs": self.run_results(), "lines": lines })
    }
}

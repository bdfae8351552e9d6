//! Size of a job, in the form of a log field.
//!
//! Which jobs finish late often depends on their size: total work, demand of a single task, number of
//! tasks or critical path. The owner logs the size when it receives a job, and reports parse it from the log.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Multiple of its objective up to which a finished job counts as late; after that it counts as lost (the users'
/// page on payoff).
pub const MAX_LATE_FACTOR: f64 = 3.0;

/// Size of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// Name of the queue.
    pub queue: String,
    /// Number of tasks in all steps.
    pub tasks: u32,
    /// Total work in core-seconds, as estimated by the client.
    pub core_seconds: f64,
    /// Demand of the most demanding task in thousandths of a core.
    pub max_task_cpu_milli: u32,
    /// Length of the critical path, as estimated by the client.
    pub critical_path: Duration,
    /// Target time to completion.
    pub objective: Duration,
}

impl fmt::Display for Size {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Size { queue, tasks, core_seconds, max_task_cpu_milli, critical_path, objective } =
            self;
        let (critical_path, objective) = (critical_path.as_millis(), objective.as_millis());
        write!(
            out,
            "{queue} tasks={tasks} work={core_seconds:.1} widest={max_task_cpu_milli} chain={critical_path} objective={objective}"
        )
    }
}

impl FromStr for Size {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Size, ParseError> {
        let mut words = text.split_whitespace();
        let queue = words.next().ok_or(ParseError)?.to_owned();
        let tasks = parse_field(words.next(), "tasks")?;
        let core_seconds = parse_field(words.next(), "work")?;
        let max_task_cpu_milli = parse_field(words.next(), "widest")?;
        let critical_path = Duration::from_millis(parse_field(words.next(), "chain")?);
        let objective = Duration::from_millis(parse_field(words.next(), "objective")?);
        Ok(Size { queue, tasks, core_seconds, max_task_cpu_milli, critical_path, objective })
    }
}

/// Error for text that is not a job size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("invalid job size")]
pub struct ParseError;

fn parse_field<T: FromStr>(word: Option<&str>, name: &str) -> Result<T, ParseError> {
    let (key, value) = word.and_then(|word| word.split_once('=')).ok_or(ParseError)?;
    if key != name {
        return Err(ParseError);
    }
    value.parse().map_err(|_| ParseError)
}

//! How large a job is, as one line of a log tells it.
//!
//! Who is served badly often depends on size: by work, by what one task demands, by the count of tasks or by
//! length. The owner writes it when it learns of a job, and reports read it back from there.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Up to this many times its objective a job that is done counts as late; afterwards it is lost (the users' page on
/// payoff).
pub const LATE_LIMIT: f64 = 3.0;

/// The size of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// The queue.
    pub queue: String,
    /// Its tasks, of all steps.
    pub tasks: u32,
    /// Core-seconds, by its client's estimate.
    pub work: f64,
    /// Thousandths of a processor that its most demanding task needs.
    pub widest_milli: u32,
    /// Its longest chain of work, by its client's estimate.
    pub chain: Duration,
    /// How soon it should be done.
    pub objective: Duration,
}

impl fmt::Display for Size {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Size { queue, tasks, work, widest_milli, chain, objective } = self;
        let (chain, objective) = (chain.as_millis(), objective.as_millis());
        write!(
            out,
            "{queue} tasks={tasks} work={work:.1} widest={widest_milli} chain={chain} objective={objective}"
        )
    }
}

impl FromStr for Size {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Size, Malformed> {
        let mut words = text.split_whitespace();
        let queue = words.next().ok_or(Malformed)?.to_owned();
        let tasks = field(words.next(), "tasks")?;
        let work = field(words.next(), "work")?;
        let widest_milli = field(words.next(), "widest")?;
        let chain = Duration::from_millis(field(words.next(), "chain")?);
        let objective = Duration::from_millis(field(words.next(), "objective")?);
        Ok(Size { queue, tasks, work, widest_milli, chain, objective })
    }
}

/// A text that tells no size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("no size of a job")]
pub struct Malformed;

fn field<T: FromStr>(word: Option<&str>, name: &str) -> Result<T, Malformed> {
    let (key, value) = word.and_then(|word| word.split_once('=')).ok_or(Malformed)?;
    if key != name {
        return Err(Malformed);
    }
    value.parse().map_err(|_| Malformed)
}

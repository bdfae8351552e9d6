//! Resource usage of a process, from `/proc`.

use std::fs;
use std::time::Duration;

use anyhow::Context as _;

/// Ticks of processor time per second, the same on every supported Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Index of the user time among the fields after the command name.
const USER_FIELD: usize = 11;
/// Index of the resident pages in `statm`.
const RESIDENT_FIELD: usize = 1;
/// Page size in bytes.
const PAGE_BYTES: u64 = 4096;

/// Returns the processor time that a process has used, with a resolution of 10 ms.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub fn cpu_time(pid: u32) -> anyhow::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text.rsplit_once(')').context("the command is in brackets")?;
    let mut times = fields.split_whitespace().skip(USER_FIELD);
    let user: u64 = times.next().context("there is a user time")?.parse()?;
    let system: u64 = times.next().context("there is a system time")?.parse()?;
    Ok(Duration::from_millis((user + system) * 1000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of a process in bytes.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub fn resident_bytes(pid: u32) -> anyhow::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = text.split_whitespace().nth(RESIDENT_FIELD).context("statm has fields")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}

/// Returns the machine's load averages, as a note for the report.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(", ")
}

//! Processor time and switches of a process, by thread.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

/// Usage of a thread so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Processor time.
    pub(super) processor: Duration,
    /// Times that it went to sleep.
    pub(super) sleeps: u64,
}

/// Reads the usage of all threads of a process, by name.
///
/// # Errors
///
/// Returns an error if there is no such process.
pub(super) fn read(pid: u32) -> anyhow::Result<BTreeMap<String, Usage>> {
    let mut all: BTreeMap<String, Usage> = BTreeMap::new();
    for entry in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = entry?.path();
        let name = fs::read_to_string(path.join("comm"))?.trim().to_owned();
        let time = fs::read_to_string(path.join("schedstat"))?;
        let nanos = time.split(' ').next().unwrap_or_default().parse()?;
        let status = fs::read_to_string(path.join("status"))?;
        let sleeps = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        let usage = all.entry(name).or_default();
        usage.processor += Duration::from_nanos(nanos);
        usage.sleeps += sleeps.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    }
    Ok(all)
}

//! Keys of this system in the platform's store.

use cowslipchute_ports::job::JobId;

/// The key whose holder owns the cell.
pub const OWNER: &str = "cell/owner";
/// What owners have learnt about the cell.
pub const ESTIMATES: &str = "cell/learnt";
/// Jobs that have not ended, each as it was accepted.
pub const JOBS: &str = "job/";
/// Records of jobs that have begun and not ended.
pub const RECORDS: &str = "run/";
/// How far waves of upkeep are.
pub const ROLLOUTS: &str = "wave/";
/// How jobs ended.
pub const FINAL_STATES: &str = "end/";

/// Returns a job's key below a prefix.
pub fn for_job(prefix: &str, job: JobId) -> String {
    format!("{prefix}{job:016x}")
}

/// Returns the job whose key below a prefix this is.
pub fn parse_job(prefix: &str, key: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}

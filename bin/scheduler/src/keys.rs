//! Keys of the scheduler in the platform's store.

use cowslipchute_ports::job::JobId;

/// The owner key, whose value names the owner of the cell.
pub const OWNER: &str = "cell/owner";
/// Estimates of the cell, stored for later owners.
pub const ESTIMATES: &str = "cell/learnt";
/// Key that an owner writes to learn whether the store refuses one write or every write.
pub const WRITE_CHECK: &str = "cell/write-check";
/// Prefix of the accepted jobs that have not ended.
pub const JOBS: &str = "job/";
/// Prefix of the records of jobs that have started and not ended.
pub const RECORDS: &str = "run/";
/// Prefix of the statuses of maintenance rollouts.
pub const ROLLOUTS: &str = "wave/";
/// Prefix of the final states of jobs.
pub const FINAL_STATES: &str = "end/";

/// Returns a job's key below a prefix.
pub fn for_job(prefix: &str, job: JobId) -> String {
    format!("{prefix}{job:016x}")
}

/// Returns the job that a key below a prefix belongs to.
pub fn parse_job(prefix: &str, key: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}

//! Reads the state that a new owner needs before it decides anything: the jobs, their records, and
//! the estimates of previous owners.
//!
//! A job whose entry or record can't be decoded is set aside, so that it doesn't keep the owner from
//! all others: it stays in the store as it is, and none of its tasks is started, since nobody knows
//! which of them run or are done. A value of a later release sets nothing aside: a process of that
//! release can serve the job, and this one would stop its runs and acknowledge their ends.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::estimates::Estimates;
use cowslipchute_planner::record;
use cowslipchute_planner::record::Record;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;

use crate::event;
use crate::keys;
use crate::log::Log;

/// The state of the cell in the store.
pub struct Cell {
    /// Revision at which the jobs were read.
    pub revision: Revision,
    /// Jobs that have not ended, by rising revision.
    pub jobs: Vec<(JobId, Arc<Accepted>)>,
    /// Records of the jobs that have started.
    pub records: Vec<(JobId, Record)>,
    /// Revision of each record.
    pub revisions: HashMap<JobId, Revision>,
    /// Jobs that are set aside.
    pub set_aside: HashSet<JobId>,
}

/// Reads the state of the cell.
///
/// # Errors
///
/// Returns an error if the store doesn't answer, or if a later release has written a value.
pub async fn read_cell<S: Store>(store: &S, log: &Log) -> Result<Cell, kv::Error> {
    let jobs = store.read(keys::JOBS).await?;
    let records = store.read(keys::RECORDS).await?;
    let mut cell = Cell {
        revision: jobs.revision,
        jobs: Vec::with_capacity(jobs.entries.len()),
        records: Vec::with_capacity(records.entries.len()),
        revisions: HashMap::new(),
        set_aside: HashSet::new(),
    };
    for entry in records.entries {
        let Some(job) = keys::parse_job(keys::RECORDS, &entry.key) else { continue };
        cell.revisions.insert(job, entry.revision);
        match Record::decode(&entry.value) {
            Ok(record) => cell.records.push((job, record)),
            Err(error) => cell.set_aside(job, &entry, &error, log)?,
        }
    }
    let mut entries = jobs.entries;
    entries.sort_by_key(|entry| entry.revision);
    for entry in entries {
        let Some(job) = keys::parse_job(keys::JOBS, &entry.key) else { continue };
        match record::decode(&entry.value) {
            // An owner ends a cancelled job without its record.
            Ok(accepted) if cell.is_served(job, &accepted) => {
                cell.jobs.push((job, Arc::new(accepted)));
            }
            Ok(_) => {}
            Err(error) => cell.set_aside(job, &entry, &error, log)?,
        }
    }
    Ok(cell)
}

impl Cell {
    fn set_aside(
        &mut self,
        job: JobId,
        entry: &kv::Entry,
        error: &record::Error,
        log: &Log,
    ) -> Result<(), kv::Error> {
        if let record::Error::Later(_) = error {
            return Err(kv::Error::Protocol(format!("{}: {error}", entry.key)));
        }
        self.set_aside.insert(job);
        event!(log, LogEvent::JobSetAside, "job" => format!("{job:016x}"),
            "key" => entry.key.clone(), "bytes" => entry.value.len(),
            "reason" => error.to_string());
        Ok(())
    }

    fn is_served(&self, job: JobId, accepted: &Accepted) -> bool {
        accepted.cancelled || !self.set_aside.contains(&job)
    }
}

/// Reads the estimates of previous owners. Without them, the owner learns them anew.
pub async fn read_estimates<S: Store>(store: &S, log: &Log) -> Option<Estimates> {
    let entry = match store.read(keys::ESTIMATES).await {
        Ok(snapshot) => snapshot.entries.into_iter().find(|entry| entry.key == keys::ESTIMATES)?,
        Err(error) => {
            event!(log, LogEvent::StoreLost, "reason" => error.to_string());
            return None;
        }
    };
    match record::decode(&entry.value) {
        Ok(estimates) => Some(estimates),
        Err(error) => {
            event!(log, LogEvent::ConfigInvalid, "reason" => error.to_string());
            None
        }
    }
}

/// Decodes a job's entry; returns `None` if the key is not that of a job.
///
/// # Errors
///
/// Returns an error if the value can't be decoded.
pub fn decode_job(entry: &kv::Entry) -> Result<Option<(JobId, Arc<Accepted>)>, kv::Error> {
    let Some(job) = keys::parse_job(keys::JOBS, &entry.key) else { return Ok(None) };
    let accepted = record::decode::<Accepted>(&entry.value)
        .map_err(|error| kv::Error::Protocol(format!("{}: {error}", entry.key)))?;
    Ok(Some((job, Arc::new(accepted))))
}

//! Reads the state that a new owner needs before it decides anything: the jobs, their records, and
//! the estimates of previous owners.

use std::collections::HashMap;
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
}

/// Reads the state of the cell.
///
/// # Errors
///
/// Returns an error if the store doesn't answer, or if a job or a record can't be decoded.
pub async fn read_cell<S: Store>(store: &S) -> Result<Cell, kv::Error> {
    let jobs = store.read(keys::JOBS).await?;
    let records = store.read(keys::RECORDS).await?;
    let mut cell = Cell {
        revision: jobs.revision,
        jobs: Vec::with_capacity(jobs.entries.len()),
        records: Vec::with_capacity(records.entries.len()),
        revisions: HashMap::new(),
    };
    let mut entries = jobs.entries;
    entries.sort_by_key(|entry| entry.revision);
    for entry in entries {
        if let Some((job, accepted)) = decode_job(&entry)? {
            cell.jobs.push((job, accepted));
        }
    }
    for entry in records.entries {
        let Some(job) = keys::parse_job(keys::RECORDS, &entry.key) else { continue };
        let value = Record::decode(&entry.value)
            .map_err(|error| kv::Error::Protocol(format!("{}: {error}", entry.key)))?;
        cell.revisions.insert(job, entry.revision);
        cell.records.push((job, value));
    }
    Ok(cell)
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

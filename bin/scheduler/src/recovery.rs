//! What a new owner reads before it decides anything: jobs, records, and what earlier owners learnt.

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

/// What the store holds of the cell.
pub struct Cell {
    /// The revision of the jobs.
    pub revision: Revision,
    /// Jobs that have not ended, by rising age.
    pub jobs: Vec<(JobId, Arc<Accepted>)>,
    /// Records of those that have begun.
    pub records: Vec<(JobId, Record)>,
    /// The revision of each record.
    pub revisions: HashMap<JobId, Revision>,
}

/// Reads the cell.
///
/// # Errors
///
/// When the store doesn't answer, or holds something else than jobs and records there.
pub async fn read_cell<S: Store>(store: &S) -> Result<Cell, kv::Error> {
    let jobs = store.read(keys::JOBS).await?;
    let records = store.read(keys::RECORDS).await?;
    let mut loaded = Cell {
        revision: jobs.revision,
        jobs: Vec::with_capacity(jobs.entries.len()),
        records: Vec::with_capacity(records.entries.len()),
        revisions: HashMap::new(),
    };
    let mut entries = jobs.entries;
    entries.sort_by_key(|entry| entry.revision);
    for entry in entries {
        if let Some((job, accepted)) = decode_job(&entry)? {
            loaded.jobs.push((job, accepted));
        }
    }
    for entry in records.entries {
        let Some(job) = keys::parse_job(keys::RECORDS, &entry.key) else { continue };
        let value = Record::decode(&entry.value)
            .map_err(|error| kv::Error::Protocol(format!("{}: {error}", entry.key)))?;
        loaded.revisions.insert(job, entry.revision);
        loaded.records.push((job, value));
    }
    Ok(loaded)
}

/// Reads what earlier owners have learnt; without it the cell is only learnt anew.
pub async fn read_estimates<S: Store>(store: &S, log: &Log) -> Option<Estimates> {
    let entry = match store.read(keys::ESTIMATES).await {
        Ok(snapshot) => snapshot.entries.into_iter().find(|entry| entry.key == keys::ESTIMATES)?,
        Err(error) => {
            event!(log, LogEvent::StoreLost, "reason" => error.to_string());
            return None;
        }
    };
    match record::decode(&entry.value) {
        Ok(learnt) => Some(learnt),
        Err(error) => {
            event!(log, LogEvent::ConfigInvalid, "reason" => error.to_string());
            None
        }
    }
}

/// Reads a job's entry.
///
/// # Errors
///
/// When it holds something else than a job.
pub fn decode_job(entry: &kv::Entry) -> Result<Option<(JobId, Arc<Accepted>)>, kv::Error> {
    let Some(job) = keys::parse_job(keys::JOBS, &entry.key) else { return Ok(None) };
    let accepted = record::decode::<Accepted>(&entry.value)
        .map_err(|error| kv::Error::Protocol(format!("{}: {error}", entry.key)))?;
    Ok(Some((job, Arc::new(accepted))))
}

//! Maintenance rollouts: follows the operator's requests in the store, lists the machines while the
//! planner needs them, and stores the status of each rollout.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::record;
use cowslipchute_platform::operator;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::machine::Machines;
use cowslipchute_ports::machine::Name;
use cowslipchute_ports::machine::Progress;
use cowslipchute_ports::machine::RolloutNumber;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::clock;
use crate::event;
use crate::inbox;
use crate::keys;
use crate::log::Log;
use crate::owner;
use crate::owner::SharedPlanner;
use crate::watcher;
use crate::watcher::Change;

/// Interval at which machines are listed while a rollout is active, or a worker with runs is
/// silent. The maintenance of a machine takes two seconds or more, and the tasks of a lost worker
/// wait until the machine is seen to be gone.
const LIST_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a listing, as a multiple of its duration. A listing takes long if it has many pages
/// or its server is slow, and the number of pages per second is limited.
const LIST_PAUSE_FACTOR: u32 = 3;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before a status is written again that the store refuses. Machines that are added to it only
/// make it larger, so this is for a store that refuses every write for a while.
const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Status of a rollout, stored for later owners.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Progress as reported to the operator.
    pub progress: Progress,
    /// Machines whose maintenance has started.
    pub started: Vec<Name>,
}

/// The number of a rollout with its new status.
pub type Update = (RolloutNumber, Status);

fn key(rollout: RolloutNumber) -> String {
    format!("{}{rollout}", keys::ROLLOUTS)
}

/// Reports every rollout that isn't completed to the planner.
pub async fn follow<S: Store>(store: S, events: inbox::Sender, log: Log) {
    let mut changes = watcher::spawn(store.clone(), operator::ROLLOUTS, None, None, log.clone());
    while let Some(change) = changes.recv().await {
        let entries = match change {
            Change::Snapshot(snapshot) => snapshot.entries,
            Change::Put(entry) => vec![entry],
            // A withdrawn rollout continues, since its maintenance may have started.
            Change::Deleted { .. } => Vec::new(),
        };
        for entry in entries {
            let rollout = match operator::rollout(&entry.value) {
                Ok(rollout) => rollout,
                Err(error) => {
                    event!(log, LogEvent::ConfigInvalid, "key" => entry.key, "reason" => error.to_string());
                    continue;
                }
            };
            let status = read_status(&store, rollout.number, &log).await;
            if status.progress != Progress::Completed {
                // The receiver is dropped only when the ownership ends.
                events.send(Event::Rollout { rollout, started: status.started });
            }
        }
    }
}

/// Reads the status that previous owners stored, retrying until the store answers.
async fn read_status<S: Store>(store: &S, rollout: RolloutNumber, log: &Log) -> Status {
    let key = key(rollout);
    loop {
        match store.read(&key).await {
            Ok(snapshot) => {
                let entry = snapshot.entries.iter().find(|entry| entry.key == key);
                return entry
                    .and_then(|entry| decode(entry, log))
                    .unwrap_or_else(|| Status { progress: Progress::Active, started: Vec::new() });
            }
            Err(error) => {
                event!(log, LogEvent::StoreLost, "prefix" => keys::ROLLOUTS, "reason" => error.to_string());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Decodes a stored status. If it is unreadable, all maintenance is requested once more, which is
/// harmless.
fn decode(entry: &kv::Entry, log: &Log) -> Option<Status> {
    match record::decode(&entry.value) {
        Ok(status) => Some(status),
        Err(error) => {
            let key = entry.key.clone();
            event!(log, LogEvent::ConfigInvalid, "key" => key, "reason" => error.to_string());
            None
        }
    }
}

/// Lists the machines while the planner needs them.
pub async fn list_machines<M: Machines>(
    machines: M,
    planner: SharedPlanner,
    events: inbox::Sender,
    log: Log,
) {
    let mut failing = false;
    let mut pause = LIST_INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        if !owner::lock(&planner).needs_machine_list() {
            continue;
        }
        let requested_at = clock::now();
        let listed = machines.list().await;
        pause = LIST_INTERVAL.max(clock::now().saturating_sub(requested_at) * LIST_PAUSE_FACTOR);
        match listed {
            Ok(machines) => {
                failing = false;
                // The receiver is dropped only when the ownership ends.
                events.send(Event::Machines { machines, requested_at });
            }
            Err(error) if !failing => {
                failing = true;
                event!(log, LogEvent::ListStale, "reason" => error.to_string());
            }
            Err(_) => {}
        }
    }
}

/// Writes the latest status of each rollout. A status that can't be written now waits, and holds
/// back no other rollout.
pub async fn write_statuses<S: Store>(
    store: S,
    epoch: Revision,
    mut updates: mpsc::UnboundedReceiver<Update>,
    log: Log,
) {
    let mut pending: BTreeMap<RolloutNumber, Status> = BTreeMap::new();
    loop {
        if pending.is_empty() {
            let Some((rollout, status)) = updates.recv().await else { return };
            pending.insert(rollout, status);
        }
        while let Ok((rollout, status)) = updates.try_recv() {
            pending.insert(rollout, status);
        }
        let mut retry_delay = None;
        for (rollout, status) in std::mem::take(&mut pending) {
            let Err(error) = write_status(&store, epoch, rollout, &status, &log).await else {
                continue;
            };
            let delay = match error {
                kv::Error::Refused(_) => REFUSED_RETRY_DELAY,
                _ => RETRY_DELAY,
            };
            retry_delay = Some(retry_delay.unwrap_or(delay).min(delay));
            pending.insert(rollout, status);
        }
        if let Some(delay) = retry_delay {
            tokio::time::sleep(delay).await;
        }
    }
}

/// Writes the status of a rollout, for the operator and for later owners.
async fn write_status<S: Store>(
    store: &S,
    epoch: Revision,
    rollout: RolloutNumber,
    status: &Status,
    log: &Log,
) -> Result<(), kv::Error> {
    let (status_key, status_value) = match operator::rollout_status(rollout, status.progress) {
        Ok(status) => status,
        Err(error) => {
            event!(log, LogEvent::ConfigInvalid, "reason" => error.to_string());
            return Ok(());
        }
    };
    let put = |key: String, value: Vec<u8>| kv::Change::Put { key, value, lease: 0 };
    let value = record::encode(status);
    let bytes = value.len();
    let txn = kv::Txn {
        preconditions: vec![Precondition::Unchanged(keys::OWNER.to_owned(), epoch)],
        changes: vec![put(key(rollout), value), put(status_key, status_value)],
    };
    let Err(error) = store.commit(txn).await else {
        // If a precondition failed, another owner has the cell and continues the rollout.
        return Ok(());
    };
    let event = match error {
        kv::Error::Refused(_) => LogEvent::StoreRefused,
        _ => LogEvent::StoreUnsettled,
    };
    event!(log, event, "key" => key(rollout), "bytes" => bytes, "reason" => error.to_string());
    Err(error)
}

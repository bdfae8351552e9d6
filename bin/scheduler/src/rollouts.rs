//! Waves of upkeep between the store, the machines and the planner: demands are followed, machines are
//! listed while one is open, and how far each is goes back to the store.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::record;
use cowslipchute_platform::operator;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Guard;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::machine::Machines;
use cowslipchute_ports::machine::Name;
use cowslipchute_ports::machine::Progress;
use cowslipchute_ports::machine::WaveNumber;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::clock;
use crate::event;
use crate::keys;
use crate::log::Log;
use crate::owner;
use crate::owner::SharedPlanner;
use crate::watcher;
use crate::watcher::Change;

/// How often machines are listed while a wave is open, or a worker is silent that runs something; an upkeep takes two
/// seconds or more, and a lost worker's tasks wait meanwhile.
const LIST_PAUSE: Duration = Duration::from_millis(300);
/// A list that takes long, since it has many pages or its server is slow, is followed by a pause of
/// this many times as long: pages are limited in number a second.
const LIST_SHARE: u32 = 3;
/// Pause before a write that did not come through is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How far a wave is, as the store holds it for later owners.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// What the operator was told.
    pub progress: Progress,
    /// The machines whose upkeep has begun.
    pub started: Vec<Name>,
}

/// A wave's number with how far it is.
pub type Update = (WaveNumber, Status);

fn key(wave: WaveNumber) -> String {
    format!("{}{wave}", keys::ROLLOUTS)
}

/// Tells the planner of every wave that isn't completed.
pub async fn follow<S: Store>(store: S, events: mpsc::UnboundedSender<Event>, log: Log) {
    let mut changes = watcher::spawn(store.clone(), operator::WAVES, None, None, log.clone());
    while let Some(change) = changes.recv().await {
        let entries = match change {
            Change::Snapshot(snapshot) => snapshot.entries,
            Change::Put(entry) => vec![entry],
            // A wave that was taken back is carried on with: what it asked for may have begun.
            Change::Deleted { .. } => Vec::new(),
        };
        for entry in entries {
            let rollout = match operator::wave(&entry.value) {
                Ok(rollout) => rollout,
                Err(error) => {
                    event!(log, LogEvent::ConfigInvalid, "key" => entry.key, "reason" => error.to_string());
                    continue;
                }
            };
            let kept = read_status(&store, rollout.number, &log).await;
            if kept.progress != Progress::Completed {
                // The receiver is gone only when the ownership is ending.
                let _ = events.send(Event::Rollout { rollout, started: kept.started });
            }
        }
    }
}

/// Reads how far earlier owners came with a wave, again and again until the store tells.
async fn read_status<S: Store>(store: &S, wave: WaveNumber, log: &Log) -> Status {
    let key = key(wave);
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
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Without what earlier owners kept every upkeep is asked for once more, which is harmless.
fn decode(entry: &kv::Entry, log: &Log) -> Option<Status> {
    match record::decode(&entry.value) {
        Ok(kept) => Some(kept),
        Err(error) => {
            let key = entry.key.clone();
            event!(log, LogEvent::ConfigInvalid, "key" => key, "reason" => error.to_string());
            None
        }
    }
}

/// Lists the machines while the planner wants to know of them.
pub async fn list_machines<M: Machines>(
    machines: M,
    planner: SharedPlanner,
    events: mpsc::UnboundedSender<Event>,
    log: Log,
) {
    let mut failing = false;
    let mut pause = LIST_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        if !owner::lock(&planner).needs_machine_list() {
            continue;
        }
        let requested_at = clock::now();
        let listed = machines.list().await;
        pause = LIST_PAUSE.max(clock::now().saturating_sub(requested_at) * LIST_SHARE);
        match listed {
            Ok(machines) => {
                failing = false;
                // The receiver is gone only when the ownership is ending.
                let _ = events.send(Event::Machines { machines, requested_at });
            }
            Err(error) if !failing => {
                failing = true;
                event!(log, LogEvent::ListStale, "reason" => error.to_string());
            }
            Err(_) => {}
        }
    }
}

/// Writes how far waves are, one after the other, so that none replaces a later one.
pub async fn write_statuses<S: Store>(
    store: S,
    epoch: Revision,
    mut reports: mpsc::UnboundedReceiver<Update>,
    log: Log,
) {
    while let Some((wave, kept)) = reports.recv().await {
        let (status, text) = match operator::wave_status(wave, kept.progress) {
            Ok(status) => status,
            Err(error) => {
                event!(log, LogEvent::ConfigInvalid, "reason" => error.to_string());
                continue;
            }
        };
        let put = |key: String, value: Vec<u8>| kv::Change::Put { key, value, lease: 0 };
        let txn = kv::Txn {
            guards: vec![Guard::Unchanged(keys::OWNER.to_owned(), epoch)],
            changes: vec![put(key(wave), record::encode(&kept)), put(status, text)],
        };
        loop {
            match store.commit(txn.clone()).await {
                // Refused: another owner has the cell and goes on with the wave.
                Ok(_) => break,
                Err(error) => {
                    event!(log, LogEvent::StoreUnsettled, "reason" => error.to_string());
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

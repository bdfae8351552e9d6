//! The operator's configuration in force in this process. A version is never replaced by an earlier
//! one, even if the store or a late answer returns one.

use std::sync::Arc;

use cowslipchute_base::event::Event;
use cowslipchute_platform::operator;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::kv::Store;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::event;
use crate::health::Health;
use crate::log::Log;
use crate::watcher;
use crate::watcher::Change;

/// Receiver of the configuration in force; holds `None` until one is known.
pub type Current = watch::Receiver<Option<Arc<Config>>>;

/// Starts following the operator's configuration.
pub fn spawn<S: Store>(store: S, health: Health, log: Log) -> Current {
    let (sender, receiver) = watch::channel(None);
    let changes = watcher::spawn(store, operator::CONFIG, None, Some(health), log.clone());
    tokio::spawn(follow(changes, sender, log));
    receiver
}

async fn follow(
    mut changes: mpsc::Receiver<Change>,
    sender: watch::Sender<Option<Arc<Config>>>,
    log: Log,
) {
    while let Some(change) = changes.recv().await {
        match change {
            Change::Snapshot(snapshot) => {
                for entry in snapshot.entries {
                    apply(&entry.key, &entry.value, &sender, &log);
                }
            }
            Change::Put(entry) => apply(&entry.key, &entry.value, &sender, &log),
            // An operator replaces the configuration and never removes it.
            Change::Deleted { .. } => {}
        }
    }
}

fn apply(key: &str, value: &[u8], sender: &watch::Sender<Option<Arc<Config>>>, log: &Log) {
    if key != operator::CONFIG {
        return;
    }
    let config = match operator::config(value) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            event!(log, Event::ConfigInvalid, "reason" => error.to_string());
            return;
        }
    };
    let version = config.version;
    let queues = config.queues.len();
    let newer = sender.send_if_modified(|current| {
        let newer = current.as_ref().is_none_or(|current| current.version < version);
        if newer {
            *current = Some(config);
        }
        newer
    });
    if newer {
        log.metrics().config_applied(clock::now(), version);
        event!(log, Event::ConfigApplied, "version" => version, "queues" => queues);
    }
}

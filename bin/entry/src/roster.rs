//! The roster of key owners in the platform's store: reads, proposals and the watch.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_base::id::Revision;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::event::ReadId;
use cowslipchute_claim::roster;
use cowslipchute_claim::roster::Roster;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;

use crate::metrics::Metrics;

/// Timeout of a call to the store, retries included.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a watch is opened again.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The roster as stored, with its revision.
struct Versioned {
    revision: Revision,
    roster: Option<Arc<Roster>>,
}

/// Reads the roster once and returns the result as an event.
pub async fn read<S: Store>(store: S, read: ReadId) -> Event {
    match tokio::time::timeout(CALL_TIMEOUT, find(&store)).await {
        Ok(Ok((_, found))) => {
            Event::RosterRead { read, revision: found.revision, roster: found.roster }
        }
        _ => Event::StoreFailed,
    }
}

/// Writes a roster if the stored one still has `revision`, and returns the result as an event.
pub async fn propose<S: Store>(store: S, revision: Revision, roster: Roster) -> Event {
    let key = roster::KEY.to_owned();
    let guard = match revision {
        0 => Precondition::Missing(key.clone()),
        revision => Precondition::Unchanged(key.clone(), revision),
    };
    let value = serde_json::to_vec(&roster).expect("a roster can be serialised to JSON");
    let txn =
        Txn { preconditions: vec![guard], changes: vec![Change::Put { key, value, lease: 0 }] };
    match tokio::time::timeout(CALL_TIMEOUT, store.commit(txn)).await {
        Ok(Ok(_)) => Event::Proposed,
        _ => Event::StoreFailed,
    }
}

/// Sends every roster that the store's watch delivers, until the receiver is closed. Counts the
/// seconds for which the store can't be read.
pub async fn follow<S: Store>(
    store: S,
    events: mpsc::Sender<Event>,
    metrics: Metrics,
) -> Option<()> {
    let mut down: Option<Instant> = None;
    loop {
        match find(&store).await {
            Ok((revision, found)) => {
                down = None;
                if let Some(roster) = found.roster {
                    events
                        .send(Event::RosterReceived { revision: found.revision, roster })
                        .await
                        .ok()?;
                }
                if let Ok(updates) = store.watch(roster::KEY, revision).await {
                    forward(updates, &events).await?;
                }
            }
            Err(_) => {
                let since = down.get_or_insert_with(Instant::now);
                let seconds = since.elapsed().as_secs();
                metrics.store_down.inc_by(seconds);
                *since += Duration::from_secs(seconds);
            }
        }
        tokio::time::sleep(WATCH_RETRY_DELAY).await;
        if events.is_closed() {
            return None;
        }
    }
}

async fn forward(mut updates: mpsc::Receiver<Update>, events: &mpsc::Sender<Event>) -> Option<()> {
    loop {
        let update = tokio::select! {
            update = updates.recv() => update,
            () = events.closed() => return None,
        };
        match update {
            Some(Update::Put(entry)) => {
                let revision = entry.revision;
                if let Some(roster) = decode(&entry) {
                    events.send(Event::RosterReceived { revision, roster }).await.ok()?;
                }
            }
            // Owners keep using the last roster; an operator has to restore the removed one.
            Some(Update::Deleted { .. } | Update::Progress(_)) => {}
            Some(Update::Ended(_)) | None => return Some(()),
        }
    }
}

/// Reads the store's revision and the roster.
async fn find<S: Store>(store: &S) -> Result<(Revision, Versioned), kv::Error> {
    let snapshot = store.read(roster::KEY).await?;
    let Some(entry) = snapshot.entries.iter().find(|entry| entry.key == roster::KEY) else {
        return Ok((snapshot.revision, Versioned { revision: 0, roster: None }));
    };
    let roster = decode(entry);
    if roster.is_none() {
        return Err(kv::Error::Protocol("the roster can't be read".to_owned()));
    }
    Ok((snapshot.revision, Versioned { revision: entry.revision, roster }))
}

fn decode(entry: &kv::Entry) -> Option<Arc<Roster>> {
    let roster: Roster = serde_json::from_slice(&entry.value).ok()?;
    (entry.key == roster::KEY && roster.check().is_ok()).then(|| Arc::new(roster))
}

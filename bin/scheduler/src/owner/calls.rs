//! Calls to the store while this process owns the cell, each a task on the store thread.

use std::collections::HashSet;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Revision;
use cowslipchute_planner::action::Change as RecordChange;
use cowslipchute_planner::estimates::Estimates;
use cowslipchute_planner::event::BatchNumber;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::kv::Store;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::election::Notice;
use crate::evacuations::Evacuations;
use crate::event;
use crate::failpoint;
use crate::failpoint::Place;
use crate::inbox;
use crate::keys;
use crate::log::Log;
use crate::owner::SharedPlanner;
use crate::owner::lock;
use crate::recovery;
use crate::watcher;
use crate::watcher::Change;
use crate::writer::Fenced;
use crate::writer::Refusal;
use crate::writer::Writer;

/// Delay before a failed read of the cell's state is retried.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between writes of the estimates; short compared to the time that learning them takes.
const ESTIMATES_INTERVAL: Duration = Duration::from_secs(2);

/// Reads what a new owner needs, retrying until the store answers.
pub(super) async fn load<S: Store>(
    store: S,
    log: Log,
) -> (recovery::Cell, Option<Estimates>, Evacuations) {
    let cell = loop {
        match recovery::read_cell(&store, &log).await {
            Ok(cell) => break cell,
            Err(error) => {
                event!(log, LogEvent::StoreLost, "reason" => error.to_string());
                tokio::time::sleep(RECOVERY_RETRY_DELAY).await;
            }
        }
    };
    let estimates = recovery::read_estimates(&store, &log).await;
    let evacuations = Evacuations::read(&store, &log).await;
    (cell, estimates, evacuations)
}

/// Sends the jobs that are stored or changed after a revision, except those that are set aside and
/// not cancelled.
pub(super) async fn follow_jobs<S: Store>(
    store: S,
    after: Revision,
    set_aside: HashSet<JobId>,
    events: inbox::Sender,
    log: Log,
) {
    let mut changes = watcher::spawn(store, keys::JOBS, Some(after), None, log.clone());
    while let Some(change) = changes.recv().await {
        let entries = match change {
            Change::Snapshot(snapshot) => snapshot.entries,
            Change::Put(entry) => vec![entry],
            // Only scheduler processes remove jobs, once they have ended.
            Change::Deleted { .. } => continue,
        };
        for entry in entries {
            match recovery::decode_job(&entry) {
                Ok(Some((job, accepted))) if set_aside.contains(&job) && !accepted.cancelled => {}
                Ok(Some((job, accepted))) => events.send(Event::Job { job, accepted }),
                Ok(None) => {}
                Err(error) => {
                    event!(log, LogEvent::ConfigInvalid, "reason" => error.to_string());
                }
            }
        }
    }
}

/// Stores the estimates for the next owner every few seconds, if they have changed.
pub(super) async fn store_estimates<S: Store>(
    epoch: Revision,
    writer: Writer<S>,
    planner: SharedPlanner,
    notices: mpsc::UnboundedSender<Notice>,
) {
    let mut stored = None;
    loop {
        tokio::time::sleep(ESTIMATES_INTERVAL).await;
        let estimates = lock(&planner).estimates();
        if stored.as_ref() == Some(&estimates) {
            continue;
        }
        if writer.write_estimates(&estimates).await.is_err() {
            // The receiver is dropped only when the process exits.
            let _ = notices.send(Notice::WriteFenced { epoch });
            return;
        }
        stored = Some(estimates);
    }
}

/// Writes batches concurrently as they arrive; overlapping batches are about different jobs.
pub(super) async fn write_batches<S: Store>(
    epoch: Revision,
    writer: Writer<S>,
    mut batches: mpsc::UnboundedReceiver<(BatchNumber, Vec<RecordChange>)>,
    events: inbox::Sender,
    notices: mpsc::UnboundedSender<Notice>,
) {
    let mut writes = JoinSet::new();
    while let Some((batch, changes)) = batches.recv().await {
        failpoint::hit(Place::Store);
        let writer = writer.clone();
        let events = events.clone();
        let notices = notices.clone();
        writes.spawn(async move {
            // The receiver of notices is dropped only when the process exits.
            match writer.write(&changes).await {
                Ok(refusals) => {
                    for Refusal { job, lasting, reason } in refusals {
                        events.send(Event::WriteRefused { batch, job, lasting, reason });
                    }
                    events.send(Event::Written { batch });
                }
                Err(Fenced) => drop(notices.send(Notice::WriteFenced { epoch })),
            }
        });
        while writes.try_join_next().is_some() {}
    }
}

//! Publishes the status for operators.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::api::Query;
use crate::status;
use crate::status::Status;

use super::Decide;
use super::host::Host;

/// Minimum interval between two publications of the status.
const PUBLISH_EVERY: Duration = Duration::from_millis(250);

impl Decide {
    pub(super) fn publish(&mut self) {
        if self.now() >= self.published + PUBLISH_EVERY {
            self.publish_now();
        }
    }

    pub(super) fn publish_now(&mut self) {
        self.published = self.now();
        let status = self.status();
        let draining = self.drained;
        self.context.metrics.set_status(&status);
        if !draining && self.catalogue.read && status.listed {
            self.context.readiness.set(true);
        }
        self.context.status.send_if_modified(|last| {
            let changed = **last != status;
            if changed {
                *last = Arc::new(status);
            }
            changed
        });
    }

    fn status(&self) -> Status {
        let cells = self.manager.cell_statuses().map(|standing| {
            let host = self.hosts.values().find(|host| host.is_current(&standing.cell));
            status::Cell {
                workers: self.cell_workers(&standing.cell).count(),
                jobs: host.map_or(0, |host| host.sent_jobs.len()),
                records: host.map_or(0, |host| host.revisions.len()),
                in_flight: host.map_or(0, |host| host.exchanges),
                detail: host.and_then(Host::detail),
                cell: standing.cell,
                state: standing.stage,
                owner: standing.owner,
                epoch: standing.epoch,
            }
        });
        Status {
            listed: self.manager.is_listed(),
            store: self.manager.reaches_store(),
            cells: cells.collect(),
        }
    }

    /// Answers a query of the admin address about jobs.
    pub(super) fn answer_queries(&mut self, queries: &mut mpsc::Receiver<Query>) {
        while let Ok(query) = queries.try_recv() {
            let hosts = self.hosts.values();
            let jobs = hosts.flat_map(|host| host.jobs(query.job.as_deref())).collect();
            // The caller may have disconnected.
            let _ = query.reply.send(jobs);
        }
    }
}

//! Polls the platform's list of instances at a fixed interval.
//!
//! An older view never replaces a newer one. This module does not interpret changes of the list.
//! `docs/design/list.md` compares the alternatives.

use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_ports::list::Error;
use cowslipchute_ports::list::List;
use cowslipchute_ports::list::Version;
use cowslipchute_ports::list::View;
use tokio::time::Instant;

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// A newer view than all before.
    Changed(View),
    /// The list has not changed; the last view stays in use.
    Unchanged,
    /// The list can't be read, and the previous read succeeded; the last view stays in use.
    Failed(Error),
    /// The list still can't be read.
    StillFailing(Error),
}

/// Poller of the list.
#[derive(Debug)]
pub struct Reader<L> {
    list: L,
    domains: Vec<Domain>,
    interval: Duration,
    due: Instant,
    /// The version of the newest view that was read.
    known: Option<Version>,
    lost: bool,
}

impl<L: List> Reader<L> {
    /// Opens a reader of the given failure domains, or of all if none is given. The first read is
    /// due now and each further one `interval` after the start of the previous one. Uses the clock
    /// of the current tokio runtime.
    pub fn open(list: L, domains: Vec<Domain>, interval: Duration) -> Reader<L> {
        Reader { list, domains, interval, due: Instant::now(), known: None, lost: false }
    }

    /// Waits until a read is due, and reads. Cancelling it skips only that read.
    pub async fn read(&mut self) -> Read {
        tokio::time::sleep_until(self.due).await;
        self.due = Instant::now() + self.interval;
        let read = self.list.read(&self.domains, self.known).await;
        let was_lost = std::mem::replace(&mut self.lost, read.is_err());
        match read {
            Ok(Some(view)) if self.known.is_none_or(|known| view.version > known) => {
                self.known = Some(view.version);
                Read::Changed(view)
            }
            Ok(_) => Read::Unchanged,
            Err(error) if was_lost => Read::StillFailing(error),
            Err(error) => Read::Failed(error),
        }
    }
}

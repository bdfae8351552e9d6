//! The event loop that follows the platform's list, the domain's cells and the homes of jobs.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_daemon::ring;
use cowslipchute_follow::list::Read;
use cowslipchute_follow::list::Reader;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Update;
use cowslipchute_ports::list::List;
use cowslipchute_resource::key::HOME;
use cowslipchute_tenure::key;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::message::Observation;
use crate::message::Step;
use crate::metrics::Metrics;
use crate::pump;

/// Maximum number of updates queued within the event loop.
const QUEUE_MAX: usize = 256;
/// Retry delay before a failed watch is opened again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Parameters of the event loop.
#[derive(Clone, Debug)]
pub struct Context {
    /// The failure domain.
    pub domain: id::Domain,
    /// Interval between reads of the list.
    pub every: Duration,
    /// Counts the calls.
    pub metrics: Metrics,
}

/// Follows all sources until `decide` has ended, which drops the other end of `ended`. A closed
/// ring alone would be noticed only at the next update.
pub async fn run<S: Store, L: List>(
    store: S,
    list: L,
    context: Context,
    mut ended: oneshot::Receiver<()>,
    mut outbox: ring::Sender<Observation>,
) {
    let (sender, mut receiver) = mpsc::channel(QUEUE_MAX);
    let changed = |step| match step {
        Step::Snapshot { .. } | Step::Put { .. } | Step::Deleted { .. } => Observation::Changed,
    };
    let cells = key::domain(&context.domain);
    let duties = [
        tokio::task::spawn_local(follow_list(list, context.clone(), sender.clone())),
        tokio::task::spawn_local(follow(
            store.clone(),
            HOME.to_owned(),
            Observation::Homes,
            context.clone(),
            sender.clone(),
        )),
        tokio::task::spawn_local(follow(store, cells, changed, context, sender)),
    ];
    loop {
        tokio::select! {
            _ = &mut ended => break,
            observation = receiver.recv() => {
                let Some(observation) = observation else { break };
                if pump::push(&mut outbox, observation).await.is_err() {
                    break;
                }
            }
        }
    }
    for duty in duties {
        duty.abort();
    }
}

async fn follow_list<L: List>(list: L, context: Context, sender: mpsc::Sender<Observation>) {
    let mut reader = Reader::open(list, vec![context.domain], context.every);
    loop {
        let observation = match reader.read().await {
            Read::Changed(view) => Observation::Listed(view),
            Read::Failed(error) | Read::StillFailing(error) => {
                Observation::ListFailed(error.to_string())
            }
            Read::Unchanged => continue,
        };
        if sender.send(observation).await.is_err() {
            return;
        }
    }
}

/// Reads a prefix, then watches it from that revision; reads again only when the watch can't be
/// resumed.
async fn follow<S: Store>(
    store: S,
    prefix: String,
    wrap: impl Fn(Step) -> Observation,
    context: Context,
    sender: mpsc::Sender<Observation>,
) {
    let mut after = None;
    loop {
        let from = match after {
            Some(revision) => revision,
            None => {
                context.metrics.store_call("follow");
                let Ok(snapshot) = store.read(&prefix).await else {
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                };
                let revision = snapshot.revision;
                if sender.send(wrap(Step::Snapshot { snapshot })).await.is_err() {
                    return;
                }
                revision
            }
        };
        context.metrics.store_call("watch");
        after = match store.watch(&prefix, from).await {
            Ok(updates) => match pass_on(updates, from, &wrap, &sender).await {
                Some(resume) => resume,
                None => return,
            },
            Err(Error::Compacted(_)) => None,
            Err(_) => Some(from),
        };
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Revision after which to resume a watch; an inner `None` means that the whole prefix must be read
/// again.
type Resume = Option<id::Revision>;

/// Passes on updates until the watch ends; returns `None` when the receiver is gone.
async fn pass_on(
    mut updates: mpsc::Receiver<Update>,
    from: id::Revision,
    wrap: &impl Fn(Step) -> Observation,
    sender: &mpsc::Sender<Observation>,
) -> Option<Resume> {
    let mut seen = from;
    while let Some(update) = updates.recv().await {
        let step = match update {
            Update::Put(entry) => {
                seen = seen.max(entry.revision);
                Step::Put { entry }
            }
            Update::Deleted { key, revision } => {
                seen = seen.max(revision);
                Step::Deleted { key, revision }
            }
            Update::Progress(revision) => {
                seen = seen.max(revision);
                continue;
            }
            Update::Ended(Error::Compacted(_)) => return Some(None),
            Update::Ended(_) => break,
        };
        sender.send(wrap(step)).await.ok()?;
    }
    // All changes of a transaction share a revision. If the watch broke between them, resuming
    // after that revision would miss the rest, so it resumes at the revision itself. Every update
    // may be applied twice.
    Some(Some(seen.saturating_sub(1).max(from)))
}

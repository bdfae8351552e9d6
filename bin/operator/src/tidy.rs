//! Removes the lanes of operator processes that have ended, so that they don't accumulate in the
//! store.
//!
//! A lane is removed only if two checks, some time apart, find its incarnation missing from the
//! platform's list and the lane unchanged in between. If its process is still running, nothing is
//! lost: its next write creates the lane again, and a write whose outcome is being determined is
//! reported as unknown.

use std::time::Duration;

use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::list::Member;
use cowslipchute_resource::key;
use tokio::sync::watch;

/// Delay before the first check and between the checks; long enough for the list to catch up.
const CHECK_DELAY: Duration = Duration::from_secs(60);

/// Owner of a lane, taken from its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Owner<'a> {
    instance: &'a str,
    incarnation: Incarnation,
}

/// Returns the prefix of the lanes of one incarnation of an instance.
pub fn prefix(instance: &Instance, incarnation: Incarnation) -> String {
    format!("{}{instance}/{incarnation}/", key::OPERATOR)
}

/// Removes stale lanes once. Lanes that can't be removed now are left to the next process that
/// starts.
pub async fn run<S: Store>(store: S, own: String, members: watch::Receiver<Vec<Member>>) {
    tokio::time::sleep(CHECK_DELAY).await;
    let first = orphans(&store, &own, &members).await;
    if first.is_empty() {
        return;
    }
    tokio::time::sleep(CHECK_DELAY).await;
    let second = orphans(&store, &own, &members).await;
    for entry in second.into_iter().filter(|entry| first.contains(entry)) {
        let guards = vec![Precondition::Unchanged(entry.key.clone(), entry.revision)];
        let changes = vec![Change::Delete { key: entry.key }];
        // Nothing depends on whether the removal succeeded.
        let _ = store.commit(Txn { preconditions: guards, changes }).await;
    }
}

/// Reads the lanes whose process isn't listed. Without a list, no lane can be judged.
async fn orphans<S: Store>(
    store: &S,
    own: &str,
    members: &watch::Receiver<Vec<Member>>,
) -> Vec<Entry> {
    let Ok(found) = store.read(key::OPERATOR).await else { return Vec::new() };
    let members = members.borrow().clone();
    if members.is_empty() {
        return Vec::new();
    }
    let listed = |owner: Owner| {
        members.iter().any(|member| {
            &*member.instance == owner.instance && member.incarnation == owner.incarnation
        })
    };
    let orphan = |entry: &Entry| {
        !entry.key.starts_with(own) && owner(&entry.key).is_some_and(|owner| !listed(owner))
    };
    found.entries.into_iter().filter(orphan).collect()
}

fn owner(key: &str) -> Option<Owner<'_>> {
    let (path, _lane) = key.strip_prefix(key::OPERATOR)?.rsplit_once('/')?;
    let (instance, incarnation) = path.rsplit_once('/')?;
    Some(Owner { instance, incarnation: incarnation.parse().ok()? })
}

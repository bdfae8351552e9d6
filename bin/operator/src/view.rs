//! Resources as they are shown to operators.

use cowslipchute_base::id::Revision;
use cowslipchute_follow::Handle;
use cowslipchute_resource::Resource;
use cowslipchute_resource::stored::Stored;
use cowslipchute_spread::batch::Batch;
use serde::Serialize;

/// Source of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The store.
    Store,
    /// The configuration in force at this instance, because the store is down; it may be stale.
    InForce,
}

/// One resource.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct View {
    /// Revision of its last change, on which the next change is based.
    pub revision: Revision,
    /// Source of the resource.
    pub source: Source,
    /// The resource.
    pub resource: Resource,
}

/// Resources, all as of one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct List {
    /// The revision.
    pub revision: Revision,
    /// Source of the resources.
    pub source: Source,
    /// Resources in ascending order of their keys.
    pub items: Vec<View>,
}

/// Decodes a stored value; returns `None` if it can't be decoded.
pub fn read(value: &[u8], revision: Revision, source: Source) -> Option<View> {
    let stored = Stored::from_bytes(value).ok()?;
    Some(View { revision, source, resource: stored.resource })
}

/// Returns the resources below a prefix that are in force at this instance; `None` before the first
/// configuration.
pub async fn in_force(follow: &Handle, prefix: &str) -> Option<List> {
    let Batch { mut items, revision, .. } = follow.since(0).await?;
    if revision == 0 {
        return None;
    }
    items.retain(|item| item.key.starts_with(prefix));
    items.sort_by(|a, b| a.key.cmp(&b.key));
    let views = items.into_iter().filter_map(|item| {
        item.value.and_then(|value| read(&value, item.revision, Source::InForce))
    });
    Some(List { revision, source: Source::InForce, items: views.collect() })
}

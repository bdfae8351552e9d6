//! The stream of changes that come into force at this instance, as one JSON object per line.

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::Handle;
use cowslipchute_ports::peer::Item;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Resource;
use cowslipchute_resource::key;
use cowslipchute_resource::stored::Stored;
use cowslipchute_spread::batch::Batch;
use cowslipchute_spread::batch::Scope;
use futures_util::Stream;
use futures_util::stream;
use serde::Serialize;
use tokio::sync::watch;

/// Maximum interval between lines, so that a client can tell an idle stream from a dead one.
const PROGRESS_EVERY: Duration = Duration::from_secs(5);

/// One line of the stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Line {
    /// Start of a snapshot: the lines up to the next `in-force` are everything that exists, and
    /// earlier state is to be discarded.
    Whole,
    /// A resource was created or replaced.
    Put {
        /// Revision of the change.
        revision: Revision,
        /// The resource.
        resource: Box<Resource>,
    },
    /// A resource was removed.
    Removed {
        /// Revision of the removal.
        revision: Revision,
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// Everything up to this revision has been sent.
    InForce {
        /// The revision.
        revision: Revision,
    },
}

struct Watching {
    follow: Handle,
    marks: watch::Receiver<Revision>,
    after: Revision,
    stop: Stop,
    first: bool,
}

/// Opens the stream of changes that come into force after a revision. It ends when the process
/// shuts down.
pub fn open(
    follow: Handle,
    after: Revision,
    stop: Stop,
) -> impl Stream<Item = Result<Vec<u8>, std::io::Error>> + Send {
    let marks = follow.watch();
    let watching = Watching { follow, marks, after, stop, first: true };
    stream::unfold(watching, |mut watching| async move {
        let lines = watching.next().await?;
        Some((Ok(text(&lines)), watching))
    })
}

impl Watching {
    async fn next(&mut self) -> Option<Vec<Line>> {
        if !self.first {
            tokio::select! {
                () = self.stop.wait_for_stage(Stage::Draining) => return None,
                changed = self.marks.changed() => changed.ok()?,
                () = tokio::time::sleep(PROGRESS_EVERY) => {}
            }
        }
        self.first = false;
        self.marks.borrow_and_update();
        let Batch { items, revision, scope } = self.follow.since(self.after).await?;
        let mut lines = Vec::new();
        if scope == Scope::Whole {
            lines.push(Line::Whole);
        }
        lines.extend(items.into_iter().filter_map(line));
        self.after = self.after.max(revision);
        lines.push(Line::InForce { revision: self.after });
        Some(lines)
    }
}

fn line(item: Item) -> Option<Line> {
    let (kind, name) = key::parse_config(&item.key)?;
    let revision = item.revision;
    match item.value {
        Some(value) => {
            let resource = Box::new(Stored::from_bytes(&value).ok()?.resource);
            Some(Line::Put { revision, resource })
        }
        None => Some(Line::Removed { revision, kind, name: name.to_owned() }),
    }
}

fn text(lines: &[Line]) -> Vec<u8> {
    let mut out = Vec::new();
    for line in lines {
        serde_json::to_writer(&mut out, line).expect("a line always has a JSON form");
        out.push(b'\n');
    }
    out
}

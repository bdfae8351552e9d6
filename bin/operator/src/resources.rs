//! Operations on resources: create, read, list, replace and remove.
//!
//! Reads go to the store, so that a change can be based on the revision that they return. While the
//! store is down, they are answered from the configuration in force at this instance and marked as
//! such.

use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_base::id::Operation;
use cowslipchute_base::id::Revision;
use cowslipchute_daemon::log;
use cowslipchute_follow::Handle;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Entry;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Resource;
use cowslipchute_resource::check;
use cowslipchute_resource::key;
use cowslipchute_resource::reference;
use cowslipchute_resource::reference::Reference;
use cowslipchute_resource::stored::Stored;
use slog::Logger;
use slog::o;

use crate::lane::Error;
use crate::lane::Write;
use crate::problem::Problem;
use crate::view;
use crate::view::Source;
use crate::view::View;
use crate::writer::Failure;
use crate::writer::Writer;

/// Maximum number of attempts of a removal that conflicts with concurrently created references.
const REMOVE_ATTEMPTS_MAX: usize = 4;

/// The resources of one deployment.
#[derive(Debug)]
pub struct Resources<S> {
    store: S,
    writer: Writer<S>,
    follow: Handle,
    logger: Logger,
}

impl<S: Store> Resources<S> {
    /// Opens the resources in a store; `follow` answers reads while the store is down.
    pub fn open(store: S, writer: Writer<S>, follow: Handle, logger: Logger) -> Resources<S> {
        Resources { store, writer, follow, logger }
    }

    /// Returns the log that changes are recorded in.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Creates a resource and returns its revision.
    ///
    /// # Errors
    ///
    /// `Exists` with the current revision, `BadResource`, or the failure of the write.
    pub async fn create(&self, resource: Resource) -> Result<Revision, Problem> {
        check::resource(&resource)?;
        let key = key::config(resource.spec.kind(), &resource.name);
        let guard = Precondition::Missing(key.clone());
        let refused = |current: &[Entry]| {
            let found = current.iter().find(|entry| entry.key == key)?;
            Some(Problem::new(Code::Exists).revision(found.revision))
        };
        self.put(&key, resource, guard, refused).await
    }

    /// Replaces a resource that is at `revision` and returns the new revision.
    ///
    /// # Errors
    ///
    /// `Conflict` with the current revision, `NoResource`, `BadResource`, or the failure of the
    /// write.
    pub async fn replace(
        &self,
        resource: Resource,
        revision: Revision,
    ) -> Result<Revision, Problem> {
        check::resource(&resource)?;
        let key = key::config(resource.spec.kind(), &resource.name);
        let guard = Precondition::Unchanged(key.clone(), revision);
        let refused = |current: &[Entry]| conflict(current, &key, revision);
        self.put(&key, resource, guard, refused).await
    }

    async fn put(
        &self,
        key: &str,
        resource: Resource,
        guard: Precondition,
        refused: impl Fn(&[Entry]) -> Option<Problem>,
    ) -> Result<Revision, Problem> {
        let operation: Operation = rand::random();
        let references = reference::of(&resource);
        let target = |reference: &Reference| key::config(reference.kind, &reference.name);
        let mut guards = vec![guard];
        guards.extend(references.iter().map(|reference| Precondition::Present(target(reference))));
        let value = Stored { operation, resource }.to_bytes();
        let mut changes = vec![Change::Put { key: key.to_owned(), value, lease: 0 }];
        if !references.is_empty() {
            changes.push(mark_references(operation));
        }
        let write = Write { operation, guards, changes };
        let current = match self.commit(key, &write).await? {
            Ok(revision) => return Ok(revision),
            Err(current) => current,
        };
        if let Some(problem) = refused(&current) {
            return Err(self.conflicted(key, problem));
        }
        let missing = references
            .iter()
            .find(|reference| current.iter().all(|entry| entry.key != target(reference)));
        // Neither the target nor the references explain the failure, so a concurrent change was
        // reverted.
        Err(missing.map_or_else(|| Problem::new(Code::Conflict), dangling))
    }

    /// Removes a resource that is at `revision` and returns the revision of the removal.
    ///
    /// # Errors
    ///
    /// `Conflict` with the current revision, `NoResource`, `InUse`, or the failure of the write.
    pub async fn remove(
        &self,
        kind: Kind,
        name: &str,
        revision: Revision,
    ) -> Result<Revision, Problem> {
        let key = key::config(kind, name);
        for _ in 0..REMOVE_ATTEMPTS_MAX {
            let mut guards = vec![Precondition::Unchanged(key.clone(), revision)];
            guards.extend(self.check_unreferenced(kind, name).await?);
            let changes = vec![Change::Delete { key: key.clone() }];
            let write = Write { operation: rand::random(), guards, changes };
            let current = match self.commit(&key, &write).await? {
                Ok(revision) => return Ok(revision),
                Err(current) => current,
            };
            if let Some(problem) = conflict(&current, &key, revision) {
                return Err(self.conflicted(&key, problem));
            }
            // A reference to some resource was created concurrently, perhaps to this one: check
            // again.
        }
        Err(Problem::new(Code::Busy).because("references are being changed all the time"))
    }

    /// Checks that nothing refers to a resource, and returns the guard that keeps it so.
    async fn check_unreferenced(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Precondition>, Problem> {
        let Some(referrers) = reference::referrers(kind) else { return Ok(None) };
        // Read the mark first: a reference created after this read changes it, and the guard fails.
        let marks = self.store.read(key::REFERENCES).await.map_err(down)?.entries;
        let mark = marks.into_iter().find(|entry| entry.key == key::REFERENCES);
        let found = self.store.read(&key::config_kind(referrers)).await.map_err(down)?;
        let user = found.entries.iter().find(|entry| refers(entry, kind, name));
        if let Some(user) = user {
            let text = format!("{} refers to it", user.key.trim_start_matches(key::CONFIG));
            return Err(Problem::new(Code::InUse)
                .because(text)
                .remedy("change or delete that resource first"));
        }
        let key = String::from(key::REFERENCES);
        let missing = Precondition::Missing(key.clone());
        Ok(Some(mark.map_or(missing, |mark| Precondition::Unchanged(key, mark.revision))))
    }

    /// Performs a write; the inner error holds the current entries of the guarded keys.
    async fn commit(
        &self,
        key: &str,
        write: &Write,
    ) -> Result<Result<Revision, Vec<Entry>>, Problem> {
        match self.writer.commit(key, write).await {
            Ok(revision) => {
                let fields = o!("key" => key.to_owned(), "revision" => revision);
                log::emit(&self.logger, Event::ConfigWritten, fields);
                Ok(Ok(revision))
            }
            Err(Failure::Lane(Error::Refused(current))) => Ok(Err(current)),
            Err(Failure::Lane(Error::Down(text))) => {
                Err(Problem::new(Code::StoreDown).because(text))
            }
            Err(Failure::Lane(Error::Unknown(text))) => Err(Problem::new(Code::StoreUnknown)
                .because(text)
                .remedy("read the resource before trying again")),
            Err(Failure::Busy) => Err(Problem::new(Code::Busy)),
        }
    }

    fn conflicted(&self, key: &str, problem: Problem) -> Problem {
        let fields = o!("key" => key.to_owned(), "revision" => problem.revision);
        log::emit(&self.logger, Event::ConfigConflict, fields);
        problem
    }

    /// Reads one resource.
    ///
    /// # Errors
    ///
    /// `NoResource`, or `StoreDown` when nothing is in force at this instance either.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<View, Problem> {
        let key = key::config(kind, name);
        let list = self.read(&key).await?;
        let found = list.items.into_iter().find(|view| &*view.resource.name == name);
        found.ok_or_else(|| Problem::new(Code::NoResource))
    }

    /// Reads every resource of a kind.
    ///
    /// # Errors
    ///
    /// `StoreDown` when nothing is in force at this instance either.
    pub async fn list(&self, kind: Kind) -> Result<view::List, Problem> {
        self.read(&key::config_kind(kind)).await
    }

    async fn read(&self, prefix: &str) -> Result<view::List, Problem> {
        match self.store.read(prefix).await {
            Ok(snapshot) => {
                let entries = snapshot.entries.iter();
                let items = entries
                    .filter_map(|entry| view::read(&entry.value, entry.revision, Source::Store));
                let items = items.collect();
                Ok(view::List { revision: snapshot.revision, source: Source::Store, items })
            }
            Err(error) => view::in_force(&self.follow, prefix).await.ok_or_else(|| down(error)),
        }
    }
}

fn mark_references(operation: Operation) -> Change {
    let value = format!("{operation:032x}").into_bytes();
    Change::Put { key: String::from(key::REFERENCES), value, lease: 0 }
}

fn dangling(reference: &Reference) -> Problem {
    let text = format!("there is no {} {:?}", reference.kind.as_str(), reference.name);
    let remedy = format!("create that {} first", reference.kind.as_str());
    Problem::new(Code::BadResource).because(text).field(reference.field).remedy(remedy)
}

/// Returns why a change based on `revision` was refused, if the target is the reason.
fn conflict(current: &[Entry], key: &str, revision: Revision) -> Option<Problem> {
    let Some(found) = current.iter().find(|entry| entry.key == key) else {
        return Some(Problem::new(Code::NoResource));
    };
    (found.revision != revision).then(|| {
        let text = format!("made from revision {revision}, but it is at {}", found.revision);
        let remedy = "read it, make the change again and send the revision read";
        Problem::new(Code::Conflict).because(text).remedy(remedy).revision(found.revision)
    })
}

fn refers(entry: &Entry, kind: Kind, name: &str) -> bool {
    let Ok(stored) = Stored::from_bytes(&entry.value) else { return false };
    reference::of(&stored.resource).iter().any(|found| found.kind == kind && found.name == name)
}

fn down(error: kv::Error) -> Problem {
    Problem::new(Code::StoreDown).because(error.to_string())
}

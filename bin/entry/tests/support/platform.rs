//! In-memory implementations of the platform's ports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Update;
use cowslipchute_ports::list;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Resource;
use cowslipchute_resource::Spec;
use cowslipchute_resource::key;
use cowslipchute_resource::service;
use cowslipchute_resource::stored::Stored;
use tokio::sync::mpsc;

/// The list of instances.
#[derive(Clone, Default)]
pub struct List {
    view: Arc<Mutex<list::View>>,
    reads: Arc<AtomicUsize>,
}

impl List {
    /// Returns a list with backend servers of one service.
    pub fn of(service: &str, addresses: &[SocketAddr]) -> List {
        let list = List::default();
        for (number, address) in addresses.iter().enumerate() {
            list.add(member(&format!("{service}-{number}"), service, *address));
        }
        list
    }

    /// Returns the number of reads so far.
    pub fn reads(&self) -> usize {
        self.reads.load(Ordering::Relaxed)
    }

    /// Adds or replaces an instance.
    pub fn add(&self, member: list::Member) {
        let mut view = self.view.lock().expect("the lock is not poisoned");
        view.members.retain(|other| other.instance != member.instance);
        view.members.push(member);
        view.members.sort_by(|a, b| a.instance.cmp(&b.instance));
        view.version += 1;
    }
}

/// Returns a live backend server.
pub fn member(instance: &str, service: &str, address: SocketAddr) -> list::Member {
    list::Member {
        instance: instance.into(),
        incarnation: 1,
        role: list::Role::Backend,
        state: list::State::Live,
        domain: "north".into(),
        rack: "".into(),
        address,
        service: service.into(),
        slots: 8,
        connections: 60,
        capacity: Amount::ZERO,
    }
}

impl list::List for List {
    async fn read(
        &self,
        _: &[Domain],
        known: Option<list::Version>,
    ) -> Result<Option<list::View>, list::Error> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let view = self.view.lock().expect("the lock is not poisoned").clone();
        Ok((known != Some(view.version)).then_some(view))
    }
}

/// The key-value service, without leases.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    down: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    revision: Revision,
    entries: Vec<kv::Entry>,
    watches: Vec<Watch>,
}

struct Watch {
    prefix: String,
    updates: mpsc::Sender<Update>,
}

impl Store {
    /// Returns a store with one service.
    pub fn with(name: &str, spec: service::Spec) -> Store {
        let store = Store::default();
        store.put(name, spec);
        store
    }

    /// Sets whether every call fails.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Adds a service.
    pub fn put(&self, name: &str, spec: service::Spec) {
        let resource = Resource { name: name.into(), spec: Spec::Service(spec) };
        let value = Stored { operation: 1, resource }.to_bytes();
        self.state().put(key::config(Kind::Service, name), value);
    }

    /// Returns a value.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.state().find(key).map(|entry| entry.value.clone())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn check(&self) -> Result<(), kv::Error> {
        if self.down.load(Ordering::SeqCst) {
            return Err(kv::Error::Unavailable("the test's store is down".to_owned()));
        }
        Ok(())
    }
}

impl State {
    fn find(&self, key: &str) -> Option<&kv::Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    fn put(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        let entry = kv::Entry { key, value, revision: self.revision, lease: 0 };
        self.entries.retain(|other| other.key != entry.key);
        self.entries.push(entry.clone());
        for watch in &self.watches {
            if entry.key.starts_with(&watch.prefix) {
                // The channel never fills up: tests read their watches faster than they write the
                // store.
                let _ = watch.updates.try_send(Update::Put(entry.clone()));
            }
        }
    }

    fn holds(&self, guard: &kv::Precondition) -> bool {
        match guard {
            kv::Precondition::Missing(key) => self.find(key).is_none(),
            kv::Precondition::Present(key) => self.find(key).is_some(),
            kv::Precondition::Unchanged(key, revision) => {
                self.find(key).is_some_and(|entry| entry.revision == *revision)
            }
        }
    }
}

fn no_leases<T>() -> Result<T, kv::Error> {
    Err(kv::Error::Unavailable("the test's store has no leases".to_owned()))
}

impl kv::Store for Store {
    async fn read(&self, prefix: &str) -> Result<kv::Snapshot, kv::Error> {
        self.check()?;
        let state = self.state();
        let found = state.entries.iter().filter(|entry| entry.key.starts_with(prefix));
        Ok(kv::Snapshot { revision: state.revision, entries: found.cloned().collect() })
    }

    async fn commit(&self, txn: kv::Txn) -> Result<kv::TxnOutcome, kv::Error> {
        self.check()?;
        let mut state = self.state();
        let applied = txn.preconditions.iter().all(|guard| state.holds(guard));
        if applied {
            for change in txn.changes {
                match change {
                    kv::Change::Put { key, value, .. } => state.put(key, value),
                    kv::Change::Delete { key } => state.entries.retain(|entry| entry.key != key),
                }
            }
        }
        Ok(kv::TxnOutcome { applied, revision: state.revision, current: Vec::new() })
    }

    async fn grant(&self, _: Duration) -> Result<kv::LeaseId, kv::Error> {
        no_leases()
    }

    async fn keep_alive(&self, _: kv::LeaseId) -> Result<Duration, kv::Error> {
        no_leases()
    }

    async fn revoke(&self, _: kv::LeaseId) -> Result<(), kv::Error> {
        no_leases()
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<mpsc::Receiver<Update>, kv::Error> {
        self.check()?;
        let (updates, receiver) = mpsc::channel(1024);
        let mut state = self.state();
        let missed = state.entries.iter().filter(|entry| entry.revision > after);
        for entry in missed.filter(|entry| entry.key.starts_with(prefix)) {
            let _ = updates.try_send(Update::Put(entry.clone()));
        }
        let _ = updates.try_send(Update::Progress(state.revision));
        state.watches.push(Watch { prefix: prefix.to_owned(), updates });
        Ok(receiver)
    }
}

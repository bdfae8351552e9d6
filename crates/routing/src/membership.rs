//! Updates the backend servers from the platform's membership list and from reports of leaving
//! instances, which may precede it.

use std::collections::BTreeSet;

use cowslipchute_base::entity::Id;
use cowslipchute_base::event as log;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;

use crate::action::Action;
use crate::backend::Backend;
use crate::backend::Presence;
use crate::eject::Health;
use crate::eject::Status;
use crate::pool::Pool;
use crate::router::Identity;
use crate::router::Router;
use crate::router::Step;
use crate::share;
use crate::share::Partition;

impl Router {
    /// Applies a membership list; one that isn't newer than the last is ignored.
    pub(crate) fn apply_list(&mut self, view: &list::View, step: &mut Step<'_>) {
        if self.list_version.is_some_and(|known| view.version <= known) {
            return;
        }
        self.list_version = Some(view.version);
        // A list that arrives before any declaration means that no service is declared.
        self.is_ready = true;
        let local_entries = self.local_entries(view);
        for member in &view.members {
            if member.role == list::Role::Backend {
                self.update_backend(member, view.version, local_entries, step);
            }
        }
        self.remove_unlisted(view.version, step);
        self.remove_unused_pools();
    }

    /// Returns the number of entries that share the slots of the local failure domain. If the list
    /// has none of them, all entries are assumed to be spread evenly over the failure domains.
    fn local_entries(&self, view: &list::View) -> u16 {
        let is_local_entry = |member: &&list::Member| {
            member.role == list::Role::Entry
                && member.state == list::State::Live
                && member.domain == self.settings.domain
        };
        let listed = view.members.iter().filter(is_local_entry).count();
        if listed > 0 {
            return u16::try_from(listed).unwrap_or(u16::MAX);
        }
        let backends = view.members.iter().filter(|member| member.role == list::Role::Backend);
        let domains: BTreeSet<&id::Domain> = backends.map(|member| &member.domain).collect();
        let domains = u16::try_from(domains.len()).unwrap_or(u16::MAX);
        self.settings.entries.div_ceil(domains.max(1))
    }

    fn update_backend(
        &mut self,
        member: &list::Member,
        version: u64,
        local_entries: u16,
        step: &mut Step<'_>,
    ) {
        let id = self.backend_id(member, version, step.now);
        let partition = Partition { entries: self.settings.entries, entry: self.settings.entry };
        let connections = share::connections(member.connections, &member.instance, partition);
        let backend = &mut self.backends[id];
        let entries = if backend.is_local { local_entries } else { self.settings.entries };
        backend.set_share(connections, share::slots_milli(member.slots, entries));
        backend.address = member.address;
        backend.version = version;
        let pool = backend.pool;
        let is_leaving = member.state == list::State::Leaving
            || self.leaving.contains(&member.instance, member.incarnation);
        if is_leaving && backend.presence == Presence::Live {
            step.log(log::Event::BackendLeaving, &backend.instance);
            self.set_unavailable(id, Presence::Leaving, step);
        }
        self.pools[pool].refresh(step.now, id, &mut self.backends);
        self.mark_changed(pool);
    }

    /// Returns a listed backend server; adds it if it is new.
    ///
    /// The first backend servers of a pool start healthy, because there are no others to send
    /// requests to; those that join later have to pass a probe.
    fn backend_id(&mut self, member: &list::Member, version: u64, now: Time) -> Id<Backend> {
        let identity =
            Identity { instance: member.instance.clone(), incarnation: member.incarnation };
        if let Some(&known) = self.backend_ids.get(&identity) {
            return known;
        }
        let pool_id = self.pool_id(&member.service);
        let pool = &mut self.pools[pool_id];
        if pool.failures.listed == 0 {
            pool.initial_version = Some(version);
        }
        let is_initial = pool.initial_version == Some(version);
        let health = if is_initial { Health::healthy() } else { Health::probing(now) };
        pool.failures.listed += 1;
        let is_local = member.domain == self.settings.domain;
        let id = self.backends.insert(Backend::open(member, pool_id, is_local, health));
        self.backend_ids.insert(identity, id);
        id
    }

    fn remove_unlisted(&mut self, version: u64, step: &mut Step<'_>) {
        let unlisted: Vec<Id<Backend>> = self
            .backends
            .iter()
            .filter(|(_, backend)| backend.version != version)
            .filter(|(_, backend)| backend.presence != Presence::Gone)
            .map(|(id, _)| id)
            .collect();
        for id in unlisted {
            self.set_unavailable(id, Presence::Gone, step);
            if self.backends[id].in_flight == 0 {
                self.remove_backend(id);
            }
        }
    }

    /// Removes pools that nothing refers to, so that removed services leave no state behind.
    fn remove_unused_pools(&mut self) {
        let mut used = BTreeSet::new();
        used.extend(self.services.iter().map(|(_, service)| service.pool));
        used.extend(self.backends.iter().map(|(_, backend)| backend.pool));
        used.extend(self.requests.iter().map(|(_, request)| request.pool));
        let unused: Vec<Id<Pool>> =
            self.pools.iter().map(|(id, _)| id).filter(|id| !used.contains(id)).collect();
        for id in unused {
            let pool = self.pools.remove(id).expect("the pool was just found");
            self.pool_ids.remove(&pool.name);
        }
    }

    /// Handles a report by a peer or by this entry process that an instance is leaving.
    pub(crate) fn notified_leaving(
        &mut self,
        instance: &id::Instance,
        incarnation: id::Incarnation,
        step: &mut Step<'_>,
    ) {
        self.leaving.insert(instance, incarnation);
        let identity = Identity { instance: instance.clone(), incarnation };
        let Some(&id) = self.backend_ids.get(&identity) else { return };
        if self.backends[id].presence == Presence::Live {
            step.log(log::Event::BackendLeaving, instance);
            self.set_unavailable(id, Presence::Leaving, step);
        }
    }

    /// Handles a backend server's own report that it is leaving, and announces it to the other
    /// entries.
    pub(crate) fn reported_leaving(&mut self, id: Id<Backend>, step: &mut Step<'_>) {
        let Some(backend) = self.backends.get(id) else { return };
        if backend.presence != Presence::Live {
            return;
        }
        let instance = backend.instance.clone();
        let incarnation = backend.incarnation;
        self.leaving.insert(&instance, incarnation);
        step.log(log::Event::BackendLeaving, &instance);
        step.act(Action::Announce { instance, incarnation });
        self.set_unavailable(id, Presence::Leaving, step);
    }

    /// Excludes a backend server from new requests; its attempts in flight continue.
    fn set_unavailable(&mut self, id: Id<Backend>, presence: Presence, step: &mut Step<'_>) {
        let backend = &mut self.backends[id];
        let pool_id = backend.pool;
        let pool: &mut Pool = &mut self.pools[pool_id];
        if backend.presence == Presence::Live {
            pool.failures.listed -= 1;
            if matches!(backend.health.status(), Status::Ejected { .. }) {
                pool.failures.ejected -= 1;
            }
        }
        backend.presence = presence;
        pool.refresh(step.now, id, &mut self.backends);
        self.mark_changed(pool_id);
    }

    /// Removes a backend server that is no longer listed and has no attempt left.
    pub(crate) fn remove_backend(&mut self, id: Id<Backend>) {
        let backend = self.backends.remove(id).expect("a backend server is removed only once");
        assert_eq!(backend.in_flight, 0, "a backend server with attempts in flight isn't removed");
        let identity = Identity { instance: backend.instance, incarnation: backend.incarnation };
        self.backend_ids.remove(&identity);
    }
}

//! The successive owners of the planner's world.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::settings::Settings;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::deployment::Limits;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::deployment::Service;

use super::LEASE;
use super::World;
use super::processor::Processor;
use super::workers::registration;

impl World {
    pub fn config(priority: u8, attempts: u32, advised: bool) -> Arc<Config> {
        let advice = cowslipchute_ports::deployment::Advice {
            base_latency: Duration::from_millis(30),
            latency_per_worker: Duration::from_millis(5),
            ticket_validity: Duration::from_secs(3),
        };
        let queue = |name: &str, priority| Queue {
            name: name.into(),
            host: "host".into(),
            prefix: "/q/".into(),
            service: "desk".into(),
            priority,
            max_attempts: attempts,
            slack_factor: 1.5,
            allowance: Duration::from_millis(250),
            advice: advised.then_some(advice),
        };
        Arc::new(Config {
            version: 1,
            queues: vec![queue("q", priority), queue("r", priority), queue("low", priority + 2)],
            services: Vec::new(),
            limits: Limits {
                max_header_bytes: 1 << 14,
                max_body_bytes: 1 << 18,
                header_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(15),
            },
        })
    }

    /// Returns a configuration in which a service refuses excess runs if all its workers do.
    pub(super) fn with_services(&self, config: &Arc<Config>) -> Arc<Config> {
        let mut guarded: BTreeMap<id::Service, bool> = BTreeMap::new();
        for worker in self.workers.values() {
            let service = registration(worker).service;
            *guarded.entry(service).or_insert(true) &= worker.checks_capacity;
        }
        let services = guarded.into_iter().map(|(name, guarded)| Service {
            name,
            enforces_limits: guarded,
            standby: false,
        });
        Arc::new(Config { services: services.collect(), ..Config::clone(config) })
    }

    /// Writes a configuration, which the owner learns of.
    pub fn configure(&mut self, config: &Arc<Config>) {
        let config = self.with_services(config);
        self.config = Some(config.clone());
        self.tell(Event::Config { config });
    }

    /// Lets a new owner take over the cell; commands of the previous one that are in flight
    /// continue.
    pub fn take_over(&mut self, config: &Arc<Config>) {
        self.kill_owner();
        self.term += 1;
        self.owned_at = self.now;
        self.config = Some(config.clone());
        let link_bytes_per_second = self.link.as_ref().map(|link| link.rate);
        let features = self.features;
        let defaults = Settings::default();
        let max_record_bytes = self.max_record_bytes.unwrap_or(defaults.max_record_bytes);
        let settings = Settings { link_bytes_per_second, features, max_record_bytes, ..defaults };
        self.planner = Some(Planner::open(settings));
        let events = self.takeover_events(config);
        if let Some(processor) = &mut self.processor {
            processor.begin(self.now, self.jobs.len() + self.records.len(), events);
            return;
        }
        let mut actions = Vec::new();
        let planner = self.planner.as_mut().expect("it was just opened");
        for event in events {
            planner.step(self.now, event, &mut actions);
        }
        self.act(actions);
    }

    /// Returns the events that a new owner begins with.
    fn takeover_events(&mut self, config: &Arc<Config>) -> Vec<Event> {
        let jobs = self.jobs.iter().map(|(id, job)| (*id, job.clone())).collect();
        let records = self.records.iter().map(|(id, record)| (*id, record.clone())).collect();
        let config = self.with_services(config);
        let evacuated = self.read_evacuations();
        let lease_until = match &self.processor {
            Some(_) => Processor::first_lease_end(self.now),
            None => self.now + LEASE,
        };
        let estimates = self.estimates.clone().filter(|_| self.hands_over);
        let mut events = vec![
            Event::WallClock { wall: self.now },
            Event::Config { config },
            evacuated,
            Event::OwnershipAcquired { epoch: self.term.into(), jobs, records, estimates },
            Event::LeaseRenewed { until: lease_until },
        ];
        events.extend(self.open_rollouts());
        let listed = self.workers.values().filter(|worker| worker.listed);
        events.extend(listed.map(|worker| Event::Listed { registration: registration(worker) }));
        events
    }

    /// Returns how long the cell has had its owner.
    pub fn owned_for(&self) -> Duration {
        self.now - self.owned_at
    }

    /// Kills the owner without notice. What it had learnt is in the store.
    pub fn kill_owner(&mut self) {
        if let Some(planner) = self.planner.take() {
            self.estimates = Some(planner.estimates());
        }
    }
}

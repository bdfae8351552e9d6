//! Service jobs of a soak. Their tasks should run throughout, so workers leave beside a load in a mended
//! deployment, and nothing excuses a task that waits beside room for two of its kind.

use std::time::Duration;
use std::time::Instant;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use reqwest::StatusCode;

use super::END;
use super::JOB_PAUSE;
use super::LOOK;
use super::Soak;
use crate::site::chain;

/// Service jobs of a soak. They leave most of the processors of a whole cell to the other jobs.
const JOBS: usize = 2;
/// Pause between two tries to hand a service job in.
const RETRY: Duration = Duration::from_millis(200);
/// Load of a mended deployment before workers leave, while they are away, and once others have taken their places.
const BEFORE: Duration = Duration::from_secs(1);
const AWAY: Duration = Duration::from_secs(11);
const AFTER: Duration = Duration::from_secs(2);
/// After that, faults and evacuations excuse nothing.
const SETTLED: Duration = Duration::from_secs(4);
/// Time for which the tasks are watched in the end: six seconds from their last run, and three more.
const WATCHED: Duration = Duration::from_secs(10);

impl Soak {
    /// Hands the service jobs in.
    pub(super) async fn submit_services(&mut self) {
        for _ in 0..JOBS {
            let id = self.services.random::<JobId>() | 1;
            let spec = self.service();
            let start = Instant::now();
            while start.elapsed() < END {
                let member = self.service_member();
                let status = self.deployment.submit(&member, id, &spec).await;
                if status.is_some_and(|status| status.is_success()) {
                    let mut state = self.deployment.site.lock();
                    let now = state.now();
                    state.services.accept(id, now);
                    self.service_jobs.push(id);
                    break;
                }
                tokio::time::sleep(RETRY).await;
            }
        }
    }

    fn service(&mut self) -> Spec {
        let count = self.services.random_range(2..6);
        let processors = self.services.random_range(1..3);
        let mut spec = chain(1, count, Duration::from_secs(1));
        let step = &mut spec.steps[0];
        step.demand = Amount { cpu_milli: 1000 * processors, ..step.demand };
        step.long_running = true;
        step.max_per_worker = if self.services.random_bool(0.3) { 3 } else { 0 };
        spec
    }

    fn service_member(&mut self) -> String {
        let members = self.deployment.members.keys();
        members.choose(&mut self.services).expect("there are members").clone()
    }

    /// Reports whether a fault is active to those who watch the service tasks.
    pub(super) fn report_disturbance(&mut self) {
        let mut state = self.deployment.site.lock();
        let is_faulty = !self.faults.is_empty();
        if is_faulty || state.services.is_faulty {
            let now = state.now();
            state.services.disturb(now);
        }
        state.services.is_faulty = is_faulty;
    }

    /// Lets workers of a mended deployment leave at the same moment beside a load.
    pub(super) async fn lose_workers_calmly(&mut self) {
        self.deployment.site.lock().lists_machines = true;
        self.load_for(BEFORE).await;
        let count = self.services.random_range(1..=self.deployment.workers.len() / 2);
        let mut gone: Vec<String> = Vec::new();
        while gone.len() < count {
            let workers = self.deployment.workers.keys().filter(|name| !gone.contains(name));
            gone.extend(workers.choose(&mut self.services).cloned());
        }
        gone.iter().for_each(|machine| self.deployment.site.leave(machine));
        self.report.faults.push(format!("Gone({gone:?})"));
        self.load_for(AWAY).await;
        gone.iter().for_each(|machine| self.deployment.site.replace_worker(machine));
        self.load_for(AFTER).await;
    }

    /// Hands jobs in, without tasks that crash their workers, for a while.
    async fn load_for(&mut self, span: Duration) {
        let start = Instant::now();
        while start.elapsed() < span {
            let id = self.services.random::<JobId>() | 1;
            let spec = self.draw_spec();
            self.hand_in(id, spec, false).await;
            tokio::time::sleep(JOB_PAUSE).await;
        }
    }

    /// Watches the service tasks once everything else is done, then cancels their jobs.
    pub(super) async fn finish_services(&mut self) {
        tokio::time::sleep(SETTLED).await;
        self.deployment.site.lock().services.has_settled = true;
        tokio::time::sleep(WATCHED).await;
        for id in std::mem::take(&mut self.service_jobs) {
            self.deployment.site.lock().services.dismiss(id);
            self.cancel_service(id).await;
        }
        let state = self.deployment.site.lock();
        self.report.calm = state.services.counted;
        self.report.longest_wait = state.services.longest;
    }

    async fn cancel_service(&mut self, id: JobId) {
        let start = Instant::now();
        let mut shown = None;
        while start.elapsed() < END {
            let member = self.service_member();
            self.deployment.cancel(&member, id).await;
            shown = self.deployment.state(&member, id).await;
            if shown == Some((StatusCode::OK, String::from("cancelled"))) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
        let text = format!("{id:016x} is to last, was cancelled and is shown as {shown:?}");
        self.report.broken.push(text);
    }
}

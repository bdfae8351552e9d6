//! The instances that accept jobs: they fetch forecasts from the owner, reject what can't be done,
//! and clients retry.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_admission::demand::Demand;
use cowslipchute_admission::forecast::Forecast;
use cowslipchute_admission::gate::Gate;
use cowslipchute_admission::gate::Verdict;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;

use super::Arrival;
use super::ONE_WAY_DELAY;
use super::World;

/// Attempts of a client: the first and four retries.
const MAX_ATTEMPTS: u32 = 5;
/// Longest turn of an owner that is behind. Requests are answered between two turns, whatever waits
/// in the inbox.
const MAX_TURN: Duration = Duration::from_millis(100);

/// Instances with admission control, each of which serves the clients in turn.
#[derive(Debug, Default)]
pub struct Instances {
    gates: Vec<Gate>,
    next: usize,
    attempts: BTreeMap<JobId, u32>,
    /// Jobs that were rejected at least once.
    pub rejected: u64,
    /// Jobs that were rejected at each attempt.
    pub given_up: u64,
    /// Whether forecasts arrive.
    pub forecasts_lost: bool,
}

impl Instances {
    pub fn open(count: usize) -> Instances {
        Instances { gates: vec![Gate::default(); count], ..Instances::default() }
    }
}

impl World {
    /// Returns `true` if the instance that a job reaches accepts it. If not, the client retries when
    /// it is told to.
    pub(super) fn admits(&mut self, id: JobId, accepted: &Accepted) -> bool {
        let Some(config) = self.config.clone() else { return true };
        let Some(queue) = config.queue(&accepted.queue) else { return true };
        let Some(demand) = Demand::of(id, queue, &accepted.spec) else { return true };
        let Some(mut instances) = self.instances.take() else { return true };
        let index = instances.next % instances.gates.len();
        instances.next += 1;
        self.fetch_forecast(&mut instances, index);
        let verdict = instances.gates[index].decide(self.now, &demand);
        let Verdict::Rejected { retry_after, .. } = verdict else {
            self.instances = Some(instances);
            return true;
        };
        let attempts = instances.attempts.entry(id).or_default();
        *attempts += 1;
        instances.rejected += u64::from(*attempts == 1);
        if *attempts < MAX_ATTEMPTS {
            self.push(self.now + retry_after, Arrival::Submit(id, accepted.clone()));
        } else {
            instances.given_up += 1;
        }
        self.instances = Some(instances);
        false
    }

    /// Requests a forecast if one is due. An owner that is behind answers late.
    fn fetch_forecast(&mut self, instances: &mut Instances, index: usize) {
        let now = self.now;
        let Some(bookings) = instances.gates[index].request(now) else { return };
        let lag = self.processor.as_ref().map_or(Duration::ZERO, |processor| processor.lag(now));
        let Some(planner) = self.planner.as_mut().filter(|planner| planner.owns(now)) else {
            return;
        };
        if instances.forecasts_lost {
            return;
        }
        planner.book_retries(now, &bookings);
        let forecast = planner.forecast(now, true);
        let jobs = bookings.iter().map(|booking| booking.job).collect();
        let arrival = Arrival::Forecast(index, forecast, now, jobs);
        self.push(now + 2 * ONE_WAY_DELAY + lag.min(MAX_TURN), arrival);
    }
}

impl Instances {
    /// Delivers a forecast to an instance.
    pub(super) fn receive(
        &mut self,
        index: usize,
        forecast: Forecast,
        requested_at: Time,
        jobs: &[JobId],
    ) {
        self.gates[index].receive(forecast, requested_at, jobs);
    }
}

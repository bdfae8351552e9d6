//! Work that arrives and is done in each lane, as measured by the owner.

use cowslipchute_base::id::Time;

use crate::demand::Lane;
use crate::meter::Meter;

/// Number of lanes that are measured; a cell has a few.
const MAX_LANES: usize = 64;

#[derive(Clone, Debug)]
struct Flow {
    lane: Lane,
    arrived: Meter,
    done: Meter,
}

/// Rates of the lanes of a cell.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    flows: Vec<Flow>,
}

impl Throughput {
    /// Records the work of a job that has arrived.
    pub fn record_arrival(&mut self, now: Time, lane: &Lane, work: f64) {
        if let Some(flow) = self.flow(lane) {
            flow.arrived.add(now, work);
        }
    }

    /// Records the work of a task that is done.
    pub fn record_completion(&mut self, now: Time, lane: &Lane, work: f64) {
        if let Some(flow) = self.flow(lane) {
            flow.done.add(now, work);
        }
    }

    /// Returns the core-seconds that arrive in a lane per second, and those that are done.
    pub fn rates(&self, now: Time, lane: &Lane) -> (f64, f64) {
        let flow = self.flows.iter().find(|flow| flow.lane == *lane);
        flow.map_or((0.0, 0.0), |flow| (flow.arrived.rate(now), flow.done.rate(now)))
    }

    fn flow(&mut self, lane: &Lane) -> Option<&mut Flow> {
        let known = self.flows.iter().position(|flow| flow.lane == *lane);
        if known.is_none() && self.flows.len() >= MAX_LANES {
            return None;
        }
        let index = known.unwrap_or_else(|| {
            let (arrived, done) = (Meter::default(), Meter::default());
            self.flows.push(Flow { lane: lane.clone(), arrived, done });
            self.flows.len() - 1
        });
        self.flows.get_mut(index)
    }
}

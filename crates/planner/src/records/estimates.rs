//! Estimates that an owner has learnt about the cell and hands to the next owner.
//!
//! Learning which images interfere takes several seconds of a busy cell, and the owner may change
//! at any time, so the estimates are stored every few seconds. They hold no decision: without them
//! a new owner only starts learning from nothing.

use std::sync::Arc;

use foldhash::HashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::colocation::forecast_error::Factors;
use crate::colocation::interference::Model;
use crate::colocation::load::Periodicity;
use crate::planner::Planner;
use crate::queue::durations::Durations;
use crate::queue::durations::Snapshot;

/// What an owner has learnt about its cell.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Estimates {
    model: Model,
    mean_work: HashMap<Arc<str>, f64>,
    log_speed: f64,
    /// Fields are stored in this order and without names, so a new field must come last. The
    /// shorter value that an owner of an earlier version stored then fails to decode instead of
    /// being misread.
    periodicity: Periodicity,
    durations: Snapshot,
    forecast_factors: Factors,
}

impl Planner {
    /// Returns what has been learnt so far.
    pub fn estimates(&self) -> Estimates {
        Estimates {
            model: self.interference.clone(),
            mean_work: self.mean_work.clone(),
            log_speed: self.log_speed,
            periodicity: self.periodicity.clone(),
            durations: self.durations.snapshot(),
            forecast_factors: self.forecast_factors,
        }
    }

    pub(crate) fn restore_estimates(&mut self, estimates: Estimates) {
        self.interference = estimates.model;
        self.mean_work = estimates.mean_work;
        self.log_speed = estimates.log_speed;
        self.periodicity = estimates.periodicity;
        if self.settings.features.learned_durations {
            self.durations = Durations::restore(&estimates.durations, self.now);
        }
        self.forecast_factors = estimates.forecast_factors;
    }
}

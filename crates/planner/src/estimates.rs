//! What an owner has learnt about the cell and hands on to the next.
//!
//! Learning which images press on which takes several seconds of a busy cell, and owners change at
//! any time; so this goes to the store every few seconds. It holds no decision: without it a new
//! owner only begins to learn anew.

use std::sync::Arc;

use foldhash::HashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::interference::Model;
use crate::load::Periodicity;
use crate::planner::Planner;

/// What was learnt.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Estimates {
    model: Model,
    mean_work: HashMap<Arc<str>, f64>,
    speed: f64,
    /// Fields are stored in this order and without names, so a new one comes last: what an owner of an
    /// earlier version left then ends too soon and is refused, and not taken for something else.
    periodicity: Periodicity,
}

impl Planner {
    /// Returns what was learnt so far.
    pub fn learnt(&self) -> Estimates {
        Estimates {
            model: self.interference.clone(),
            mean_work: self.mean_work.clone(),
            speed: self.log_speed,
            periodicity: self.rhythm.clone(),
        }
    }

    pub(crate) fn restore_estimates(&mut self, learnt: Estimates) {
        self.interference = learnt.model;
        self.mean_work = learnt.mean_work;
        self.log_speed = learnt.speed;
        self.rhythm = learnt.periodicity;
    }
}

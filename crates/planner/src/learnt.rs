//! What an owner has learnt about the cell and hands on to the next.
//!
//! Learning which images press on which takes several seconds of a busy cell, and owners change at
//! any time; so this goes to the store every few seconds. It holds no decision: without it a new
//! owner only begins to learn anew.

use std::sync::Arc;

use foldhash::HashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::interfere::Model;
use crate::load::Rhythm;
use crate::planner::Planner;

/// What was learnt.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Learnt {
    model: Model,
    works: HashMap<Arc<str>, f64>,
    speed: f64,
    /// Fields are stored in this order and without names, so a new one comes last: what an owner of an
    /// earlier version left then ends too soon and is refused, and not taken for something else.
    rhythm: Rhythm,
}

impl Planner {
    /// Returns what was learnt so far.
    pub fn learnt(&self) -> Learnt {
        Learnt {
            model: self.model.clone(),
            works: self.works.clone(),
            speed: self.speed,
            rhythm: self.rhythm.clone(),
        }
    }

    pub(crate) fn take_learnt(&mut self, learnt: Learnt) {
        self.model = learnt.model;
        self.works = learnt.works;
        self.speed = learnt.speed;
        self.rhythm = learnt.rhythm;
    }
}

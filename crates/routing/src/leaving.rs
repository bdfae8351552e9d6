//! Instances that were heard to be leaving before the list says so.

use std::collections::HashMap;
use std::collections::VecDeque;

use cowslipchute_base::id;

/// Instances that are remembered at most; the list has caught up with older ones long since.
const HEARD_MAX: usize = 4096;

/// Which life of which instance is leaving. Another life of the same name is not.
#[derive(Debug, Default)]
pub struct Instances {
    lives: HashMap<id::Instance, id::Incarnation>,
    order: VecDeque<id::Instance>,
}

impl Instances {
    /// Remembers that a life of an instance is leaving; an older one than known changes nothing.
    pub fn insert(&mut self, instance: &id::Instance, incarnation: id::Incarnation) {
        if let Some(known) = self.lives.get_mut(instance) {
            *known = incarnation.max(*known);
            return;
        }
        if self.order.len() == HEARD_MAX {
            let oldest = self.order.pop_front().expect("a full queue has a front");
            self.lives.remove(&oldest);
        }
        self.order.push_back(instance.clone());
        self.lives.insert(instance.clone(), incarnation);
    }

    /// Tells whether that life was heard to be leaving, or is older than one that was.
    pub fn contains(&self, instance: &id::Instance, incarnation: id::Incarnation) -> bool {
        self.lives.get(instance).is_some_and(|&heard| incarnation <= heard)
    }
}

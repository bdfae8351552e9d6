//! Instances that were reported to be leaving before the membership list says so.

use std::collections::HashMap;
use std::collections::VecDeque;

use cowslipchute_base::id;

/// Maximum number of remembered instances; the list already shows older ones as leaving.
const INSTANCES_MAX: usize = 4096;

/// Leaving instances with the incarnation that is leaving; later incarnations are not.
#[derive(Debug, Default)]
pub struct Instances {
    incarnations: HashMap<id::Instance, id::Incarnation>,
    order: VecDeque<id::Instance>,
}

impl Instances {
    /// Adds the leaving incarnation of an instance; an older one than known is ignored.
    pub fn insert(&mut self, instance: &id::Instance, incarnation: id::Incarnation) {
        if let Some(known) = self.incarnations.get_mut(instance) {
            *known = incarnation.max(*known);
            return;
        }
        if self.order.len() == INSTANCES_MAX {
            let oldest = self.order.pop_front().expect("a full queue has a front");
            self.incarnations.remove(&oldest);
        }
        self.order.push_back(instance.clone());
        self.incarnations.insert(instance.clone(), incarnation);
    }

    /// Returns `true` if this incarnation or a later one was reported to be leaving.
    pub fn contains(&self, instance: &id::Instance, incarnation: id::Incarnation) -> bool {
        self.incarnations.get(instance).is_some_and(|&leaving| incarnation <= leaving)
    }
}

//! What an observer finds that looks at regular times, in place of all the time.
//!
//! Capacity for two tasks that is free for a fraction of the time, a moment here and a moment
//! there, is free at several looks in a row now and then. So a wait beside such capacity counts as
//! too long, though no capacity was free for long.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::TaskId;

use super::World;

/// Interval of an observer's looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(1500);
/// Interval between the looks of two observers that differ in nothing else.
const PHASE_INTERVAL: Duration = Duration::from_millis(25);
/// Number of observers.
const PHASES: usize = 60;

/// Looks in a row, of each observer, at which a service task didn't run although it should be back,
/// there was capacity for two of it, and the world was calm.
#[derive(Clone, Debug, Default)]
pub struct Looks {
    counts: BTreeMap<TaskId, [u8; PHASES]>,
    /// Most looks in a row, and the task.
    pub most: Option<(u8, TaskId)>,
    next_at: Time,
}

impl World {
    pub(super) fn watch_looks(&mut self) {
        let Some(mut looks) = self.looks.take() else { return };
        if self.now >= looks.next_at {
            looks.next_at = self.now + PHASE_INTERVAL;
            self.look(&mut looks);
        }
        self.looks = Some(looks);
    }

    fn look(&self, looks: &mut Looks) {
        let phase = (self.now.as_millis() / PHASE_INTERVAL.as_millis()) as usize % PHASES;
        let waiting = self.waiting_service_tasks();
        looks.counts.retain(|task, _| waiting.contains(task));
        for task in waiting {
            let counts = looks.counts.entry(task).or_insert([0; PHASES]);
            if !self.is_missed(task) {
                counts[phase] = 0;
                continue;
            }
            counts[phase] += 1;
            if looks.most.is_none_or(|(most, _)| counts[phase] > most) {
                looks.most = Some((counts[phase], task));
            }
        }
    }
}

const _: () = assert!(LOOK_INTERVAL.as_millis() == PHASE_INTERVAL.as_millis() * PHASES as u128);

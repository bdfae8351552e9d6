//! Teams' shares of their quotas in this cell.
//!
//! The shares of a quota over all failure domains never exceed the quota in sum, so a partitioned
//! cell can enforce its share locally.

use std::collections::HashMap;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;

use crate::cell::Cell;
use crate::job::JobId;
use crate::queue::Place;

/// The share and usage of one team.
#[derive(Clone, Debug, Default)]
pub(crate) struct Team {
    /// The most that it may use; `None` means no limit.
    share: Option<Amount>,
    pub(crate) used: Amount,
    /// Whether it may use more than when its jobs were last tried.
    pub(crate) freed: bool,
}

/// The index of a team in the cell's table.
pub(crate) type TeamIndex = usize;

/// An index of teams by name.
#[derive(Debug, Default)]
pub(crate) struct TeamNames(HashMap<id::Team, TeamIndex>);

impl Cell {
    fn team(&mut self, name: &str) -> TeamIndex {
        if let Some(&index) = self.team_names.0.get(name) {
            return index;
        }
        self.teams.push(Team::default());
        let index = self.teams.len() - 1;
        self.team_names.0.insert(name.into(), index);
        index
    }

    pub(crate) fn set_share(&mut self, name: &id::Team, share: Option<Amount>) {
        let index = self.team(name);
        self.teams[index].share = share;
        self.teams[index].freed = true;
    }

    /// Moves a job's usage to the team that its declaration names.
    pub(crate) fn join(&mut self, id: JobId) {
        let Some(spec) = self.jobs[id].spec.clone() else { return };
        let index = self.team(&spec.team);
        let job = &mut self.jobs[id];
        let before = std::mem::replace(&mut job.team, index);
        let taken = job.taken;
        self.teams[before].used = self.teams[before].used.minus(taken);
        self.teams[before].freed = true;
        self.teams[index].used = self.teams[index].used.plus(taken);
    }

    /// Returns `true` if one more task of a job stays within its team's share.
    pub(crate) fn is_allowed(&self, id: JobId, amount: Amount) -> bool {
        let team = &self.teams[self.jobs[id].team];
        team.share.is_none_or(|share| team.used.plus(amount).fits(share))
    }

    /// Reopens the queue entries of jobs whose team may use more than before.
    pub(crate) fn uncap(&mut self) {
        if self.queue.capped.is_empty() || !self.teams.iter().any(|team| team.freed) {
            return;
        }
        let is_freed = |place: &Place| self.teams[self.jobs[place.job].team].freed;
        let freed: Vec<Place> = self.queue.capped.iter().copied().filter(is_freed).collect();
        for place in freed {
            self.queue.capped.remove(&place);
            self.queue.open.insert(place);
        }
        for team in &mut self.teams {
            team.freed = false;
        }
    }
}

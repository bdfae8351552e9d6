//! Teams' shares of their quotas in this cell.
//!
//! The shares of a quota over all failure domains never exceed the quota in sum, so a partitioned
//! cell can enforce its share locally.

use std::collections::HashMap;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;

use crate::cell::Cell;
use crate::job::JobId;
use crate::queue::Item;

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
    fn team_index(&mut self, name: &str) -> TeamIndex {
        if let Some(&index) = self.team_names.0.get(name) {
            return index;
        }
        self.teams.push(Team::default());
        let index = self.teams.len() - 1;
        self.team_names.0.insert(name.into(), index);
        index
    }

    pub(crate) fn set_share(&mut self, name: &id::Team, share: Option<Amount>) {
        let index = self.team_index(name);
        self.teams[index].share = share;
        self.teams[index].freed = true;
    }

    /// Moves a job's usage to the team that its declaration names.
    pub(crate) fn set_team(&mut self, id: JobId) {
        let Some(spec) = self.jobs[id].spec.clone() else { return };
        let index = self.team_index(&spec.team);
        let job = &mut self.jobs[id];
        let before = std::mem::replace(&mut job.team, index);
        let allocated = job.allocated;
        self.teams[before].used = self.teams[before].used.minus(allocated);
        self.teams[before].freed = true;
        self.teams[index].used = self.teams[index].used.plus(allocated);
    }

    /// Returns `true` if one more task of a job stays within its team's share.
    pub(crate) fn is_within_share(&self, id: JobId, amount: Amount) -> bool {
        let team = &self.teams[self.jobs[id].team];
        team.share.is_none_or(|share| team.used.plus(amount).fits_within(share))
    }

    /// Reopens the queue entries of jobs whose team may use more than before.
    pub(crate) fn retry_over_quota(&mut self) {
        if self.queue.over_quota.is_empty() || !self.teams.iter().any(|team| team.freed) {
            return;
        }
        let is_freed = |item: &Item| self.teams[self.jobs[item.job].team].freed;
        let freed: Vec<Item> = self.queue.over_quota.iter().copied().filter(is_freed).collect();
        for item in freed {
            self.queue.over_quota.remove(&item);
            self.queue.open.insert(item);
        }
        for team in &mut self.teams {
            team.freed = false;
        }
    }
}

//! Inquiry into whether the previous owners of a cell have stopped, by the platform's list and by
//! queries to them.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_cell::event::Former;
use cowslipchute_ports::list;
use smallvec::SmallVec;

use crate::owner::Owner;
use crate::owner::PreviousOwners;

/// Returns `true` if the platform's list proves that an owner's incarnation has ended.
pub fn has_ended(owner: &Owner, view: &list::View) -> bool {
    let mut incarnations = view.members.iter().filter(|member| member.instance == owner.instance);
    if incarnations.clone().any(|member| member.incarnation > owner.incarnation) {
        return true;
    }
    let listed = incarnations.any(|member| member.incarnation == owner.incarnation);
    !listed && view.version >= owner.list_version
}

/// The previous owners of a cell that must have stopped before their tasks may run elsewhere.
#[derive(Clone, Debug)]
pub struct Inquiry {
    queries: SmallVec<[Query; 2]>,
    /// Whether any previous owner was ended by the platform rather than stopping by itself.
    any_ended: bool,
}

#[derive(Clone, Debug)]
struct Query {
    owner: Owner,
    query_at: Time,
}

impl Inquiry {
    /// Opens an inquiry into all previous owners. `own` is this incarnation, which has stopped
    /// running the cell.
    pub fn open(previous_owners: &[Owner], own: &Owner, view: &list::View, now: Time) -> Inquiry {
        let mut inquiry = Inquiry { queries: SmallVec::new(), any_ended: false };
        for owner in previous_owners {
            // Requests of this process under a previous epoch may still be in flight.
            if owner.is_same(own) || has_ended(owner, view) {
                inquiry.any_ended = true;
            } else {
                inquiry.queries.push(Query { owner: owner.clone(), query_at: now });
            }
        }
        inquiry
    }

    /// Returns what is known of all previous owners together.
    pub fn outcome(&self) -> Former {
        match (self.queries.is_empty(), self.any_ended) {
            (false, _) => Former::Unheard,
            (true, true) => Former::Ended,
            (true, false) => Former::Released,
        }
    }

    /// Returns the previous owners that are not known to have stopped.
    pub fn unconfirmed(&self) -> PreviousOwners {
        self.queries.iter().map(|query| query.owner.clone()).collect()
    }

    /// Removes the previous owners that the list proves to have ended. Returns `true` if that
    /// removed the last one.
    pub fn apply_list(&mut self, view: &list::View) -> bool {
        let before = self.queries.len();
        self.queries.retain(|query| !has_ended(&query.owner, view));
        let removed_any = self.queries.len() < before;
        self.any_ended |= removed_any;
        removed_any && self.queries.is_empty()
    }

    /// Removes a previous owner that confirmed that it has stopped. Returns `true` if it was the
    /// last one.
    pub fn confirm_stopped(&mut self, owner: &Owner) -> bool {
        let before = self.queries.len();
        self.queries.retain(|query| !query.owner.is_same(owner));
        self.queries.len() < before && self.queries.is_empty()
    }

    /// Returns the owners to query now; each is queried again after `interval`.
    pub fn due(&mut self, now: Time, interval: Time) -> SmallVec<[Owner; 2]> {
        let mut due = SmallVec::new();
        for query in self.queries.iter_mut().filter(|query| query.query_at <= now) {
            query.query_at = now + interval;
            due.push(query.owner.clone());
        }
        due
    }

    /// Returns the time of the next query.
    pub fn next_due(&self) -> Option<id::Time> {
        self.queries.iter().map(|query| query.query_at).min()
    }
}

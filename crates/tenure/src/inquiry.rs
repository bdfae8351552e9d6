//! How former owners of a cell ended, from the platform's list and from themselves.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_cell::event::Former;
use cowslipchute_ports::list;
use smallvec::SmallVec;

use crate::owner::Owner;
use crate::owner::PreviousOwners;

/// Tells whether the platform has surely ended that life of an instance.
pub fn has_ended(owner: &Owner, view: &list::View) -> bool {
    let mut lives = view.members.iter().filter(|member| member.instance == owner.instance);
    if lives.clone().any(|member| member.incarnation > owner.incarnation) {
        return true;
    }
    let listed = lives.any(|member| member.incarnation == owner.incarnation);
    !listed && view.version >= owner.list_version
}

/// The former owners of one cell that have to be heard of before their tasks may run elsewhere.
#[derive(Clone, Debug)]
pub struct Inquiry {
    queries: SmallVec<[Query; 2]>,
    /// Whether any of those settled so far was ended rather than stopping by itself.
    ended: bool,
}

#[derive(Clone, Debug)]
struct Query {
    owner: Owner,
    ask_at: Time,
}

impl Inquiry {
    /// Starts with all former owners; `own` is this life, which knows that it has stopped.
    pub fn open(formers: &[Owner], own: &Owner, view: &list::View, now: Time) -> Inquiry {
        let mut inquiry = Inquiry { queries: SmallVec::new(), ended: false };
        for owner in formers {
            // What this process sent under an earlier epoch of its own may still be on its way.
            if owner.is_same(own) || has_ended(owner, view) {
                inquiry.ended = true;
            } else {
                inquiry.queries.push(Query { owner: owner.clone(), ask_at: now });
            }
        }
        inquiry
    }

    /// Returns how the former owners ended, taken together.
    pub fn former(&self) -> Former {
        match (self.queries.is_empty(), self.ended) {
            (false, _) => Former::Unheard,
            (true, true) => Former::Ended,
            (true, false) => Former::Released,
        }
    }

    /// Lists those that are not settled.
    pub fn unconfirmed(&self) -> PreviousOwners {
        self.queries.iter().map(|question| question.owner.clone()).collect()
    }

    /// Drops those that the list shows as ended; tells whether that settled the last one.
    pub fn apply_list(&mut self, view: &list::View) -> bool {
        let before = self.queries.len();
        self.queries.retain(|question| !has_ended(&question.owner, view));
        let settled = self.queries.len() < before;
        self.ended |= settled;
        settled && self.queries.is_empty()
    }

    /// Drops one that has said it stopped; tells whether that settled the last one.
    pub fn confirm_stopped(&mut self, owner: &Owner) -> bool {
        let before = self.queries.len();
        self.queries.retain(|question| !question.owner.is_same(owner));
        self.queries.len() < before && self.queries.is_empty()
    }

    /// Takes the owners to be asked now; each is asked again after `every`.
    pub fn due(&mut self, now: Time, every: Time) -> SmallVec<[Owner; 2]> {
        let mut due = SmallVec::new();
        for question in self.queries.iter_mut().filter(|question| question.ask_at <= now) {
            question.ask_at = now + every;
            due.push(question.owner.clone());
        }
        due
    }

    /// Returns when the next one is to be asked.
    pub fn next_due(&self) -> Option<id::Time> {
        self.queries.iter().map(|question| question.ask_at).min()
    }
}

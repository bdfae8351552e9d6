//! The roster: the assignment of slots to entry processes.
//!
//! It is one value in the platform's store and changes only by compare-and-swap, each time to the
//! next version. A slot changes its owner only if the owner transfers it by its own proposal or has
//! ended.

use std::net::SocketAddr;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::slot;
use crate::slot::Slot;

/// Key of the roster in the platform's store.
pub const KEY: &str = "/cowslipchute/roster";

/// Version of the roster, which rises by one with each change.
pub type Version = u64;
/// Start time of a process, which distinguishes it from other starts of the same instance.
pub type StartTime = u64;

/// One entry process that may own slots.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its instance.
    pub instance: Instance,
    /// The incarnation of the instance, as the platform lists it.
    pub incarnation: Incarnation,
    /// The start time of the process. A process restarted under the same incarnation has lost all
    /// keys, so it is another member.
    #[serde(rename = "life")]
    pub started_at: StartTime,
    /// Its failure domain.
    pub domain: Domain,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Version of the platform's list that showed the instance when it joined. Only its absence
    /// from a list at least as new proves that the instance has ended.
    #[serde(rename = "listed")]
    pub list_version: u64,
}

impl Member {
    /// Returns `true` if two members are the same process.
    pub fn is_same(&self, other: &Member) -> bool {
        self.instance == other.instance
            && self.incarnation == other.incarnation
            && self.started_at == other.started_at
    }

    /// Returns `true` if `self` is a later start of `other`, which has therefore ended.
    pub fn replaces(&self, other: &Member) -> bool {
        self.instance == other.instance
            && self.incarnation == other.incarnation
            && self.started_at > other.started_at
    }
}

/// The way in which a slot's owner became its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// The slot had no owner before, so none of its keys can have been granted.
    First,
    /// The previous owner transferred the slot and sent its state under this transfer number.
    Handed(u64),
    /// The previous owner ended, and the state of the slot is lost.
    Ended,
}

/// The assignment of one slot to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Assignment {
    /// Index of the owner among the members.
    pub owner: u16,
    /// Version of the roster by which the owner got the slot.
    pub since: Version,
    /// The way in which the owner got the slot.
    pub origin: Origin,
}

/// The move of a slot from its owner to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The slot.
    pub slot: Slot,
    /// The new owner.
    pub to: Member,
    /// Number of the transfer under which the state of the slot was sent.
    pub number: u64,
}

/// A violated invariant of a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The number of assignments is not [`slot::COUNT`].
    #[error("the roster has {0} slots, {expected} are needed", expected = slot::COUNT)]
    Slots(usize),
    /// A slot is assigned to a member that doesn't exist.
    #[error("slot {0} has no owner")]
    NoOwner(Slot),
}

/// The owners of all slots at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Roster {
    /// The version.
    pub version: Version,
    /// The processes that may own slots, in order of joining.
    pub members: Vec<Member>,
    /// The assignment of each slot, indexed by slot number.
    #[serde(rename = "shares")]
    pub assignments: Vec<Assignment>,
}

impl Roster {
    /// Returns the initial roster of a deployment, in which one member owns every slot.
    pub fn initial(member: Member) -> Roster {
        let assignment = Assignment { owner: 0, since: 1, origin: Origin::First };
        Roster { version: 1, members: vec![member], assignments: vec![assignment; slot::COUNT] }
    }

    /// Checks the invariants of a roster.
    ///
    /// # Errors
    ///
    /// Returns an error if the number of slots is wrong or a slot has no owner among the members.
    pub fn check(&self) -> Result<(), Error> {
        if self.assignments.len() != slot::COUNT {
            return Err(Error::Slots(self.assignments.len()));
        }
        let unassigned =
            slot::all().find(|slot| self.member(self.assignment(*slot).owner).is_none());
        unassigned.map_or(Ok(()), |slot| Err(Error::NoOwner(slot)))
    }

    /// Returns the owner of a key.
    pub fn owner_of(&self, service: &str, key: &str) -> &Member {
        self.owner_at(slot::of(service, key))
    }

    /// Returns the owner of a slot.
    pub fn owner_at(&self, slot: Slot) -> &Member {
        self.member(self.assignment(slot).owner)
            .expect("a checked roster has an owner for each slot")
    }

    /// Returns the assignment of a slot.
    pub fn assignment(&self, slot: Slot) -> Assignment {
        self.assignments[usize::from(slot)]
    }

    /// Returns the member with an address; of several, the one that joined last.
    pub fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        self.members.iter().rev().find(|member| member.address == address)
    }

    /// Returns `true` if a process is a member.
    pub fn contains(&self, process: &Member) -> bool {
        self.members.iter().any(|member| member.is_same(process))
    }

    /// Returns the member that should own a slot, except `leaver`: the one with the highest weight.
    ///
    /// This is rendezvous hashing: a member that joins only gains slots, and the slots of a member
    /// that leaves are spread over all others; no other slot moves.
    pub fn target(&self, slot: Slot, leaver: Option<&Member>) -> Option<&Member> {
        let stays = |member: &&Member| leaver.is_none_or(|leaver| !member.is_same(leaver));
        self.members.iter().filter(stays).max_by_key(|member| weight(slot, member))
    }

    /// Returns the next version with `joining` among the members and without those that have ended,
    /// whose slots go to their targets. Returns `None` if that changes nothing.
    pub fn revised(&self, joining: &Member, has_ended: impl Fn(&Member) -> bool) -> Option<Roster> {
        let stays = |member: &&Member| !has_ended(member) && !joining.replaces(member);
        let mut members: Vec<Member> = self.members.iter().filter(stays).cloned().collect();
        if !members.iter().any(|member| member.is_same(joining)) {
            members.push(joining.clone());
        }
        if members == self.members {
            return None;
        }
        Some(self.with_members(members))
    }

    /// Returns the next version with slots moved, and without `leaver` if it owns no slot any more.
    pub fn released(&self, moves: &[Move], leaver: Option<&Member>) -> Roster {
        let mut next = self.clone();
        next.version += 1;
        for moved in moves {
            let owner = next.index_of(&moved.to).expect("slots move only to members");
            let assignment =
                Assignment { owner, since: next.version, origin: Origin::Handed(moved.number) };
            next.assignments[usize::from(moved.slot)] = assignment;
        }
        match leaver {
            Some(leaver) if !next.owns_any(leaver) => next.without(leaver),
            _ => next,
        }
    }

    /// Removes a member that owns no slot, within the same version.
    fn without(mut self, leaver: &Member) -> Roster {
        let stays = |member: &&Member| !member.is_same(leaver);
        let members = self.members.iter().filter(stays).cloned().collect();
        self.version -= 1;
        self.with_members(members)
    }

    fn with_members(&self, members: Vec<Member>) -> Roster {
        let version = self.version + 1;
        let mut next = Roster { version, members, assignments: Vec::with_capacity(slot::COUNT) };
        for slot in slot::all() {
            let assignment = match next.index_of(self.owner_at(slot)) {
                Some(owner) => Assignment { owner, ..self.assignment(slot) },
                None => next.reassigned(slot),
            };
            next.assignments.push(assignment);
        }
        next
    }

    fn reassigned(&self, slot: Slot) -> Assignment {
        let target = self.target(slot, None).expect("a roster has at least one member");
        let owner = self.index_of(target).expect("a target is a member");
        Assignment { owner, since: self.version, origin: Origin::Ended }
    }

    fn owns_any(&self, process: &Member) -> bool {
        slot::all().any(|slot| self.owner_at(slot).is_same(process))
    }

    fn index_of(&self, process: &Member) -> Option<u16> {
        self.members.iter().position(|member| member.is_same(process)).map(|index| index as u16)
    }

    fn member(&self, index: u16) -> Option<&Member> {
        self.members.get(usize::from(index))
    }
}

/// The weight of a member for a slot. Incarnation and start time distinguish members of the same
/// instance.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    hash: u64,
    incarnation: Incarnation,
    started_at: StartTime,
}

fn weight(slot: Slot, member: &Member) -> Weight {
    // Only the name is hashed, so that a replaced instance gets the slots of its predecessor.
    let hash = xxh3_64_with_seed(member.instance.as_bytes(), u64::from(slot));
    Weight { hash, incarnation: member.incarnation, started_at: member.started_at }
}

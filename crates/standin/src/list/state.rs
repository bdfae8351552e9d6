//! The list and its recent snapshots. Does no I/O; the caller passes the time.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;

/// The list as of a point in time.
#[derive(Clone, Debug)]
struct Snapshot {
    since: Time,
    view: list::View,
}

/// The list of instances.
#[derive(Debug)]
pub struct State {
    lag: Duration,
    /// Snapshots by ascending time. Never empty; the last one is the current state.
    snapshots: VecDeque<Snapshot>,
}

impl State {
    /// Opens a list that shows these members at once and every later change after `lag`.
    pub fn open(lag: Duration, mut members: Vec<list::Member>) -> State {
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        let view = list::View { version: 1, members };
        State { lag, snapshots: VecDeque::from([Snapshot { since: Time::ZERO, view }]) }
    }

    /// Returns the members shown now in some failure domains, or in all if `domains` is empty.
    pub fn read(&self, now: Time, domains: &[Domain]) -> list::View {
        let view = self.visible(now);
        let is_requested =
            |member: &&list::Member| domains.is_empty() || domains.contains(&member.domain);
        let members = view.members.iter().filter(is_requested).cloned().collect();
        list::View { version: view.version, members }
    }

    /// Returns the version of the list shown now.
    pub fn version(&self, now: Time) -> list::Version {
        self.visible(now).version
    }

    fn visible(&self, now: Time) -> &list::View {
        let visible = self.snapshots.iter().rev().find(|snapshot| snapshot.since + self.lag <= now);
        &visible.unwrap_or(&self.snapshots[0]).view
    }

    /// Returns the current entry of a member, regardless of the lag.
    pub fn find(&self, instance: &str) -> Option<&list::Member> {
        let members = &self.snapshots.back().expect("there is always a snapshot").view.members;
        members.iter().find(|member| *member.instance == *instance)
    }

    /// Adds a member or replaces the member of that name.
    pub fn put(&mut self, now: Time, member: list::Member) {
        self.change(now, |members| {
            members.retain(|other| other.instance != member.instance);
            members.push(member);
        });
    }

    /// Changes a member's state. Returns `true` if there is a member of that name.
    pub fn set_state(&mut self, now: Time, instance: &Instance, state: list::State) -> bool {
        let known = self.find(instance).is_some();
        self.change(now, |members| {
            for member in members.iter_mut().filter(|member| member.instance == *instance) {
                member.state = state;
            }
        });
        known
    }

    /// Removes a member. Returns `true` if there was a member of that name.
    pub fn remove(&mut self, now: Time, instance: &Instance) -> bool {
        let known = self.find(instance).is_some();
        self.change(now, |members| members.retain(|member| member.instance != *instance));
        known
    }

    fn change(&mut self, now: Time, change: impl FnOnce(&mut Vec<list::Member>)) {
        let mut view = self.snapshots.back().expect("there is always a snapshot").view.clone();
        change(&mut view.members);
        view.members.sort_by(|a, b| a.instance.cmp(&b.instance));
        view.version += 1;
        self.snapshots.push_back(Snapshot { since: now, view });
        // Once the second oldest snapshot is visible, the oldest is never needed again.
        while self.snapshots.len() > 1 && self.snapshots[1].since + self.lag <= now {
            self.snapshots.pop_front();
        }
    }
}

//! The list in virtual time: it shows changes after its lag.

use std::time::Duration;

use cowslipchute_ports::list;
use cowslipchute_standin::Plan;
use cowslipchute_standin::list::state::State;

const LAG: Duration = Duration::from_millis(100);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn names(state: &State, now: u64) -> Vec<String> {
    let view = state.read(at(now), &[]);
    view.members.iter().map(|member| member.instance.to_string()).collect()
}

#[test]
fn changes_are_shown_after_the_lag_and_in_order() {
    let members = Plan::default().workers();
    let extra = list::Member { instance: "extra".into(), ..members[0].clone() };
    let mut state = State::open(LAG, members[..2].to_vec());
    assert_eq!(names(&state, 0), ["worker-a-0", "worker-a-1"]);
    state.put(at(50), extra);
    assert!(state.remove(at(60), &"worker-a-0".into()));
    assert!(!state.remove(at(60), &"worker-a-0".into()), "it is gone by now");
    assert!(state.set_state(at(80), &"extra".into(), list::State::Leaving));
    assert_eq!(names(&state, 149), ["worker-a-0", "worker-a-1"]);
    assert_eq!(names(&state, 150), ["extra", "worker-a-0", "worker-a-1"]);
    assert_eq!(names(&state, 160), ["extra", "worker-a-1"]);
    assert_eq!(state.read(at(179), &[]).members[0].state, list::State::Live);
    assert_eq!(state.read(at(180), &[]).members[0].state, list::State::Leaving);
    let versions: Vec<u64> = [0, 150, 160, 180].map(|now| state.read(at(now), &[]).version).into();
    assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
}

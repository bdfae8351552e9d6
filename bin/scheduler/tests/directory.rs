//! Which entries of the workers' directory are sent to the owner, while thousands of workers
//! refresh entries without a change.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::executor::Registration;
use cowslipchute_scheduler::directory::Filter;
use yare::parameterized;

const START: Duration = Duration::from_secs(100);

fn registration() -> Registration {
    Registration {
        name: "w1".into(),
        started_at: Some(1),
        address: "10.0.0.1:80".parse().unwrap(),
        service: "desk".into(),
        domain: "d1".into(),
        draining: false,
        capacity: Amount { cpu_milli: 4000, memory_mib: 8000, accelerators: 0 },
        labels: Default::default(),
        rack: None,
        warmup_left: Duration::ZERO,
    }
}

fn listed(registration: Registration) -> Event {
    Event::Listed { registration }
}

#[test]
fn a_refresh_that_says_nothing_new_is_told_once_in_a_while() {
    let mut known = Filter::default();
    let forwards = |known: &mut Filter, millis| {
        known.should_forward(START + Duration::from_millis(millis), &listed(registration()))
    };
    assert!(forwards(&mut known, 0));
    assert!(!forwards(&mut known, 1500));
    assert!(!forwards(&mut known, 3000));
    assert!(forwards(&mut known, 4500), "the owner may have forgotten the worker meanwhile");
    assert!(!forwards(&mut known, 6000));
}

#[parameterized(
    leaving = { Registration { draining: true, ..registration() } },
    shrunk = { Registration { capacity: Amount::ZERO, ..registration() } },
    started_again = { Registration { started_at: Some(2), ..registration() } },
    moved = { Registration { address: "10.0.0.2:80".parse().unwrap(), ..registration() } },
    warmed_up = { Registration { warmup_left: Duration::from_secs(1), ..registration() } },
)]
fn whatever_changes_is_told_at_once(changed: Registration) {
    let mut known = Filter::default();
    assert!(known.should_forward(START, &listed(registration())));
    assert!(known.should_forward(START, &listed(changed.clone())));
    assert!(!known.should_forward(START, &listed(changed)));
}

#[test]
fn a_worker_that_is_listed_again_is_told() {
    let mut known = Filter::default();
    assert!(known.should_forward(START, &listed(registration())));
    assert!(known.should_forward(START, &Event::Unlisted { name: "w1".into() }));
    assert!(known.should_forward(START, &listed(registration())));
}

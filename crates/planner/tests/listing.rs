//! Effect of the directory's entries, which workers refresh every second or two.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::settings::Settings;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::deployment::Limits;
use cowslipchute_ports::deployment::Service;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Report;

/// Start time of the worker's incarnation.
const STARTED_AT: Option<id::Incarnation> = Some(1_780_000_000_000);
const NOW: Time = Duration::from_secs(1000);

fn config() -> Arc<Config> {
    let limits = Limits {
        max_header_bytes: 1 << 14,
        max_body_bytes: 1 << 18,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = vec![Service { name: "desk".into(), enforces_limits: true, standby: false }];
    Arc::new(Config { version: 1, queues: Vec::new(), services, limits })
}

fn registration() -> Registration {
    Registration {
        name: "worker".into(),
        started_at: STARTED_AT,
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        service: "desk".into(),
        domain: "domain".into(),
        draining: false,
        capacity: Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 },
        labels: [Arc::from("a")].into_iter().collect(),
        rack: Some("rack".into()),
        warmup_left: Duration::ZERO,
    }
}

/// Returns an owner whose only worker has been listed and has answered.
fn owner() -> Planner {
    let mut planner = Planner::open(Settings::default());
    let (jobs, records) = (Vec::new(), Vec::new());
    let events = [
        Event::Config { config: config() },
        Event::OwnershipAcquired { epoch: 1, jobs, records, estimates: None },
        Event::LeaseRenewed { until: NOW + Duration::from_secs(60) },
        Event::Listed { registration: registration() },
    ];
    for event in events {
        planner.step(NOW, event, &mut Vec::new());
    }
    let mut actions = Vec::new();
    planner.advance(NOW, &mut actions);
    let heartbeat = actions.into_iter().find_map(|action| match action {
        Action::Heartbeat { target, .. } => Some(target),
        _ => None,
    });
    let target = heartbeat.expect("a new worker is sent a heartbeat");
    let outcome = Ok(Report { started_at: STARTED_AT, clock: 5000, ..Report::default() });
    planner.step(NOW, Event::HeartbeatResult { target, outcome }, &mut Vec::new());
    let later = NOW + Duration::from_secs(1);
    planner.advance(later, &mut Vec::new());
    planner.advance(later + Duration::from_secs(1), &mut Vec::new());
    planner
}

#[test]
fn an_entry_that_says_the_same_sets_nothing_going() {
    let now = NOW + Duration::from_secs(3);
    let mut planner = owner();
    let due = planner.next_due();
    planner.step(now, Event::Listed { registration: registration() }, &mut Vec::new());
    assert_eq!(planner.next_due(), due);
}

#[test]
fn an_entry_that_says_something_else_is_acted_on_at_once() {
    let now = NOW + Duration::from_secs(3);
    let mut planner = owner();
    let changed = Registration { draining: true, ..registration() };
    planner.step(now, Event::Listed { registration: changed }, &mut Vec::new());
    assert!(planner.next_due().is_some_and(|due| due <= now));
}

/// Guards against a worker that is asked nothing any more since its entries look older than one that another writer
/// left with a later start and another address.
#[test]
fn a_worker_is_asked_where_its_own_entry_says_though_another_claims_a_later_start() {
    let mut planner = owner();
    let address = SocketAddr::from(([10, 0, 0, 9], 80));
    let started_at = STARTED_AT.map(|start| start + 60_000);
    let odd = Registration { started_at, address, ..registration() };
    let now = NOW + Duration::from_secs(3);
    for registration in [odd, registration()] {
        planner.step(now, Event::Listed { registration }, &mut Vec::new());
    }
    let mut asked = Vec::new();
    for second in 0..5 {
        let now = now + Duration::from_secs(second);
        let mut actions = Vec::new();
        planner.advance(now, &mut actions);
        for action in actions {
            if let Action::Heartbeat { target, .. } = action {
                asked.push(target.address);
                let outcome = Err(Failure::Unsent);
                planner.step(now, Event::HeartbeatResult { target, outcome }, &mut Vec::new());
            }
        }
    }
    assert!(asked.contains(&registration().address), "{asked:?}");
}

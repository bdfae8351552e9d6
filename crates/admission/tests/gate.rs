//! Guards against rejections of jobs that could still be of value, and against jobs that are left to
//! wait although they can't be.

use std::time::Duration;

use cowslipchute_admission::demand::Class;
use cowslipchute_admission::demand::Demand;
use cowslipchute_admission::demand::Lane;
use cowslipchute_admission::forecast::Backlog;
use cowslipchute_admission::forecast::Bracket;
use cowslipchute_admission::forecast::Forecast;
use cowslipchute_admission::gate::Gate;
use cowslipchute_admission::gate::Unjudged;
use cowslipchute_admission::gate::Verdict;
use cowslipchute_ports::job::JobId;
use yare::parameterized;

/// Core-seconds that the lane of these tests does per second.
const RATE: f32 = 100.0;

fn lane() -> Lane {
    Lane { service: "desk".into(), priority: 0, class: Class::Short }
}

/// Returns a job that is worth nothing 3 s after it was submitted, and takes 0.5 s.
fn demand(job: JobId, work: f64) -> Demand {
    Demand {
        job,
        queue: "q".into(),
        lane: lane(),
        work,
        critical_path: Duration::from_millis(500),
        objective: Duration::from_secs(1),
    }
}

/// Returns a forecast whose backlog takes this many seconds at the lane's rate.
fn forecast(seconds: f32) -> Forecast {
    let backlog = Backlog {
        lane: lane(),
        brackets: [Bracket { min_density: 0.0, work: seconds * RATE }].into_iter().collect(),
        rate: RATE,
        arrival_rate: 0.0,
        booked: Default::default(),
    };
    Forecast { reaches_store: true, backlogs: vec![backlog], ..Forecast::default() }
}

fn gate(forecast: Forecast) -> Gate {
    let mut gate = Gate::default();
    gate.receive(forecast, Duration::ZERO, &[]);
    gate
}

fn is_rejected(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Rejected { .. })
}

#[parameterized(
    empty = { 0.0, false },
    in_time = { 0.5, false },
    late = { 2.0, false },
    forecast_off_by_two = { 4.9, false },
    hopeless = { 5.1, true },
)]
fn a_job_is_rejected_only_if_it_is_worth_nothing_at_twice_the_rate(seconds: f32, rejected: bool) {
    let verdict = gate(forecast(seconds)).decide(Duration::ZERO, &demand(1, 1.0));
    assert_eq!(is_rejected(verdict), rejected, "{verdict:?}");
}

#[test]
fn nothing_is_rejected_without_a_recent_forecast() {
    let hopeless = demand(1, 1.0);
    let verdict = Gate::default().decide(Duration::ZERO, &hopeless);
    assert_eq!(verdict, Verdict::Unjudged(Unjudged::NoForecast));
    let old = gate(forecast(100.0)).decide(Duration::from_millis(1001), &hopeless);
    assert_eq!(old, Verdict::Unjudged(Unjudged::NoForecast));
    let recent = gate(forecast(100.0)).decide(Duration::from_millis(999), &hopeless);
    assert!(is_rejected(recent));
}

#[test]
fn nothing_is_rejected_for_want_of_a_store_or_of_a_rate() {
    let hopeless = demand(1, 1.0);
    let store_down = Forecast { reaches_store: false, ..forecast(100.0) };
    let verdict = gate(store_down).decide(Duration::ZERO, &hopeless);
    assert_eq!(verdict, Verdict::Unjudged(Unjudged::StoreDown));
    let mut unknown_rate = forecast(100.0);
    unknown_rate.backlogs[0].rate = 0.0;
    let verdict = gate(unknown_rate).decide(Duration::ZERO, &hopeless);
    assert_eq!(verdict, Verdict::Unjudged(Unjudged::NoBacklog));
}

#[test]
fn an_older_answer_does_not_replace_a_newer_one() {
    let mut gate = gate(forecast(0.0));
    gate.receive(forecast(0.0), Duration::from_millis(300), &[]);
    gate.receive(forecast(100.0), Duration::from_millis(100), &[]);
    assert!(!is_rejected(gate.decide(Duration::from_millis(400), &demand(1, 1.0))));
}

#[test]
fn what_was_admitted_since_the_forecast_counts() {
    let mut gate = gate(forecast(1.0));
    let admitted = (0..1000)
        .take_while(|&job| !is_rejected(gate.decide(Duration::ZERO, &demand(job, 1.0))))
        .count();
    // 2.5 s may pass before the job begins, at twice the rate.
    assert_eq!(admitted, 401);
}

/// Without a backlog the rate is that of the arrivals, however much the cell could do.
#[test]
fn nothing_is_rejected_without_a_backlog() {
    let mut idle = forecast(0.0);
    idle.backlogs[0].rate = 1.0;
    let mut gate = gate(idle);
    for job in 0..100 {
        let verdict = gate.decide(Duration::ZERO, &demand(job, 10.0));
        assert_eq!(verdict, Verdict::Unjudged(Unjudged::NoBacklog));
    }
}

/// A rate decays without end; the wait that follows from it may exceed any duration.
#[test]
fn a_rate_near_zero_does_not_overflow() {
    let mut stalled = forecast(100.0);
    for rate in [1e-30, f32::MIN_POSITIVE, f32::NAN] {
        stalled.backlogs[0].rate = rate;
        let verdict = gate(stalled.clone()).decide(Duration::ZERO, &demand(1, 1.0));
        assert_eq!(verdict, Verdict::Unjudged(Unjudged::NoBacklog));
    }
    let endless = Demand { critical_path: Duration::MAX, ..demand(1, 1.0) };
    assert!(is_rejected(gate(forecast(1.0)).decide(Duration::ZERO, &endless)));
}

#[test]
fn denser_work_alone_goes_before_a_best_effort_job() {
    let lane = Lane { class: Class::BestEffort, ..lane() };
    let mut forecast = forecast(0.0);
    forecast.mean_work = vec![("q".into(), 10.0)];
    forecast.backlogs[0].lane = lane.clone();
    // A job of half the mean work has a density of 0.13, one of three times the mean 0.08.
    forecast.backlogs[0].brackets =
        [Bracket { min_density: 0.1, work: 100.0 * RATE }].into_iter().collect();
    let small = Demand { lane: lane.clone(), ..demand(1, 5.0) };
    let large = Demand { lane, ..demand(2, 30.0) };
    let mut gate = gate(forecast);
    assert!(!is_rejected(gate.decide(Duration::ZERO, &small)));
    assert!(is_rejected(gate.decide(Duration::ZERO, &large)));
}

fn retry_after(verdict: Verdict) -> u64 {
    match verdict {
        Verdict::Rejected { retry_after, .. } => retry_after.as_secs(),
        Verdict::Admitted(_) | Verdict::Unjudged(_) => panic!("{verdict:?}"),
    }
}

#[test]
fn retries_of_a_burst_arrive_at_half_of_the_rate() {
    let mut gate = gate(forecast(6.0));
    let mut seconds = [0; 17];
    for job in 0..400 {
        let verdict = gate.decide(Duration::ZERO, &demand(job, 1.0));
        seconds[retry_after(verdict) as usize] += 1;
    }
    // The backlog has to shrink by one second first. 50 core-seconds fit into each second.
    assert_eq!(seconds[..10], [0, 50, 50, 50, 50, 50, 50, 50, 50, 0]);
}

#[test]
fn a_job_larger_than_a_second_of_the_rate_gets_a_second_of_its_own() {
    let mut gate = gate(forecast(6.0));
    let first = retry_after(gate.decide(Duration::ZERO, &demand(1, 500.0)));
    let second = retry_after(gate.decide(Duration::ZERO, &demand(2, 500.0)));
    assert_eq!((first, second), (1, 2));
}

#[test]
fn a_returning_job_goes_before_new_ones() {
    // Without the booked retries a job could begin just in time.
    let mut busy = forecast(4.9);
    busy.backlogs[0].booked = [0.5 * RATE].into_iter().collect();
    busy.returning = vec![7];
    let mut gate = gate(busy);
    assert!(is_rejected(gate.decide(Duration::ZERO, &demand(1, 1.0))));
    assert!(!is_rejected(gate.decide(Duration::ZERO, &demand(7, 1.0))));
}

#[test]
fn a_job_that_was_rejected_here_returns_before_the_owner_knows_of_it() {
    let mut gate = gate(forecast(6.0));
    assert!(is_rejected(gate.decide(Duration::ZERO, &demand(7, 1.0))));
    let mut busy = forecast(4.9);
    busy.backlogs[0].booked = [0.5 * RATE].into_iter().collect();
    gate.receive(busy, Duration::from_millis(300), &[]);
    assert!(is_rejected(gate.decide(Duration::from_millis(300), &demand(8, 1.0))));
    assert!(!is_rejected(gate.decide(Duration::from_millis(300), &demand(7, 1.0))));
}

#[test]
fn rejections_are_reported_until_they_are_confirmed() {
    let mut gate = gate(forecast(6.0));
    gate.decide(Duration::ZERO, &demand(7, 1.0));
    let reported = gate.request(Duration::from_secs(1)).expect("a request is due");
    assert_eq!(reported.iter().map(|booking| booking.job).collect::<Vec<_>>(), [7]);
    // The request or its response is lost.
    let again = gate.request(Duration::from_secs(2)).expect("a request is due");
    assert_eq!(again.len(), 1);
    gate.receive(forecast(6.0), Duration::from_secs(2), &[7]);
    assert_eq!(gate.request(Duration::from_secs(3)).expect("a request is due"), []);
}

/// An owner that answers again after a while must not take old rejections for jobs that are due.
#[test]
fn rejections_whose_jobs_did_not_return_are_forgotten() {
    let mut gate = gate(forecast(6.0));
    gate.decide(Duration::ZERO, &demand(7, 1.0));
    assert_eq!(gate.request(Duration::from_secs(20)).expect("a request is due"), []);
}

#[test]
fn a_cell_without_waiting_work_is_asked_once_a_second() {
    let mut gate = gate(forecast(0.0));
    let asked =
        (0..4000).step_by(10).filter(|&ms| gate.request(Duration::from_millis(ms)).is_some());
    assert_eq!(asked.count(), 4);
}

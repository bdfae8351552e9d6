//! Burn rates, urgency and causes computed from metrics pages.

use std::time::Duration;

use cowslipchute_burn::metric;
use cowslipchute_burn::objective;
use cowslipchute_burn::objective::Objective;
use cowslipchute_burn::objective::Verdict;
use cowslipchute_burn::report;
use cowslipchute_burn::report::Query;
use cowslipchute_burn::report::Report;
use cowslipchute_burn::report::Urgency;
use cowslipchute_burn::sample::Sample;
use cowslipchute_burn::span;
use cowslipchute_burn::text;
use yare::parameterized;

mod page;

use page::Page;

fn objective() -> Objective {
    Objective { class: "paying".into(), answered: 0.999, in_time: 0.99, within: 0.2 }
}

/// A query with windows of 10, 100, 1,000 and 10,000 seconds.
fn query() -> Query {
    let windows = (1..=4).map(|power| Duration::from_secs(10_u64.pow(power))).collect();
    Query { objective: objective(), windows }
}

fn sample(seconds: u64, page: &Page) -> Sample {
    Sample { at: seconds * 1000, instance: "e1".into(), page: page.text() }
}

fn report_of(samples: &[Sample]) -> Report {
    let spans = span::spans(samples).unwrap();
    report::report(&query(), &spans, Vec::new())
}

fn assert_close(found: f64, expected: f64) {
    assert!((found - expected).abs() < 1e-6, "{found} is not {expected}");
}

#[test]
fn a_page_of_the_metrics_library_is_read() {
    let page = Page::open();
    page.add_answers("web", "paying", 1000, 3);
    page.add_answers("web", "trial", 1202, 5);
    page.add_latency("web", "paying", 0.15);
    page.add_retries("web", 2);
    page.add_hedges("web", 1);
    page.add_store_down(7);
    let tally = metric::parse(&page.text()).unwrap();
    assert_eq!(tally.requests.values().copied().collect::<Vec<_>>(), [3.0, 5.0]);
    assert_eq!(tally.extra_attempts["web"], 3.0);
    assert_eq!(tally.store_down, 7.0);
    let buckets = tally.latencies.values().next().unwrap();
    let bounds: Vec<f64> = buckets.iter().map(|bucket| bucket.upper_bound).collect();
    assert_eq!(bounds, [0.1, 0.2, 1.0, f64::INFINITY]);
    let counts: Vec<f64> = buckets.iter().map(|bucket| bucket.count).collect();
    assert_eq!(counts, [0.0, 1.0, 1.0, 1.0]);
}

#[test]
fn one_lost_request_in_a_hundred_burns_ten_times_too_fast() {
    let page = Page::open();
    let before = sample(100, &page);
    page.add_answers("web", "paying", 1000, 99);
    page.add_answers("web", "paying", 1300, 1);
    let report = report_of(&[before, sample(110, &page)]);
    let window = &report.services[0].windows[0];
    assert_close(window.requests, 100.0);
    assert_close(window.failed, 1.0);
    assert_close(window.burn, 10.0);
    assert_close(window.covered, 1.0);
    assert_close(report.services[0].windows[1].covered, 0.1);
}

#[test]
fn a_short_window_holds_only_what_is_recent() {
    let page = Page::open();
    let first = sample(0, &page);
    page.add_answers("web", "paying", 1301, 10);
    let second = sample(90, &page);
    page.add_answers("web", "paying", 1000, 10);
    let third = sample(100, &page);
    let report = report_of(&[third, first, second]);
    let [short, long, ..] = &report.services[0].windows[..] else { panic!("four windows") };
    assert_close(short.failed, 0.0);
    assert_close(long.failed, 10.0);
}

#[test]
fn a_process_started_anew_counts_from_zero() {
    let old = Page::open();
    old.add_answers("web", "paying", 1000, 1000);
    old.add_latency("web", "paying", 5.0);
    let new = Page::open();
    new.add_answers("web", "paying", 1000, 4);
    new.add_answers("web", "paying", 1300, 1);
    new.add_latency("web", "paying", 5.0);
    new.add_latency("web", "paying", 0.05);
    let report = report_of(&[sample(0, &old), sample(10, &new)]);
    assert_close(report.services[0].windows[0].requests, 5.0);
    assert_close(report.services[0].windows[0].failed, 1.0);
}

#[test]
fn slow_answers_burn_a_budget_of_their_own() {
    let page = Page::open();
    let before = sample(0, &page);
    page.add_answers("web", "paying", 1000, 10);
    for number in 0..10 {
        page.add_latency("web", "paying", if number < 9 { 0.15 } else { 0.9 });
    }
    let report = report_of(&[before, sample(10, &page)]);
    let window = &report.services[0].windows[0];
    assert_close(window.slow, 1.0);
    assert_close(window.slow_burn, 10.0);
    assert_close(window.burn, 0.0);
}

#[test]
fn what_trials_and_requests_for_no_service_meet_burns_nothing() {
    let page = Page::open();
    let before = sample(0, &page);
    page.add_answers("web", "trial", 1202, 50);
    page.add_answers("web", "paying", 1000, 1);
    page.add_answers("-", "paying", 1102, 50);
    let report = report_of(&[before, sample(10, &page)]);
    assert_eq!(report.services.len(), 1);
    assert_close(report.services[0].windows[0].burn, 0.0);
}

#[test]
fn bad_answers_are_shared_out_among_what_had_a_part() {
    let page = Page::open();
    let before = sample(0, &page);
    page.add_answers("web", "paying", 1000, 60);
    page.add_answers("web", "trial", 1000, 20);
    page.add_answers("web", "paying", 1201, 20);
    page.add_answers("web", "paying", 1304, 4);
    page.add_answers("web", "paying", 1302, 3);
    page.add_retries("web", 107);
    page.add_store_down(2);
    let report = report_of(&[before, sample(10, &page)]);
    let causes = report.services[0].windows[0].causes;
    // A quarter of the served requests were trials; half of all attempts were retries.
    assert_close(causes.trials, 5.0);
    assert_close(causes.retries, 7.5);
    assert_close(causes.store, 4.0);
    assert_close(causes.other, 3.0 + 7.5);
    assert_close(causes.total(), 27.0);
}

#[test]
fn without_an_outage_nothing_is_put_down_to_the_store() {
    let page = Page::open();
    let before = sample(0, &page);
    page.add_answers("web", "paying", 1304, 4);
    let report = report_of(&[before, sample(10, &page)]);
    assert_close(report.services[0].windows[0].causes.store, 0.0);
    assert_close(report.services[0].windows[0].causes.other, 4.0);
}

#[parameterized(
    steady = { 0, 0, Urgency::None },
    burns_now = { 20, 20, Urgency::Page },
    burns_slowly = { 7, 7, Urgency::Ticket },
    over = { 0, 20, Urgency::Ticket },
)]
fn a_short_and_a_longer_window_have_to_burn(recent: u64, before: u64, expected: Urgency) {
    let page = Page::open();
    let start = sample(0, &page);
    page.add_answers("web", "paying", 1300, before * 99);
    page.add_answers("web", "paying", 1000, 99_000 - before * 99);
    let middle = sample(990, &page);
    page.add_answers("web", "paying", 1300, recent);
    page.add_answers("web", "paying", 1000, 1000 - recent);
    let report = report_of(&[start, middle, sample(1000, &page)]);
    assert_eq!(report.services[0].urgency, expected);
}

#[parameterized(
    answered = { 1000, Verdict::Good },
    wrong = { 1100, Verdict::Ignored },
    repeated = { 1303, Verdict::Ignored },
    refused = { 1200, Verdict::Bad },
    lost = { 1300, Verdict::Bad },
    unheard_of = { 1999, Verdict::Bad },
)]
fn answers_count_by_their_code(code: u16, expected: Verdict) {
    assert_eq!(objective::count(code), expected);
}

#[test]
fn the_text_names_each_service_and_window() {
    let page = Page::open();
    let before = sample(0, &page);
    page.add_answers("web", "paying", 1000, 99);
    page.add_answers("web", "paying", 1300, 1);
    page.add_answers("routes", "paying", 1000, 9);
    let text = text::render(&report_of(&[before, sample(10, &page)]));
    assert!(text.starts_with("promised to paying requests: 99.9 % answered, 99 % within 200 ms\n"));
    assert!(text.contains("web: "), "{text}");
    assert!(text.contains("routes: budget lasts"), "{text}");
    assert!(text.contains("  10s       100 %       100       1  10.0 "), "{text}");
}

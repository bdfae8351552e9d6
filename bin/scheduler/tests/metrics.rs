//! Checks `docs/METRICS.md` against the code, and the metrics against the events that they record.
//!
//! `COWSLIPCHUTE_UPDATE_DOCS=1 cargo test -p cowslipchute-scheduler --test metrics` rewrites the table.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_planner::action::Note;
use cowslipchute_planner::event::Event as PlannerEvent;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::settings::Features;
use cowslipchute_planner::settings::Settings;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::TaskId;
use cowslipchute_scheduler::metrics::FAMILIES;
use cowslipchute_scheduler::metrics::Metrics;

const BEGIN: &str = "<!-- table -->\n";
const END: &str = "<!-- end of table -->\n";

fn table() -> String {
    let mut text = String::from("| Metric | Kind | Labels | Meaning |\n|---|---|---|---|\n");
    for family in FAMILIES {
        let labels = family.labels.join(", ");
        writeln!(
            text,
            "| `{}` | {} | {labels} | {} |",
            family.name,
            family.kind.name(),
            family.help
        )
        .expect("writing to a string can't fail");
    }
    text
}

#[test]
fn the_page_holds_what_the_code_says() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let text = fs::read_to_string(&path).expect("the page can be read");
    let (head, rest) = text.split_once(BEGIN).expect("the page marks where its table begins");
    let (found, tail) = rest.split_once(END).expect("the page marks where its table ends");
    let expected = table();
    if std::env::var_os("COWSLIPCHUTE_UPDATE_DOCS").is_some() {
        fs::write(&path, format!("{head}{BEGIN}{expected}{END}{tail}"))
            .expect("the page can be written");
        return;
    }
    assert_eq!(found, expected, "docs/METRICS.md differs from the code");
}

#[test]
fn names_are_unique_and_end_in_their_unit() {
    let names: BTreeSet<_> = FAMILIES.iter().map(|family| family.name).collect();
    assert_eq!(names.len(), FAMILIES.len());
    for family in FAMILIES {
        let unit = match family.kind {
            cowslipchute_scheduler::metrics::Kind::Counter => "_total",
            cowslipchute_scheduler::metrics::Kind::Histogram => "_seconds",
            cowslipchute_scheduler::metrics::Kind::Gauge => "",
        };
        assert!(family.name.ends_with(unit), "{}", family.name);
    }
}

fn note(event: Event, detail: &'static str) -> Note {
    let task = TaskId { job: 7, occurrence: 0, step: 0, index: 0 };
    let run = Some(Run { task, attempt: 1 });
    Note { event, job: Some(7), run, worker: None, detail: detail.into() }
}

/// Returns the value of the series that begins with `series`.
fn value(text: &str, series: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(series))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

#[test]
fn a_job_is_followed_from_its_arrival_to_its_end() {
    let metrics = Metrics::open().unwrap();
    let at = Duration::from_millis;
    metrics.track(at(1000), &note(Event::JobKnown, "queue"));
    metrics.track(at(1080), &note(Event::RunStarted, ""));
    metrics.track(at(1300), &note(Event::RunStarted, ""));
    metrics.track(at(4000), &note(Event::JobEnded, "completed"));
    let text = metrics.render(at(5000), None).unwrap();
    assert_eq!(value(&text, "cowslipchute_job_start_seconds_count"), Some(1.0));
    assert_eq!(value(&text, "cowslipchute_job_start_seconds_sum"), Some(0.08));
    assert_eq!(value(&text, "cowslipchute_job_seconds_sum{state=\"completed\"}"), Some(3.0));
    assert_eq!(value(&text, "cowslipchute_cell_owned"), Some(0.0));
}

#[test]
fn jobs_of_an_earlier_ownership_are_not_timed() {
    let metrics = Metrics::open().unwrap();
    let at = Duration::from_millis;
    metrics.track(at(1000), &note(Event::JobKnown, "queue"));
    metrics.ownership_lost();
    metrics.track(at(90_000), &note(Event::JobEnded, "completed"));
    let text = metrics.render(at(90_000), None).unwrap();
    assert_eq!(value(&text, "cowslipchute_job_seconds_sum"), None);
}

#[test]
fn what_the_owner_knows_shows_only_while_it_owns_the_cell() {
    let metrics = Metrics::open().unwrap();
    metrics.config_applied(Duration::from_secs(10), 7);
    let planner = Planner::open(Settings::default());
    let text = metrics.render(Duration::from_secs(15), Some(planner.census())).unwrap();
    assert_eq!(value(&text, "cowslipchute_cell_owned"), Some(1.0));
    assert_eq!(value(&text, "cowslipchute_workers{contact=\"answering\"}"), Some(0.0));
    assert_eq!(value(&text, "cowslipchute_config_age_seconds"), Some(5.0));
    let overdue = "cowslipchute_service_tasks_overdue{kind=\"returning\"}";
    assert_eq!(value(&text, overdue), Some(0.0));
    let returned = "cowslipchute_service_tasks_returned{within=\"more\"}";
    assert_eq!(value(&text, returned), Some(0.0));
    let text = metrics.render(Duration::from_secs(16), None).unwrap();
    assert_eq!(value(&text, "cowslipchute_workers"), None);
    assert_eq!(value(&text, overdue), None);
    assert_eq!(value(&text, returned), None);
}

/// Guards against accounts of a former owner that stay visible, and against any while the feature is
/// off.
#[test]
fn shares_show_at_the_owner_while_the_feature_is_on() {
    let metrics = Metrics::open().unwrap();
    for queue_shares in [true, false] {
        let features = Features { queue_shares, ..Features::default() };
        let mut planner = Planner::open(Settings { features, ..Settings::default() });
        let spec = Spec { payload: "".into(), steps: Vec::new(), schedule: None };
        let accepted = Accepted { queue: "q".into(), service: "s".into(), spec, cancelled: false };
        let taken = PlannerEvent::OwnershipAcquired {
            epoch: 1,
            jobs: vec![],
            records: vec![],
            estimates: None,
        };
        planner.step(Duration::ZERO, taken, &mut Vec::new());
        planner.step(
            Duration::ZERO,
            PlannerEvent::Job { job: 2, accepted: Arc::new(accepted) },
            &mut Vec::new(),
        );
        let text = metrics.render(Duration::ZERO, Some(planner.census())).unwrap();
        let shown = queue_shares.then_some(0.0);
        let deficit =
            "cowslipchute_share_core_seconds{queue=\"q\",size=\"largest\",work=\"deficit\"}";
        assert_eq!(value(&text, deficit), shown);
        let ahead = "cowslipchute_share_ahead{queue=\"q\",size=\"rest\"}";
        assert_eq!(value(&text, ahead), shown);
        let text = metrics.render(Duration::ZERO, None).unwrap();
        assert_eq!((value(&text, deficit), value(&text, ahead)), (None, None));
    }
}

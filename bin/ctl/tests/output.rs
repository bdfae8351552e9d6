//! Rendered output.

use cowslipchutectl::output::Format;
use cowslipchutectl::output::Table;
use cowslipchutectl::show;
use cowslipchutectl::stream;
use serde_json::json;
use yare::parameterized;

#[test]
fn columns_are_as_wide_as_they_need_to_be() {
    let mut table = Table::new(["name", "revision"]);
    table.row(vec![String::from("web-trial"), String::from("7")]);
    assert_eq!(table.render(), "NAME       REVISION\nweb-trial  7\n");
}

#[parameterized(
    table_put = { Format::Table, "put", Some("7  put  job/a") },
    table_removed = { Format::Table, "removed", Some("7  removed  job/a") },
    table_news = { Format::Table, "in-force", Some("7  in force here") },
    quiet_put = { Format::Quiet, "put", Some("job/a") },
    quiet_removed = { Format::Quiet, "removed", Some("job/a") },
    quiet_in_force = { Format::Quiet, "in-force", None },
    table_unknown_type = { Format::Table, "whole", Some("everything that exists follows") },
)]
fn a_line_of_a_stream(format: Format, kind: &str, expected: Option<&str>) {
    let resource = json!({"kind": "job", "name": "a"});
    let line =
        json!({"type": kind, "revision": 7, "resource": resource, "kind": "job", "name": "a"});
    assert_eq!(stream::render(&line, 3, format).as_deref(), expected);
}

#[test]
fn progress_that_brings_nothing_is_shown_to_programs_only() {
    let line = json!({"type": "in-force", "revision": 7});
    assert_eq!(stream::render(&line, 7, Format::Table), None);
    assert_eq!(stream::render(&line, 7, Format::Json), Some(line.to_string()));
}

#[test]
fn events_show_what_they_have() {
    let answer = json!({
        "events": [{"at_millis": 5, "event": 216, "name": "TaskEvicted", "subject": "report"}],
        "unreachable": ["10.0.0.1:7"],
    });
    let text = show::events(&answer, Format::Table);
    assert!(text.contains("TaskEvicted") && text.contains("subject=report"), "{text}");
    assert!(text.contains("+5 ms"), "{text}");
    assert!(text.contains("no answer from 10.0.0.1:7"), "{text}");
}

//! Completion rates by job size are computed from the logs of all instances.

use std::fmt::Write as _;

use cowslipchutectl::output::Format;
use cowslipchutectl::sizes::Report;
use cowslipchutectl::trace::Line;

/// Logs of twenty jobs of one queue whose tasks need 100 to 2,000 thousandths of a processor. Jobs over 1,600
/// are never completed, jobs over 1,200 are completed late, and one further job was cancelled.
fn logs() -> Vec<Line> {
    let mut text = String::new();
    for index in 1..=20 {
        let widest = index * 100;
        let _ = writeln!(
            text,
            r#"{{"ts":"2026-05-28T23:59:58.000000000Z","instance":"a","name":"JobKnown","event":253,"job":"{index}","detail":"q tasks=2 work=1.0 widest={widest} chain=900 objective=1000"}}"#
        );
        let ended = match index {
            ..=12 => "2026-05-28T23:59:58.900000000Z",
            13..=16 => "2026-05-29T00:00:00.500000000Z",
            _ => continue,
        };
        let _ = writeln!(
            text,
            r#"{{"ts":"{ended}","instance":"a","name":"JobEnded","event":255,"job":"{index}","detail":"completed"}}"#
        );
    }
    text.push_str(
        r#"{"ts":"2026-05-28T23:59:58.000000000Z","instance":"a","name":"JobKnown","event":253,"job":"99","detail":"q tasks=2 work=1.0 widest=100 chain=900 objective=1000"}
{"ts":"2026-05-28T23:59:59.000000000Z","instance":"a","name":"JobEnded","event":255,"job":"99","detail":"cancelled"}
{"ts":"2026-05-28T23:59:59.000000000Z","instance":"a","name":"JobKnown","event":253,"job":"98","detail":"an earlier form"}
"#,
    );
    text.lines().filter_map(Line::parse).collect()
}

#[test]
fn the_tenths_of_a_queue_show_which_sizes_are_served() {
    let text = Report::open(logs()).render(Format::Table);
    let widest = text.lines().find(|line| line.contains("widest")).expect("a row by demand");
    let cells: Vec<&str> = widest.split_whitespace().collect();
    assert_eq!(cells[2], "0.60/0.80");
    assert_eq!(&cells[3..9], &["1.00/1.00"; 6]);
    assert_eq!(&cells[9..11], &["0.00/1.00"; 2]);
    assert_eq!(&cells[11..], &["0.00/0.00"; 2]);
}

#[test]
fn programs_get_the_same_as_json() {
    let text = Report::open(logs()).render(Format::Json);
    let rows: serde_json::Value = serde_json::from_str(&text).unwrap();
    let row = rows.as_array().unwrap().iter().find(|row| row["by"] == "widest").unwrap();
    assert_eq!(row["all"]["jobs"], 20);
    assert_eq!(row["tenths"][9]["served"], 0.0);
}

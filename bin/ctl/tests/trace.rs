//! A job is traced through the logs of several instances.

use cowslipchute_base::code::Code;
use cowslipchutectl::output::Format;
use cowslipchutectl::trace::Line;
use cowslipchutectl::trace::Trace;
use yare::parameterized;

/// Log lines of several instances, out of order and mixed with other text.
const LOGS: &str = r#"
  3.2 edge-b-1 {"ts":"2026-05-28T17:02:12.400000000Z","instance":"edge-b-1","name":"RunStarted","event":256,"job":"00000000000000a1","task":"00000000000000a1.0.0.1","attempt":1,"worker":"w1","detail":""}
{"ts":"2026-05-28T17:02:11.310000000Z","instance":"edge-a-2","name":"JobAccepted","event":250,"job":"00000000000000a1"}
not a log line
{"ts":"2026-05-28T17:02:12.000000000Z","instance":"edge-b-1","name":"SeatTaken","event":270,"epoch":9}
{"ts":"2026-05-28T17:02:12.380000000Z","instance":"edge-b-1","name":"JobKnown","event":253,"job":"00000000000000a1","detail":"q"}
{"ts":"2026-05-28T17:02:12.390000000Z","instance":"edge-b-1","name":"RunStarted","event":256,"job":"00000000000000b2","task":"00000000000000b2.0.0.0","attempt":1,"worker":"w2","detail":""}
{"ts":"2026-05-28T17:02:14.000000000Z","instance":"edge-b-1","name":"RunEnded","event":259,"job":"00000000000000a1","task":"00000000000000a1.0.0.1","attempt":1,"worker":"w1","detail":"failed"}
{"ts":"2026-05-28T17:02:15.000000000Z","instance":"edge-b-1","name":"RunEnded","event":259,"job":"00000000000000a1","task":"00000000000000a1.0.0.1","attempt":2,"worker":"w3","detail":"done"}
{"ts":"2026-05-28T17:02:15.010000000Z","instance":"edge-b-1","name":"JobEnded","event":255,"job":"00000000000000a1","detail":"completed"}
{"ts":"2026-05-28T17:02:20.000000000Z","instance":"edge-b-1","name":"StoreLost","event":10,"reason":"503"}
{"ts":"2026-05-28T17:02:21.000000000Z","instance":"edge-a-2","name":"JobRefused","event":251,"job":"00000000000000c3","asked":"submit","code":2200,"reason":"the store did not answer a moment ago"}
"#;

fn logs() -> Vec<Line> {
    LOGS.lines().filter_map(Line::parse).collect()
}

#[test]
fn a_job_is_shown_in_order_with_what_happened_to_the_owner() {
    let trace = Trace::open(logs(), "a1").unwrap();
    let expected = "\
job 00000000000000a1
accepted: 17:02:11.310 at edge-a-2
known to the owner: 17:02:12.380 at edge-b-1 q
first start: 17:02:12.400 at edge-b-1
ended: 17:02:15.010 at edge-b-1 completed
runs: 1 done, 1 failed

TIME          INSTANCE  EVENT        TASK   RUN  WORKER  WHY
17:02:11.310  edge-a-2  JobAccepted
17:02:12.000  edge-b-1  SeatTaken
17:02:12.380  edge-b-1  JobKnown                         q
17:02:12.400  edge-b-1  RunStarted   0.0.1  1    w1
17:02:14.000  edge-b-1  RunEnded     0.0.1  1    w1      failed
17:02:15.000  edge-b-1  RunEnded     0.0.1  2    w3      done
17:02:15.010  edge-b-1  JobEnded                         completed
";
    let found: Vec<String> =
        trace.render(Format::Table).lines().map(|line| line.trim_end().to_owned()).collect();
    assert_eq!(found.join("\n") + "\n", expected);
}

#[test]
fn a_refused_job_shows_its_result_and_reason() {
    let trace = Trace::open(logs(), "00000000000000c3").unwrap();
    let text = trace.render(Format::Quiet);
    assert!(text.contains("refused: 17:02:21.000 at edge-a-2 2200 the store did not"), "{text}");
}

#[test]
fn programs_get_the_same_as_json() {
    let text = Trace::open(logs(), "a1").unwrap().render(Format::Json);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["runs"]["done"], 1);
    assert_eq!(value["lines"].as_array().map(Vec::len), Some(7));
}

#[parameterized(
    an_unknown_job = { "ff", Code::NoJob },
    no_number = { "web", Code::BadSetting },
)]
fn what_can_t_be_traced_is_told(job: &str, code: Code) {
    assert_eq!(Trace::open(logs(), job).unwrap_err().code, code);
}

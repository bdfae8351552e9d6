//! Checks that settings are validated before anything is started.

use cowslipchute_operator::settings;
use cowslipchute_operator::settings::Settings;
use yare::parameterized;

const WHOLE: &str = "--instance o1 --domain a --admin 127.0.0.1:1 --listen 127.0.0.1:2 \
                     --store http://127.0.0.1:3 --list http://127.0.0.1:4";

fn parse(line: &str) -> Result<Settings, String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    settings::settings().run_inner(words.as_slice()).map_err(|failure| failure.unwrap_stderr())
}

#[test]
fn links_and_events_may_be_left_out() {
    let settings = parse(WHOLE).expect("nothing is missing");
    assert!(settings.links.is_none());
    assert!(settings.events_from.is_empty());
}

#[test]
fn several_placers_may_be_named() {
    let line = "--events-from 10.0.0.1:1,10.0.0.2:2 --events-from 10.0.0.3:3";
    let settings = parse(&format!("{WHOLE} {line}")).expect("nothing is wrong");
    assert_eq!(settings.events_from.len(), 3);
}

#[parameterized(
    no_port = { "--events-from 10.0.0.1", "is no IP:PORT" },
    half_a_link = { "--peer-listen 127.0.0.1:5", "--peer-cert" },
    unknown = { "--store-url x", "--store-url" },
)]
fn what_is_wrong_is_named(line: &str, expected: &str) {
    let problem = parse(&format!("{WHOLE} {line}")).expect_err("something is wrong");
    assert!(problem.contains(expected), "{problem:?} should contain {expected:?}");
}

#[parameterized(
    no_scheme = { "http://127.0.0.1:3", "127.0.0.1:3", "is no URL" },
    no_host = { "http://127.0.0.1:4", "http://", "is no URL" },
    no_address = { "127.0.0.1:2", "localhost", "localhost" },
    no_instance = { "--instance o1", "", "--instance" },
)]
fn a_bad_value_is_named(good: &str, bad: &str, expected: &str) {
    let problem = parse(&WHOLE.replace(good, bad)).expect_err("a value is bad");
    assert!(problem.contains(expected), "{problem:?} should contain {expected:?}");
}

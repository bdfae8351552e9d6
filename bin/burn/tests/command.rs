//! The command with an operator's options, against metrics pages served on loopback.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;

use cowslipchute_burn::command;
use cowslipchute_burn::command::Options;
use cowslipchute_burn::failure::Failure;
use cowslipchute_daemon::admin;
use cowslipchute_daemon::admin::Readiness;
use yare::parameterized;

mod page;

use page::Page;

fn options(arguments: &[&str]) -> Options {
    command::options().run_inner(arguments).unwrap_or_else(|error| panic!("{error:?}"))
}

fn run(arguments: &[&str]) -> Result<String, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(command::run(options(arguments)))
}

fn empty_path(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_file(&path);
    path
}

/// Returns an address on which nothing listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Serves a page for the rest of the test.
fn serve(page: &Page) -> String {
    let address = unused_address();
    admin::spawn(address, page.registry.clone(), Readiness::default(), None).unwrap();
    address.to_string()
}

#[test]
fn samples_taken_from_an_entry_are_reported_saved_and_drawn() {
    let page = Page::open();
    page.add_answers("web", "paying", 1000, 9);
    let (admin, unreachable) = (serve(&page), unused_address().to_string());
    let (saved, chart) = (empty_path("saved.jsonl"), empty_path("burn.svg"));
    let (saved, chart) = (saved.to_str().unwrap(), chart.to_str().unwrap());
    run(&["--admin", &admin, "--admin", &unreachable, "--samples", "1", "--save", saved]).unwrap();
    page.add_answers("web", "paying", 1300, 1);
    let arguments = ["--admin", &admin, "--samples", "1", "--save", saved];
    run(&arguments).unwrap();
    let json = run(&["--read", saved, "--json", "--svg", chart, "--scale", "0.01"]).unwrap();
    let report: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(report["services"][0]["service"], "web");
    assert_eq!(report["services"][0]["windows"][0]["failed"], 1.0);
    let chart = fs::read_to_string(chart).unwrap();
    assert!(chart.starts_with("<svg") && chart.contains("web"), "{chart}");
}

#[test]
fn an_entry_that_can_not_be_read_is_named() {
    let (admin, unreachable) = (serve(&Page::open()), unused_address().to_string());
    let arguments = ["--admin", &admin, "--admin", &unreachable, "--every", "0.01"];
    let text = run(&arguments).unwrap();
    assert!(text.contains(&format!("not read: {unreachable}")), "{text}");
}

#[test]
fn without_any_entry_there_is_no_report() {
    let failure = run(&["--admin", &unused_address().to_string(), "--every", "0.01"]).unwrap_err();
    assert_eq!(failure.code.number(), 3002);
    assert_eq!(failure.exit_code(), 4);
}

#[parameterized(
    nothing_to_read = { &[], "--admin" },
    one_sample = { &["--admin", "127.0.0.1:1", "--samples", "1"], "--samples" },
    no_samples = { &["--read", "x", "--samples", "0"], "--samples" },
    no_such_class = { &["--read", "x", "--class", "gold"], "--class" },
    no_budget = { &["--read", "x", "--target", "100"], "--target" },
    no_number = { &["--read", "x", "--scale", "NaN"], "--scale" },
    no_time = { &["--read", "x", "--slow", "0"], "--slow" },
    no_pause = { &["--read", "x", "--every=-1"], "--every" },
)]
fn an_option_out_of_range_is_named(arguments: &[&str], option: &str) {
    let failure = run(arguments).unwrap_err();
    assert_eq!(failure.code.number(), 3000);
    assert_eq!(failure.exit_code(), 2);
    assert!(failure.text.contains(option), "{failure}");
}

#[parameterized(
    missing = { None, "samples" },
    no_sample = { Some("{}\n"), "line 1" },
    no_metrics = {
        Some("{\"at\":1,\"instance\":\"e\",\"page\":\"# TYPE cowslipchute_requests_total counter\\ncowslipchute_requests_total{code=\\\"x\\\"} 1\\n\"}\n"),
        "metrics"
    },
)]
fn a_file_that_holds_something_else_is_refused(text: Option<&str>, problem: &str) {
    let path = empty_path(&format!("samples-{}", problem.replace(' ', "-")));
    if let Some(text) = text {
        fs::write(&path, text).unwrap();
    }
    let failure = run(&["--read", path.to_str().unwrap()]).unwrap_err();
    assert_eq!(failure.code.number(), 3003);
    assert_eq!(failure.exit_code(), 3);
    assert!(failure.text.contains(problem), "{failure}");
}

//! The command line is parsed as its help describes; a wrong one is rejected with an error that
//! names the problem.

use std::path::PathBuf;
use std::time::Duration;

use cowslipchute_resource::Kind;
use cowslipchutectl::command;
use cowslipchutectl::command::Command;
use cowslipchutectl::command::Options;
use cowslipchutectl::output::Format;
use yare::parameterized;

fn parse(line: &str) -> Result<Options, String> {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    command::options().run_inner(arguments.as_slice()).map_err(|failure| failure.unwrap_stderr())
}

fn apply(wait: bool, seconds: u64) -> Command {
    let wait_within = Duration::from_secs(seconds);
    Command::Apply { file: PathBuf::from("a.toml"), wait, wait_within }
}

#[parameterized(
    apply_file = { "apply -f a.toml", apply(false, 60) },
    apply_long = { "apply --file a.toml --wait --wait-within 5", apply(true, 5) },
    get = { "get service web", Command::Get { kind: Kind::Service, name: String::from("web") } },
    list = { "list team", Command::List { kind: Kind::Team } },
    watch = { "watch", Command::Watch { after: 0 } },
    watch_after = { "watch --after 7", Command::Watch { after: 7 } },
    delete = {
        "delete job report",
        Command::Delete { revision: None, kind: Kind::Job, name: String::from("report") }
    },
    delete_at = {
        "delete --revision 4 job report",
        Command::Delete { revision: Some(4), kind: Kind::Job, name: String::from("report") }
    },
    status = { "status", Command::Status { revision: None } },
    status_of = { "status --revision 9", Command::Status { revision: Some(9) } },
    events = { "events", Command::Events },
    drain = { "drain worker-1", Command::Drain { instance: String::from("worker-1") } },
    keys = { "keys dir", Command::Keys { issue: None, directory: PathBuf::from("dir") } },
    keys_issue = {
        "keys --issue e1 dir",
        Command::Keys { issue: Some(String::from("e1")), directory: PathBuf::from("dir") }
    },
)]
fn commands(line: &str, expected: Command) {
    let options = parse(line).unwrap_or_else(|problem| panic!("{line}: {problem}"));
    assert_eq!(options.command, expected);
    assert_eq!(options.general.output, Format::Table);
}

#[parameterized(
    one = { "--operator http://10.0.0.1:7300", &["http://10.0.0.1:7300"] },
    slash = { "--operator http://10.0.0.1:7300/", &["http://10.0.0.1:7300"] },
    two = { "--operator http://a:1 --operator http://b:2", &["http://a:1", "http://b:2"] },
    list = { "--operator http://a:1,http://b:2", &["http://a:1", "http://b:2"] },
)]
fn operators(line: &str, expected: &[&str]) {
    let options = parse(&format!("{line} events")).expect("the command line is valid");
    assert_eq!(options.general.operators, expected);
}

#[parameterized(
    nothing = { "", "COMMAND" },
    no_file = { "apply", "--file" },
    no_such_command = { "aply -f a.toml", "aply" },
    no_such_kind = { "get servce web", "use service, job, team or policy" },
    no_name = { "get service", "NAME" },
    no_number = { "watch --after now", "now" },
    no_format = { "-o yaml events", "use table, json or quiet" },
    no_url = { "--operator 10.0.0.1:7300 events", "is not the URL of an operator" },
    no_scheme = { "--operator ftp://10.0.0.1 events", "is not the URL of an operator" },
)]
fn wrong_use(line: &str, expected: &str) {
    let problem = parse(line).expect_err("the command line is invalid");
    assert!(problem.contains(expected), "{problem:?} should contain {expected:?}");
}

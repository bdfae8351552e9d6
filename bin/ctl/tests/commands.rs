//! Commands against an operator process that uses a simulated store.

use std::io::Read as _;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::log;
use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Trigger;
use cowslipchute_follow as follow;
use cowslipchute_gateway::kv;
use cowslipchute_operator::metrics::Metrics;
use cowslipchute_operator::process;
use cowslipchute_operator::process::Operator;
use cowslipchute_operator::process::Parts;
use cowslipchute_peer::node::Node;
use cowslipchute_ports::list;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::State;
use cowslipchute_standin::fault::Target;
use cowslipchutectl::apply;
use cowslipchutectl::command;
use cowslipchutectl::failure::Failure;
use cowslipchutectl::run;
use tokio::sync::watch;
use yare::parameterized;

/// An operator process with a simulated store.
struct Harness {
    standin: Standin,
    operator: Option<Operator>,
    switch: Trigger,
    members: watch::Sender<Vec<Member>>,
    directory: PathBuf,
}

impl Harness {
    fn open(test: &str) -> Harness {
        let standin =
            cowslipchute_standin::open(&Plan::default()).expect("the simulated platform starts");
        let (switch, stop) = stop::open();
        let (members, listed) = watch::channel(Vec::new());
        let store = || kv::Client::open(&standin.store_url(), Duration::from_millis(500));
        let parts = Parts {
            follow: follow::Settings {
                instance: "o1".into(),
                incarnation: 1,
                domain: "a".into(),
                seed: 1,
                logger: log::discard(),
            },
            store: store(),
            follow_store: store(),
            peers: None::<Node>,
            members: listed,
            placers: Vec::new(),
            metrics: Metrics::open(&prometheus::Registry::new()).expect("metrics"),
            readiness: Readiness::default(),
            stop,
            stop_within: Duration::from_secs(5),
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let operator = Some(process::spawn(parts, listener).expect("the operator starts"));
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&directory).expect("a directory");
        Harness { standin, operator, switch, members, directory }
    }

    fn url(&self) -> String {
        format!("http://{}", self.operator.as_ref().expect("it runs").address())
    }

    fn file(&self, text: &str) -> String {
        let path = self.directory.join("resources.toml");
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    fn run(&self, line: &str) -> Result<String, Failure> {
        run_with(&self.url(), line)
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.switch.advance(Stage::Forced);
        if let Some(operator) = self.operator.take() {
            operator.join();
        }
    }
}

fn block_on<T>(body: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(body)
}

fn run_with(operators: &str, line: &str) -> Result<String, Failure> {
    let arguments = ["--operator", operators].into_iter().chain(line.split_whitespace());
    let arguments: Vec<&str> = arguments.collect();
    let options =
        command::options().run_inner(arguments.as_slice()).expect("the command line is valid");
    block_on(run::run(options))
}

const RESOURCES: &str = r#"
[[resource]]
kind = "team"
name = "research"
quota = { cpu_milli = 8000, memory_mib = 16000 }

[[resource]]
kind = "job"
name = "report"
team = "research"
tasks = 4
"#;

#[test]
fn a_file_is_applied_shown_and_removed() {
    let harness = Harness::open("applied");
    let file = harness.file(RESOURCES);
    let applied = harness.run(&format!("apply -f {file} --wait")).expect("applied");
    assert_eq!(applied.matches("created").count(), 2, "{applied}");
    let again = harness.run(&format!("apply -f {file}")).expect("applied");
    assert_eq!(again.matches("unchanged").count(), 2, "{again}");
    let file = harness.file(&RESOURCES.replace("tasks = 4", "tasks = 5"));
    let changed = harness.run(&format!("apply -f {file}")).expect("applied");
    assert_eq!((changed.matches("unchanged").count(), changed.matches("replaced").count()), (1, 1));
    assert!(harness.run("list job").expect("listed").contains("report"));
    assert_eq!(harness.run("-o quiet list team").expect("listed"), "research\n");
    let shown = harness.run("-o json get job report").expect("shown");
    let shown: serde_json::Value = serde_json::from_str(&shown).expect("it is JSON");
    assert_eq!(shown["resource"]["tasks"], 5);
    assert!(harness.run("status").expect("shown").contains("1/1 instances"));
    assert!(harness.run("events").is_ok());
    let used = harness.run("delete team research").expect_err("a job refers to it");
    assert_eq!((used.code, used.exit_code()), (Code::InUse, 3));
    harness.run("delete job report").expect("removed");
    harness.run("delete team research").expect("removed");
    let gone = harness.run("get team research").expect_err("it is gone");
    assert_eq!((gone.code, gone.exit_code()), (Code::NoResource, 3));
}

#[test]
fn waiting_in_vain_says_who_lags() {
    let harness = Harness::open("in-vain");
    let silent = Member {
        instance: "silent".into(),
        incarnation: 1,
        role: Role::Entry,
        state: list::State::Live,
        domain: "a".into(),
        rack: "".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    };
    harness.members.send_replace(vec![silent]);
    let file = harness.file(RESOURCES);
    let line = format!("apply -f {file} --wait --wait-within 0");
    let failure = harness.run(&line).expect_err("one instance is silent");
    assert_eq!((failure.outcome(), failure.exit_code()), (Outcome::Unknown, 4));
    assert!(failure.text.contains("silent"), "{failure}");
    assert!(harness.run("get job report").is_ok(), "the change is accepted nevertheless");
    assert!(harness.run("status").expect("shown").contains("no answer"));
}

#[test]
fn a_removal_from_an_old_revision_shows_the_present_one() {
    let harness = Harness::open("old");
    let file = harness.file(RESOURCES);
    harness.run(&format!("apply -f {file}")).expect("applied");
    let failure = harness.run("delete --revision 1 job report").expect_err("another revision");
    assert_eq!((failure.code, failure.exit_code()), (Code::Conflict, 3));
    assert!(failure.revision.is_some());
    assert!(failure.to_string().contains("present revision"), "{failure}");
}

#[test]
fn the_first_failure_says_what_was_applied_and_what_was_not_tried() {
    let harness = Harness::open("stopped");
    let dangling = "[[resource]]\nkind = \"job\"\nname = \"b\"\nteam = \"nobody\"\n";
    let file = harness
        .file(&format!("{RESOURCES}\n{dangling}\n{}", RESOURCES.replace("research", "keel")));
    let failure = harness.run(&format!("apply -f {file}")).expect_err("the team doesn't exist");
    assert_eq!(failure.code, Code::BadResource);
    assert_eq!(failure.field.as_deref(), Some("job.team"));
    assert!(failure.text.contains("2 applied before it, 2 after it not tried"), "{failure}");
}

#[test]
fn a_store_that_is_down_leaves_reads_and_refuses_changes() {
    let harness = Harness::open("down");
    let file = harness.file(RESOURCES);
    harness.run(&format!("apply -f {file} --wait")).expect("applied");
    let fault = Fault::state(State::Down);
    block_on(harness.standin.set_fault(Target::Store, fault)).expect("the store exists");
    assert!(harness.run("get job report").is_ok());
    let file = harness.file(&RESOURCES.replace("tasks = 4", "tasks = 5"));
    let failure = harness.run(&format!("apply -f {file}")).expect_err("the store is down");
    assert_eq!((failure.code, failure.exit_code()), (Code::StoreDown, 3));
}

#[parameterized(
    no_toml = { "[[resource", "TOML" },
    no_resource = { "kind = \"job\"", "kind" },
    no_name = { "[[resource]]\nkind = \"job\"", "name" },
    unknown_field = { "[[resource]]\nkind = \"job\"\nname = \"a\"\ntask = 1", "task" },
    out_of_range = { "[[resource]]\nkind = \"job\"\nname = \"a\"\ntasks = 0", "use 1 to" },
)]
fn a_bad_file_is_refused_before_anything_is_asked(text: &str, expected: &str) {
    let directory =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad").join(expected.replace(' ', "-"));
    std::fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join("resources.toml");
    std::fs::write(&path, text).expect("a file");
    let failure = apply::read(&path).expect_err("the file is bad");
    assert_eq!((failure.code, failure.exit_code()), (Code::BadFile, 3));
    assert!(failure.text.contains(expected), "{failure}");
}

#[test]
fn an_operator_that_surely_got_nothing_is_passed_over() {
    let harness = Harness::open("passed-over");
    let file = harness.file(RESOURCES);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let both = format!("http://{address},{}", harness.url());
    run_with(&both, &format!("apply -f {file}")).expect("the second operator accepts it");
    let failure = run_with(&format!("http://{address}"), "delete --revision 1 job report");
    let failure = failure.expect_err("no operator is listening");
    assert_eq!(
        (failure.code, failure.outcome(), failure.exit_code()),
        (Code::NotSent, Outcome::NotRun, 3)
    );
}

#[test]
fn a_change_that_may_have_reached_an_operator_is_sent_to_no_other() {
    let harness = Harness::open("not-twice");
    let file = harness.file(RESOURCES);
    harness.run(&format!("apply -f {file}")).expect("applied");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1024];
        // Reads the request, then closes the connection without a response.
        socket.read(&mut buffer).expect("a request")
    });
    let both = format!("http://{address},{}", harness.url());
    let revision = harness.run("-o quiet get job report").expect("shown");
    let line = format!("delete --revision {} job report", revision.trim());
    let failure = run_with(&both, &line).expect_err("the answer is lost");
    assert_eq!((failure.outcome(), failure.exit_code()), (Outcome::Unknown, 4));
    server.join().expect("the connection was broken");
    assert!(harness.run("get job report").is_ok(), "the other operator was not asked");
}

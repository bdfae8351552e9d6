//! Resource files are accepted as a whole, or rejected with the invalid field and a remedy.

use cowslipchute_resource::Spec;
use cowslipchute_resource::document;
use yare::parameterized;

const GOOD: &str = r#"
[[resource]]
kind = "service"
name = "shop-web"
deadline = 2000

[[resource]]
kind = "job"
name = "report"
team = "research"
tasks = 4
duration = 500
amount = { cpu_milli = 2000, memory_mib = 1024 }
"#;

#[test]
fn a_good_file_is_read_whole() {
    let resources = document::parse(GOOD).expect("the file is good");
    assert_eq!(resources.len(), 2);
    let Spec::Job(job) = &resources[1].spec else { panic!("the second resource is a job") };
    assert_eq!(job.tasks, 4);
    assert_eq!(job.amount.accelerators, 0);
}

#[parameterized(
    unknown_field = { "kind = \"service\"\nname = \"a\"\ndeadlin = 1", "deadlin" },
    unknown_kind = { "kind = \"servce\"\nname = \"a\"", "servce" },
    wrong_type = { "kind = \"job\"\nname = \"a\"\ntasks = \"many\"", "invalid type" },
    bad_name = { "kind = \"job\"\nname = \"A b\"", "use 1 to 63 of a-z" },
    itself = { "kind = \"service\"\nname = \"a\"\nbackends_of = \"a\"", "names the service itself" },
    no_tasks = { "kind = \"job\"\nname = \"a\"\ntasks = 0", "job.tasks: is 0; use 1 to 100000" },
    lease = { "kind = \"policy\"\nname = \"default\"\nheartbeat = 9000", "over a third" },
)]
fn a_bad_file_names_the_place_and_the_remedy(body: &str, expected: &str) {
    let text = format!("[[resource]]\n{body}\n");
    let error = document::parse(&text).expect_err("the file is bad").to_string();
    assert!(error.contains(expected), "{error:?} should contain {expected:?}");
}

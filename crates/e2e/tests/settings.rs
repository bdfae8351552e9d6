//! Holds `docs/SETTINGS.md` to what the binaries say of themselves.
//!
//! `COWSLIPCHUTE_UPDATE_DOCS=1 cargo test -p cowslipchute-e2e --test settings` rewrites the page.

use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;
use std::process::Command;

use cowslipchute_e2e::process;
use yare::parameterized;

const INTRODUCTION: &str = "\
# Settings

What each binary says with `--help`; a test holds this page to it. Every setting of a daemon is a flag
and, where `env` is shown, an environment variable; the flag goes first. All are checked before
anything is started: a wrong one ends the process with exit code 2 and error 3000 of
[RESULTS.md](RESULTS.md).
";

const BINARIES: [&str; 6] = [
    "cowslipchute-scheduler",
    "cowslipchute-entry",
    "cowslipchute-placer",
    "cowslipchute-operator",
    "cowslipchutectl",
    "cowslipchute-burn",
];

/// Runs a binary with nothing in its environment, so that no variable shows in its help.
fn run(binary: &str, arguments: &[&str]) -> std::process::Output {
    let mut command = Command::new(process::binaries().join(binary));
    command.env_clear().args(arguments).output().expect("the binary was built")
}

#[test]
fn the_page_holds_what_the_binaries_say() {
    let mut expected = String::from(INTRODUCTION);
    for binary in BINARIES {
        let output = run(binary, &["--help"]);
        assert!(output.status.success(), "{binary} explains itself");
        let help = String::from_utf8(output.stdout).expect("help is text");
        let lines: Vec<_> = help.lines().map(str::trim_end).collect();
        let help = lines.join("\n");
        write!(expected, "\n## {binary}\n\n```text\n{}\n```\n", help.trim_end())
            .expect("a string takes any text");
    }
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    if std::env::var_os("COWSLIPCHUTE_UPDATE_DOCS").is_some() {
        fs::write(path, expected).expect("the page can be written");
        return;
    }
    let found = fs::read_to_string(path).expect("the page can be read");
    // Not `assert_eq`, which would print both pages whole.
    assert!(found == expected, "docs/SETTINGS.md lags behind the binaries");
}

#[parameterized(
    admission = { "--admission" },
    queue_shares = { "--queue-shares" },
    learned_durations = { "--learned-durations" },
    colocation_forecast = { "--colocation-forecast" },
)]
fn a_part_that_is_neither_on_nor_off_is_refused(flag: &str) {
    let output = run("cowslipchute-scheduler", &["--settings=/none", flag, "maybe"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.starts_with("error 3000 BadSetting: "), "{text}");
    assert!(text.contains("`maybe` is neither `on` nor `off`"), "{text}");
}

#[parameterized(
    entry = { "cowslipchute-entry" },
    placer = { "cowslipchute-placer" },
    operator = { "cowslipchute-operator" },
    standin = { "cowslipchute-standin" },
)]
fn a_wrong_setting_is_refused_by_number(binary: &str) {
    let output = run(binary, &["--no-such-setting"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.starts_with("error 3000 BadSetting: "), "{text}");
}

#[parameterized(
    entry = { "cowslipchute-entry" },
    placer = { "cowslipchute-placer" },
    operator = { "cowslipchute-operator" },
)]
fn a_name_that_breaks_the_rule_is_refused_with_the_remedy(binary: &str) {
    let output = run(binary, &["--instance", "Entry/1"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.starts_with("error 3000 BadSetting: "), "{text}");
    assert!(text.replace('\n', " ").contains("use 1 to 63 of a-z"), "{text}");
}

#[parameterized(
    entry = { "cowslipchute-entry" },
    placer = { "cowslipchute-placer" },
    operator = { "cowslipchute-operator" },
    standin = { "cowslipchute-standin" },
    ctl = { "cowslipchutectl" },
    burn = { "cowslipchute-burn" },
    measure = { "cowslipchute-measure" },
)]
fn every_binary_tells_its_version(binary: &str) {
    let output = run(binary, &["--version"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains(env!("CARGO_PKG_VERSION")), "{text}");
}

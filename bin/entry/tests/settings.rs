//! Invalid settings end the process at once with their error code, before anything is started.

use std::process::Command;

use yare::parameterized;

const RIGHT: [&str; 7] = [
    "--instance=entry-1",
    "--domain=north",
    "--admin=127.0.0.1:0",
    "--listen=127.0.0.1:0",
    "--store=http://127.0.0.1:1",
    "--list=http://127.0.0.1:1",
    "--incarnation=1",
];

#[parameterized(
    unknown = { &["--no-such-flag"], 3000 },
    no_address = { &["--peer-listen=here"], 3000 },
    no_fronts = { &["--fronts=0"], 3000 },
    no_entries = { &["--entries=0"], 3000 },
    entry_beyond_entries = { &["--entries=3", "--entry=3"], 3000 },
    links_without_certificate = { &["--peer-listen=127.0.0.1:0"], 3000 },
    certificate_missing = {
        &["--peer-listen=127.0.0.1:0", "--peer-cert=/no", "--peer-key=/no", "--peer-ca=/no"], 3003
    },
)]
fn wrong_setting_is_told_by_its_number(flags: &[&str], code: u16) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipchute-entry"));
    let output = command.args(RIGHT).args(flags).output().expect("the binary was built");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(&format!("error {code} ")), "{text}");
}

#[test]
fn address_in_use_is_told_by_its_number() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback ports are free");
    let listen = format!("--listen={}", taken.local_addr().expect("it is bound"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_cowslipchute-entry"));
    let flags = RIGHT.iter().filter(|flag| !flag.starts_with("--listen"));
    let output = command.args(flags).arg(listen).output().expect("the binary was built");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("error 3001 "), "{text}");
}

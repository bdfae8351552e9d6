//! The stand-in as a process: its settings, the announcement of its addresses and its termination.

use std::fs;
use std::io::BufRead as _;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;

use cowslipchute_standin::Addresses;
use yare::parameterized;

fn standin() -> Command {
    Command::new(env!("CARGO_BIN_EXE_cowslipchute-standin"))
}

#[test]
fn it_announces_its_addresses_and_ends_when_asked() {
    let directory = std::env::temp_dir().join(format!("standin-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("it can be made");
    let file = directory.join("ready.json");
    let mut child = standin()
        .args(["--domain=x", "--service=web", "--service=web", "--backends=3", "--workers=1"])
        .arg(format!("--ready-file={}", file.display()))
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("it is piped");
    BufReader::new(stdout).read_line(&mut line).expect("it says where it is");
    let announced: Addresses = serde_json::from_str(&line).expect("it is JSON");
    let text = fs::read_to_string(&file).expect("the file is there by then");
    assert_eq!(serde_json::from_str::<Addresses>(&text).expect("it is JSON"), announced);
    let names: Vec<&str> = announced.backends.iter().map(|backend| &*backend.instance).collect();
    assert_eq!(names, ["web-x-0", "web-x-1", "web-x-2", "web-x-0", "web-x-1", "web-x-2"]);
    std::net::TcpStream::connect(announced.store).expect("it can be reached");
    let asked = Command::new("kill").arg(child.id().to_string()).status().expect("it is asked");
    assert!(asked.success());
    assert!(child.wait().expect("it ends").success());
    fs::remove_dir_all(&directory).expect("it can be removed");
}

#[parameterized(
    unknown = { &["--odd"] },
    no_number = { &["--slots=many"] },
    no_slots = { &["--slots=0"] },
    no_room_for_ports = { &["--base-port=65530"] },
)]
fn a_wrong_setting_is_refused_by_number(arguments: &[&str]) {
    let output = standin().args(arguments).output().expect("it starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("it is text");
    assert!(text.starts_with("error 3000 BadSetting"), "{text}");
}

#[test]
fn a_port_that_is_taken_is_refused_by_number() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let port = taken.local_addr().expect("it is bound").port();
    let output = standin().arg(format!("--base-port={port}")).output().expect("it starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("it is text");
    assert!(text.starts_with("error 3001 BindFailed"), "{text}");
}

//! Certificate and key files, and the decoding of malformed frames.

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;

use cowslipchute_peer::authority::Authority;
use cowslipchute_peer::frame;
use cowslipchute_peer::identity;
use cowslipchute_peer::identity::Error;
use cowslipchute_peer::identity::Files;
use cowslipchute_peer::identity::Identity;
use cowslipchute_ports::peer::Call;
use yare::parameterized;

fn directory(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&directory);
    directory
}

#[test]
fn written_files_are_loaded_and_issue_further_certificates() {
    let files = identity::write_files(&directory("written")).unwrap();
    Identity::load(&files.certificate, &files.key, &files.authority).unwrap();
    let read = |path: &PathBuf| fs::read_to_string(path).unwrap();
    let authority =
        Authority::from_pem(&read(&files.authority), &read(&files.authority_key)).unwrap();
    authority.issue().unwrap().identity().unwrap();
}

#[test]
fn keys_are_readable_only_by_their_owner() {
    let files = identity::write_files(&directory("modes")).unwrap();
    for secret in [&files.key, &files.authority_key] {
        assert_eq!(fs::metadata(secret).unwrap().permissions().mode() & 0o777, 0o600);
    }
}

#[test]
fn the_keys_of_a_deployment_are_never_replaced() {
    let directory = directory("again");
    let files = identity::write_files(&directory).unwrap();
    let before = fs::read(&files.key).unwrap();
    assert!(matches!(identity::write_files(&directory), Err(Error::File { .. })));
    assert_eq!(fs::read(&files.key).unwrap(), before);
}

#[parameterized(
    no_certificate = { "peer.pem" },
    no_key = { "peer-key.pem" },
    no_authority = { "ca.pem" },
)]
fn a_file_without_what_it_should_hold_is_named(name: &str) {
    let directory = directory(&format!("empty-{name}"));
    let files: Files = identity::write_files(&directory).unwrap();
    fs::write(directory.join(name), "nothing\n").unwrap();
    let error = Identity::load(&files.certificate, &files.key, &files.authority).unwrap_err();
    assert!(error.to_string().contains(name), "{error}");
}

#[parameterized(
    cut_short = { |bytes: &mut Vec<u8>| { bytes.pop(); } },
    left_over = { |bytes: &mut Vec<u8>| bytes.push(0) },
    empty = { |bytes: &mut Vec<u8>| bytes.clear() },
    unknown_message = { |bytes: &mut Vec<u8>| bytes[0] = 99 },
)]
fn a_frame_that_is_not_one_whole_message_is_refused(corrupt: fn(&mut Vec<u8>)) {
    let mut bytes = frame::encode(&Call::Pull { after: 300 }).unwrap();
    assert_eq!(frame::decode(&bytes), Ok(Call::Pull { after: 300 }));
    corrupt(&mut bytes);
    assert!(matches!(frame::decode::<Call>(&bytes), Err(frame::Error::Malformed(_))));
}

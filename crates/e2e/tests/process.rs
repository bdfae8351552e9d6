//! A process of ours as a child.

use std::path::PathBuf;
use std::time::Duration;

use cowslipchute_e2e::await_until;
use cowslipchute_e2e::await_until::LIMIT;
use cowslipchute_e2e::process::Process;
use cowslipchute_e2e::share;

/// Looks at a process, and the pause between two: no fraction of a period.
const LOOKS: usize = 100;
const LOOK: Duration = Duration::from_millis(7);

#[test]
fn one_that_has_ended_is_not_taken_for_running() {
    let directory = std::env::temp_dir().join(format!("process-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let arguments = [String::from("--version")];
    let mut process =
        Process::spawn("cowslipchute-scheduler", "ended", &directory, &arguments).unwrap();
    process.ended(LIMIT);
    assert!(!process.is_running());
    // Asked again, since it was waited for meanwhile.
    assert!(!process.is_running());
    std::fs::remove_dir_all(&directory).unwrap();
}

/// Returns whether the system shows a process as stopped.
fn is_stopped(process: &Process) -> bool {
    let line = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    line.rsplit_once(") ").unwrap().1.starts_with('T')
}

/// Counts how often the system shows a process as stopped and as running, at random moments.
fn looks(process: &Process) -> (usize, usize) {
    let stopped = (0..LOOKS).filter(|_| {
        std::thread::sleep(LOOK);
        is_stopped(process)
    });
    let stopped = stopped.count();
    (stopped, LOOKS - stopped)
}

/// A process that stays until it is killed.
fn idle(name: &str) -> (Process, PathBuf) {
    let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    (Process::spawn("cowslipchute-standin", name, &directory, &[]).unwrap(), directory)
}

#[test]
fn a_share_pauses_and_resumes() {
    let (mut process, directory) = idle("share");
    process.set_share(0.5);
    let (stopped, running) = looks(&process);
    assert!(stopped > 0 && running > 0, "stopped {stopped}, running {running}");
    process.set_share(share::WHOLE);
    await_until::some("the process runs", LIMIT, || (!is_stopped(&process)).then_some(()));
    assert_eq!(looks(&process), (0, LOOKS));
    std::fs::remove_dir_all(&directory).unwrap();
}

// Guards against a limit that resumes what a fault has frozen.
#[test]
fn a_frozen_process_stays_frozen_beside_its_share() {
    let (mut process, directory) = idle("frozen");
    process.set_share(0.5);
    process.freeze();
    await_until::some("the process is stopped", LIMIT, || is_stopped(&process).then_some(()));
    assert_eq!(looks(&process), (LOOKS, 0));
    process.thaw();
    let (stopped, running) = looks(&process);
    assert!(stopped > 0 && running > 0, "stopped {stopped}, running {running}");
    std::fs::remove_dir_all(&directory).unwrap();
}

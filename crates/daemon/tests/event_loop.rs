//! What a panic of an event loop means for its process.

use std::process::Command;
use std::time::Duration;

use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::PANIC_EXIT_CODE;

/// Set for the process whose event loop panics.
const CHILD: &str = "COWSLIPCHUTE_TEST_CHILD";
/// Time for which that process goes on if nothing ends it.
const CHILD_TIME: Duration = Duration::from_secs(20);

/// Guards against a process that goes on without one of its event loops.
#[test]
fn a_panic_of_an_event_loop_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        let _running = event_loop::spawn("panics", || async { panic!("on purpose") }).unwrap();
        std::thread::sleep(CHILD_TIME);
        return;
    }
    let name = "a_panic_of_an_event_loop_ends_the_process";
    let mut child = Command::new(std::env::current_exe().unwrap());
    let status = child.args(["--exact", name]).env(CHILD, "1").status().unwrap();
    assert_eq!(status.code(), Some(PANIC_EXIT_CODE));
}

//! A signal that arrives right after the start of the signal event loop begins a stop and doesn't kill the process.
//!
//! The test has its own file because it signals its own process.

use std::time::Duration;

use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;
use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

#[test]
fn a_signal_right_after_the_start_is_a_planned_stop() {
    let within = Duration::from_secs(3600);
    let (mut stop, _duty) = stop::on_signals(within).expect("the thread starts");
    signal::kill(Pid::this(), Signal::SIGTERM).expect("a process can signal itself");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(stop.wait_for_stage(Stage::Draining));
    assert_eq!(stop.stage(), Stage::Draining);
}

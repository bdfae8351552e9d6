//! One of our processes, started for a test.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::await_until;
use crate::share;
use crate::share::Share;

/// Ticks of the system's account of processor time in a second.
const TICKS: u32 = 100;
/// Where a line of that account has a process's own time and the system's on its behalf, behind the name in brackets.
const OWN_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// What the standard library prints of a panic, behind the name of the thread.
const PANIC_MARK: &str = "panicked at";

/// A running process; dropping the handle kills it and waits for its end.
#[derive(Debug)]
pub struct Process {
    held: Arc<Held>,
    share: Option<Share>,
    log: PathBuf,
}

/// A child and what keeps it from running.
#[derive(Debug)]
pub(crate) struct Held(Mutex<State>);

#[derive(Debug)]
struct State {
    child: Child,
    /// Its id may be another process's by now.
    has_ended: bool,
    is_frozen: bool,
    is_paused: bool,
}

impl State {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).expect("a child that was not waited for can be signalled");
    }

    fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        self.has_ended |= status.is_some();
        Ok(status)
    }
}

impl Held {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of the process has panicked")
    }

    /// Pauses the process.
    pub(crate) fn pause(&self) {
        let mut state = self.lock();
        state.is_paused = true;
        if !state.has_ended {
            state.signal(Signal::SIGSTOP);
        }
    }

    /// Resumes a paused process unless it is frozen as well.
    pub(crate) fn resume(&self) {
        let mut state = self.lock();
        state.is_paused = false;
        if !state.has_ended && !state.is_frozen {
            state.signal(Signal::SIGCONT);
        }
    }
}

/// Returns the directory that holds the binaries built beside this program.
pub fn binaries() -> PathBuf {
    let program = std::env::current_exe().expect("a program knows its own path");
    let directory = program.parent().expect("a program stands in a directory");
    // Tests stand one below the binaries.
    let above = if directory.ends_with("deps") { directory.parent() } else { None };
    above.unwrap_or(directory).to_path_buf()
}

/// Returns what processes whose logs are in a directory have printed of their panics.
pub fn panics(directory: &Path) -> Vec<String> {
    let logs = std::fs::read_dir(directory).into_iter().flatten().flatten();
    let logs = logs.filter(|entry| entry.path().extension().is_some_and(|kind| kind == "log"));
    let mut found = Vec::new();
    for log in logs {
        let name = log.file_name().to_string_lossy().into_owned();
        let text = std::fs::read(log.path()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines = text.lines().filter(|line| line.contains(PANIC_MARK));
        found.extend(lines.map(|line| format!("{name}: {line}")));
    }
    found
}

impl Process {
    /// Starts a binary of this workspace with its log in `dir`.
    ///
    /// # Errors
    ///
    /// When the binary was not built or the log can't be made.
    pub fn spawn(
        binary: &str,
        name: &str,
        dir: &Path,
        arguments: &[String],
    ) -> io::Result<Process> {
        Process::spawn_with(binary, name, dir, arguments, &[])
    }

    /// Starts a binary of this workspace with variables of the environment.
    ///
    /// # Errors
    ///
    /// As [`Process::spawn`].
    pub fn spawn_with(
        binary: &str,
        name: &str,
        dir: &Path,
        arguments: &[String],
        environment: &[(String, String)],
    ) -> io::Result<Process> {
        let log = dir.join(format!("{name}.log"));
        let output = File::create(&log)?;
        let child = Command::new(binaries().join(binary))
            .args(arguments)
            .envs(environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{binary}: {error}")))?;
        let state = State { child, has_ended: false, is_frozen: false, is_paused: false };
        Ok(Process { held: Arc::new(Held(Mutex::new(state))), share: None, log })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.held.lock().child.id()
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Asks for a graceful stop.
    pub fn terminate(&self) {
        self.held.lock().signal(Signal::SIGTERM);
    }

    /// Tells the process that its settings have changed.
    pub fn hang_up(&self) {
        self.held.lock().signal(Signal::SIGHUP);
    }

    /// Asks for a graceful stop unless the process has ended already.
    pub fn terminate_if_running(&mut self) {
        if self.is_running() {
            self.terminate();
        }
    }

    /// Tells whether the process has not ended yet. One that has is waited for, which gives its id
    /// back, so it must not be signalled afterwards.
    pub fn is_running(&mut self) -> bool {
        matches!(self.held.lock().try_wait(), Ok(None))
    }

    /// Stops the process from running, without its knowledge.
    pub fn freeze(&self) {
        let mut state = self.held.lock();
        state.is_frozen = true;
        state.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process run on, once its share does.
    pub fn thaw(&self) {
        let mut state = self.held.lock();
        state.is_frozen = false;
        if !state.is_paused {
            state.signal(Signal::SIGCONT);
        }
    }

    /// Sets the part of each [`share::PERIOD`] in which the process runs.
    pub fn set_share(&mut self, part: f64) {
        if part < share::WHOLE || self.share.is_some() {
            let held = &self.held;
            self.share.get_or_insert_with(|| share::spawn(held.clone())).set(part);
        }
    }

    /// Returns the processor time that the process has used so far, unless the system doesn't tell.
    pub fn processor_time(&self) -> Option<Duration> {
        let line = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        let fields: Vec<&str> = line.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index)?.parse::<u32>().ok();
        Some(Duration::from_secs(1) * (ticks(OWN_TIME)? + ticks(SYSTEM_TIME)?) / TICKS)
    }

    /// Ends the process at once, with no chance to tidy up.
    pub fn kill(&mut self) {
        let mut state = self.held.lock();
        // A process that has already ended is what the caller wants.
        let _ = state.child.kill();
        let _ = state.child.wait();
        state.has_ended = true;
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Panics
    ///
    /// Panics when it is still there after `limit`.
    pub fn ended(&mut self, limit: Duration) -> ExitStatus {
        await_until::some("the process ends", limit, || {
            self.held.lock().try_wait().expect("a child of ours")
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

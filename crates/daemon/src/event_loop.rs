//! Event loops: threads that each run one current-thread runtime with one main future.

use std::future::Future;
use std::io;
use std::panic::AssertUnwindSafe;
use std::thread;
use std::thread::JoinHandle;

/// Exit code of a process that a panic ends, as it is for a panic on the main thread.
pub const PANIC_EXIT_CODE: i32 = 101;

/// Handle of a running event loop. Dropping the handle leaves the event loop running;
/// [`Self::join`] waits for its end.
#[derive(Debug)]
pub struct EventLoop {
    thread: JoinHandle<()>,
}

impl EventLoop {
    /// Waits for the event loop to end, which happens when the rings that it reads are closed.
    ///
    /// # Panics
    ///
    /// Panics if the event loop panicked while it ended the process.
    pub fn join(self) {
        if let Err(panic) = self.thread.join() {
            std::panic::resume_unwind(panic);
        }
    }

    /// Returns `true` if the event loop has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }
}

/// Starts an event loop. `main` runs on the new thread, so the future that it returns need not be `Send`.
///
/// If the future panics, the process ends: others wait for what it would have done, or go on holding
/// what it would have given up (`docs/design/panics.md`). Tasks that the future spawns are its own
/// concern.
///
/// # Errors
///
/// Fails if the operating system refuses a thread or the runtime can't be built.
pub fn spawn<F, Fut>(name: &str, main: F) -> io::Result<EventLoop>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let body = move || {
        let local = tokio::task::LocalSet::new();
        let run = || local.block_on(&runtime, async move { main().await });
        if std::panic::catch_unwind(AssertUnwindSafe(run)).is_err() {
            // The standard library has printed the panic.
            std::process::exit(PANIC_EXIT_CODE);
        }
    };
    let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
    Ok(EventLoop { thread })
}

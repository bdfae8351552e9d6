//! Panics: which ones end the process, and locks that one has left behind.
//!
//! A thread that panics leaves what it was changing half changed, and the tasks that it ran are
//! gone. So a panic ends the process, and what the process owned goes to another one
//! (`docs/design/panics.md`). The exception is a request of a client: it costs its connection
//! alone, since a client that repeats it would otherwise end one process after the other.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::Mutex;
use std::sync::MutexGuard;

thread_local! {
    static IS_CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Restores the previous value when the poll ends, also by a panic.
struct Scope {
    previous: bool,
}

impl Drop for Scope {
    fn drop(&mut self) {
        IS_CONTAINED.set(self.previous);
    }
}

/// Runs a future whose panics cost its task alone. The panic goes on to whatever polls the future.
pub async fn contained<F: Future>(future: F) -> F::Output {
    let mut future = pin!(future);
    std::future::poll_fn(move |context| {
        let _scope = Scope { previous: IS_CONTAINED.replace(true) };
        future.as_mut().poll(context)
    })
    .await
}

/// Returns `true` if a panic of the calling thread costs its current task alone.
pub fn is_contained() -> bool {
    IS_CONTAINED.get()
}

/// Locks a mutex.
///
/// # Panics
///
/// Panics if a thread has panicked while it held the lock, since what it guards can't be trusted
/// any more. That ends the process, whatever the calling task is.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| {
        IS_CONTAINED.set(false);
        panic!("a thread has panicked while it held this lock")
    })
}

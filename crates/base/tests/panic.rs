//! Which panics cost a task alone.

use std::cell::Cell;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::pin::pin;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use cowslipchute_base::panic;

fn poll<F: Future>(future: F) -> Poll<F::Output> {
    pin!(future).poll(&mut Context::from_waker(Waker::noop()))
}

/// Guards against a panic of a request that ends the process, and against one of anything else on
/// the same thread that doesn't.
#[test]
fn panics_are_contained_while_a_request_is_polled_and_no_longer() {
    let seen = Cell::new(false);
    let request = async {
        seen.set(panic::is_contained());
        panic!("a request that can't be handled");
    };
    let outcome = catch_unwind(AssertUnwindSafe(|| poll(panic::contained(request))));
    assert!(outcome.is_err(), "the panic goes on");
    assert!(seen.get());
    assert!(!panic::is_contained());
    let waiting = std::future::pending::<()>();
    assert!(poll(panic::contained(waiting)).is_pending());
    assert!(!panic::is_contained());
}

/// Guards against a process that goes on with a lock that no request can take any more.
#[test]
fn a_lock_that_a_panic_has_left_behind_ends_containment() {
    let mutex = Mutex::new(());
    let holder = catch_unwind(AssertUnwindSafe(|| {
        let _guard = panic::lock(&mutex);
        panic!("with the lock held");
    }));
    assert!(holder.is_err());
    let contained = Cell::new(true);
    let request = async {
        struct Record<'a>(&'a Cell<bool>);
        impl Drop for Record<'_> {
            fn drop(&mut self) {
                self.0.set(panic::is_contained());
            }
        }
        let _record = Record(&contained);
        drop(panic::lock(&mutex));
    };
    let outcome = catch_unwind(AssertUnwindSafe(|| poll(panic::contained(request))));
    assert!(outcome.is_err());
    assert!(!contained.get());
}

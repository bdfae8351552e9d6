//! Failpoints: places at which a test can cause a panic, to see what that does to the process. Only
//! debug builds have them.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// Environment variable that names the place at which SIGHUP causes a panic, by [`Place::name`].
pub const VARIABLE: &str = "COWSLIPCHUTE_TEST_PANIC";

/// A place at which a panic can be caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Place {
    /// The main thread, while it holds the planner.
    Planner = 1,
    /// The thread that renews the lease.
    Lease,
    /// The thread of the owner's calls to the store.
    Store,
    /// The thread that follows the workers' directory.
    Directory,
    /// A client's request.
    Request,
}

impl Place {
    /// All places.
    pub const ALL: [Place; 5] =
        [Place::Planner, Place::Lease, Place::Store, Place::Directory, Place::Request];

    /// Returns the name of the place.
    pub fn name(self) -> &'static str {
        match self {
            Place::Planner => "planner",
            Place::Lease => "lease",
            Place::Store => "store",
            Place::Directory => "directory",
            Place::Request => "request",
        }
    }
}

/// Place of the failpoint that is armed; zero if none is.
static ARMED: AtomicU8 = AtomicU8::new(0);

/// Arms the failpoint that the environment names, if it names one.
pub fn arm() {
    if !cfg!(debug_assertions) {
        return;
    }
    let Ok(name) = std::env::var(VARIABLE) else { return };
    if let Some(place) = Place::ALL.into_iter().find(|place| place.name() == name) {
        ARMED.store(place as u8, Ordering::Relaxed);
    }
}

/// Panics if the failpoint of this place is armed, and disarms it.
pub fn hit(place: Place) {
    if !cfg!(debug_assertions) {
        return;
    }
    let was_armed =
        ARMED.compare_exchange(place as u8, 0, Ordering::Relaxed, Ordering::Relaxed).is_ok();
    assert!(!was_armed, "requested by a test");
}

//! The rate of one kind of call. The platform limits it for each whole second.

use std::sync::Mutex;

use cowslipchute_base::id::Time;

/// A rate limiter with a fixed window of one second.
#[derive(Debug)]
pub struct Rate {
    limit: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    second: u64,
    calls: u64,
    peak: u64,
}

impl Rate {
    /// Opens a limiter that admits `limit` calls in each second.
    pub fn open(limit: u64) -> Rate {
        Rate { limit, inner: Mutex::default() }
    }

    /// Counts one call and returns `true` if it is within the limit.
    pub fn admit(&self, now: Time) -> bool {
        let mut inner = self.inner.lock().expect("no lock holder panics");
        if now.as_secs() != inner.second {
            inner.second = now.as_secs();
            inner.calls = 0;
        }
        inner.calls += 1;
        inner.peak = inner.peak.max(inner.calls);
        inner.calls <= self.limit
    }

    /// Returns the highest number of calls in one second so far.
    pub fn peak(&self) -> u64 {
        self.inner.lock().expect("no lock holder panics").peak
    }
}

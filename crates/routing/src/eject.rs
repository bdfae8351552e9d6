//! Whether a backend server is to be trusted: ejection on failures and slowness, probing by one
//! request at a time, and a slow start afterwards.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Failures in a row after which a backend server is ejected.
const STREAK_MAX: u32 = 4;
/// Slow answers in a row after which a backend server is ejected.
const SLOW_MAX: u32 = 5;
/// Share of failures above which a backend server is ejected.
const RATE_MAX: f32 = 0.5;
/// Endings needed before the share of failures counts.
const SAMPLES_MIN: u32 = 10;
/// Weight of one ending in the share of failures of a backend server.
const WEIGHT: f32 = 0.1;
/// Weight of one ending in the share of failures of a pool.
const WEIGHT_POOL: f32 = 0.02;
/// How often above the pool's own share of failures a backend server must fail.
const FACTOR: f32 = 2.0;
/// How long the first ejection lasts; doubles each time that the probes fail.
const EJECTION: Duration = Duration::from_secs(1);
/// The same for a backend server that can't be reached, where no request is put at risk by trying.
const EJECTION_UNREACHABLE: Duration = Duration::from_millis(250);
/// Doublings of the ejection at most.
const DOUBLINGS_MAX: u32 = 5;
/// Answers in a row that end the probing of an ejected backend server.
const PROBES: u8 = 2;
/// How long requests that must not be repeated are kept from a harmful backend server's probing.
const DOUBT: Duration = Duration::from_secs(1);
/// How long a slow start takes.
const RAMP: Duration = Duration::from_secs(2);
/// Thousandths of a pool, and one of two, that may be ejected for anything but being out of reach.
const EJECTED_PERMILLE: usize = 340;

/// What an ending says about the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It answered well.
    Success,
    /// It answered well, but far slower than its kind.
    Slow,
    /// It failed.
    Failure,
    /// It can't be reached, which no request can be the cause of.
    Unreachable,
}

/// Where a backend server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes its full share.
    Healthy,
    /// Takes a share that grows with time.
    SlowStart {
        /// Since when.
        since: Time,
    },
    /// Takes one request at a time.
    Probing {
        /// Answers that are still needed.
        needed: u8,
        /// Since when.
        since: Time,
    },
    /// Takes no requests.
    Ejected {
        /// Until then.
        until: Time,
    },
}

/// The failures of a whole pool, against which one backend server's are held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    rate: f32,
    /// Backend servers that are listed and not leaving.
    pub listed: usize,
    /// Those of them that are ejected.
    pub ejected: usize,
}

impl Failures {
    /// Takes in the ending of one attempt.
    pub fn observe(&mut self, sign: Signal) {
        let sample = if matches!(sign, Signal::Failure | Signal::Unreachable) { 1.0 } else { 0.0 };
        self.rate += WEIGHT_POOL * (sample - self.rate);
    }

    /// Tells whether one more may be ejected.
    fn has_room(&self) -> bool {
        let least = usize::from(self.listed > 1);
        let most = (self.listed * EJECTED_PERMILLE / 1000).max(least);
        self.ejected < most
    }
}

/// One backend server's standing and what it rests on.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    standing: Status,
    streak: u32,
    unreachable: u32,
    slow: u32,
    /// Whether it was ejected for more than being out of reach, and not restored since.
    is_harmful: bool,
    rate: f32,
    samples: u32,
    doublings: u32,
}

impl Health {
    /// The health of a backend server that is taken at its word, because none is known better.
    pub fn healthy() -> Health {
        Health {
            standing: Status::Healthy,
            streak: 0,
            unreachable: 0,
            slow: 0,
            rate: 0.0,
            samples: 0,
            doublings: 0,
            is_harmful: false,
        }
    }

    /// The health of a backend server that was just listed beside known ones.
    pub fn probing(now: Time) -> Health {
        Health { standing: Status::Probing { needed: 1, since: now }, ..Health::healthy() }
    }

    /// Returns where the backend server stands.
    pub fn status(&self) -> Status {
        self.standing
    }

    /// Tells whether a request that must not be repeated is better sent elsewhere: it was ejected
    /// for what it did to requests and has not answered since. For a while only, because a service
    /// may have no other requests to probe with.
    pub fn is_risky(&self, now: Time) -> bool {
        let Status::Probing { since, .. } = self.standing else { return false };
        self.is_harmful && now.saturating_sub(since) < DOUBT
    }

    /// Returns the attempts that it may have at once, out of its full share.
    pub fn concurrency_limit(&self, full: u32, now: Time) -> u32 {
        match self.standing {
            Status::Healthy => full,
            Status::SlowStart { since } => {
                let part = now.saturating_sub(since).as_secs_f64() / RAMP.as_secs_f64();
                ((f64::from(full) * part.min(1.0)) as u32).max(1).min(full)
            }
            Status::Probing { .. } => full.min(1),
            Status::Ejected { .. } => 0,
        }
    }

    /// Takes in an ending and tells whether the backend server is to be ejected.
    pub fn observe(&mut self, sign: Signal, pool: &Failures) -> bool {
        let failed = matches!(sign, Signal::Failure | Signal::Unreachable);
        self.rate += WEIGHT * (if failed { 1.0 } else { 0.0 } - self.rate);
        self.samples = self.samples.saturating_add(1);
        self.streak = if failed { self.streak + 1 } else { 0 };
        let is_unreachable = sign == Signal::Unreachable;
        self.unreachable = if is_unreachable { self.unreachable + 1 } else { 0 };
        self.slow = if sign == Signal::Slow { self.slow + 1 } else { 0 };
        match self.standing {
            Status::Ejected { .. } => false,
            Status::Probing { .. } => sign != Signal::Success,
            Status::Healthy | Status::SlowStart { .. } => self.is_bad(sign, pool),
        }
    }

    fn is_bad(&self, sign: Signal, pool: &Failures) -> bool {
        let many = self.samples >= SAMPLES_MIN && self.rate > RATE_MAX.max(FACTOR * pool.rate);
        let in_a_row = self.streak >= STREAK_MAX;
        let shared = pool.rate > RATE_MAX;
        match sign {
            Signal::Success => false,
            Signal::Slow => self.slow >= SLOW_MAX && pool.has_room(),
            Signal::Failure => (many || (in_a_row && !shared)) && pool.has_room(),
            Signal::Unreachable => self.unreachable >= STREAK_MAX,
        }
    }

    /// Ejects the backend server and tells until when.
    pub fn eject(&mut self, sign: Signal, now: Time) -> Time {
        let first = if sign == Signal::Unreachable { EJECTION_UNREACHABLE } else { EJECTION };
        self.is_harmful |= sign != Signal::Unreachable;
        let until = now + first * (1 << self.doublings);
        self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
        self.standing = Status::Ejected { until };
        until
    }

    /// Ends an ejection.
    pub fn probe(&mut self, now: Time) {
        self.standing = Status::Probing { needed: PROBES, since: now };
    }

    /// Takes in a good answer while probing, and tells whether it was the last one needed.
    pub fn probe_succeeded(&mut self, now: Time) -> bool {
        let Status::Probing { needed, since } = self.standing else { return false };
        if needed > 1 {
            self.standing = Status::Probing { needed: needed - 1, since };
            return false;
        }
        self.standing = Status::SlowStart { since: now };
        self.streak = 0;
        self.unreachable = 0;
        self.slow = 0;
        self.rate = 0.0;
        self.samples = 0;
        true
    }

    /// Ends a slow start that has lasted long enough, and tells whether it did.
    pub fn end_slow_start(&mut self, now: Time) -> bool {
        let Status::SlowStart { since } = self.standing else { return false };
        if now.saturating_sub(since) < RAMP {
            return false;
        }
        self.standing = Status::Healthy;
        let restored = self.doublings > 0;
        self.doublings = 0;
        self.is_harmful = false;
        restored
    }
}

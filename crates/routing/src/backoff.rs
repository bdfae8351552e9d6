//! How long to wait before a retry, and when a caller should come back.

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use rand::Rng;
use rand::rngs::SmallRng;

/// Longest wait before the second retry; doubles with each further one.
const BASE: Duration = Duration::from_millis(10);
/// Longest wait before any retry.
const MAX: Duration = Duration::from_millis(500);
/// Shortest time after which a caller that was refused should come back.
const COME_BACK: Duration = Duration::from_secs(1);

/// Draws the wait before the given retry, from one.
///
/// The first goes at once if there is another backend server to go to; the others are spread
/// evenly from zero to a doubling bound, so that failures that came together don't stay together.
pub fn delay(retry: u8, is_elsewhere: bool, rng: &mut SmallRng) -> Duration {
    if retry <= 1 && is_elsewhere {
        return Duration::ZERO;
    }
    let doublings = u32::from(retry.saturating_sub(1)).min(16);
    let bound = BASE.saturating_mul(1 << doublings).min(MAX);
    Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
}

/// Tells a caller when it makes sense to come back; never, if the same request would fail again or
/// must not be repeated.
pub fn retry_after(code: Code, repeatable: bool, rng: &mut SmallRng) -> Option<Duration> {
    match code {
        Code::TrialShed | Code::BatchShed | Code::QueueFull | Code::QueueTimeout => {
            // Spread, so that refused callers don't return as the wave they came in.
            Some(COME_BACK + Duration::from_millis(rng.random_range(0..=1000)))
        }
        Code::NoBackend | Code::Refused | Code::Stopping | Code::NotReady | Code::Busy => {
            Some(COME_BACK)
        }
        Code::KeyInProgress | Code::KeyOwnerUnreachable => Some(COME_BACK),
        Code::KeyAlreadyRun | Code::AnswerTooLarge => None,
        _ if code.outcome() == Outcome::Unknown && repeatable => Some(COME_BACK),
        _ => None,
    }
}

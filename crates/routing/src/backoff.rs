//! Delays before retries by this entry and by callers.

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use rand::Rng;
use rand::rngs::SmallRng;

/// Upper bound of the delay before a first retry that isn't immediate; doubles with each further
/// retry.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(10);
/// Upper bound of the delay before any retry.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// Minimum delay after which a refused caller should retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Returns a random delay before the given retry, counted from one.
///
/// The first retry has no delay if there is an untried backend server. The others are delayed by a
/// uniform random time up to a doubling bound, so that simultaneous failures aren't retried
/// simultaneously.
pub fn delay(retry: u8, has_untried: bool, rng: &mut SmallRng) -> Duration {
    if retry <= 1 && has_untried {
        return Duration::ZERO;
    }
    let doublings = u32::from(retry.saturating_sub(1)).min(16);
    let bound = RETRY_DELAY_BASE.saturating_mul(1 << doublings).min(RETRY_DELAY_MAX);
    Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
}

/// Returns the delay after which a caller should retry, or `None` if the same request would fail
/// again or must not be repeated.
pub fn retry_after(code: Code, repeatable: bool, rng: &mut SmallRng) -> Option<Duration> {
    match code {
        Code::TrialShed | Code::BatchShed | Code::QueueFull | Code::QueueTimeout => {
            // The jitter keeps callers that were refused together from retrying together.
            Some(RETRY_AFTER_MIN + Duration::from_millis(rng.random_range(0..=1000)))
        }
        Code::NoBackend | Code::Refused | Code::Stopping | Code::NotReady | Code::Busy => {
            Some(RETRY_AFTER_MIN)
        }
        Code::KeyInProgress | Code::KeyOwnerUnreachable => Some(RETRY_AFTER_MIN),
        Code::KeyAlreadyRun | Code::AnswerTooLarge => None,
        _ if code.outcome() == Outcome::Unknown && repeatable => Some(RETRY_AFTER_MIN),
        _ => None,
    }
}

//! Verdicts on claims.

use std::time::Duration;

use cowslipchute_ports::peer::Claimed;

use crate::action::Action;
use crate::event::RequestId;
use crate::handover::State;

/// Minimum retry delay sent to a client, enough for other processes to catch up.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(crate) struct Verdict {
    claimed: Claimed,
    retry_after: Option<Duration>,
}

impl Verdict {
    pub(crate) fn granted() -> Verdict {
        Verdict { claimed: Claimed::Granted, retry_after: None }
    }

    /// Returns a refusal that leaves open whether the request ran; a retry may be answered.
    pub(crate) fn not_owner(retry_after: Duration) -> Verdict {
        Verdict { claimed: Claimed::NotOwner, retry_after: Some(retry_after.max(MIN_RETRY_AFTER)) }
    }

    /// Returns the verdict on a key that was granted before.
    pub(crate) fn of_state(state: &State) -> Verdict {
        let claimed = match state {
            State::Running | State::Unknown => Claimed::InDoubt,
            State::Ran(answer) => Claimed::Ran(answer.clone()),
        };
        // Only the state of a running request can change.
        let retry_after = (*state == State::Running).then_some(MIN_RETRY_AFTER);
        Verdict { claimed, retry_after }
    }

    pub(crate) fn into_action(self, ask: RequestId) -> Action {
        Action::Verdict { ask, verdict: self.claimed, retry_after: self.retry_after }
    }
}

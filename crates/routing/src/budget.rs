//! Budget of retries and hedges of a service, which keeps them from amplifying an overload.

/// Cost of one retry or hedge, in thousandths of a token.
const ATTEMPT_COST_MILLI: u32 = 1000;
/// Maximum number of tokens, for a burst of failures.
const BURST_MAX: u32 = 20;

/// A token bucket that is filled by requests and not by time, so that the proportion of extra
/// attempts is the same at any load.
#[derive(Debug)]
pub struct Budget {
    tokens_milli: u32,
    earned_permille: u32,
}

impl Budget {
    /// Creates a full budget that earns `earned_permille` extra attempts per thousand requests.
    pub fn open(earned_permille: u16) -> Budget {
        let earned_permille = u32::from(earned_permille);
        Budget {
            tokens_milli: if earned_permille == 0 { 0 } else { BURST_MAX * ATTEMPT_COST_MILLI },
            earned_permille,
        }
    }

    /// Changes the extra attempts per thousand requests; keeps the tokens unless it is zero.
    pub fn set_permille(&mut self, earned_permille: u16) {
        self.earned_permille = u32::from(earned_permille);
        if earned_permille == 0 {
            self.tokens_milli = 0;
        }
    }

    /// Adds the tokens earned by one request.
    pub fn earn(&mut self) {
        self.tokens_milli =
            (self.tokens_milli + self.earned_permille).min(BURST_MAX * ATTEMPT_COST_MILLI);
    }

    /// Takes the token of one extra attempt; returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        if self.tokens_milli < ATTEMPT_COST_MILLI {
            return false;
        }
        self.tokens_milli -= ATTEMPT_COST_MILLI;
        true
    }

    /// Returns `true` if more than half of the maximum is left, so that hedges leave tokens for
    /// retries.
    pub fn allows_hedge(&self) -> bool {
        self.tokens_milli > BURST_MAX * ATTEMPT_COST_MILLI / 2
    }
}

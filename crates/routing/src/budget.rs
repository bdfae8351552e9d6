//! Budget of retries and hedges of a service, which keeps them from amplifying an overload.

/// Cost of one retry or hedge, in thousandths of a token.
const COST: u32 = 1000;
/// Maximum number of tokens, for a burst of failures.
const BURST: u32 = 20;

/// A token bucket that is filled by requests and not by time, so that the proportion of extra
/// attempts is the same at any load.
#[derive(Debug)]
pub struct Budget {
    milli: u32,
    permille: u32,
}

impl Budget {
    /// Creates a full budget that earns `earned_permille` extra attempts per thousand requests.
    pub fn open(permille: u16) -> Budget {
        let permille = u32::from(permille);
        Budget { milli: if permille == 0 { 0 } else { BURST * COST }, permille }
    }

    /// Changes the extra attempts per thousand requests; keeps the tokens unless it is zero.
    pub fn set_permille(&mut self, permille: u16) {
        self.permille = u32::from(permille);
        if permille == 0 {
            self.milli = 0;
        }
    }

    /// Adds the tokens earned by one request.
    pub fn earn(&mut self) {
        self.milli = (self.milli + self.permille).min(BURST * COST);
    }

    /// Takes the token of one extra attempt; returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        if self.milli < COST {
            return false;
        }
        self.milli -= COST;
        true
    }

    /// Returns `true` if more than half of the maximum is left, so that hedges leave tokens for
    /// retries.
    pub fn allows_hedge(&self) -> bool {
        self.milli > BURST * COST / 2
    }
}

//! How many retries and hedges a service may spend, so that they never multiply an overload.

/// Cost of one retry or hedge, in the thousandths that each request earns.
const COST: u32 = 1000;
/// Retries and hedges that can be saved up for a burst of failures.
const BURST: u32 = 20;

/// A token bucket that is filled by requests, not by time: the share of extra attempts stays the
/// same at any load.
#[derive(Debug)]
pub struct Budget {
    milli: u32,
    permille: u32,
}

impl Budget {
    /// Opens a budget of so many extra attempts for each thousand requests, saved up in full.
    pub fn open(permille: u16) -> Budget {
        let permille = u32::from(permille);
        Budget { milli: if permille == 0 { 0 } else { BURST * COST }, permille }
    }

    /// Changes the share and keeps what is saved up.
    pub fn set_permille(&mut self, permille: u16) {
        self.permille = u32::from(permille);
        if permille == 0 {
            self.milli = 0;
        }
    }

    /// Earns the share of one request.
    pub fn earn(&mut self) {
        self.milli = (self.milli + self.permille).min(BURST * COST);
    }

    /// Spends one extra attempt, or tells that none is left.
    pub fn spend(&mut self) -> bool {
        if self.milli < COST {
            return false;
        }
        self.milli -= COST;
        true
    }

    /// Tells whether over half of the burst is left, so that hedges leave enough for retries.
    pub fn allows_hedge(&self) -> bool {
        self.milli > BURST * COST / 2
    }
}

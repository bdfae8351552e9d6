//! Amounts of worker resources.

use serde::Deserialize;
use serde::Serialize;

/// Processors, memory and accelerators that a task uses or a worker offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Amount {
    /// Processor time in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Memory in mebibytes.
    #[serde(default)]
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

impl Amount {
    /// The empty amount.
    pub const ZERO: Amount = Amount { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// Returns `true` if `self` is within `limit` in every dimension.
    pub fn fits_within(self, limit: Amount) -> bool {
        self.cpu_milli <= limit.cpu_milli
            && self.memory_mib <= limit.memory_mib
            && self.accelerators <= limit.accelerators
    }

    /// Adds in every dimension and saturates at the largest value.
    pub fn plus(self, other: Amount) -> Amount {
        Amount {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts in every dimension and saturates at zero.
    pub fn minus(self, other: Amount) -> Amount {
        Amount {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

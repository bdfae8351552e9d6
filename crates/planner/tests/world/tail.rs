//! Tasks that take several times as long as the others of their job.

use cowslipchute_ports::job::TaskId;

/// How many tasks take longer, and how much. Which ones doesn't change from one run of a task to
/// the next.
#[derive(Clone, Copy, Debug)]
pub struct Tail {
    /// Fraction of the tasks, in thousandths.
    pub thousandths: u64,
    pub factor: u32,
}

impl Tail {
    /// Returns the factor by which a task takes longer.
    pub fn factor(self, task: TaskId) -> u32 {
        let position = u64::from(task.step) << 32 | u64::from(task.index);
        let hash = scramble(scramble(task.job) ^ position);
        if hash % 1000 < self.thousandths { self.factor } else { 1 }
    }
}

/// Mixes the bits of a number (SplitMix64).
fn scramble(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

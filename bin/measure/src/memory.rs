//! Memory allocated by this process, to measure the state that a component holds.

use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Returns the bytes requested from the allocator and not yet freed.
pub fn allocated_bytes() -> usize {
    ALLOCATOR.current_usage()
}

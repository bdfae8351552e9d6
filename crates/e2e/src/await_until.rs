//! Waiting for a condition, with a limit that only a hang reaches.

use std::time::Duration;
use std::time::Instant;

/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(20);
/// Limit for anything that should take well under a second.
pub const LIMIT: Duration = Duration::from_secs(60);

/// Looks again and again until there is something, and returns it.
///
/// # Panics
///
/// Panics when there is nothing after `limit`.
pub fn some<T>(what: &str, limit: Duration, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < limit, "waited {limit:?} until {what}");
        std::thread::sleep(PAUSE);
    }
}

/// Like [`some`], for a look that has to await.
///
/// # Panics
///
/// Panics when there is nothing after `limit`.
pub async fn some_async<T, F>(what: &str, limit: Duration, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(start.elapsed() < limit, "waited {limit:?} until {what}");
        tokio::time::sleep(PAUSE).await;
    }
}

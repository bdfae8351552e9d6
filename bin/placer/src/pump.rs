//! Moves values between an event loop and its rings without losing or reordering any.

use std::future::Future;
use std::time::Duration;

use cowslipchute_daemon::ring::Receiver;
use cowslipchute_daemon::ring::SendError;
use cowslipchute_daemon::ring::Sender;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Retry delay before a value is offered to a full ring again.
const RETRY_DELAY: Duration = Duration::from_millis(1);

/// Error returned when the other end of the ring is gone and the event loop must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Sends a value to a ring, waiting while it is full.
///
/// # Errors
///
/// When the receiver is gone.
pub async fn push<T>(sender: &mut Sender<T>, mut value: T) -> Result<(), Closed> {
    loop {
        match sender.send(value) {
            Ok(()) => return Ok(()),
            Err(SendError::Closed(_)) => return Err(Closed),
            Err(SendError::Full(back)) => value = back,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Handles every value of a ring, at most `limit` at once, and sends each result on. Returns when
/// the ring is closed and all values are handled.
pub async fn run<I, O, F, Fut>(
    mut inbox: Receiver<I>,
    mut outbox: Sender<O>,
    limit: usize,
    handle: F,
) where
    F: Fn(I) -> Fut,
    Fut: Future<Output = O>,
{
    let mut running = FuturesUnordered::new();
    let mut open = true;
    while open || !running.is_empty() {
        let room = running.len() < limit;
        tokio::select! {
            Some(output) = running.next(), if !running.is_empty() => {
                if push(&mut outbox, output).await.is_err() {
                    return;
                }
            }
            input = inbox.recv(), if open && room => match input {
                Some(input) => running.push(handle(input)),
                None => open = false,
            },
        }
    }
}

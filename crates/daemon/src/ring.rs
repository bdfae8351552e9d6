//! Bounded ring buffers between event loops.
//!
//! A ring has one sender and one receiver and never grows: sending to a full ring fails immediately,
//! and the sender then refuses the work. A notifier wakes the receiving event loop; several rings
//! with the same receiving event loop share one notifier.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use thiserror::Error;
use tokio::sync::Notify;

/// Wakes the event loop that reads one or more rings.
#[derive(Clone, Debug, Default)]
pub struct Notifier {
    notify: Arc<Notify>,
}

impl Notifier {
    /// Wakes the event loop, now or at its next wait.
    pub fn notify(&self) {
        self.notify.notify_one();
    }

    /// Waits for a notification since the last wait.
    pub async fn wait(&self) {
        self.notify.notified().await;
    }
}

/// Error of a send, which returns the value to the sender.
#[derive(Debug)]
#[derive(Error)]
pub enum SendError<T> {
    /// The ring holds as many unread values as its capacity.
    #[error("the ring is full")]
    Full(T),
    /// The receiver was dropped.
    #[error("the ring is closed")]
    Closed(T),
}

/// Sending end of a ring.
#[derive(Debug)]
pub struct Sender<T> {
    ring: rtrb::Producer<T>,
    bell: Notifier,
    closed: Arc<AtomicBool>,
}

/// Receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    ring: rtrb::Consumer<T>,
    bell: Notifier,
    closed: Arc<AtomicBool>,
}

/// Opens a ring that holds `capacity` values and has its own notifier.
pub fn open<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    open_with_notifier(capacity, Notifier::default())
}

/// Opens a ring whose receiver is woken by a shared notifier.
pub fn open_with_notifier<T>(capacity: usize, bell: Notifier) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let closed = Arc::new(AtomicBool::new(false));
    let sender = Sender { ring: producer, bell: bell.clone(), closed: closed.clone() };
    let receiver = Receiver { ring: consumer, bell, closed };
    (sender, receiver)
}

impl<T> Sender<T> {
    /// Puts a value into the ring and wakes the receiver.
    ///
    /// # Errors
    ///
    /// Fails if the ring is full or closed, and returns the value.
    pub fn send(&mut self, value: T) -> Result<(), SendError<T>> {
        if self.closed.load(Ordering::Acquire) || self.ring.is_abandoned() {
            return Err(SendError::Closed(value));
        }
        match self.ring.push(value) {
            Ok(()) => {
                self.bell.notify();
                Ok(())
            }
            Err(rtrb::PushError::Full(value)) => Err(SendError::Full(value)),
        }
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
        self.bell.notify();
    }
}

/// Result of receiving without waiting.
#[derive(Debug, PartialEq, Eq)]
pub enum TryRecv<T> {
    /// Oldest value.
    Value(T),
    /// No value at present.
    Empty,
    /// No value and no sender: no value will follow.
    Closed,
}

impl<T> Receiver<T> {
    /// Removes and returns the oldest value, if there is one, without waiting.
    pub fn try_recv(&mut self) -> TryRecv<T> {
        // Reads the flag before the ring, so that a value sent just before closing is not missed.
        let closed = self.closed.load(Ordering::Acquire);
        match self.ring.pop() {
            Ok(value) => TryRecv::Value(value),
            Err(_) if closed => TryRecv::Closed,
            Err(_) => TryRecv::Empty,
        }
    }

    /// Waits for the oldest value; returns `None` if the sender was dropped and the ring is empty.
    ///
    /// Only for a ring with its own notifier: an event loop waits for a shared notifier itself.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            match self.try_recv() {
                TryRecv::Value(value) => return Some(value),
                TryRecv::Closed => return None,
                TryRecv::Empty => self.bell.wait().await,
            }
        }
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
    }
}

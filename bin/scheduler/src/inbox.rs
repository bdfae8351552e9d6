//! The owner's inbox: events for the planner, each with the time at which it was sent. The age of
//! an event when it is handled shows how far the owner is behind.

use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event;
use tokio::sync::mpsc;

use crate::clock;

/// An event in the inbox.
#[derive(Clone, Debug)]
pub struct Queued {
    /// When the event was sent.
    pub sent_at: Time,
    /// The event.
    pub event: Event,
}

impl Queued {
    /// Returns an event that is sent now.
    pub fn now(event: Event) -> Queued {
        Queued { sent_at: clock::now(), event }
    }
}

/// Sending end of an inbox; clones send to the same one.
#[derive(Clone, Debug)]
pub struct Sender(mpsc::UnboundedSender<Queued>);

/// Receiving end of an inbox.
#[derive(Debug)]
pub struct Receiver(mpsc::UnboundedReceiver<Queued>);

/// Opens an inbox.
pub fn open() -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Sender(sender), Receiver(receiver))
}

impl Sender {
    /// Sends an event. It is dropped if the receiver is, since it then belongs to an ownership that
    /// has ended.
    pub fn send(&self, event: Event) {
        let _ = self.0.send(Queued::now(event));
    }

    /// Waits until the receiver is dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl Receiver {
    /// Waits for the next event; returns `None` once every sender is dropped.
    pub async fn recv(&mut self) -> Option<Queued> {
        self.0.recv().await
    }

    /// Returns the next event if there is one already.
    pub fn try_recv(&mut self) -> Option<Queued> {
        self.0.try_recv().ok()
    }
}

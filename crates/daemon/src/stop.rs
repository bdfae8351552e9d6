//! Graceful shutdown: the first signal requests it, the second forces an immediate exit.

use std::io;
use std::sync::mpsc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::event_loop;
use crate::event_loop::EventLoop;

/// Stage of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No stop was requested.
    Running,
    /// Accept no new work and finish the work in progress before the deadline.
    Draining,
    /// Exit immediately.
    Forced,
}

/// Receives the stage of the stop in an event loop.
#[derive(Clone, Debug)]
pub struct Stop {
    stage: watch::Receiver<Stage>,
}

impl Stop {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until the stop has reached `stage` or a later one.
    pub async fn wait_for_stage(&mut self, stage: Stage) {
        // A closed channel means that the process is exiting, which is the last stage.
        let _ = self.stage.wait_for(|now| *now >= stage).await;
    }
}

/// Advances the stage of a [`Stop`], for the signal event loop and for tests.
#[derive(Debug)]
pub struct Trigger {
    stage: watch::Sender<Stage>,
}

impl Trigger {
    /// Advances to a stage; the stage never goes back.
    pub fn advance(&self, stage: Stage) {
        self.stage.send_if_modified(|now| {
            let later = stage > *now;
            if later {
                *now = stage;
            }
            later
        });
    }
}

/// Opens a stop that only the returned trigger advances.
pub fn open() -> (Trigger, Stop) {
    let (sender, receiver) = watch::channel(Stage::Running);
    (Trigger { stage: sender }, Stop { stage: receiver })
}

/// Starts the event loop that advances a stop on SIGTERM and SIGINT. The stop is forced by a second
/// signal, or when the time limit has passed since the first.
///
/// The signal handlers are installed when this returns: a signal that arrives immediately afterwards
/// begins a planned stop and doesn't kill the process.
///
/// # Errors
///
/// Fails if the operating system refuses the thread or the handlers.
pub fn on_signals(within: Duration) -> io::Result<(Stop, EventLoop)> {
    let (switch, stop) = open();
    let (sender, receiver) = mpsc::sync_channel(1);
    let duty = event_loop::spawn("signals", move || async move {
        let handlers = install_handlers();
        let error = handlers.as_ref().err().map(|error| error.kind());
        // Can't fail: the receiver below waits for this message.
        let _ = sender.send(error);
        let Ok((mut terminate, mut interrupt)) = handlers else { return };
        wait_for_either(&mut terminate, &mut interrupt).await;
        switch.advance(Stage::Draining);
        // A timeout forces the stop in the same way as a second signal.
        let _ = tokio::time::timeout(within, wait_for_either(&mut terminate, &mut interrupt)).await;
        switch.advance(Stage::Forced);
        // Keeps the channel open, so that no event loop mistakes its closing for an earlier stage.
        std::future::pending::<()>().await;
    })?;
    match receiver.recv() {
        Ok(None) => Ok((stop, duty)),
        Ok(Some(kind)) => Err(kind.into()),
        Err(_) => Err(io::ErrorKind::Other.into()),
    }
}

fn install_handlers() -> io::Result<(Signal, Signal)> {
    Ok((signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?))
}

async fn wait_for_either(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}

//! The thread on which an ownership calls the store.
//!
//! Jobs that arrive and writes that are done would wait for several rounds of a busy owner between
//! its commands to workers, and starts wait for both. On a thread of their own they take turns with
//! the owner instead.

use cowslipchute_base::event::Event;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::event;
use crate::log::Log;

/// A running thread; it ends when this is dropped.
#[derive(Debug)]
pub struct StoreThread {
    runtime: Handle,
    _running: Option<oneshot::Sender<()>>,
}

/// Starts the thread. If the system refuses it, tasks run on the calling thread.
pub fn open(log: &Log) -> StoreThread {
    match spawn() {
        Ok(thread) => thread,
        Err(error) => {
            event!(log, Event::ThreadRefused, "reason" => error.to_string());
            StoreThread { runtime: Handle::current(), _running: None }
        }
    }
}

fn spawn() -> std::io::Result<StoreThread> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    let (running, ended) = oneshot::channel::<()>();
    let thread = std::thread::Builder::new().name(String::from("store"));
    thread.spawn(move || {
        // Ends with an error when the sender is dropped, which is the only way it ends.
        let _ = runtime.block_on(ended);
    })?;
    Ok(StoreThread { runtime: handle, _running: Some(running) })
}

impl StoreThread {
    /// Returns the runtime on which tasks run on the thread.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }
}

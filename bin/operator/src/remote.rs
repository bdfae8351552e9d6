//! The event loop that runs the connections to peers and answers their calls.

use std::io;

use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::Handle;
use cowslipchute_peer::node;
use cowslipchute_peer::node::Incoming;
use cowslipchute_peer::node::Node;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use tokio::sync::oneshot;

/// A bound node whose event loop waits for the follower that answers peers.
#[derive(Debug)]
pub struct Remote {
    /// Client for calls to peers.
    pub node: Node,
    follow: oneshot::Sender<Handle>,
    duty: EventLoop,
}

/// Binds the node's address. Peers are answered once [`Remote::answer`] has been called.
///
/// # Errors
///
/// When the address can't be bound, or the system refuses the thread.
pub fn bind(settings: node::Settings, mut stop: Stop) -> io::Result<Remote> {
    let (bound, binding) = std::sync::mpsc::channel();
    let (follow, following) = oneshot::channel::<Handle>();
    let duty = event_loop::spawn("peer", move || async move {
        let (node, mut calls) = match Node::open(settings) {
            Ok(opened) => opened,
            Err(error) => return bound.send(Err(error)).expect("the opener waits"),
        };
        bound.send(Ok(node)).expect("the opener waits");
        let Ok(handle) = following.await else { return };
        loop {
            let call = tokio::select! {
                call = calls.recv() => call,
                () = stop.wait_for_stage(Stage::Draining) => None,
            };
            let Some(call) = call else { return };
            match call.call {
                Call::Hello { .. } | Call::Pull { .. } | Call::Push { .. } => {
                    tokio::spawn(follow_up(handle.clone(), call));
                }
                // This process sends nothing to backend servers or workers.
                Call::Leaving { .. } => call.answer(Reply::Noted),
                _ => call.answer(Reply::Misdirected),
            }
        }
    })?;
    let node = binding.recv().map_err(|_| io::Error::other("the peer duty ended"))??;
    Ok(Remote { node, follow, duty })
}

/// Lets the follower answer a call. A call that it can't accept is dropped, and the peer asks
/// again.
async fn follow_up(handle: Handle, incoming: Incoming) {
    if let Some(reply) = handle.answer(incoming.call.clone()).await {
        incoming.answer(reply);
    }
}

impl Remote {
    /// Lets the follower answer peers. The event loop ends when the process shuts down.
    pub fn answer(self, handle: Handle) -> EventLoop {
        // If the event loop has already ended, joining it reports that.
        let _ = self.follow.send(handle);
        self.duty
    }
}

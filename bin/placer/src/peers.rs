//! The placer's QUIC node, built on quinn.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc as channel;

use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::peers::Error;
use cowslipchute_follow::peers::Peers;
use cowslipchute_peer::node;
use cowslipchute_peer::node::Node;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::link::Incoming;

/// Maximum number of calls from peers that wait for the link event loop.
const QUEUE_MAX: usize = 256;

/// Calls other processes through the node.
#[derive(Clone, Debug)]
pub struct Caller {
    node: Node,
}

impl Peers for Caller {
    async fn call(&self, address: SocketAddr, call: &Call) -> Result<Reply, Error> {
        self.node.call(address, call).await.map_err(|error| Error(error.to_string()))
    }
}

/// A running node.
#[derive(Debug)]
pub struct Open {
    /// Client for calls to peers.
    pub caller: Caller,
    /// Calls from peers.
    pub incoming: mpsc::Receiver<Incoming>,
    /// Event loop that runs the node until the process ends.
    pub duty: EventLoop,
}

/// Opens a node on its own event loop, which runs its connections.
///
/// # Errors
///
/// When the address can't be bound or the identity can't be used.
pub fn open(settings: node::Settings, mut stop: Stop) -> io::Result<Open> {
    let (opened, outcome) = channel::channel();
    let duty = event_loop::spawn("peers", move || async move {
        let (sender, incoming) = mpsc::channel(QUEUE_MAX);
        match Node::open(settings) {
            Ok((node, calls)) => {
                let caller = Caller { node: node.clone() };
                let _ = opened.send(Ok((caller, incoming)));
                tokio::select! {
                    () = pass_on(calls, sender) => {}
                    () = stop.wait_for_stage(Stage::Forced) => {}
                }
            }
            Err(error) => {
                let _ = opened.send(Err(error));
            }
        }
    })?;
    let ended = |_| Err(io::Error::other("the duty ended before the node was open"));
    let (caller, incoming) = outcome.recv().unwrap_or_else(ended)?;
    Ok(Open { caller, incoming, duty })
}

async fn pass_on(mut calls: mpsc::Receiver<node::Incoming>, sender: mpsc::Sender<Incoming>) {
    while let Some(call) = calls.recv().await {
        let (reply, answer) = oneshot::channel();
        let incoming = Incoming { call: call.call.clone(), reply };
        if sender.send(incoming).await.is_err() {
            return;
        }
        tokio::task::spawn_local(async move {
            // An unanswered call is dropped; the peer then sees that its outcome is unknown.
            if let Ok(reply) = answer.await {
                call.answer(reply);
            }
        });
    }
}

//! The event loop that talks to other placers.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_daemon::ring;
use cowslipchute_follow::Handle;
use cowslipchute_follow::peers::Peers;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use cowslipchute_tenure::event::CallId;
use cowslipchute_tenure::owner::Owner;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::message::Inbound;
use crate::message::Outbound;
use crate::pump;

/// A call from another process.
#[derive(Debug)]
pub struct Incoming {
    /// Request of the caller.
    pub call: Call,
    /// Receives the response.
    pub reply: oneshot::Sender<Reply>,
}

/// Parameters of the event loop.
#[derive(Clone, Debug)]
pub struct Context {
    /// This instance.
    pub instance: id::Instance,
    /// Incarnation of this instance.
    pub incarnation: id::Incarnation,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Answers peers' requests about the configuration.
    pub follower: Handle,
}

/// Calls that wait for `decide`; a call whose caller has gone is dropped with the next response.
type Waiting = BTreeMap<CallId, oneshot::Sender<Reply>>;

/// Handles calls until the ring from `decide` is closed.
pub async fn run<P: Peers>(
    peers: P,
    context: Context,
    mut incoming: mpsc::Receiver<Incoming>,
    mut inbox: ring::Receiver<Outbound>,
    mut outbox: ring::Sender<Inbound>,
) {
    let mut waiting = Waiting::new();
    let mut last: CallId = 0;
    let mut asking = FuturesUnordered::new();
    let mut listening = true;
    loop {
        let inbound = tokio::select! {
            outbound = inbox.recv() => match outbound {
                Some(Outbound::Query { cell, epoch, owner }) => {
                    asking.push(ask(&peers, &context, cell, epoch, owner));
                    None
                }
                Some(Outbound::Reply { call, reply }) => {
                    if let Some(sender) = waiting.remove(&call) {
                        // The caller may have timed out; it asks again.
                        let _ = sender.send(reply);
                    }
                    None
                }
                None => return,
            },
            Some(inbound) = asking.next(), if !asking.is_empty() => inbound,
            call = incoming.recv(), if listening => match call {
                Some(call) => {
                    last += 1;
                    receive(&context, last, call, &mut waiting)
                }
                None => {
                    listening = false;
                    None
                }
            },
        };
        if let Some(inbound) = inbound
            && pump::push(&mut outbox, inbound).await.is_err()
        {
            return;
        }
    }
}

/// Answers calls that need no decision and passes the others on.
fn receive(
    context: &Context,
    number: CallId,
    incoming: Incoming,
    waiting: &mut Waiting,
) -> Option<Inbound> {
    let reply = match incoming.call {
        Call::Release { cell, epoch } => {
            waiting.retain(|_, sender| !sender.is_closed());
            waiting.insert(number, incoming.reply);
            return Some(Inbound::Release { call: number, cell, epoch });
        }
        call @ (Call::Hello { .. } | Call::Pull { .. } | Call::Push { .. }) => {
            tokio::task::spawn_local(follow(context.follower.clone(), call, incoming.reply));
            return None;
        }
        _ => Reply::Misdirected,
    };
    let _ = incoming.reply.send(reply);
    None
}

/// Lets the follower answer a call. A call that it has no capacity for is dropped, and the peer
/// asks again.
async fn follow(follower: Handle, call: Call, reply: oneshot::Sender<Reply>) {
    if let Some(answer) = follower.answer(call).await {
        let _ = reply.send(answer);
    }
}

/// Asks a previous owner whether it has stopped. The peer must identify itself first, because
/// another incarnation may answer at the same address, and its answer proves nothing.
async fn ask<P: Peers>(
    peers: &P,
    context: &Context,
    cell: id::Cell,
    epoch: id::Epoch,
    owner: Owner,
) -> Option<Inbound> {
    let hello = Call::Hello {
        instance: context.instance.clone(),
        incarnation: context.incarnation,
        domain: context.domain.clone(),
        revision: context.follower.in_force(),
    };
    let address = owner.address;
    let hello = peers.call(address, &hello);
    let reply = tokio::time::timeout(context.timeout, hello).await.ok()?.ok()?;
    let Reply::Hello { instance, incarnation, .. } = reply else { return None };
    if instance != owner.instance || incarnation != owner.incarnation {
        return None;
    }
    let release = Call::Release { cell: cell.clone(), epoch };
    let release = peers.call(address, &release);
    let reply = tokio::time::timeout(context.timeout, release).await.ok()?.ok()?;
    match reply {
        Reply::Released => Some(Inbound::Released { cell, epoch, owner }),
        _ => None,
    }
}

//! Calls between nodes over loopback, and the errors that each end gets when they fail.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_peer::authority::Authority;
use cowslipchute_peer::frame;
use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node::Error;
use cowslipchute_peer::node::Incoming;
use cowslipchute_peer::node::Node;
use cowslipchute_peer::node::Settings;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Item;
use cowslipchute_ports::peer::Reply;
use tokio::sync::mpsc::Receiver;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn open_at(
    address: SocketAddr,
    identity: &Identity,
    call_timeout: Duration,
    calls: usize,
) -> (Node, Receiver<Incoming>) {
    let settings = Settings { address, identity: identity.clone(), call_timeout, max_calls: calls };
    Node::open(settings).expect("loopback can be bound")
}

fn open(identity: &Identity) -> (Node, Receiver<Incoming>) {
    open_at(LOOPBACK.into(), identity, LONG_TIMEOUT, 8)
}

/// Answers each pull with one item whose key is the requested revision.
async fn echo(mut calls: Receiver<Incoming>) {
    while let Some(incoming) = calls.recv().await {
        let reply = reply_to(&incoming.call);
        incoming.answer(reply);
    }
}

fn reply_to(call: &Call) -> Reply {
    match call {
        Call::Pull { after } => items(*after),
        _ => Reply::Misdirected,
    }
}

fn items(after: u64) -> Reply {
    let item = Item { key: after.to_string(), value: None, revision: after };
    Reply::Items { items: vec![item], revision: after, whole: false }
}

fn push(bytes: usize) -> Call {
    let item = Item { key: String::new(), value: Some(vec![7; bytes]), revision: 1 };
    Call::Push { items: vec![item], revision: 1, after: 0 }
}

fn spawn_call(node: &Node, to: SocketAddr, call: Call) -> tokio::task::JoinHandle<Outcome> {
    let node = node.clone();
    tokio::spawn(async move { node.call(to, &call).await })
}

type Outcome = Result<Reply, Error>;

#[tokio::test]
async fn each_caller_gets_the_answer_to_its_own_call() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open(&identity);
    let (callee, mut calls) = open(&identity);
    let pending: Vec<_> =
        (0..8).map(|after| spawn_call(&caller, callee.address(), Call::Pull { after })).collect();
    let mut received = Vec::new();
    while received.len() < pending.len() {
        received.push(calls.recv().await.unwrap());
    }
    // The calls are answered in reverse order.
    for incoming in received.into_iter().rev() {
        assert_eq!(incoming.from, caller.address());
        let reply = reply_to(&incoming.call);
        incoming.answer(reply);
    }
    for (after, pending) in (0..).zip(pending) {
        assert_eq!(pending.await.unwrap(), Ok(items(after)));
    }
}

#[tokio::test]
async fn a_peer_without_a_certificate_of_the_deployment_is_refused() {
    let ours = Authority::generate().unwrap();
    let foreign = Authority::generate().unwrap();
    let (node, mut calls) = open(&ours.issue().unwrap().identity().unwrap());
    // The foreign peer accepts our authority, so only our own check can reject it.
    let accepting = foreign.issue().unwrap().identity_accepting(&[ours.pem()]).unwrap();
    let (foreign_peer, _calls) = open(&accepting);
    let outcome = foreign_peer.call(node.address(), &Call::Pull { after: 1 }).await;
    assert!(matches!(outcome, Err(Error::Refused(_))), "{outcome:?}");
    assert_eq!(node.count().peers_refused, 1);
    assert!(calls.try_recv().is_err(), "no call of a foreign peer arrives");
}

#[tokio::test]
async fn a_node_sends_nothing_to_a_peer_of_another_deployment() {
    let (node, _calls) = open(&Identity::generate().unwrap());
    let (foreign_peer, mut calls) = open(&Identity::generate().unwrap());
    let outcome = node.call(foreign_peer.address(), &Call::Pull { after: 1 }).await;
    assert!(matches!(outcome, Err(Error::Unsent(_))), "{outcome:?}");
    assert!(calls.try_recv().is_err(), "no call reaches a foreign peer");
}

#[tokio::test]
async fn old_and_new_authority_overlap_while_keys_are_rotated() {
    let old = Authority::generate().unwrap();
    let new = Authority::generate().unwrap();
    let before = old.issue().unwrap().identity_accepting(&[new.pem()]).unwrap();
    let after = new.issue().unwrap().identity_accepting(&[old.pem()]).unwrap();
    let (first, first_calls) = open(&before);
    let (second, second_calls) = open(&after);
    tokio::spawn(echo(first_calls));
    tokio::spawn(echo(second_calls));
    let call = Call::Pull { after: 1 };
    assert_eq!(first.call(second.address(), &call).await, Ok(items(1)));
    assert_eq!(second.call(first.address(), &call).await, Ok(items(1)));
    // Certificates of the old authority are rejected once that authority is removed.
    let (third, _calls) = open(&new.issue().unwrap().identity().unwrap());
    let outcome = first.call(third.address(), &call).await;
    assert!(matches!(outcome, Err(Error::Refused(_))), "{outcome:?}");
}

#[tokio::test]
async fn a_call_over_the_bound_is_refused_at_once() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open(&identity);
    let (callee, mut calls) = open_at(LOOPBACK.into(), &identity, LONG_TIMEOUT, 1);
    let first = spawn_call(&caller, callee.address(), Call::Pull { after: 1 });
    let incoming = calls.recv().await.unwrap();
    let outcome = caller.call(callee.address(), &Call::Pull { after: 2 }).await;
    assert!(matches!(outcome, Err(Error::Refused(_))), "{outcome:?}");
    assert_eq!(callee.count().calls_refused, 1);
    incoming.answer(items(1));
    assert_eq!(first.await.unwrap(), Ok(items(1)));
}

#[tokio::test]
async fn a_call_that_was_taken_and_never_answered_is_unknown() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open(&identity);
    let (callee, mut calls) = open(&identity);
    let pending = spawn_call(&caller, callee.address(), Call::Pull { after: 1 });
    drop(calls.recv().await.unwrap());
    let outcome = pending.await.unwrap();
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

#[tokio::test]
async fn a_peer_that_ends_during_a_call_leaves_it_unknown_and_its_successor_is_reached() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open(&identity);
    let (callee, mut calls) = open(&identity);
    let address = callee.address();
    let pending = spawn_call(&caller, address, Call::Pull { after: 1 });
    let _held = calls.recv().await.unwrap();
    drop(callee);
    let outcome = pending.await.unwrap();
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    assert!(calls.recv().await.is_none(), "a dropped node ends its tasks");
    let (_successor, calls) = reopen(address, &identity).await;
    tokio::spawn(echo(calls));
    assert_eq!(caller.call(address, &Call::Pull { after: 2 }).await, Ok(items(2)));
}

/// Opens a node once the socket of the previous one is free.
async fn reopen(address: SocketAddr, identity: &Identity) -> (Node, Receiver<Incoming>) {
    let settings =
        Settings { address, identity: identity.clone(), call_timeout: LONG_TIMEOUT, max_calls: 8 };
    loop {
        match Node::open(settings.clone()) {
            Ok(opened) => return opened,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

#[tokio::test]
async fn a_peer_that_is_gone_gets_nothing() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open_at(LOOPBACK.into(), &identity, SHORT_TIMEOUT, 8);
    let socket = std::net::UdpSocket::bind(SocketAddr::from(LOOPBACK)).unwrap();
    let outcome = caller.call(socket.local_addr().unwrap(), &Call::Pull { after: 1 }).await;
    assert!(matches!(outcome, Err(Error::Unsent(_))), "{outcome:?}");
}

#[tokio::test]
async fn a_late_answer_is_dropped_and_never_given_to_another_call() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open_at(LOOPBACK.into(), &identity, SHORT_TIMEOUT, 8);
    let (callee, mut calls) = open(&identity);
    let outcome = caller.call(callee.address(), &Call::Pull { after: 1 }).await;
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    let late = calls.recv().await.unwrap();
    let next = spawn_call(&caller, callee.address(), Call::Pull { after: 2 });
    late.answer(items(1));
    let incoming = calls.recv().await.unwrap();
    assert_eq!(incoming.call, Call::Pull { after: 2 });
    incoming.answer(items(2));
    assert_eq!(next.await.unwrap(), Ok(items(2)));
}

#[tokio::test]
async fn a_message_over_the_limit_is_not_sent() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open(&identity);
    let (callee, calls) = open(&identity);
    tokio::spawn(echo(calls));
    let within = caller.call(callee.address(), &push(frame::MAX_BYTES - 64)).await;
    assert_eq!(within, Ok(Reply::Misdirected));
    let over = caller.call(callee.address(), &push(frame::MAX_BYTES)).await;
    assert!(matches!(over, Err(Error::Unsent(_))), "{over:?}");
}

#[tokio::test]
async fn a_call_given_up_half_way_never_arrives() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open(&identity);
    let (callee, mut calls) = open(&identity);
    let mut given_up = 0;
    for polls in (1..40).step_by(3) {
        let call = push(frame::MAX_BYTES - 64);
        let mut partial_call = Box::pin(caller.call(callee.address(), &call));
        for _ in 0..polls {
            tokio::select! {
                biased;
                _ = &mut partial_call => break,
                () = tokio::task::yield_now() => {}
            }
        }
        drop(partial_call);
        let next = spawn_call(&caller, callee.address(), Call::Pull { after: polls });
        let mut incoming = calls.recv().await.unwrap();
        if incoming.call == call {
            // The call was cancelled only after all of it had been sent.
            incoming = calls.recv().await.unwrap();
        } else {
            given_up += 1;
        }
        assert_eq!(incoming.call, Call::Pull { after: polls });
        incoming.answer(items(polls));
        assert_eq!(next.await.unwrap(), Ok(items(polls)));
    }
    assert!(given_up > 0, "some calls are cancelled before they are sent completely");
}

#[tokio::test]
async fn a_draining_node_answers_what_it_took_and_refuses_the_rest() {
    let identity = Identity::generate().unwrap();
    let (caller, _calls) = open(&identity);
    let (callee, mut calls) = open(&identity);
    let address = callee.address();
    let pending = spawn_call(&caller, address, Call::Pull { after: 1 });
    let incoming = calls.recv().await.unwrap();
    let draining = tokio::spawn(async move {
        let drained = callee.drain(LONG_TIMEOUT).await;
        drop(callee);
        drained
    });
    // Calls are answered until the drain begins; every later one is refused.
    let refused = loop {
        let pending = spawn_call(&caller, address, Call::Pull { after: 2 });
        tokio::select! {
            Some(early) = calls.recv() => early.answer(items(2)),
            () = tokio::task::yield_now() => {}
        }
        match pending.await.unwrap() {
            Ok(_) => {}
            refused => break refused,
        }
    };
    assert!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
    incoming.answer(items(1));
    assert_eq!(pending.await.unwrap(), Ok(items(1)), "draining interrupts no accepted call");
    assert!(draining.await.unwrap());
}

#[test]
fn a_peer_that_was_killed_costs_one_call_and_its_successor_is_reached() {
    let runtime = || tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let identity = Identity::generate().unwrap();
    let (local_runtime, remote_runtime) = (runtime(), runtime());
    let (caller, _calls) =
        local_runtime.block_on(async { open_at(LOOPBACK.into(), &identity, SHORT_TIMEOUT, 8) });
    let (callee, calls) = remote_runtime.block_on(async { open(&identity) });
    let address = callee.address();
    remote_runtime.spawn(echo(calls));
    let call = |after| local_runtime.block_on(caller.call(address, &Call::Pull { after }));
    assert_eq!(call(1), Ok(items(1)));
    // The runtime stops its tasks where they are, so no connection is closed.
    remote_runtime.shutdown_timeout(LONG_TIMEOUT);
    drop(callee);
    let (_successor, calls) = local_runtime.block_on(reopen(address, &identity));
    local_runtime.spawn(echo(calls));
    assert!(matches!(call(2), Err(Error::Unknown(_))));
    assert_eq!(call(3), Ok(items(3)));
}

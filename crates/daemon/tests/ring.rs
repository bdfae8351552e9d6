//! Rings deliver values in order, refuse them when full and end their reader when closed.

use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::ring::SendError;
use cowslipchute_daemon::ring::TryRecv;

/// Number of values sent across threads in the ordering test, far above the ring's capacity.
const VALUES: u32 = 100_000;

#[test]
fn a_full_ring_gives_the_value_back_at_once() {
    let (mut sender, mut receiver) = ring::open(1);
    sender.send(1).expect("the ring is empty");
    assert!(matches!(sender.send(2), Err(SendError::Full(2))));
    assert_eq!(receiver.try_recv(), TryRecv::Value(1));
    assert_eq!(receiver.try_recv(), TryRecv::Empty);
}

#[test]
fn a_value_sent_just_before_closing_is_found() {
    let (mut sender, mut receiver) = ring::open(2);
    sender.send(1).expect("the ring is empty");
    drop(sender);
    assert_eq!(receiver.try_recv(), TryRecv::Value(1));
    assert_eq!(receiver.try_recv(), TryRecv::Closed);
}

#[test]
fn a_dropped_receiver_is_told_to_the_sender() {
    let (mut sender, receiver) = ring::open(2);
    drop(receiver);
    assert!(matches!(sender.send(1), Err(SendError::Closed(1))));
}

#[test]
fn values_cross_threads_in_order_and_closing_ends_the_duty() {
    let (mut sender, mut receiver) = ring::open(64);
    let reader = event_loop::spawn("reader", move || async move {
        let mut next = 0;
        while let Some(value) = receiver.recv().await {
            assert_eq!(value, next, "no value is lost, duplicated or reordered");
            next += 1;
        }
        assert_eq!(next, VALUES);
    })
    .expect("the thread starts");
    let mut value = 0;
    while value < VALUES {
        match sender.send(value) {
            Ok(()) => value += 1,
            Err(SendError::Full(_)) => std::thread::yield_now(),
            Err(SendError::Closed(_)) => panic!("the reader ended early"),
        }
    }
    drop(sender);
    reader.join();
}

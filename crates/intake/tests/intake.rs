//! Crowds of connections and of bodies against the limits of a process.

use std::time::Duration;

use cowslipchute_intake::bytes::Budget;
use cowslipchute_intake::bytes::Exhausted;
use cowslipchute_intake::bytes::FREE_BYTES;
use cowslipchute_intake::connections::Phase;
use cowslipchute_intake::connections::Table;
use cowslipchute_intake::limits::Limits;
use yare::parameterized;

/// Guards against a crowd that keeps new clients out, and against a client that loses its response to
/// one.
#[parameterized(
    silent = { Phase::New },
    idle = { Phase::Idle },
    bodies = { Phase::Receiving },
)]
fn a_new_client_takes_the_place_of_the_longest_without_a_whole_request(crowd: Phase) {
    let mut table = Table::open(3);
    let at = Duration::from_millis;
    let (served, _) = table.admit(at(0)).unwrap();
    table.enter(served, Phase::Serving, at(1));
    let (longest, _) = table.admit(at(2)).unwrap();
    table.enter(longest, crowd, at(3));
    let (other, _) = table.admit(at(4)).unwrap();
    table.enter(other, crowd, at(5));
    assert_eq!(table.admit(at(6)).unwrap().1, Some(longest));
    assert_eq!(table.len(), 3);
    table.enter(longest, Phase::Serving, at(7));
    assert_eq!(table.len(), 3, "a connection that was closed doesn't come back");
}

/// Guards against clients with a request in progress, or kept connections, that are closed before
/// connections which never sent a request.
#[test]
fn connections_are_closed_in_the_order_of_their_phases() {
    let mut table = Table::open(4);
    for (at, phase) in
        [Phase::Serving, Phase::Receiving, Phase::Idle, Phase::New].iter().enumerate()
    {
        let at = Duration::from_millis(at as u64);
        let (id, _) = table.admit(at).unwrap();
        table.enter(id, *phase, at);
    }
    let later = Duration::from_secs(1);
    let mut closed = Vec::new();
    while let Some((id, other)) = table.admit(later) {
        table.enter(id, Phase::Serving, later);
        closed.extend(other);
    }
    assert_eq!(closed, [3, 2, 1]);
}

/// Guards against bodies that are each within the limit and together exceed the memory, and against a
/// crowd of them that keeps small ones out.
#[test]
fn large_bodies_share_a_budget_and_small_ones_are_free() {
    let budget = Budget::open(100_000);
    let mut bodies: Vec<_> = (0..3).map(|_| budget.charge()).collect();
    let large = FREE_BYTES + 40_000;
    assert_eq!(bodies[0].grow_to(large), Ok(()));
    assert_eq!(bodies[1].grow_to(large), Ok(()));
    assert_eq!(bodies[2].grow_to(large), Err(Exhausted));
    assert_eq!(bodies[2].grow_to(FREE_BYTES), Ok(()));
    bodies.remove(0);
    assert_eq!(bodies[1].grow_to(large), Ok(()));
    drop(bodies);
    assert_eq!(budget.used(), 0);
}

#[test]
fn a_usual_machine_allows_what_a_client_within_the_pages_limits_needs() {
    let limits = Limits::of_machine(260_000_000, 3900);
    assert_eq!(limits, Limits { connections: 495, body_bytes: 32_500_000 });
}

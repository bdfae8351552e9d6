//! A single owner, from an empty store to a replayed answer.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_claim::action::Action;
use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::owner::Owner;
use cowslipchute_claim::owner::Settings;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Settlement;

fn member() -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let (instance, domain) = ("e1".into(), "a".into());
    Member { instance, incarnation: 1, started_at: 1, domain, address, list_version: 0 }
}

fn view() -> list::View {
    let member = list::Member {
        instance: "e1".into(),
        incarnation: 1,
        role: list::Role::Entry,
        state: list::State::Live,
        domain: "a".into(),
        rack: "".into(),
        address: member().address,
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    };
    list::View { version: 1, members: vec![member] }
}

#[test]
fn an_owner_alone_grants_a_key_once_and_replays_its_answer() {
    let second = Duration::from_secs(1);
    let mut owner = Owner::open(Settings {
        member: member(),
        retention: 600 * second,
        lease: 10 * second,
        handover_timeout: second,
        takeover_delay: second,
        max_claims: 10,
        max_answer_bytes: 1000,
        max_total_answer_bytes: 1000,
    });
    let mut actions = Vec::new();
    owner.step(second, Event::Listed { view: view() }, &mut actions);
    owner.step(second, Event::RosterRead { read: 1, revision: 0, roster: None }, &mut actions);
    let Some(Action::ProposeRoster { revision: 0, roster }) = actions.pop() else {
        panic!("the initial roster is not proposed: {actions:?}");
    };
    owner.step(second, Event::RosterReceived { revision: 1, roster: roster.into() }, &mut actions);
    let key = Key { service: "berths".into(), key: "k".into() };
    let claimant = Claimant { instance: "e1".into(), incarnation: 1, started_at: 1, request: 1 };
    let mut claim = |owner: &mut Owner| {
        actions.clear();
        let claimant = Claimant { request: 2, ..claimant.clone() };
        let event = Event::Claim { ask: 1, claimant, key: key.clone(), roster: 1 };
        owner.step(second, event, &mut actions);
        match &actions[0] {
            Action::Verdict { verdict, .. } => verdict.clone(),
            other => panic!("expected a verdict on the claim: {other:?}"),
        }
    };
    assert_eq!(claim(&mut owner), Claimed::Granted);
    assert_eq!(claim(&mut owner), Claimed::InDoubt);
    let settle = Event::Settle {
        ask: 2,
        claimant: Claimant { request: 2, ..claimant.clone() },
        key: key.clone(),
        settlement: Settlement::Ran(None),
    };
    owner.step(second, settle, &mut Vec::new());
    assert_eq!(claim(&mut owner), Claimed::Ran(None));
}

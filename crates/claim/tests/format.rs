//! Stored and sent formats must not change, because processes of two versions run side by side.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::handover::Grant;
use cowslipchute_claim::handover::Handover;
use cowslipchute_claim::handover::SlotState;
use cowslipchute_claim::handover::State;
use cowslipchute_claim::handover::TransferId;
use cowslipchute_claim::roster::Error;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::roster::Roster;
use cowslipchute_claim::slot;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::peer::Answer;
use yare::parameterized;

fn member(name: &str, started_at: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    Member {
        instance: name.into(),
        incarnation: 3,
        started_at,
        domain: "a".into(),
        address,
        list_version: 9,
    }
}

#[test]
fn a_roster_is_stored_as_json() {
    let roster = Roster::initial(member("e1", 5));
    let text = serde_json::to_string(&roster).unwrap();
    let head = r#"{"version":1,"members":[{"instance":"e1","incarnation":3,"life":5,"domain":"a","address":"10.0.0.1:7000","listed":9}],"shares":[{"owner":0,"since":1,"origin":"first"},"#;
    assert!(text.starts_with(head), "{text}");
    assert_eq!(serde_json::from_str::<Roster>(&text).unwrap(), roster);
}

#[parameterized(
    berths = { "berths", "k1", 146 },
    moved_boundary = { "berth", "sk1", 53 },
    empty = { "", "", 217 },
)]
fn a_key_stays_in_its_slot(service: &str, key: &str, expected: u8) {
    assert_eq!(slot::of(service, key), expected);
}

#[test]
fn a_handover_comes_as_it_was_sent() {
    let answer = Answer { status: 201, content_type: None, body: b"cradle-7".to_vec() };
    let kept = Grant {
        key: Key { service: "berths".into(), key: "k1".into() },
        claimant: Claimant { instance: "e1".into(), incarnation: 3, started_at: 5, request: 8 },
        state: State::Ran(Some(answer)),
        expires_in: Duration::from_secs(60),
    };
    let in_doubt_for = Duration::from_millis(1500);
    let handover = Handover {
        transfer: TransferId { base_version: 4, number: 2 },
        message_number: 1,
        slots: vec![SlotState { slot: 7, in_doubt_for, grants: vec![kept] }],
    };
    let bytes = postcard::to_stdvec(&handover).unwrap();
    assert_eq!(postcard::from_bytes::<Handover>(&bytes).unwrap(), handover);
    assert_eq!(handover.keys(), 1);
}

#[parameterized(
    too_few_slots = { |roster: &mut Roster| { roster.assignments.pop(); }, Error::Slots(255) },
    no_owner = { |roster: &mut Roster| roster.assignments[9].owner = 4, Error::NoOwner(9) },
)]
fn a_roster_that_breaks_its_rules_is_told(spoil: fn(&mut Roster), expected: Error) {
    let mut roster = Roster::initial(member("e1", 5));
    assert_eq!(roster.check(), Ok(()));
    spoil(&mut roster);
    assert_eq!(roster.check(), Err(expected));
}

#[test]
fn only_a_later_life_takes_the_place_of_another() {
    let roster = Roster::initial(member("e1", 5));
    let later = roster.revised(&member("e1", 6), |_| false).unwrap();
    assert_eq!(later.members, [member("e1", 6)]);
    let earlier = roster.revised(&member("e1", 4), |_| false).unwrap();
    assert_eq!(earlier.members, [member("e1", 5), member("e1", 4)]);
}

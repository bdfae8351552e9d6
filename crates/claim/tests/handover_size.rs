//! Checks that each message of a handover fits into one frame between peers, whatever is kept.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_claim::action::Action;
use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::owner::Owner;
use cowslipchute_claim::owner::Settings;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::roster::Roster;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::peer::Answer;
use cowslipchute_ports::peer::Settlement;

/// Maximum size of a frame between peers in bytes, less the overhead of a call.
const FRAME: usize = 4 * 1024 * 1024 - 64;
const SECOND: Duration = Duration::from_secs(1);
const ANSWER: usize = 60 * 1024;
const KEYS: u64 = 800;

fn member(name: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        instance: name.into(),
        incarnation: 1,
        started_at: 1,
        domain: "a".into(),
        address,
        list_version: 0,
    }
}

fn settings() -> Settings {
    Settings {
        member: member("e1"),
        retention: 600 * SECOND,
        lease: 10 * SECOND,
        handover_timeout: SECOND,
        takeover_delay: SECOND,
        max_claims: 200_000,
        max_answer_bytes: 64 << 10,
        max_total_answer_bytes: 64 << 20,
    }
}

fn run(owner: &mut Owner, request: u64) {
    let key = Key { service: "berths".into(), key: request.to_string().into() };
    let claimant = Claimant { instance: "e1".into(), incarnation: 1, started_at: 1, request };
    let claim = Event::Claim { ask: 1, claimant: claimant.clone(), key: key.clone(), roster: 1 };
    owner.step(SECOND, claim, &mut Vec::new());
    let answer = Answer { status: 201, content_type: None, body: vec![1; ANSWER] };
    let settlement = Settlement::Ran(Some(answer));
    owner.step(SECOND, Event::Settle { ask: 2, claimant, key, settlement }, &mut Vec::new());
}

#[test]
fn large_answers_are_spread_over_messages() {
    let mut owner = Owner::open(settings());
    let first = Roster::initial(member("e1"));
    let second = first.revised(&member("e2"), |_| false).unwrap();
    let mut actions = Vec::new();
    owner.step(SECOND, Event::Tick, &mut actions);
    let read = Event::RosterRead { read: 1, revision: 1, roster: Some(first.into()) };
    owner.step(SECOND, read, &mut actions);
    (0..KEYS).for_each(|request| run(&mut owner, request));
    assert_eq!(owner.claims(), KEYS as usize);
    owner.step(SECOND, Event::RosterReceived { revision: 2, roster: second.into() }, &mut actions);
    let sizes: Vec<usize> = actions
        .iter()
        .filter_map(|action| match action {
            Action::HandOver { handover, .. } => Some(handover.to_bytes().len()),
            _ => None,
        })
        .collect();
    assert!(sizes.iter().sum::<usize>() > FRAME, "the answers must exceed one frame: {sizes:?}");
    assert!(sizes.iter().all(|size| *size <= FRAME), "{sizes:?}");
}

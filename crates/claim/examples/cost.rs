//! Prints the costs of claims and of the roster: time and memory per key, bytes of the roster, and
//! slots moved by a change of members. `docs/design/keys.md` quotes its output.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_claim::action::Action;
use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::owner::Owner;
use cowslipchute_claim::owner::Settings;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::roster::Roster;
use cowslipchute_claim::slot;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Settlement;

const SECOND: Duration = Duration::from_secs(1);

fn main() {
    println!("| keys | claim ns | settle ns | repeat ns | bytes a key |");
    println!("|---|---|---|---|---|");
    for keys in [50_000, 100_000, 200_000] {
        claims(keys);
    }
    println!();
    println!("| members | roster bytes | slots moved by a join | by a leave |");
    println!("|---|---|---|---|");
    for members in [9, 36, 500] {
        roster(members);
    }
}

fn claims(keys: u64) {
    let mut owner = open(keys as usize);
    let named: Vec<Key> = (0..keys)
        .map(|number| Key {
            service: "berths".into(),
            key: format!("5f3c1b7e-8d21-4c55-9a0e-{number:012}").into(),
        })
        .collect();
    let before = resident();
    let mut actions = Vec::new();
    let claim = time(&named, |request, key| {
        let claimant = claimant(request);
        let event = Event::Claim { ask: request, claimant, key: key.clone(), roster: 1 };
        owner.step(SECOND, event, &mut actions);
        let granted = matches!(actions[0], Action::Verdict { verdict: Claimed::Granted, .. });
        assert!(granted, "a new key is granted");
        actions.clear();
    });
    let settle = time(&named, |request, key| {
        let (claimant, settlement) = (claimant(request), Settlement::Ran(None));
        let event = Event::Settle { ask: request, claimant, key: key.clone(), settlement };
        owner.step(2 * SECOND, event, &mut actions);
        actions.clear();
    });
    let bytes = resident().saturating_sub(before) / keys;
    let repeat = time(&named, |request, key| {
        let claimant = claimant(request + keys);
        let event = Event::Claim { ask: request, claimant, key: key.clone(), roster: 1 };
        owner.step(3 * SECOND, event, &mut actions);
        actions.clear();
    });
    println!("| {keys} | {claim} | {settle} | {repeat} | {bytes} |");
}

fn open(max_claims: usize) -> Owner {
    let mut owner = Owner::open(Settings {
        member: member(0),
        retention: 600 * SECOND,
        lease: 10 * SECOND,
        handover_timeout: SECOND,
        takeover_delay: SECOND,
        max_claims,
        max_answer_bytes: 4096,
        max_total_answer_bytes: 16 << 20,
    });
    let roster = Roster::initial(member(0)).into();
    owner.step(SECOND, Event::RosterReceived { revision: 1, roster }, &mut Vec::new());
    owner
}

fn claimant(request: u64) -> Claimant {
    Claimant { instance: "entry-a-1".into(), incarnation: 1, started_at: 1, request }
}

fn time(keys: &[Key], mut each: impl FnMut(u64, &Key)) -> u128 {
    let start = Instant::now();
    for (request, key) in (0..).zip(keys) {
        each(request, key);
    }
    start.elapsed().as_nanos() / keys.len() as u128
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

fn member(number: u16) -> Member {
    Member {
        instance: format!("entry-{number}").into(),
        incarnation: 1_764_633_600_000,
        started_at: 1_764_633_600_000 + u64::from(number),
        domain: "domain-a".into(),
        address: SocketAddr::from(([10, 1, 2, 3], 7000)),
        list_version: 1,
    }
}

fn roster(members: u16) {
    let mut roster = Roster::initial(member(0));
    let has_ended = |_: &Member| false;
    for number in 1..members {
        roster = spread(roster.revised(&member(number), has_ended).expect("the member joins"));
    }
    let bytes = serde_json::to_vec(&roster).expect("a roster can be encoded as JSON").len();
    let joined = spread(roster.revised(&member(members), has_ended).expect("the member joins"));
    let left =
        roster.revised(&member(0), |other| other.is_same(&member(1))).expect("a member has ended");
    let (join, leave) = (moved(&roster, &joined), moved(&roster, &left));
    println!("| {members} | {bytes} | {join} | {leave} |");
}

/// Moves every slot to its target, as the owners would.
fn spread(mut roster: Roster) -> Roster {
    for slot in slot::all() {
        let to = roster.target(slot, None).expect("the roster has members").clone();
        if !to.is_same(roster.owner_at(slot)) {
            let moved = cowslipchute_claim::roster::Move { slot, to, number: 1 };
            roster = roster.released(&[moved], None);
        }
    }
    roster
}

fn moved(before: &Roster, after: &Roster) -> usize {
    let is_moved = |slot: &u8| !before.owner_at(*slot).is_same(after.owner_at(*slot));
    slot::all().filter(is_moved).count()
}

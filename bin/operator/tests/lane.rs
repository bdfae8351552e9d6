//! Checks that a lane always determines the outcome of a write, as long as the store eventually
//! answers.

mod fake;

use std::time::Duration;

use cowslipchute_operator::lane::Error;
use cowslipchute_operator::lane::Lane;
use cowslipchute_operator::lane::Write;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use fake::Fake;
use fake::Fate;
use yare::parameterized;

const KEY: &str = "/config/a";
const LANE: &str = "/operator/o1/1/00";
const WITHIN: Duration = Duration::from_secs(4);

/// Result of a write, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Made,
    NotMade,
    Refused,
    Unknown,
}

fn block_on<T>(body: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(body)
}

fn put(operation: u128, guard: Precondition) -> Write {
    let value = operation.to_string().into_bytes();
    let change = Change::Put { key: String::from(KEY), value, lease: 0 };
    Write { operation, guards: vec![guard], changes: vec![change] }
}

fn missing() -> Precondition {
    Precondition::Missing(String::from(KEY))
}

async fn told(lane: &mut Lane, store: &Fake, write: &Write) -> Told {
    match lane.commit(store, write, WITHIN).await {
        Ok(revision) => {
            let lane = store.entry(LANE).expect("a write leaves its mark");
            assert_eq!(lane.revision, revision, "the revision told is the write's own");
            Told::Made
        }
        Err(Error::Refused(_)) => Told::Refused,
        Err(Error::Down(_)) => Told::NotMade,
        Err(Error::Unknown(_)) => Told::Unknown,
    }
}

/// Parameters: the outcomes of the write and of the writes that determine its outcome; the number
/// of failing reads; the reported result; whether the value is in the store at the end, after every
/// delayed commit has arrived.
#[parameterized(
    answered = { &[Fate::Answered], 0, Told::Made, true },
    down = { &[Fate::Refused], 0, Told::NotMade, false },
    answer_lost = { &[Fate::AnswerLost], 0, Told::Made, true },
    lost_on_its_way = { &[Fate::Lost], 0, Told::NotMade, false },
    still_on_its_way = { &[Fate::Delayed], 0, Told::NotMade, false },
    bar_refused_once = { &[Fate::Lost, Fate::Refused], 0, Told::NotMade, false },
    bar_answer_lost = { &[Fate::Delayed, Fate::AnswerLost], 0, Told::NotMade, false },
    bar_lost_on_its_way = { &[Fate::AnswerLost, Fate::Lost], 0, Told::Made, true },
    both_delayed = { &[Fate::Delayed, Fate::Delayed], 0, Told::NotMade, false },
    answer_lost_then_down = { &[Fate::AnswerLost], 10, Told::Made, true },
    answer_lost_then_down_for_long = { &[Fate::AnswerLost], 1000, Told::Unknown, true },
    lost_then_down_for_long = { &[Fate::Lost], 1000, Told::Unknown, false },
)]
fn a_lost_answer_is_settled(fates: &[Fate], failing_reads: usize, expected: Told, made: bool) {
    block_on(async {
        let store = Fake::default();
        let mut lane = Lane::open(String::from(LANE));
        // An earlier write makes the lane known, so that only determining the outcome needs reads.
        let first = Write { operation: 1, guards: Vec::new(), changes: Vec::new() };
        assert_eq!(told(&mut lane, &store, &first).await, Told::Made);
        store.next(fates);
        store.fail_reads(failing_reads);
        assert_eq!(told(&mut lane, &store, &put(2, missing())).await, expected);
        store.release();
        assert_eq!(store.entry(KEY).is_some(), made);
    });
}

#[test]
fn a_removal_whose_answer_is_lost_is_known_to_be_made() {
    block_on(async {
        let store = Fake::default();
        let mut lane = Lane::open(String::from(LANE));
        let revision = lane.commit(&store, &put(1, missing()), WITHIN).await.expect("made");
        let guards = vec![Precondition::Unchanged(String::from(KEY), revision)];
        let changes = vec![Change::Delete { key: String::from(KEY) }];
        store.next(&[Fate::AnswerLost]);
        let write = Write { operation: 2, guards, changes };
        assert_eq!(told(&mut lane, &store, &write).await, Told::Made);
        assert_eq!(store.entry(KEY), None);
    });
}

#[test]
fn a_write_replaced_by_another_process_before_it_is_settled_is_known_to_be_made() {
    block_on(async {
        let store = Fake::default();
        let mut lane = Lane::open(String::from(LANE));
        let first = Write { operation: 1, guards: Vec::new(), changes: Vec::new() };
        assert_eq!(told(&mut lane, &store, &first).await, Told::Made);
        store.next(&[Fate::AnswerLost]);
        store.fail_reads(1);
        let other = store.clone();
        let write = put(7, missing());
        let settled = tokio::join!(told(&mut lane, &store, &write), async move {
            let key = String::from(KEY);
            let change = Change::Put { key, value: b"other".to_vec(), lease: 0 };
            let txn = Txn { preconditions: Vec::new(), changes: vec![change] };
            other.commit(txn).await.expect("the other process writes");
        });
        assert_eq!(settled.0, Told::Made);
        assert_eq!(store.entry(KEY).expect("there").value, b"other");
    });
}

#[test]
fn a_write_told_as_unknown_can_no_longer_arrive_after_the_next_one() {
    block_on(async {
        let store = Fake::default();
        let mut lane = Lane::open(String::from(LANE));
        let first = Write { operation: 1, guards: Vec::new(), changes: Vec::new() };
        assert_eq!(told(&mut lane, &store, &first).await, Told::Made);
        store.next(&[Fate::Delayed]);
        store.fail_reads(1000);
        assert_eq!(told(&mut lane, &store, &put(2, missing())).await, Told::Unknown);
        store.fail_reads(0);
        assert_eq!(told(&mut lane, &store, &put(3, missing())).await, Told::Made);
        assert_eq!(store.release(), 0, "the older write is barred");
        assert_eq!(store.entry(KEY).expect("there").value, b"3");
    });
}

#[test]
fn a_refused_write_shows_the_guarded_keys_without_the_lane() {
    block_on(async {
        let store = Fake::default();
        let mut lane = Lane::open(String::from(LANE));
        lane.commit(&store, &put(1, missing()), WITHIN).await.expect("made");
        let refused = lane.commit(&store, &put(2, missing()), WITHIN).await;
        let Err(Error::Refused(current)) = refused else { panic!("refused") };
        let keys: Vec<&str> = current.iter().map(|entry| entry.key.as_str()).collect();
        assert_eq!(keys, [KEY]);
    });
}

#[test]
fn a_write_whose_lane_was_removed_before_it_is_settled_is_unknown() {
    block_on(async {
        let store = Fake::default();
        let mut lane = Lane::open(String::from(LANE));
        let first = Write { operation: 1, guards: Vec::new(), changes: Vec::new() };
        assert_eq!(told(&mut lane, &store, &first).await, Told::Made);
        store.next(&[Fate::AnswerLost]);
        store.fail_reads(1);
        let later_life = store.clone();
        let write = put(2, missing());
        let ended = tokio::join!(told(&mut lane, &store, &write), async move {
            let change = Change::Delete { key: String::from(LANE) };
            let txn = Txn { preconditions: Vec::new(), changes: vec![change] };
            later_life.commit(txn).await.expect("a later life tidies");
        });
        assert_eq!(ended.0, Told::Unknown);
        assert!(store.entry(KEY).is_some(), "it was made, but nobody can tell");
    });
}

#[test]
fn another_life_of_the_instance_moving_the_lane_costs_a_try_and_no_change() {
    block_on(async {
        let store = Fake::default();
        let mut lane = Lane::open(String::from(LANE));
        let mut twin = Lane::open(String::from(LANE));
        let first = Write { operation: 1, guards: Vec::new(), changes: Vec::new() };
        assert_eq!(told(&mut lane, &store, &first).await, Told::Made);
        let second = Write { operation: 2, guards: Vec::new(), changes: Vec::new() };
        assert_eq!(told(&mut twin, &store, &second).await, Told::Made);
        let before = store.commits();
        assert_eq!(told(&mut lane, &store, &put(3, missing())).await, Told::Made);
        assert_eq!(store.commits() - before, 2);
    });
}

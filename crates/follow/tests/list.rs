//! Polling of the list, in virtual time and with scripted answers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_follow::list::Read;
use cowslipchute_follow::list::Reader;
use cowslipchute_ports::list::Error;
use cowslipchute_ports::list::List;
use cowslipchute_ports::list::Version;
use cowslipchute_ports::list::View;
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(500);
/// Duration of each call.
const CALL_DURATION: Duration = Duration::from_millis(20);

type Answer = Result<Option<View>, Error>;

/// A call received by the list.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Call {
    at: Duration,
    domains: Vec<Domain>,
    known: Option<Version>,
}

/// A list that returns the given answers in order.
#[derive(Clone)]
struct Script {
    opened: Instant,
    answers: Arc<Mutex<VecDeque<Answer>>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Script {
    fn of(answers: impl IntoIterator<Item = Answer>) -> Script {
        let answers = Arc::new(Mutex::new(answers.into_iter().collect()));
        Script { opened: Instant::now(), answers, calls: Arc::default() }
    }

    fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("the lock is not poisoned").clone()
    }
}

impl List for Script {
    async fn read(&self, domains: &[Domain], known: Option<Version>) -> Answer {
        let call = Call { at: self.opened.elapsed(), domains: domains.to_vec(), known };
        self.calls.lock().expect("the lock is not poisoned").push(call);
        tokio::time::sleep(CALL_DURATION).await;
        let answer = self.answers.lock().expect("the lock is not poisoned").pop_front();
        answer.expect("the script is long enough")
    }
}

fn view(version: Version) -> View {
    View { version, members: Vec::new() }
}

fn error() -> Error {
    Error(String::from("away"))
}

async fn reads(script: &Script, count: usize) -> Vec<Read> {
    let mut reader = Reader::open(script.clone(), vec!["a".into()], INTERVAL);
    let mut reads = Vec::new();
    for _ in 0..count {
        reads.push(reader.read().await);
    }
    reads
}

#[tokio::test(start_paused = true)]
async fn each_read_names_the_newest_view_and_comes_at_its_time() {
    let script = Script::of([Ok(Some(view(3))), Ok(None), Ok(Some(view(5))), Ok(None)]);
    let results = reads(&script, 4).await;
    let expected =
        [Read::Changed(view(3)), Read::Unchanged, Read::Changed(view(5)), Read::Unchanged];
    assert_eq!(results, expected);
    let call =
        |number: u32, known| Call { at: INTERVAL * number, domains: vec!["a".into()], known };
    let expected = [call(0, None), call(1, Some(3)), call(2, Some(3)), call(3, Some(5))];
    assert_eq!(script.calls(), expected);
}

#[tokio::test(start_paused = true)]
async fn an_older_view_never_replaces_a_newer_one() {
    let script = Script::of([Ok(Some(view(5))), Ok(Some(view(4))), Ok(Some(view(5)))]);
    let results = reads(&script, 3).await;
    assert_eq!(results, [Read::Changed(view(5)), Read::Unchanged, Read::Unchanged]);
    assert_eq!(script.calls()[2].known, Some(5));
}

#[tokio::test(start_paused = true)]
async fn the_loss_of_the_list_is_told_apart_from_its_going_on() {
    let answers =
        [Ok(Some(view(1))), Err(error()), Err(error()), Ok(None), Err(error()), Ok(Some(view(2)))];
    let results = reads(&Script::of(answers), 6).await;
    let expected = [
        Read::Changed(view(1)),
        Read::Failed(error()),
        Read::StillFailing(error()),
        Read::Unchanged,
        Read::Failed(error()),
        Read::Changed(view(2)),
    ];
    assert_eq!(results, expected);
}

#[tokio::test(start_paused = true)]
async fn a_read_given_up_midway_is_made_up_for_at_the_next_time() {
    let script = Script::of([Ok(Some(view(1)))]);
    let mut reader = Reader::open(script.clone(), Vec::new(), INTERVAL);
    let given_up = tokio::time::timeout(CALL_DURATION / 2, reader.read()).await;
    assert!(given_up.is_err(), "the answer was not there yet");
    assert_eq!(reader.read().await, Read::Changed(view(1)));
    let times: Vec<_> = script.calls().iter().map(|call| call.at).collect();
    assert_eq!(times, [Duration::ZERO, INTERVAL]);
}

//! What a record holds for the next owner, whichever version wrote it.

use cowslipchute_base::id;
use cowslipchute_planner::record::Crashes;
use cowslipchute_planner::record::Occurrence;
use cowslipchute_planner::record::Outstanding;
use cowslipchute_planner::record::Record;
use cowslipchute_planner::record::Task;
use cowslipchute_ports::executor::Incarnation;

fn incarnation(born: Option<id::Incarnation>) -> Incarnation {
    Incarnation { name: "w1".into(), born }
}

fn begun() -> Record {
    let task =
        Task { attempt: 2, worker: Some(incarnation(Some(1_780_000_000_000))), ..Task::default() };
    let occurrence = Occurrence { number: 0, steps: vec![vec![task]] };
    Record { started: true, opened: 1, occurrences: vec![occurrence], ..Record::default() }
}

#[test]
fn crashes_are_kept() {
    let crashes =
        Crashes { occurrence: 0, step: 0, index: 0, attempts: [1u32].into_iter().collect() };
    let record = Record { crashes: vec![crashes], ..begun() };
    assert_eq!(Record::decode(&record.encode()).unwrap(), record);
}

#[test]
fn outstanding_starts_are_kept() {
    let start = Outstanding { occurrence: 0, step: 0, index: 0, worker: "w1".into() };
    let record = Record { outstanding: vec![start], ..begun() };
    assert_eq!(Record::decode(&record.encode()).unwrap(), record);
}

/// The record above as the second version wrote it.
const UNPINNED: &[u8] =
    b"\x02\x01\x01\x01\x00\x01\x01\x02\x00\x00\x01\x02w1\x01\x80\x90\x92\x82\xe73\x00\x00";

#[test]
fn a_record_of_before_outstanding_starts_were_kept_has_none() {
    assert_eq!(Record::decode(UNPINNED).unwrap(), begun());
}

/// The record above as the first version wrote it, with an empty list of crashes at its end.
const NAMED: &[u8] = b"\x01\x01\x01\x01\x00\x01\x01\x02\x00\x00\x01\x02w1\x00\x00";

/// The record above where only its worker's name is known.
fn named() -> Record {
    let mut record = begun();
    record.occurrences[0].steps[0][0].worker = Some(incarnation(None));
    record
}

#[test]
fn a_record_that_names_workers_alone_is_read() {
    assert_eq!(Record::decode(NAMED).unwrap(), named());
}

#[test]
fn a_record_of_before_crashes_were_kept_has_none() {
    // The list of crashes comes last; an empty one takes a byte.
    let earlier = &NAMED[..NAMED.len() - 1];
    assert_eq!(Record::decode(earlier).unwrap(), named());
}

#[test]
fn a_record_that_is_cut_off_elsewhere_is_refused() {
    let stored = begun().encode();
    assert!(Record::decode(&stored[..stored.len() - 1]).is_err());
    assert!(Record::decode(&stored[..stored.len() - 2]).is_err());
    assert!(Record::decode(&NAMED[..NAMED.len() - 2]).is_err());
}

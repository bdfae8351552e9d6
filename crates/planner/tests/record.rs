//! Records of every version are read back with all that the next owner needs.

use cowslipchute_base::id;
use cowslipchute_planner::record::Crashes;
use cowslipchute_planner::record::Occurrence;
use cowslipchute_planner::record::Outstanding;
use cowslipchute_planner::record::Record;
use cowslipchute_planner::record::Settled;
use cowslipchute_planner::record::Task;
use cowslipchute_planner::record::Wait;
use cowslipchute_ports::executor::Incarnation;

fn incarnation(born: Option<id::Incarnation>) -> Incarnation {
    Incarnation { name: "w1".into(), started_at: born }
}

fn started_record() -> Record {
    let task =
        Task { attempt: 2, worker: Some(incarnation(Some(1_780_000_000_000))), ..Task::default() };
    let occurrence = Occurrence { number: 0, steps: vec![vec![task]] };
    Record { started: true, opened: 1, occurrences: vec![occurrence], ..Record::default() }
}

/// An outstanding start that was sent this long before the record was written.
fn start(age_ms: u32) -> Outstanding {
    Outstanding { occurrence: 0, step: 0, index: 0, worker: "w1".into(), age_ms }
}

#[test]
fn crashes_are_kept() {
    let crashes =
        Crashes { occurrence: 0, step: 0, index: 0, attempts: [1u32].into_iter().collect() };
    let record = Record { crashes: vec![crashes], ..started_record() };
    assert_eq!(Record::decode(&record.encode()).unwrap(), record);
}

#[test]
fn outstanding_starts_are_kept() {
    let record = Record { outstanding: vec![start(2500)], ..started_record() };
    assert_eq!(Record::decode(&record.encode()).unwrap(), record);
}

#[test]
fn waits_are_kept() {
    let wait = Wait { occurrence: 0, step: 0, index: 0, since_ms: 1_780_000_000_000 };
    let record = Record { waits: vec![wait], ..started_record() };
    assert_eq!(Record::decode(&record.encode()).unwrap(), record);
}

#[test]
fn settled_starts_are_kept() {
    let settled = Settled { occurrence: 0, step: 0, index: 0 };
    let record = Record { settled: vec![settled], ..started_record() };
    assert_eq!(Record::decode(&record.encode()).unwrap(), record);
}

/// The record above with an outstanding start and a wait, as version 4 encoded it.
const RECORD_V4: &[u8] =
    b"\x04\x01\x01\x01\x00\x01\x01\x02\x00\x00\x01\x02w1\x01\x80\x90\x92\x82\xe73\x00\x00\x01\x00\x00\x00\x02w1\x01\x00\x00\x00\x80\x90\x92\x82\xe73";

#[test]
fn a_record_of_before_ages_were_kept_has_outstanding_starts_of_no_age() {
    let wait = Wait { occurrence: 0, step: 0, index: 0, since_ms: 1_780_000_000_000 };
    let outstanding = vec![start(0)];
    let record = Record { outstanding, waits: vec![wait], ..started_record() };
    assert_eq!(Record::decode(RECORD_V4).unwrap(), record);
}

/// The record above with an outstanding start, as version 3 encoded it.
const RECORD_V3: &[u8] =
    b"\x03\x01\x01\x01\x00\x01\x01\x02\x00\x00\x01\x02w1\x01\x80\x90\x92\x82\xe73\x00\x00\x01\x00\x00\x00\x02w1";

#[test]
fn a_record_of_before_waits_were_kept_has_none() {
    let record = Record { outstanding: vec![start(0)], ..started_record() };
    assert_eq!(Record::decode(RECORD_V3).unwrap(), record);
}

/// The record above, as version 2 encoded it.
const RECORD_V2: &[u8] =
    b"\x02\x01\x01\x01\x00\x01\x01\x02\x00\x00\x01\x02w1\x01\x80\x90\x92\x82\xe73\x00\x00";

#[test]
fn a_record_of_before_outstanding_starts_were_kept_has_none() {
    assert_eq!(Record::decode(RECORD_V2).unwrap(), started_record());
}

/// The record above, as version 1 encoded it, with an empty list of crashes at its end.
const RECORD_V1: &[u8] = b"\x01\x01\x01\x01\x00\x01\x01\x02\x00\x00\x01\x02w1\x00\x00";

/// The record above if only its worker's name is known.
fn record_v1() -> Record {
    let mut record = started_record();
    record.occurrences[0].steps[0][0].worker = Some(incarnation(None));
    record
}

#[test]
fn a_record_that_names_workers_alone_is_read() {
    assert_eq!(Record::decode(RECORD_V1).unwrap(), record_v1());
}

#[test]
fn a_record_of_before_crashes_were_kept_has_none() {
    // The list of crashes comes last; an empty one takes one byte.
    let earlier = &RECORD_V1[..RECORD_V1.len() - 1];
    assert_eq!(Record::decode(earlier).unwrap(), record_v1());
}

#[test]
fn a_record_that_is_cut_off_elsewhere_is_refused() {
    let stored = started_record().encode();
    assert!(Record::decode(&stored[..stored.len() - 1]).is_err());
    assert!(Record::decode(&stored[..stored.len() - 2]).is_err());
    assert!(Record::decode(&RECORD_V1[..RECORD_V1.len() - 2]).is_err());
}

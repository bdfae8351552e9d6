//! The workers' directory with entries of other writers among those of workers.

use cowslipchute_planner::event::Event;
use cowslipchute_ports::kv;
use cowslipchute_scheduler::listing::Listing;
use cowslipchute_scheduler::watcher::Change;

const ENTRY: &str = r#"{"service":"s","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,"state":"ready",
    "cold-remaining-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"born":1780000000000,"sequence":4}"#;

fn entry(name: &str, value: &str) -> kv::Entry {
    let key = format!("servers/{name}");
    kv::Entry { key, value: value.as_bytes().to_vec(), revision: 1, lease: 0 }
}

fn all(entries: Vec<kv::Entry>) -> Change {
    Change::Snapshot(kv::Snapshot { revision: 1, entries })
}

/// Applies a change; returns the planner events, and the number of entries reported as unreadable.
fn apply(listing: &mut Listing, change: Change) -> (Vec<String>, usize) {
    let mut events = Vec::new();
    let unreadable = listing.apply(change, &mut events).len();
    let reported = events.into_iter().map(|event| match event {
        Event::Listed { registration } => format!("+{}", registration.name),
        Event::Unlisted { name } => format!("-{name}"),
        other => panic!("{other:?}"),
    });
    (reported.collect(), unreadable)
}

fn names(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

#[test]
fn an_unreadable_entry_among_others_leaves_them_as_they_are() {
    let mut listing = Listing::default();
    let first = all(vec![entry("a", ENTRY), entry("x", "{"), entry("b", ENTRY)]);
    assert_eq!(apply(&mut listing, first), (names(&["+a", "+b"]), 1));
    let second = all(vec![entry("b", ENTRY), entry("x", "{")]);
    assert_eq!(
        apply(&mut listing, second),
        (names(&["+b", "-a"]), 0),
        "the unreadable entry is reported once"
    );
}

#[test]
fn an_entry_that_is_overwritten_names_no_worker_until_it_can_be_read_again() {
    let mut listing = Listing::default();
    apply(&mut listing, all(vec![entry("a", ENTRY)]));
    let over = Change::Put(entry("a", "\u{1}"));
    assert_eq!(apply(&mut listing, over.clone()), (names(&["-a"]), 1));
    assert_eq!(
        apply(&mut listing, over.clone()),
        (names(&[]), 0),
        "the entry was reported already"
    );
    assert_eq!(apply(&mut listing, Change::Put(entry("a", ENTRY))), (names(&["+a"]), 0));
    assert_eq!(apply(&mut listing, over), (names(&["-a"]), 1), "the entry is reported again");
}

#[test]
fn an_entry_that_goes_is_told_once_and_one_that_named_nobody_is_not() {
    let mut listing = Listing::default();
    apply(&mut listing, all(vec![entry("a", ENTRY), entry("x", "{")]));
    let gone = |name: &str| Change::Deleted { key: format!("servers/{name}"), revision: 2 };
    assert_eq!(apply(&mut listing, gone("a")), (names(&["-a"]), 0));
    assert_eq!(apply(&mut listing, gone("x")), (names(&[]), 0));
}

//! Evacuations in the store are reported to the planner.

use cowslipchute_planner::event::Event;
use cowslipchute_ports::kv;
use cowslipchute_scheduler::evacuations::Evacuations;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::watcher::Change;
use slog::Level;

fn entry(domain: &str, value: &str) -> kv::Entry {
    let key = format!("op/evacuate/{domain}");
    kv::Entry { key, value: value.as_bytes().to_vec(), revision: 1, lease: 0 }
}

fn all(entries: Vec<kv::Entry>) -> Change {
    Change::Snapshot(kv::Snapshot { revision: 1, entries })
}

fn removed(domain: &str) -> Change {
    Change::Deleted { key: format!("op/evacuate/{domain}"), revision: 2 }
}

/// Applies changes; returns the evacuated domains that are reported to the planner after each.
fn reported(changes: Vec<Change>) -> Vec<Vec<String>> {
    let log = log::open("test", Level::Error, Metrics::open().unwrap()).unwrap();
    let mut evacuations = Evacuations::open(log);
    let mut domains = |change| {
        evacuations.apply(change);
        match evacuations.event() {
            Event::Evacuated { domains } => domains.iter().map(|name| name.to_string()).collect(),
            other => panic!("{other:?}"),
        }
    };
    changes.into_iter().map(&mut domains).collect()
}

#[test]
fn domains_are_evacuated_and_restored_one_by_one() {
    let changes = vec![
        all(vec![entry("a", "{}")]),
        Change::Put(entry("b", "{}")),
        removed("a"),
        Change::Put(entry("a", "{}")),
        removed("b"),
    ];
    assert_eq!(
        reported(changes),
        [vec!["a"], vec!["a", "b"], vec!["b"], vec!["a", "b"], vec!["a"]]
    );
}

#[test]
fn a_history_that_was_forgotten_is_replaced_by_what_the_store_holds() {
    let changes = vec![all(vec![entry("a", "{}"), entry("b", "{}")]), all(vec![entry("b", "{}")])];
    assert_eq!(reported(changes), [vec!["a", "b"], vec!["b"]]);
}

#[test]
fn a_text_that_cannot_be_read_evacuates_all_the_same() {
    let changes = vec![all(vec![entry("a", "{")]), Change::Put(entry("b", "\u{1}\u{2}"))];
    assert_eq!(reported(changes), [vec!["a"], vec!["a", "b"]]);
}

#[test]
fn a_key_that_names_no_domain_evacuates_none() {
    assert_eq!(reported(vec![all(vec![entry("", "{}")])]), [Vec::<String>::new()]);
}

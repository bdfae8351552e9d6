//! Runs the scenario files of `filetests/held` against [`Replica`].
//!
//! `apply` has one line for each item (`revision key value` or `revision key -` for a removal) and
//! prints the changes that came into force; `since` prints everything that a peer lacks, `page` its
//! first page; `state` prints the whole replica.

use std::fmt::Write as _;

use cowslipchute_ports::peer::Item;
use cowslipchute_spread::batch::Batch;
use cowslipchute_spread::batch::Scope;
use cowslipchute_spread::replica::Replica;
use datadriven::TestCase;

fn item(line: &str) -> Item {
    let mut words = line.split_whitespace();
    let revision = words.next().and_then(|word| word.parse().ok()).expect("a revision first");
    let key = words.next().expect("a key second").to_owned();
    let value = words.next().expect("a value or - third");
    let value = (value != "-").then(|| value.as_bytes().to_vec());
    Item { key, value, revision }
}

fn number(case: &TestCase, name: &str) -> Option<u64> {
    case.args.get(name).map(|values| values[0].parse().expect("a number"))
}

fn shown(value: Option<&[u8]>) -> String {
    value.map_or(String::from("-"), |bytes| String::from_utf8_lossy(bytes).into_owned())
}

fn apply(replica: &mut Replica, case: &TestCase) -> String {
    let scope = number(case, "after").map_or(Scope::Whole, Scope::After);
    let revision = number(case, "revision").expect("apply names the revision it reaches");
    let items = case.input.lines().map(item).collect();
    let applied = replica.apply(Batch { items, revision, scope });
    let mut out = String::new();
    for change in applied.changes {
        let value = shown(change.version.value.as_deref());
        writeln!(out, "{} {} {value}", change.version.revision, change.key)
            .expect("a string takes text");
    }
    writeln!(out, "{:?}, in force {}", applied.continuity, replica.in_force())
        .expect("a string takes text");
    out
}

fn since(replica: &Replica, case: &TestCase) -> String {
    let batch = replica.since(number(case, "after").expect("since names a revision"));
    let mut out = items(&batch);
    writeln!(out, "{:?}, to {}", batch.scope, batch.revision).expect("a string takes text");
    out
}

fn page(replica: &Replica, case: &TestCase) -> String {
    let after = number(case, "after").expect("page names a revision");
    let limit = number(case, "limit").expect("page names a limit") as usize;
    let page = replica.page(after, limit);
    let mut out = items(&page.batch);
    let removals =
        if page.lacks_removals { "removals may be missing" } else { "removals included" };
    let last = if page.last { "last" } else { "more" };
    writeln!(out, "to {}, {removals}, {last}", page.batch.revision).expect("a string takes text");
    out
}

fn items(batch: &Batch) -> String {
    let mut out = String::new();
    for item in &batch.items {
        let value = shown(item.value.as_deref());
        writeln!(out, "{} {} {value}", item.revision, item.key).expect("a string takes text");
    }
    out
}

fn state(replica: &Replica) -> String {
    let mut out = String::new();
    for (key, version) in replica.iter() {
        let value = shown(version.value.as_deref());
        writeln!(out, "{} {key} {value}", version.revision).expect("a string takes text");
    }
    writeln!(out, "{} removals, in force {}", replica.tombstone_count(), replica.in_force())
        .expect("a string takes text");
    out
}

#[test]
fn scenarios() {
    datadriven::walk("filetests/held", |file| {
        let mut replica = Replica::default();
        file.run(|case| match case.directive.as_str() {
            "new" => {
                replica = Replica::with_tombstones_max(
                    number(case, "tombstones").unwrap_or(100) as usize
                );
                String::new()
            }
            "apply" => apply(&mut replica, case),
            "since" => since(&replica, case),
            "page" => page(&replica, case),
            "state" => state(&replica),
            other => panic!("{other:?} is no directive"),
        });
    });
}

//! Compares the numbered tables of the docs with the code.
//!
//! `COWSLIPCHUTE_UPDATE_DOCS=1 cargo test -p cowslipchute-base --test tables` rewrites the tables.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use cowslipchute_base::code;
use cowslipchute_base::event;
use cowslipchute_base::table;
use cowslipchute_base::table::Row;
use yare::parameterized;

const BEGIN: &str = "<!-- table -->\n";
const END: &str = "<!-- end of table -->\n";

fn page(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

fn split(text: &str) -> (&str, &str, &str) {
    let (head, rest) = text.split_once(BEGIN).expect("the page marks where its table begins");
    let (table, tail) = rest.split_once(END).expect("the page marks where its table ends");
    (head, table, tail)
}

#[parameterized(
    results = { "RESULTS.md", ["Code", "Name", "Outcome, status", "Meaning"], code::ROWS },
    events = { "EVENTS.md", ["Event", "Name", "Level", "Meaning"], event::ROWS },
)]
fn the_page_holds_what_the_code_says(name: &str, headings: [&'static str; 4], rows: &[Row]) {
    let text = fs::read_to_string(page(name)).expect("the page can be read");
    let (head, found, tail) = split(&text);
    let expected = table::markdown(headings, rows);
    if std::env::var_os("COWSLIPCHUTE_UPDATE_DOCS").is_some() {
        let updated = format!("{head}{BEGIN}{expected}{END}{tail}");
        fs::write(page(name), updated).expect("the page can be written");
        return;
    }
    assert_eq!(found, expected, "docs/{name} is out of date");
}

#[parameterized(codes = { code::ROWS }, events = { event::ROWS })]
fn numbers_rise_and_names_are_unique(rows: &[Row]) {
    assert!(rows.is_sorted_by(|a, b| a.number < b.number), "numbers are strictly ascending");
    let names: BTreeSet<_> = rows.iter().map(|row| row.name).collect();
    assert_eq!(names.len(), rows.len(), "no two numbers have the same name");
}

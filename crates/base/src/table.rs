//! Renders the numbered tables of the docs, so that a test can compare the docs with the code.

use std::fmt::Write as _;

/// Row of a numbered table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Stable number.
    pub number: u16,
    /// Name of the variant.
    pub name: &'static str,
    /// Column between name and text, such as the outcome and the status.
    pub kind: &'static str,
    /// Explanation for people.
    pub text: &'static str,
}

/// Returns rows as a Markdown table with the given headings.
pub fn markdown(headings: [&str; 4], rows: &[Row]) -> String {
    let mut out = String::new();
    let [number, name, kind, text] = headings;
    writeln!(out, "| {number} | {name} | {kind} | {text} |")
        .expect("writing to a string can't fail");
    out.push_str("|---|---|---|---|\n");
    for row in rows {
        writeln!(out, "| {} | {} | {} | {} |", row.number, row.name, row.kind, row.text)
            .expect("writing to a string can't fail");
    }
    out
}

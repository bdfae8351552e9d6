//! Checks that every reference in `docs/PROOFS.md` names an existing scenario or test.

use std::fs;
use std::path::PathBuf;

fn project_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the words between backquotes that look like a path.
fn references(text: &str) -> Vec<&str> {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.filter(|word| word.starts_with("crates/") || word.starts_with("bin/")).collect()
}

#[test]
fn every_reference_is_to_a_scenario_or_test_that_exists() {
    let text =
        fs::read_to_string(project_root().join("docs/PROOFS.md")).expect("the page can be read");
    let references = references(&text);
    assert!(references.len() > 40, "the page refers to its tests");
    let mut missing = Vec::new();
    for reference in references {
        let (path, name) = reference.split_once('#').unwrap_or((reference, ""));
        let found =
            fs::read_to_string(project_root().join(path)).is_ok_and(|text| text.contains(name));
        if !found {
            missing.push(reference);
        }
    }
    assert!(missing.is_empty(), "no such scenario or test: {missing:#?}");
}

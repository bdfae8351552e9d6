//! Samples of a process's metrics page, and files of samples.

use std::fs;
use std::io::Write as _;
use std::path::Path;

use cowslipchute_base::code::Code;
use serde::Deserialize;
use serde::Serialize;

use crate::failure::Failure;

/// A metrics page read at one time. A file holds one JSON object per line.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// The time at which it was read, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The admin address of the process.
    pub instance: String,
    /// The text of the page.
    pub page: String,
}

/// Reads a file of samples.
///
/// # Errors
///
/// When the file can't be read, or a line is not a sample; the error gives the line number.
pub fn read(path: &Path) -> Result<Vec<Sample>, Failure> {
    let name = path.display();
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::new(Code::BadFile, format!("{name}: {error}")))?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let samples = lines.map(|(number, line)| {
        serde_json::from_str(line).map_err(|error| {
            Failure::new(Code::BadFile, format!("{name}, line {}: {error}", number + 1))
        })
    });
    samples.collect()
}

/// Appends samples to a file, which is created if it does not exist.
///
/// # Errors
///
/// When the file can't be written.
pub fn append(path: &Path, samples: &[Sample]) -> Result<(), Failure> {
    let mut text = String::new();
    for sample in samples {
        text.push_str(&serde_json::to_string(sample).expect("a sample can be serialized"));
        text.push('\n');
    }
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| Failure::new(Code::BadFile, format!("{}: {error}", path.display())))
}

//! What the scripts of the cases share: the record, and the outcome of a run.

pub mod cell;
pub mod client;
pub mod store_proxy;

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;

/// Longest duration of a case, less than the 120 seconds that a script may take.
const TIME_LIMIT: Duration = Duration::from_secs(114);

/// Returns `false` if the script is to run without the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file in which a run records what was sent, answered and run.
pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    /// Creates the record in the folder that is the first argument of the program.
    ///
    /// # Errors
    ///
    /// Fails if there is no such folder, or the file can't be created.
    pub fn create() -> Result<Record> {
        let folder = std::env::args().nth(1).ok_or_else(|| anyhow::anyhow!("no folder given"))?;
        let file = File::create(Path::new(&folder).join("record.txt"))?;
        Ok(Record { file, start: Instant::now() })
    }

    /// Returns the seconds since the record was created.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Appends a line.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn line(&mut self, text: &str) -> Result<()> {
        writeln!(self.file, "{:8.3} s  {text}", self.seconds())?;
        Ok(())
    }
}

/// Runs a case for as long as it may take. What it has opened is closed when it ends, also when it ends late.
///
/// # Errors
///
/// Fails if the case does, or takes too long.
pub async fn within_limit(case: impl Future<Output = Result<usize>>) -> Result<usize> {
    tokio::time::timeout(TIME_LIMIT, case).await?
}

/// Returns the exit code of a run that found this number of violations, or that failed.
pub fn exit_code(outcome: Result<usize>) -> ExitCode {
    match outcome {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error:#}");
            ExitCode::from(2)
        }
    }
}

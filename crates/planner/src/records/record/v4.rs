//! Records of version 4, which hold neither settled starts nor the ages of outstanding ones.

use cowslipchute_base::id;
use cowslipchute_ports::job;
use serde::Deserialize;

use crate::records::record;

#[derive(Deserialize)]
struct Record {
    started: bool,
    opened: u32,
    occurrences: Vec<record::Occurrence>,
    crashes: Vec<record::Crashes>,
    outstanding: Vec<Outstanding>,
    waits: Vec<record::Wait>,
}

/// An outstanding start of unknown age.
#[derive(Deserialize)]
pub(super) struct Outstanding {
    occurrence: job::Occurrence,
    step: job::StepIndex,
    index: id::TaskIndex,
    worker: id::Instance,
}

impl From<Outstanding> for record::Outstanding {
    fn from(start: Outstanding) -> record::Outstanding {
        let Outstanding { occurrence, step, index, worker } = start;
        record::Outstanding { occurrence, step, index, worker, age_ms: 0 }
    }
}

pub(super) fn decode(body: &[u8]) -> Result<record::Record, postcard::Error> {
    let Record { started, opened, occurrences, crashes, outstanding, waits } =
        postcard::from_bytes(body)?;
    let outstanding = outstanding.into_iter().map(record::Outstanding::from).collect();
    let settled = Vec::new();
    Ok(record::Record { started, opened, occurrences, crashes, outstanding, waits, settled })
}

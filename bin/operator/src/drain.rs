//! Notifies every process that an instance is leaving, before the platform's list shows it.
//!
//! Nothing is stored: the list soon shows the same, and a process that starts in the meantime uses
//! the list.

use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::peer::Reply;
use serde::Serialize;

use crate::ask::Answer;

/// Result of announcing that an instance is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Drained {
    /// The leaving instance.
    pub instance: Instance,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Number of live processes of the deployment, as listed, other than the notifying one.
    pub processes: usize,
    /// Number of them that have recorded it.
    pub told: usize,
}

/// Summarizes the responses.
pub fn sum(leaving: &Member, answers: &[Answer]) -> Drained {
    let noted = |answer: &&Answer| answer.reply == Some(Reply::Noted);
    Drained {
        instance: leaving.instance.clone(),
        incarnation: leaving.incarnation,
        processes: answers.len(),
        told: answers.iter().filter(noted).count(),
    }
}

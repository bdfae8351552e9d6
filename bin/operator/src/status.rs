//! The instances where a revision is in force, and those that lag behind.

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Revision;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::peer::Reply;
use serde::Serialize;

use crate::ask::Answer;

/// An instance where the revision is not known to be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Lagging {
    /// The instance.
    pub instance: Instance,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Revision in force there; `None` when the instance didn't answer.
    pub revision: Option<Revision>,
}

/// Propagation status of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Status {
    /// The revision asked about.
    pub revision: Revision,
    /// Number of processes: the answering one and the live ones listed beside it.
    pub instances: usize,
    /// Number of them where the revision is in force.
    pub in_force: usize,
    /// Instances where it is not known to be in force.
    pub lagging: Vec<Lagging>,
}

/// Summarizes the other processes' responses and the revision in force at this instance.
pub fn sum(me: Lagging, answers: Vec<Answer>, revision: Revision) -> Status {
    let mut all = vec![me];
    all.extend(answers.into_iter().map(|answer| {
        let found = in_force(&answer);
        let Member { instance, domain, .. } = answer.member;
        Lagging { instance, domain, revision: found }
    }));
    let instances = all.len();
    all.retain(|one| one.revision.is_none_or(|found| found < revision));
    Status { revision, instances, in_force: instances - all.len(), lagging: all }
}

/// An unexpected instance at a listed address doesn't count for the listed one.
fn in_force(answer: &Answer) -> Option<Revision> {
    match &answer.reply {
        Some(Reply::Hello { instance, revision, .. }) if *instance == answer.member.instance => {
            Some(*revision)
        }
        _ => None,
    }
}

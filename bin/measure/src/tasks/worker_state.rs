//! The baseline scheduler's view of its workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Command;

/// A run assigned to a worker.
#[derive(Debug)]
pub(super) struct Assignment {
    pub(super) amount: Amount,
    pub(super) class: Class,
    pub(super) evicting: bool,
    pub(super) since: Time,
}

/// A worker as its owner sees it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) instance: id::Instance,
    pub(super) incarnation: id::Incarnation,
    pub(super) address: SocketAddr,
    pub(super) free: Amount,
    pub(super) stamp: Option<u64>,
    pub(super) last_report: Time,
    pub(super) known_version: u64,
    pub(super) exchange_pending: bool,
    pub(super) usable: bool,
    pub(super) next_heartbeat: Time,
    pub(super) commands: Vec<Command>,
    pub(super) acks: Vec<worker::Run>,
    pub(super) runs: BTreeMap<worker::Run, Assignment>,
}

/// Returns the capacity that is free or held by batch and trial tasks.
pub(super) fn reclaimable(worker: &Worker) -> Amount {
    let others = worker.runs.values().filter(|run| run.class != Class::Paying);
    others.fold(worker.free, |sum, run| sum.plus(run.amount))
}

/// Creates the state of a worker that has not reported yet.
pub(super) fn new_worker(now: Time, member: &list::Member) -> Worker {
    Worker {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        address: member.address,
        free: member.capacity,
        stamp: None,
        last_report: now,
        known_version: 0,
        exchange_pending: false,
        usable: false,
        next_heartbeat: now,
        commands: Vec::new(),
        acks: Vec::new(),
        runs: BTreeMap::new(),
    }
}

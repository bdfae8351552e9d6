//! Store keys of a failure domain. All keys about its cells share one prefix, so that one read
//! returns them at a single revision and one watch covers them.

use cowslipchute_base::id;
use cowslipchute_resource::key::CELL;
use cowslipchute_resource::key::HOME;
use cowslipchute_resource::key::RECORD;

use crate::plan::CellIndex;

const ALIVE: &str = "alive/";
const PLAN: &str = "plan";

/// The kind of a key below a domain's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind<'a> {
    /// The ownership of a cell.
    Cell(CellIndex),
    /// The liveness of one incarnation of a placer.
    Alive {
        /// The placer's instance.
        instance: &'a str,
        /// The incarnation of the instance.
        incarnation: id::Incarnation,
    },
    /// The assignment of racks to cells.
    Plan,
}

/// Returns the prefix of all keys about the cells of a domain.
pub fn domain(domain: &str) -> String {
    format!("{CELL}{domain}/")
}

/// Returns the key of a cell's ownership.
pub fn cell(domain: &str, index: CellIndex) -> String {
    format!("{CELL}{domain}/{index}")
}

/// Returns the name of a cell, `domain/index`.
pub fn name(domain: &str, index: CellIndex) -> id::Cell {
    format!("{domain}/{index}").into()
}

/// Returns the liveness key of a placer, which the store deletes when the placer's lease expires.
pub fn alive(domain: &str, instance: &str, incarnation: id::Incarnation) -> String {
    format!("{CELL}{domain}/{ALIVE}{instance}/{incarnation}")
}

/// Returns the key of a domain's plan.
pub fn plan(domain: &str) -> String {
    format!("{CELL}{domain}/{PLAN}")
}

/// Returns the prefix of the records of a cell.
pub fn records(cell: &str) -> String {
    format!("{RECORD}{cell}/")
}

/// Returns the key of a job's record in a cell.
pub fn record(cell: &str, job: &str) -> String {
    format!("{RECORD}{cell}/{job}")
}

/// Returns the key of a job's home cell.
pub fn home(job: &str) -> String {
    format!("{HOME}{job}")
}

/// Parses a key of a domain. Returns `None` for a key that is not about a cell.
pub fn parse<'a>(domain: &str, key: &'a str) -> Option<Kind<'a>> {
    let rest = key.strip_prefix(CELL)?.strip_prefix(domain)?.strip_prefix('/')?;
    if rest == PLAN {
        return Some(Kind::Plan);
    }
    if let Some(placer) = rest.strip_prefix(ALIVE) {
        let (instance, incarnation) = placer.rsplit_once('/')?;
        return Some(Kind::Alive { instance, incarnation: incarnation.parse().ok()? });
    }
    Some(Kind::Cell(rest.parse().ok()?))
}

/// Returns the cell whose ownership is stored at a key of any domain, or `None` for another key.
pub fn parse_cell(key: &str) -> Option<id::Cell> {
    let rest = key.strip_prefix(CELL)?;
    let (_, index) = rest.split_once('/')?;
    index.parse::<CellIndex>().ok().map(|_| rest.into())
}

//! Messages between owners, the store and the list.

use std::time::Duration;

use cowslipchute_claim::event::Claimant;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::event::ReadId;
use cowslipchute_claim::handover::Handover;
use cowslipchute_claim::roster::Roster;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Settlement;

/// A message; `from` and `to` are names of nodes.
#[derive(Clone, Debug)]
pub enum Message {
    Read {
        from: String,
        read: ReadId,
    },
    Commit {
        from: String,
        revision: u64,
        roster: Roster,
    },
    /// A proposal whose answer was lost and that may still take effect.
    LateCommit {
        revision: u64,
        roster: Roster,
    },
    /// An event for a node, from another node or from the platform.
    Event {
        from: String,
        to: String,
        event: Event,
    },
    HandOver {
        from: String,
        to: String,
        handover: Handover,
    },
    Claim {
        from: String,
        to: String,
        claimant: Claimant,
        key: Key,
        version: u64,
    },
    Settle {
        from: String,
        to: String,
        claimant: Claimant,
        key: Key,
        settlement: Settlement,
    },
    Verdict {
        from: String,
        to: String,
        claimant: Claimant,
        key: Key,
        verdict: Claimed,
        retry: Option<Duration>,
    },
    SettlementReply {
        from: String,
        to: String,
        claimant: Claimant,
        key: Key,
        settlement: Settlement,
        accepted: bool,
    },
}

impl Message {
    /// Returns the name of this kind of message in scenarios.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Read { .. } => "read",
            Message::Commit { .. } => "proposal",
            Message::LateCommit { .. } => "late-proposal",
            Message::Event { event, .. } => match event {
                Event::RosterReceived { .. } => "roster",
                Event::RosterRead { .. } => "read-answer",
                Event::Listed { .. } => "list",
                Event::HandedOver { .. } => "handover-answer",
                _ => "store-answer",
            },
            Message::HandOver { .. } => "handover",
            Message::Claim { .. } => "claim",
            Message::Settle { .. } => "settlement",
            Message::Verdict { .. } => "verdict",
            Message::SettlementReply { .. } => "settlement-answer",
        }
    }

    /// Returns the receiver, or the sender of a message to the store.
    pub fn node(&self) -> &str {
        match self {
            Message::Read { from, .. } | Message::Commit { from, .. } => from,
            other => other.endpoints().map_or("", |(_, to)| to),
        }
    }

    pub fn endpoints(&self) -> Option<(&str, &str)> {
        match self {
            Message::Read { .. } | Message::Commit { .. } | Message::LateCommit { .. } => None,
            Message::Event { from, to, .. }
            | Message::HandOver { from, to, .. }
            | Message::Claim { from, to, .. }
            | Message::Settle { from, to, .. }
            | Message::Verdict { from, to, .. }
            | Message::SettlementReply { from, to, .. } => Some((from, to)),
        }
    }
}

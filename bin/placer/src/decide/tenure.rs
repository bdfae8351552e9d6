//! Carries out the actions of the ownership manager.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_cell::cell;
use cowslipchute_cell::cell::Cell;
use cowslipchute_cell::event::Event as CellEvent;
use cowslipchute_cell::event::Former;
use cowslipchute_tenure::action::Action;
use cowslipchute_tenure::event::Event;
use cowslipchute_tenure::rank;

use crate::journal::Subject;
use crate::message::Outbound;
use crate::message::Request;
use crate::message::Term;

use super::Decide;
use super::host::Host;
use super::host::Phase;

impl Decide {
    /// Steps the ownership manager and carries out its actions.
    pub(super) fn step_manager(&mut self, event: Event) {
        let mut actions = Vec::new();
        let slices = self.manager.plan().racks.len();
        self.manager.step(self.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        if self.manager.plan().racks.len() != slices {
            self.send_workers_to_all();
        }
    }

    fn carry_out(&mut self, action: Action) {
        if matches!(action, Action::Own { .. } | Action::Quiesce { .. } | Action::Stop { .. }) {
            // Publish changes of ownership immediately.
            self.published = Time::ZERO;
        }
        match action {
            Action::ReadDomain { ticket } => self.request(Request::ReadDomain { ticket }),
            Action::Commit { ticket, txn } => self.request(Request::Commit { ticket, txn }),
            Action::Grant { ticket, ttl } => self.request(Request::Grant { ticket, ttl }),
            Action::Renew { ticket, lease } => self.request(Request::Renew { ticket, lease }),
            Action::Revoke { lease } => self.request(Request::Revoke { lease }),
            Action::Own { cell, epoch, revision, former } => {
                self.open_host(Term { cell, epoch }, revision, former);
            }
            Action::PreviousOwners { cell, former } => self.set_previous_owners(&cell, former),
            Action::Quiesce { cell, epoch } => self.quiesce(&Term { cell, epoch }),
            Action::Stop { cell, epoch } => self.end_host(&Term { cell, epoch }),
            Action::QueryStopped { cell, epoch, owner } => {
                self.send_to_link(Outbound::Query { cell, epoch, owner });
            }
            Action::Answer { call, reply } => self.send_to_link(Outbound::Reply { call, reply }),
            Action::Note { event, subject, reason } => {
                self.note(event, Subject::plain(subject), reason);
            }
            Action::Drained => self.drained = true,
        }
    }

    /// Sends to the link event loop. A message that a full ring rejects is sent again later, by this
    /// placer or by the peer.
    fn send_to_link(&mut self, outbound: Outbound) {
        let _ = self.outputs.link.send(outbound);
    }

    fn open_host(&mut self, term: Term, revision: id::Revision, former: Former) {
        let seed = rank::weight(&term.cell, &self.context.ownership.instance) ^ term.epoch;
        let cell = Cell::open(cell::Settings { cell: term.cell.clone(), seed });
        let host = Host::open(term.clone(), revision, former, cell);
        let earlier = self.hosts.insert(term.clone(), host);
        assert!(earlier.is_none(), "an epoch is owned once");
        // Cells opened together must know of each other before they claim jobs.
        self.cells_due = self.now();
        self.request(Request::Load { term });
    }

    fn set_previous_owners(&mut self, cell: &id::Cell, former: Former) {
        let current = self.hosts.values_mut().find(|host| host.is_current(cell));
        let Some(host) = current else { return };
        host.former = former;
        if host.phase == Phase::Active {
            let term = host.term.clone();
            self.step_cell(&term, CellEvent::Former { former });
        }
    }

    /// Stops a cell from starting anything; it is closed once nothing of it is in flight.
    fn quiesce(&mut self, term: &Term) {
        let Some(host) = self.hosts.get_mut(term) else { return };
        match host.phase {
            Phase::Loading => self.end_host(term),
            Phase::Active => {
                host.phase = Phase::Quiescing;
                self.settle_host(term);
            }
            Phase::Quiescing | Phase::Ended => {}
        }
    }

    /// Forbids all further sending for a cell.
    pub(super) fn end_host(&mut self, term: &Term) {
        if let Some(host) = self.hosts.get_mut(term) {
            host.permit.withdraw();
            host.phase = Phase::Ended;
        }
        self.directory.remove_owned_cell(&term.cell);
        self.settle_host(term);
    }

    /// Notifies the ownership manager when a cell being released has nothing left in flight.
    pub(super) fn settle_host(&mut self, term: &Term) {
        let Some(host) = self.hosts.get(term) else { return };
        let ending = matches!(host.phase, Phase::Quiescing | Phase::Ended);
        if !ending || !host.is_idle() {
            return;
        }
        if host.phase == Phase::Quiescing {
            self.directory.remove_owned_cell(&term.cell);
        }
        host.permit.withdraw();
        self.hosts.remove(term);
        let (cell, epoch) = (term.cell.clone(), term.epoch);
        self.step_manager(Event::Quiesced { cell, epoch });
    }
}

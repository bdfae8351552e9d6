//! Executes the actions that the router returns.

use cowslipchute_base::id;
use cowslipchute_daemon::log;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Event;
use slog::o;

use crate::decide::Decider;
use crate::front;
use crate::message::Command;
use crate::message::Dispatch;
use crate::message::PeerCommand;

impl Decider {
    /// Passes one event to the router and executes the actions that it returns.
    pub(super) fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.step(self.clock.now(), event, &mut actions);
        // In order: a settlement needs the answer, which the final action removes.
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, attempt, instance, incarnation, address, remaining } => {
                self.attempts.insert(attempt, front::front_of(request));
                let connections = self.share.each(&instance);
                let dispatch =
                    Dispatch { request, attempt, address, incarnation, connections, remaining };
                self.send_command(request, Command::Send(dispatch));
            }
            Action::Cancel { attempt } => {
                if let Some(number) = self.attempts.remove(&attempt) {
                    self.fronts[number].commands.push(Command::Cancel { attempt });
                }
            }
            Action::Forward { request, attempt } => {
                self.send_command(request, Command::Forward { request, attempt });
            }
            Action::Replay { request, answer } => {
                self.send_command(request, Command::Replay { request, answer });
            }
            Action::Reply { request, code, retry_after } => {
                self.send_command(request, Command::Reply { request, code, retry_after });
            }
            Action::Settle { request, service, key, settled } => {
                self.send_command(request, Command::Settle { request, service, key, settled });
            }
            Action::Claim { request, service, key } => {
                if self.peer_commands.send(PeerCommand::Claim { request, service, key }).is_err() {
                    self.unsent_claims.push(request);
                }
            }
            Action::Announce { instance, incarnation } => {
                // Best effort: a peer that misses the announcement learns it later from the list.
                let _ = self.peer_commands.send(PeerCommand::Announce { instance, incarnation });
            }
            Action::Note { event, subject } => {
                log::emit(&self.logger, event, o!("subject" => subject.to_string()));
            }
        }
    }

    fn send_command(&mut self, request: id::Request, command: Command) {
        self.fronts[front::front_of(request)].commands.push(command);
    }
}

//! Executes the commands of the decision thread at a front.

use std::sync::Arc;

use cowslipchute_base::code::Code;
use cowslipchute_routing::event::Ending;

use crate::front::exchange;
use crate::front::pending::Pending;
use crate::front::table::Running;
use crate::front::table::Table;
use crate::message::Command;
use crate::message::Dispatch;
use crate::message::PeerCommand;
use crate::message::Report;
use crate::reply::Final;

/// Executes one command.
pub fn execute(pending: &Arc<Pending>, command: Command) {
    let mut table = pending.table();
    match command {
        Command::Send(dispatch) => {
            if !send(pending, &mut table, &dispatch) {
                let ending = Ending::Unsent;
                table.reports.push(Report::Ended { attempt: dispatch.attempt, ending });
            }
        }
        Command::Cancel { attempt } => {
            if let Some(running) = table.attempts.remove(&attempt) {
                running.task.abort();
                pending.metrics.attempts.dec();
                if let Some(in_flight) = table.requests.get_mut(&running.request) {
                    in_flight.running -= 1;
                }
                table.drop_if_done(running.request);
            }
        }
        Command::Forward { request, attempt } => {
            let answer = table.answer(request, attempt);
            debug_assert!(answer.is_some(), "only an attempt that answered is forwarded");
            table.finish(request, answer.map_or(Final::own(Code::Lost), Final::Answer));
        }
        Command::Replay { request, answer } => table.finish(request, Final::Replay(answer)),
        Command::Reply { request, code, retry_after } => {
            table.finish(request, Final::Own { code, retry_after });
        }
        Command::Settle { request, service, key, settled } => {
            let settlement = table.settlement(request, settled);
            // If the owner gets no settlement, the key stays in doubt, which is safe.
            let _ =
                table.peer_commands.send(PeerCommand::Settle { request, service, key, settlement });
            table.drop_if_done(request);
        }
        Command::Serve(services) => table.services = Some(services),
        Command::Drain => table.draining = true,
    }
}

/// Starts an attempt and returns `true` if it was started.
fn send(pending: &Arc<Pending>, table: &mut Table, dispatch: &Dispatch) -> bool {
    let Some(in_flight) = table.requests.get_mut(&dispatch.request) else { return false };
    let request = exchange::request(&in_flight.head, &in_flight.body, &pending.origin, dispatch);
    let Some(request) = request else { return false };
    let client = table.clients.get(
        pending.clock.now(),
        dispatch.address,
        dispatch.incarnation,
        pending.limits.connect(),
        dispatch.connections,
    );
    if in_flight.sent > 0 {
        let hedge = in_flight.running > 0;
        pending.metrics.extra_attempt(&in_flight.head.service, hedge);
    }
    in_flight.sent += 1;
    in_flight.running += 1;
    pending.metrics.attempts.inc();
    let (attempt, answer_max) = (dispatch.attempt, pending.limits.answer);
    let pending = pending.clone();
    let task = tokio::spawn(async move {
        let outcome = exchange::run(client, request, answer_max).await;
        pending.ended(attempt, outcome);
    });
    let running = Running { request: dispatch.request, task: task.abort_handle() };
    table.attempts.insert(attempt, running);
    true
}

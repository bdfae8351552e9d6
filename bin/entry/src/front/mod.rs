//! The front duty: takes callers' requests on one thread and carries their attempts from there.
//!
//! Connections are driven here rather than by poem's own server, see [`serve`].
//!
//! All of a request's bytes stay on the thread that took it; only numbers travel to the deciding
//! duty and back.

mod client;
mod command;
mod exchange;
mod handler;
mod pending;
mod serve;
mod stream;
mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslipchute_daemon::duty;
use cowslipchute_daemon::duty::Duty;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_gateway::http::Origin;

pub use crate::front::pending::Label;
pub use crate::front::pending::front_of;

use crate::accept::Accepted;
use crate::front::handler::Handler;
use crate::front::pending::Pending;
use crate::message::Command;
use crate::message::PeerCommand;
use crate::message::Report;
use crate::metrics::Metrics;
use crate::settings::Limits;

/// How often what did not fit into the ring is tried again.
const FLUSH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(1);

/// What a front duty is started with.
pub struct Front {
    /// Which front of this process it is, from zero.
    pub number: u16,
    /// The address that callers come in on.
    pub local: SocketAddr,
    /// From the accepting duty; the front ends some time after this ring is closed.
    pub accepted: ring::Receiver<Accepted>,
    /// Who sends the attempts.
    pub origin: Origin,
    /// Sizes that are refused beyond, and connection limits.
    pub limits: Limits,
    /// To the deciding duty.
    pub reports: ring::Sender<Report>,
    /// To the peer duty.
    pub peer_commands: ring::Sender<PeerCommand>,
    /// From the deciding duty.
    pub commands: ring::Receiver<Command>,
    /// What is counted.
    pub metrics: Metrics,
    /// Ends the duty when the stop is forced.
    pub stop: Stop,
}

/// Starts a front duty. It ends when no connection can come any more and each that it holds is
/// closed, or when the orders' ring is closed, or when the stop is forced.
///
/// # Errors
///
/// When the system refuses the thread.
pub fn spawn(front: Front) -> io::Result<Duty> {
    duty::spawn(&format!("front-{}", front.number), move || run(front))
}

async fn run(front: Front) {
    let Front {
        number,
        local,
        accepted,
        origin,
        limits,
        reports,
        peer_commands,
        commands,
        metrics,
        mut stop,
    } = front;
    let pending = Pending::open(number, &origin, limits.clone(), reports, peer_commands, metrics);
    let pending = Arc::new(pending);
    let handler = Handler::open(pending.clone(), limits.clone());
    let serving = serve::run(accepted, local, handler, limits.idle_within());
    tokio::select! {
        () = serving => {}
        () = follow(commands, &pending) => {}
        () = stop.reached(Stage::Forced) => {}
    }
}

/// Follows the orders until their ring is closed.
async fn follow(mut commands: ring::Receiver<Command>, pending: &Arc<Pending>) {
    loop {
        let command = if pending.has_backlog() {
            pending.flush();
            match tokio::time::timeout(FLUSH_INTERVAL, commands.recv()).await {
                Ok(command) => command,
                Err(_) => continue,
            }
        } else {
            commands.recv().await
        };
        match command {
            Some(command) => command::execute(pending, command),
            None => return,
        }
    }
}

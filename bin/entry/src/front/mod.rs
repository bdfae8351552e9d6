//! The front thread: reads callers' requests and sends their attempts to backend servers.
//!
//! Connections are driven here rather than by poem's own server, see [`serve`].
//!
//! The bytes of a request stay on the thread that read it; the decision thread receives only the
//! request's number and routing properties.

mod client;
mod command;
mod connection;
mod exchange;
mod handler;
mod pending;
mod serve;
mod stream;
mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_gateway::http::Origin;
use cowslipchute_intake::bytes::Budget;

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

/// Retry interval for messages that did not fit into the ring.
const FLUSH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(1);

/// The inputs of a front thread.
pub struct Front {
    /// The index of the front in this process, from zero.
    pub number: u16,
    /// The address on which callers connect.
    pub local: SocketAddr,
    /// From the accept thread; the front ends when this ring and all its connections are closed.
    pub accepted: ring::Receiver<Accepted>,
    /// The sender that attempts name in their origin header.
    pub origin: Origin,
    /// Limits on sizes and times.
    pub limits: Limits,
    /// Memory for the bodies at all fronts.
    pub budget: Budget,
    /// To the decision thread.
    pub reports: ring::Sender<Report>,
    /// To the peer thread.
    pub peer_commands: ring::Sender<PeerCommand>,
    /// From the decision thread.
    pub commands: ring::Receiver<Command>,
    /// The metrics.
    pub metrics: Metrics,
    /// Ends the thread when the stop is forced.
    pub stop: Stop,
}

/// Starts a front thread. It ends when the ring of accepted connections and all connections are
/// closed, when the ring of commands is closed, or when the stop is forced.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn spawn(front: Front) -> io::Result<EventLoop> {
    event_loop::spawn(&format!("front-{}", front.number), move || run(front))
}

async fn run(front: Front) {
    let Front {
        number,
        local,
        accepted,
        origin,
        limits,
        budget,
        reports,
        peer_commands,
        commands,
        metrics,
        mut stop,
    } = front;
    let pending = Pending::open(number, &origin, limits.clone(), reports, peer_commands, metrics);
    let pending = Arc::new(pending);
    let handler = Handler::open(pending.clone(), limits.clone(), budget);
    let serving = serve::run(accepted, local, handler, limits.idle_within());
    tokio::select! {
        () = serving => {}
        () = follow(commands, &pending) => {}
        () = stop.wait_for_stage(Stage::Forced) => {}
    }
}

/// Executes commands until their ring is closed.
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

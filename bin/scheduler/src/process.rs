//! The whole process: its duties on one thread, and how it stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context as _;
use cowslipchute_base::event::Event;
use cowslipchute_planner::event::Event as Fact;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::settings::Settings as Figures;
use cowslipchute_platform::advisor::Advice;
use cowslipchute_platform::client::Client;
use cowslipchute_platform::executor::Executors;
use cowslipchute_platform::front;
use cowslipchute_platform::machine::Cloud;
use cowslipchute_platform::settings::Settings;
use cowslipchute_platform::store::Keys;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::api::Api;
use crate::clock;
use crate::config;
use crate::election;
use crate::election::Holder;
use crate::election::Notice;
use crate::election::Transition;
use crate::event;
use crate::health::Health;
use crate::instrumented::Instrumented;
use crate::log::Log;
use crate::owner;
use crate::owner::Context;
use crate::rpc;
use crate::submission;

/// Part of the time for a planned stop in which clients are still served as ever: the platform
/// needs two looks, a second apart, to send new connections elsewhere.
const SERVE_PART: f64 = 0.6;
/// Part of that time after which the process ends, whatever is left.
const END_PART: f64 = 0.85;

/// How much longer than clients may ask for it a job's end is kept.
const KEEP_SLACK: Duration = Duration::from_secs(10);
/// Where metrics are served.
const METRICS_PATH: &str = "/metrics";
/// How long changes of the workers' directory are gathered: a leaving worker has to get nothing new
/// after two seconds, and each look is a call that the platform counts.
const DIRECTORY_GAP: Duration = Duration::from_millis(350);
/// Connections for watching it.
const DIRECTORY_CONNECTIONS: usize = 1;

/// Serves until a stop is asked for.
///
/// # Errors
///
/// When an address of the settings can't be bound.
pub async fn run(settings: Settings, metrics_port: Option<u16>, log: Log) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let client = Client::open(settings.limits.idle_connections());
    let keys = Keys::open(client.clone(), settings.platform.address);
    let health = Health::default();
    let store = Instrumented::open(keys, log.metrics().clone(), health.clone());
    let in_force = config::spawn(store.clone(), health.clone(), log.clone());
    let planner = Arc::new(Mutex::new(Planner::open(figures(&settings))));
    let own = SocketAddr::new(settings.ip, settings.internal_ports.0);
    let link = rpc::bind(own, planner.clone(), health.clone())
        .await
        .with_context(|| format!("can't bind {own}"))?;
    let holder = Holder {
        instance: settings.node_name.clone(),
        address: own,
        incarnation: rand::random(),
        cpu_share: settings.limits.cpu_share,
    };
    let seat = election::spawn(store.clone(), holder, health.clone(), log.clone());
    let intake = submission::spawn(store.clone(), log.clone());
    let desk = Api::open(
        store.clone(),
        in_force.clone(),
        intake,
        link,
        health.clone(),
        seat.holder,
        log.clone(),
    );
    let (stop, stopping) = watch::channel(false);
    let (wanted, want) = watch::channel(true);
    let clients = settings.listen.clients;
    front::serve(clients, desk.clone(), stopping.clone())
        .await
        .with_context(|| format!("can't bind {clients}"))?;
    let readiness = settings.listen.readiness;
    let wanted_now = move || {
        let (want, desk) = (want.clone(), desk.clone());
        async move { *want.borrow() && desk.is_ready().await }
    };
    front::serve_readiness(readiness, wanted_now, stopping.clone())
        .await
        .with_context(|| format!("can't bind {readiness}"))?;
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(settings.ip, port);
        let text = text(planner.clone(), log.clone());
        front::serve_text(address, METRICS_PATH, text, stopping)
            .await
            .with_context(|| format!("can't bind {address}"))?;
    }
    event!(log, Event::Started, "clients" => clients.to_string(), "peers" => own.to_string());
    let cloud = settings.cloud.as_ref().and_then(|cloud| cloud.address);
    let parts = Context {
        directory: Instrumented::open(
            Keys::open(Client::open(DIRECTORY_CONNECTIONS), settings.platform.address)
                .with_watch_gap(DIRECTORY_GAP),
            log.metrics().clone(),
            health.clone(),
        ),
        store,
        fleet: Executors::open(client.clone()),
        advisor: Advice::open(client.clone(), settings.advisor),
        machines: Cloud::open(client, cloud, settings.node_name.clone()),
        config: in_force,
        final_state_retention: kept(&settings),
        planner,
        notices: seat.notices.clone(),
        log: log.clone(),
    };
    let tenure = tokio::spawn(hold_seat(parts, seat.transitions));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // Everything that may change in the settings is read from the store; the rest is told
            // at the start.
            _ = reload.recv() => event!(log, Event::ReloadAsked),
        }
    }
    event!(log, Event::Stopping);
    wanted.send_replace(false);
    // The seat is gone only when the process is ending.
    let _ = seat.notices.send(Notice::Drain);
    let grace = settings.bounds.grace;
    tokio::time::sleep(grace.mul_f64(SERVE_PART)).await;
    stop.send_replace(true);
    tokio::time::sleep(grace.mul_f64(END_PART - SERVE_PART)).await;
    tenure.abort();
    event!(log, Event::Stopped);
    Ok(())
}

/// Renders the metrics; with what is known of the cell where this process owns it.
fn text(planner: owner::SharedPlanner, log: Log) -> impl Fn() -> Option<String> + Clone + Send {
    move || {
        let now = clock::now();
        let census = {
            let planner = owner::lock(&planner);
            planner.owns(now).then(|| planner.census())
        };
        match log.metrics().render(now, census) {
            Ok(text) => Some(text),
            Err(error) => {
                event!(log, Event::MetricsUnreadable, "reason" => error.to_string());
                None
            }
        }
    }
}

/// Returns how long a job's end is kept: as long as clients may ask for it, and a little longer.
fn kept(settings: &Settings) -> Duration {
    settings.bounds.status + KEEP_SLACK
}

fn figures(settings: &Settings) -> Figures {
    let bounds = &settings.bounds;
    let defaults = Figures::default();
    Figures {
        max_lease: bounds.max_hold_ms,
        ended_job_retention: kept(settings),
        checkpoint_interval: bounds.checkpoint_interval,
        remote_slowdown: bounds.remote_factor,
        max_interference_time: bounds.impact_ms,
        link_bytes_per_second: settings.limits.link(),
        max_stop_time: bounds.stop_timeout_ms,
        ..defaults
    }
}

/// The ownership in progress.
struct Ownership {
    facts: mpsc::UnboundedSender<Fact>,
    task: JoinHandle<()>,
}

/// Runs the cell whenever this process owns it.
async fn hold_seat(
    parts: Context<Instrumented<Keys>, Executors, Advice, Cloud>,
    mut turns: mpsc::UnboundedReceiver<Transition>,
) {
    let mut tenure: Option<Ownership> = None;
    let mut lease_until = cowslipchute_base::id::Time::ZERO;
    while let Some(turn) = turns.recv().await {
        match turn {
            Transition::Own { epoch, until } => {
                event!(parts.log, Event::SeatTaken, "epoch" => epoch);
                lease_until = until;
                tenure = Some(begin(&parts, epoch, until));
            }
            Transition::Extend { until } => {
                parts.log.metrics().lease_renewed(lease_until.saturating_sub(clock::now()));
                lease_until = until;
                if let Some(tenure) = &tenure {
                    // Its task ends only with the ownership.
                    let _ = tenure.facts.send(Fact::LeaseRenewed { until });
                }
            }
            Transition::Disown => {
                if let Some(tenure) = tenure.take() {
                    tenure.task.abort();
                }
                owner::lock(&parts.planner).step(
                    clock::now(),
                    Fact::OwnershipLost,
                    &mut Vec::new(),
                );
                parts.log.metrics().ownership_lost();
                event!(parts.log, Event::SeatLost);
            }
        }
    }
}

fn begin(
    parts: &Context<Instrumented<Keys>, Executors, Advice, Cloud>,
    epoch: cowslipchute_base::id::Revision,
    until: cowslipchute_base::id::Time,
) -> Ownership {
    let (facts, receiver) = mpsc::unbounded_channel();
    // Only after `OwnershipAcquired`, which the run itself says first, does it matter.
    let _ = facts.send(Fact::LeaseRenewed { until });
    let task = tokio::spawn(owner::run(parts.clone(), epoch, (facts.clone(), receiver)));
    Ownership { facts, task }
}

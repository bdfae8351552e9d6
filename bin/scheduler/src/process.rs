//! Starts the tasks of the process on one thread, and stops them on SIGTERM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Context as _;
use cowslipchute_base::event::Event;
use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event as PlannerEvent;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::settings::Features;
use cowslipchute_planner::settings::Settings as PlannerSettings;
use cowslipchute_platform::advisor::HttpAdvisor;
use cowslipchute_platform::client::Client;
use cowslipchute_platform::executor::HttpFleet;
use cowslipchute_platform::machine::HttpMachines;
use cowslipchute_platform::server;
use cowslipchute_platform::server::listener::Listener;
use cowslipchute_platform::settings::Settings;
use cowslipchute_platform::store::HttpStore;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::admission::Admission;
use crate::api::Api;
use crate::api::Dependencies;
use crate::clock;
use crate::config;
use crate::election;
use crate::election::Holder;
use crate::election::Notice;
use crate::election::Transition;
use crate::event;
use crate::failpoint;
use crate::health::Health;
use crate::instrumented::Instrumented;
use crate::job_size::Limit;
use crate::log::Log;
use crate::owner;
use crate::owner::Context;
use crate::rpc;
use crate::settings;
use crate::submission;
use crate::turn::millis;
use crate::turn::remaining_millis;

/// Fraction of the grace period during which clients are still served: the platform needs two
/// readiness checks, a second apart, before it routes new connections elsewhere.
const SERVE_FRACTION: f64 = 0.6;
/// Fraction of the grace period after which the process exits, even with work in progress.
const EXIT_FRACTION: f64 = 0.85;

/// Margin by which a job's final state is kept beyond the time that clients may query it.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";
/// Interval at which changes of the workers' directory are batched. A draining worker must get no
/// new tasks after two seconds, and the platform counts each call.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(350);
/// Connections of the client that holds the lease: one watches the owner's key, one renews.
const ELECTION_CONNECTIONS: usize = 2;
/// Idle connections of the client for an ownership's reads, watches and writes.
const OWNER_CONNECTIONS: usize = 8;
/// Connections of the client that watches the directory.
const DIRECTORY_CONNECTIONS: usize = 1;

/// Runs the process until SIGTERM.
///
/// # Errors
///
/// Returns an error if an address of the settings can't be bound.
pub async fn run(settings: Settings, own: &settings::Settings, log: Log) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let client = Client::open(settings.limits.idle_connections());
    let keys = HttpStore::open(client.clone(), settings.platform.address);
    let health = Health::default();
    let store = Instrumented::open(keys, log.metrics().clone(), health.clone());
    let current_config = config::spawn(store.clone(), health.clone(), log.clone());
    let planner = Arc::new(Mutex::new(Planner::open(planner_settings(&settings, own.features()))));
    let rpc_address = SocketAddr::new(settings.ip, settings.internal_ports.0);
    let endpoint = rpc::bind(rpc_address, planner.clone(), health.clone())
        .await
        .with_context(|| format!("can't bind {rpc_address}"))?;
    let holder = Holder {
        instance: settings.node_name.clone(),
        address: rpc_address,
        incarnation: rand::random(),
        cpu_share: settings.limits.cpu_share,
    };
    let election_store = Instrumented::open(
        HttpStore::open(Client::open(ELECTION_CONNECTIONS), settings.platform.address),
        log.metrics().clone(),
        health.clone(),
    );
    let min_lease = settings.platform.min_lease;
    let election = election::spawn(election_store, holder, min_lease, health.clone(), log.clone())?;
    let submissions = submission::spawn(store.clone(), log.clone());
    let admission = own
        .admission
        .is_on()
        .then(|| Admission::open(endpoint.clone(), election.holder.clone(), log.metrics().clone()));
    let api = Api::open(Dependencies {
        store: store.clone(),
        config: current_config.clone(),
        admission,
        limit: Limit::open(settings.platform.max_value_bytes),
        submissions,
        endpoint,
        health: health.clone(),
        holder: election.holder,
        log: log.clone(),
    });
    let (stop, stopping) = watch::channel(false);
    let (accepting_sender, accepting) = watch::channel(true);
    let clients = settings.listen.clients;
    let listener = server::serve(clients, api.clone(), settings.limits.intake(), stopping.clone())
        .with_context(|| format!("can't bind {clients}"))?;
    let readiness = settings.listen.readiness;
    let is_ready = move || {
        let (accepting, api) = (accepting.clone(), api.clone());
        async move { *accepting.borrow() && api.is_ready().await }
    };
    server::serve_readiness(readiness, is_ready, stopping.clone())
        .with_context(|| format!("can't bind {readiness}"))?;
    if let Some(port) = own.metrics_port {
        let address = SocketAddr::new(settings.ip, port);
        let text = render_metrics(planner.clone(), listener, log.clone());
        server::serve_text(address, METRICS_PATH, text, stopping)
            .with_context(|| format!("can't bind {address}"))?;
    }
    event!(log, Event::Started, "clients" => clients.to_string(), "peers" => rpc_address.to_string());
    let cloud = settings.cloud.as_ref().and_then(|cloud| cloud.address);
    let context = Context {
        directory: Instrumented::open(
            HttpStore::open(Client::open(DIRECTORY_CONNECTIONS), settings.platform.address)
                .with_watch_delay(DIRECTORY_INTERVAL),
            log.metrics().clone(),
            health.clone(),
        ),
        store: Instrumented::open(
            HttpStore::open(Client::open(OWNER_CONNECTIONS), settings.platform.address),
            log.metrics().clone(),
            health.clone(),
        ),
        fleet: HttpFleet::open(client.clone()),
        advisor: HttpAdvisor::open(client.clone(), settings.advisor),
        machines: HttpMachines::open(client, cloud, settings.node_name.clone()),
        config: current_config,
        max_value_bytes: settings.platform.max_value_bytes,
        final_state_retention: final_state_retention(&settings),
        planner,
        notices: election.notices.clone(),
        lease: election.lease,
        log: log.clone(),
    };
    let ownerships = tokio::spawn(run_ownerships(context, election.transitions));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // What may change at run time is read from the store; the settings are read once, at
            // the start.
            _ = reload.recv() => {
                event!(log, Event::ReloadAsked);
                failpoint::arm();
            }
        }
    }
    event!(log, Event::Stopping);
    accepting_sender.send_replace(false);
    // The receiver is dropped only when the process exits.
    let _ = election.notices.send(Notice::Drain);
    let grace = settings.bounds.grace;
    tokio::time::sleep(grace.mul_f64(SERVE_FRACTION)).await;
    stop.send_replace(true);
    tokio::time::sleep(grace.mul_f64(EXIT_FRACTION - SERVE_FRACTION)).await;
    ownerships.abort();
    event!(log, Event::Stopped);
    Ok(())
}

/// Returns a function that renders the metrics, with the counts of the cell while this process owns
/// it.
fn render_metrics(
    planner: owner::SharedPlanner,
    listener: Listener,
    log: Log,
) -> impl Fn() -> Option<String> + Clone + Send {
    move || {
        let now = clock::now();
        let (census, forecast) = {
            let mut planner = owner::lock(&planner);
            let owns = planner.owns(now);
            (owns.then(|| planner.census()), owns.then(|| planner.forecast(now, true)))
        };
        log.metrics().set_backlogs(forecast.as_deref());
        log.metrics().set_clients(listener.usage());
        match log.metrics().render(now, census) {
            Ok(text) => Some(text),
            Err(error) => {
                event!(log, Event::MetricsUnreadable, "reason" => error.to_string());
                None
            }
        }
    }
}

/// Returns the time for which a job's final state is kept.
fn final_state_retention(settings: &Settings) -> Duration {
    settings.bounds.status + RETENTION_MARGIN
}

fn planner_settings(settings: &Settings, features: Features) -> PlannerSettings {
    let bounds = &settings.bounds;
    let defaults = PlannerSettings::default();
    PlannerSettings {
        max_lease: bounds.max_lease,
        ended_job_retention: final_state_retention(settings),
        checkpoint_interval: bounds.checkpoint_interval,
        remote_slowdown: bounds.remote_factor,
        max_interference_time: bounds.max_violation,
        link_bytes_per_second: settings.limits.link_bytes_per_second(),
        max_stop_time: bounds.stop_timeout,
        max_record_bytes: settings.platform.max_value_bytes,
        features,
        ..defaults
    }
}

/// The current ownership of the cell.
struct Ownership {
    task: JoinHandle<()>,
    began: Time,
}

/// Runs the cell while this process owns it.
async fn run_ownerships(
    context: Context<Instrumented<HttpStore>, HttpFleet, HttpAdvisor, HttpMachines>,
    mut transitions: mpsc::UnboundedReceiver<Transition>,
) {
    let mut ownership: Option<Ownership> = None;
    while let Some(transition) = transitions.recv().await {
        match transition {
            Transition::Own { epoch } => {
                event!(context.log, Event::SeatTaken, "epoch" => epoch);
                ownership = Some(start_ownership(&context, epoch));
            }
            Transition::Disown { cause, lease_until } => {
                let now = clock::now();
                let began = ownership.take().map_or(now, |ownership| {
                    ownership.task.abort();
                    ownership.began
                });
                let contacts = {
                    let mut planner = owner::lock(&context.planner);
                    let contacts = planner.contacts();
                    planner.step(now, PlannerEvent::OwnershipLost, &mut Vec::new());
                    contacts
                };
                context.log.metrics().ownership_lost();
                event!(context.log, Event::SeatLost, "reason" => cause.text(),
                    "owned_ms" => millis(now.saturating_sub(began)),
                    "lease_ms" => remaining_millis(now, lease_until),
                    "answering" => contacts.answering, "silent" => contacts.silent,
                    "unfenced" => contacts.unfenced);
            }
        }
    }
}

fn start_ownership(
    context: &Context<Instrumented<HttpStore>, HttpFleet, HttpAdvisor, HttpMachines>,
    epoch: cowslipchute_base::id::Revision,
) -> Ownership {
    let task = tokio::spawn(owner::run(context.clone(), epoch));
    Ownership { task, began: clock::now() }
}

//! The placer process.

use std::process::ExitCode;

use anyhow::Context as _;
use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_daemon::admin;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::log;
use cowslipchute_daemon::settings;
use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_gateway::http::Origin;
use cowslipchute_gateway::kv;
use cowslipchute_gateway::list;
use cowslipchute_gateway::worker;
use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node;
use cowslipchute_placer::api;
use cowslipchute_placer::journal::Journal;
use cowslipchute_placer::metrics::Metrics;
use cowslipchute_placer::peers;
use cowslipchute_placer::process;
use cowslipchute_placer::process::Parts;
use cowslipchute_placer::process::Placer;
use cowslipchute_placer::settings::Settings;
use cowslipchute_placer::settings::settings as parser;
use prometheus::Registry;
use slog::Logger;
use slog::o;

/// Maximum number of unanswered calls from peers.
const PEER_CALLS_MAX: usize = 256;

fn main() -> ExitCode {
    let settings = settings::parse_or_exit(parser());
    let common = &settings.common;
    let identity = Identity::load(&settings.peer_cert, &settings.peer_key, &settings.peer_ca)
        .unwrap_or_else(|error| settings::exit_with_error(Code::BadFile, &error.to_string()));
    let logger = log::open("placer", &common.instance, common.log_level);
    match run(&settings, identity, &logger) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let reason = format!("{error:#}");
            log::emit(&logger, Event::StartRefused, o!("reason" => reason.clone()));
            drop(logger);
            settings::exit_with_error(Code::BindFailed, &reason)
        }
    }
}

fn run(settings: &Settings, identity: Identity, logger: &Logger) -> anyhow::Result<()> {
    let (mut stop, _signals) = stop::on_signals(settings.common.stop_within())?;
    let registry = Registry::new();
    let readiness = Readiness::default();
    let placer = open(settings, identity, &stop, &registry, &readiness, logger)?;
    let routes = api::routes(placer.api());
    let admin = settings.common.admin;
    admin::spawn(admin, registry, readiness, Some(routes))
        .with_context(|| format!("can't bind {admin}"))?;
    log::emit(logger, Event::Started, o!("peer" => settings.peer_listen.to_string()));
    let waiting = tokio::runtime::Builder::new_current_thread().build()?;
    waiting.block_on(stop.wait_for_stage(Stage::Draining));
    log::emit(logger, Event::Stopping, o!());
    placer.join();
    let forced = stop.stage() == Stage::Forced;
    let event = if forced { Event::StopForced } else { Event::Stopped };
    log::emit(logger, event, o!());
    Ok(())
}

fn open(
    settings: &Settings,
    identity: Identity,
    stop: &Stop,
    registry: &Registry,
    readiness: &Readiness,
    logger: &Logger,
) -> anyhow::Result<Placer> {
    let origin = Origin { domain: settings.common.domain(), instance: settings.common.instance() };
    let node = node::Settings {
        address: settings.peer_listen,
        identity,
        call_timeout: settings.store_timeout(),
        max_calls: PEER_CALLS_MAX,
    };
    let peers = peers::open(node, stop.clone())
        .with_context(|| format!("can't bind {}", settings.peer_listen))?;
    let parts = Parts {
        ownership: settings.ownership(),
        store: kv::Client::open(&settings.store, settings.store_timeout())
            .with_origin(origin.clone()),
        list: list::Client::open(&settings.list).with_origin(origin.clone()),
        worker: worker::Client::open(settings.worker_timeout()).with_origin(origin),
        peers: peers.caller,
        incoming: peers.incoming,
        store_timeout: settings.store_timeout(),
        worker_timeout: settings.worker_timeout(),
        exchanges: settings.exchanges,
        list_every: settings.list_every(),
        logger: logger.clone(),
        journal: Journal::open(logger.clone()),
        metrics: Metrics::open(registry)?,
        readiness: readiness.clone(),
        stop: stop.clone(),
    };
    Ok(process::spawn(parts)?)
}

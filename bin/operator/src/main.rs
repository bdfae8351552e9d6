//! `cowslipchute-operator`: reads the settings, starts the event loops and waits for the shutdown.

use std::hash::BuildHasher as _;
use std::net::TcpListener;
use std::time::Duration;

use anyhow::Context as _;
use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_daemon::admin;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::log;
use cowslipchute_daemon::settings::exit_with_error;
use cowslipchute_daemon::settings::parse_or_exit;
use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow as follow;
use cowslipchute_gateway::http::Origin;
use cowslipchute_gateway::kv;
use cowslipchute_gateway::list;
use cowslipchute_operator::listing;
use cowslipchute_operator::metrics::Metrics;
use cowslipchute_operator::process;
use cowslipchute_operator::process::Parts;
use cowslipchute_operator::remote;
use cowslipchute_operator::remote::Remote;
use cowslipchute_operator::settings;
use cowslipchute_operator::settings::Links;
use cowslipchute_operator::settings::Settings;
use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node;
use prometheus::Registry;
use slog::o;

/// Timeout of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of unanswered calls from peers.
const PEER_CALLS_MAX: usize = 256;

fn main() -> anyhow::Result<()> {
    let settings = parse_or_exit(settings::settings());
    let common = &settings.common;
    let logger = log::open("operator", &common.instance, common.log_level);
    let (stop, _signals) = stop::on_signals(common.stop_within())?;
    let registry = Registry::new();
    let readiness = Readiness::default();
    let metrics = Metrics::open(&registry)?;
    let _admin = admin::spawn(common.admin, registry, readiness.clone(), None)
        .unwrap_or_else(|error| unbound("--admin", &error));
    let listener =
        TcpListener::bind(settings.listen).unwrap_or_else(|error| unbound("--listen", &error));
    let remote = settings.links.as_ref().map(|links| bind(links, &stop));
    let origin = Origin { domain: common.domain(), instance: common.instance() };
    let list = list::Client::open(&settings.list).with_origin(origin.clone());
    let (members, _list) = listing::spawn(list, logger.clone())?;
    let store = || kv::Client::open(&settings.store, STORE_TIMEOUT).with_origin(origin.clone());
    let parts = Parts {
        follow: follow_settings(&settings, &logger),
        store: store(),
        follow_store: store(),
        peers: remote.as_ref().map(|remote| remote.node.clone()),
        members,
        placers: settings.events_from.clone(),
        metrics,
        readiness,
        stop: stop.clone(),
        stop_within: common.stop_within(),
    };
    let operator = process::spawn(parts, listener).context("the duties can't be started")?;
    let peers = remote.map(|remote| remote.answer(operator.follow()));
    let address = operator.address().to_string();
    log::emit(&logger, Event::Started, o!("address" => address));
    operator.join();
    if let Some(peers) = peers {
        peers.join();
    }
    let forced = stop.stage() == Stage::Forced;
    log::emit(&logger, if forced { Event::StopForced } else { Event::Stopped }, o!());
    Ok(())
}

fn follow_settings(settings: &Settings, logger: &slog::Logger) -> follow::Settings {
    let common = &settings.common;
    let seed = std::hash::RandomState::new().hash_one((&common.instance, common.incarnation));
    follow::Settings {
        instance: common.instance(),
        incarnation: common.incarnation,
        domain: common.domain(),
        seed,
        logger: logger.clone(),
    }
}

fn bind(links: &Links, stop: &Stop) -> Remote {
    let identity = Identity::load(&links.cert, &links.key, &links.ca)
        .unwrap_or_else(|error| exit_with_error(Code::BadFile, &error.to_string()));
    let settings = node::Settings {
        address: links.listen,
        identity,
        call_timeout: PEER_TIMEOUT,
        max_calls: PEER_CALLS_MAX,
    };
    remote::bind(settings, stop.clone()).unwrap_or_else(|error| unbound("--peer-listen", &error))
}

fn unbound(setting: &str, error: &std::io::Error) -> ! {
    exit_with_error(Code::BindFailed, &format!("{setting}: {error}"))
}

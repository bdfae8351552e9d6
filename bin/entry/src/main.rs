//! Starts the entry process from its settings.

use std::time::Duration;

use anyhow::Context;
use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_daemon::log;
use cowslipchute_daemon::settings::exit_with_error;
use cowslipchute_daemon::settings::parse_or_exit;
use cowslipchute_daemon::stop;
use cowslipchute_entry::entry;
use cowslipchute_entry::entry::Entry;
use cowslipchute_entry::settings;
use cowslipchute_entry::settings::Peers;
use cowslipchute_entry::settings::Settings;
use cowslipchute_gateway::kv;
use cowslipchute_gateway::list;
use cowslipchute_peer::identity::Identity;
use slog::Logger;
use slog::o;

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn main() {
    let settings = parse_or_exit(settings::settings());
    settings.check().unwrap_or_else(|problem| exit_with_error(Code::BadSetting, &problem));
    let identity = identity(&settings.peers).unwrap_or_else(|problem| {
        exit_with_error(Code::BadFile, &problem);
    });
    let common = &settings.common;
    let logger = log::open("entry", &common.instance, common.log_level);
    let entry = start(settings, identity, &logger).unwrap_or_else(|error| {
        let problem = format!("{error:#}");
        log::emit(&logger, Event::StartRefused, o!("problem" => problem.clone()));
        exit_with_error(Code::BindFailed, &problem);
    });
    entry.join();
}

fn start(settings: Settings, identity: Option<Identity>, logger: &Logger) -> anyhow::Result<Entry> {
    let store = kv::Client::open(&settings.store, CALL_TIMEOUT).with_origin(settings.origin());
    let list = list::Client::open(&settings.list).with_origin(settings.origin());
    let (stop, _signals) = stop::on_signals(settings.common.stop_within())
        .context("can't start the thread that waits for signals")?;
    entry::open(settings, identity, store, list, stop, logger.clone())
}

/// Loads the certificate files that identify this process to its peers.
fn identity(peers: &Peers) -> Result<Option<Identity>, String> {
    let Peers { listen: Some(_), cert: Some(cert), key: Some(key), ca: Some(ca) } = peers else {
        return Ok(None);
    };
    Identity::load(cert, key, ca).map(Some).map_err(|error| error.to_string())
}

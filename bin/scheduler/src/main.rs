//! Entry point of the scheduler process.

use std::process::ExitCode;

use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_daemon::settings::exit_with_error;
use cowslipchute_daemon::settings::parse_or_exit;
use cowslipchute_platform::settings::Settings as Platform;
use cowslipchute_scheduler::event;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::panic_hook;
use cowslipchute_scheduler::process;
use cowslipchute_scheduler::settings::settings as parser;

fn main() -> ExitCode {
    let settings = parse_or_exit(parser());
    let platform = Platform::read(&settings.settings)
        .unwrap_or_else(|error| exit_with_error(Code::BadSetting, &error.to_string()));
    let metrics = Metrics::open()
        .unwrap_or_else(|error| exit_with_error(Code::BadSetting, &error.to_string()));
    let log = log::open(&platform.node_name, settings.log_level, metrics)
        .unwrap_or_else(|error| exit_with_error(Code::BindFailed, &error.to_string()));
    panic_hook::install(log.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap_or_else(|error| exit_with_error(Code::BindFailed, &error.to_string()));
    let outcome = runtime.block_on(process::run(platform, &settings, log.clone()));
    if let Err(error) = outcome {
        let reason = format!("{error:#}");
        event!(log, Event::StartRefused, "reason" => reason.clone());
        log.flush();
        exit_with_error(Code::BindFailed, &reason)
    }
    log.flush();
    ExitCode::SUCCESS
}

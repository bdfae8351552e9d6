//! Settings of the scheduler: where the platform's settings file is, and what is our own.

use std::path::PathBuf;

use bpaf::Bpaf;
use cowslipchute_platform::settings::PATH_VARIABLE;

/// Takes jobs in and runs their tasks on the workers of the users' platform
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Settings {
    /// The settings file that the platform writes
    #[bpaf(long("settings"), env(PATH_VARIABLE), argument("PATH"))]
    pub settings: PathBuf,
    /// The port at which metrics are served, under /metrics; none without it
    #[bpaf(long("metrics-port"), env("COWSLIPCHUTE_METRICS_PORT"), argument("PORT"), optional)]
    pub metrics_port: Option<u16>,
    /// Least level of log lines: debug, info, warning or error
    #[bpaf(
        long("log-level"),
        env("COWSLIPCHUTE_LOG_LEVEL"),
        argument::<String>("LEVEL"),
        fallback(String::from("info")),
        display_fallback,
        parse(cowslipchute_daemon::settings::level)
    )]
    pub log_level: slog::Level,
}

//! Settings of the scheduler: the path of the platform's settings file, and the scheduler's own.

use std::path::PathBuf;

use bpaf::Bpaf;
use cowslipchute_platform::settings::PATH_VARIABLE;

/// Accepts jobs and runs their tasks on the workers of the users' platform
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Settings {
    /// Path of the settings file that the platform writes
    #[bpaf(long("settings"), env(PATH_VARIABLE), argument("PATH"))]
    pub settings: PathBuf,
    /// Port at which metrics are served, under /metrics; without it they are not served
    #[bpaf(long("metrics-port"), env("COWSLIPCHUTE_METRICS_PORT"), argument("PORT"), optional)]
    pub metrics_port: Option<u16>,
    /// Minimum level of log lines: debug, info, warning or error
    #[bpaf(
        long("log-level"),
        env("COWSLIPCHUTE_LOG_LEVEL"),
        argument::<String>("LEVEL"),
        fallback(String::from("info")),
        display_fallback,
        parse(cowslipchute_daemon::settings::parse_level)
    )]
    pub log_level: slog::Level,
}

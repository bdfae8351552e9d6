//! Settings of the scheduler: the path of the platform's settings file, and the scheduler's own.

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use cowslipchute_planner::settings::Features;
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
    /// Whether jobs that can't be done in time are rejected on arrival: on or off
    #[bpaf(
        long("admission"),
        env("COWSLIPCHUTE_ADMISSION"),
        argument("on|off"),
        fallback(Switch::Off),
        display_fallback
    )]
    pub admission: Switch,
    /// Whether contended capacity is shared between queues and sizes of jobs: on or off
    #[bpaf(
        long("queue-shares"),
        env("COWSLIPCHUTE_QUEUE_SHARES"),
        argument("on|off"),
        fallback(Switch::Off),
        display_fallback
    )]
    pub queue_shares: Switch,
    /// Whether durations learnt from completed tasks replace clients' estimates: on or off
    #[bpaf(
        long("learned-durations"),
        env("COWSLIPCHUTE_LEARNED_DURATIONS"),
        argument("on|off"),
        fallback(Switch::Off),
        display_fallback
    )]
    pub learned_durations: Switch,
    /// Whether best-effort tasks are placed and throttled by a forecast of interference: on or off
    #[bpaf(
        long("colocation-forecast"),
        env("COWSLIPCHUTE_COLOCATION_FORECAST"),
        argument("on|off"),
        fallback(Switch::Off),
        display_fallback
    )]
    pub colocation_forecast: Switch,
}

impl Settings {
    /// Returns the optional parts of the planner that are on.
    pub fn features(&self) -> Features {
        Features {
            queue_shares: self.queue_shares.is_on(),
            learned_durations: self.learned_durations.is_on(),
            colocation_forecast: self.colocation_forecast.is_on(),
        }
    }
}

/// State of an optional part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Switch {
    /// The part is on.
    On,
    /// The part is off.
    Off,
}

impl Switch {
    /// Returns `true` if the part is on.
    pub fn is_on(self) -> bool {
        self == Switch::On
    }
}

impl fmt::Display for Switch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_on() { "on" } else { "off" })
    }
}

impl FromStr for Switch {
    type Err = String;

    fn from_str(text: &str) -> Result<Switch, String> {
        match text {
            "on" => Ok(Switch::On),
            "off" => Ok(Switch::Off),
            other => Err(format!("`{other}` is neither `on` nor `off`")),
        }
    }
}

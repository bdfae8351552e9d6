//! The metrics of this process: their names, types, labels and texts.

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A value that only rises.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution of observed values.
    Histogram,
}

impl Kind {
    /// Returns the name of the type.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        }
    }
}

/// One metric with its labels.
#[derive(Clone, Copy, Debug)]
pub struct Family {
    /// Name, including the unit.
    pub name: &'static str,
    /// Type.
    pub kind: Kind,
    /// Names of the labels.
    pub labels: &'static [&'static str],
    /// Help text.
    pub help: &'static str,
}

macro_rules! families {
    ($($constant:ident $kind:ident $name:literal [$($label:literal),*] $help:literal;)*) => {
        $(pub(super) const $constant: Family = Family {
            name: $name,
            kind: Kind::$kind,
            labels: &[$($label),*],
            help: $help,
        };)*
        /// Every metric of this process.
        pub const FAMILIES: &[Family] = &[$($constant),*];
    };
}

families! {
    EVENTS Counter "cowslipchute_events_total" ["event"]
        "Events by name, as in EVENTS.md, whether or not they were logged.";
    REQUESTS Counter "cowslipchute_requests_total" ["request", "result"]
        "Clients' requests by kind and by the name of the result, as in RESULTS.md.";
    REQUEST_SECONDS Histogram "cowslipchute_request_seconds" ["request"]
        "Time from a client's request to its response.";
    CLIENT_CONNECTIONS Gauge "cowslipchute_client_connections" []
        "Clients' connections that are open.";
    CLIENT_BODY_BYTES Gauge "cowslipchute_client_body_bytes" []
        "Memory that the large bodies of clients' requests in progress take.";
    CLIENT_CLOSED Gauge "cowslipchute_client_connections_closed" []
        "Clients' connections that were closed since the start to stay within their limit.";
    STORE_CALLS Counter "cowslipchute_store_calls_total" ["call", "answer"]
        "Calls to the platform's store by kind and outcome.";
    STORE_SECONDS Histogram "cowslipchute_store_call_seconds" ["call"]
        "Duration of a call to the platform's store, including calls without an answer.";
    START_SECONDS Histogram "cowslipchute_job_start_seconds" []
        "Time from when the owner learned of a job to its first start.";
    JOB_SECONDS Histogram "cowslipchute_job_seconds" ["state"]
        "Time from when the owner learned of a job until the store held its final state, by final state.";
    START_AGE Histogram "cowslipchute_start_age_seconds" []
        "Time from the decision on a start until it was sent, which is long if processor time is short.";
    LEASE_MARGIN Histogram "cowslipchute_lease_margin_seconds" []
        "Time left of the owner's lease when it was renewed.";
    TURN_SECONDS Histogram "cowslipchute_owner_turn_seconds" []
        "Duration of a turn of the owner, in which it handles events, decides and sends commands.";
    OWNER_LAG Gauge "cowslipchute_owner_lag_seconds" []
        "Age of the oldest event that the owner handled in its latest turn: how far it is behind.";
    TAKEOVER_SECONDS Histogram "cowslipchute_takeover_seconds" []
        "Time from when this process became the owner of the cell until most listed workers had answered it.";
    LAG Histogram "cowslipchute_loop_lag_seconds" []
        "Delay of the process in waking up from a sleep, which is long if processor time is short.";
    OWNED Gauge "cowslipchute_cell_owned" []
        "Whether this process owns the cell.";
    JOBS Gauge "cowslipchute_jobs" ["state"]
        "Jobs of the cell that have not ended, at its owner.";
    TASKS Gauge "cowslipchute_tasks" ["kind", "state"]
        "Waiting and placed tasks of the cell by kind, at its owner.";
    WORKERS Gauge "cowslipchute_workers" ["contact"]
        "Workers of the cell by whether they answer, at its owner.";
    OVERDUE Gauge "cowslipchute_service_tasks_overdue" ["kind"]
        "Service tasks that have waited for more than three seconds, returning ones that have run before and new ones, at the cell's owner.";
    RETURNED Gauge "cowslipchute_service_tasks_returned" ["within"]
        "Service tasks placed again since this process became the owner of the cell, by the upper bound of their wait in seconds; each counts once.";
    EVACUATED Gauge "cowslipchute_evacuated_runs" ["domain"]
        "Runs left in each evacuated failure domain, at the cell's owner.";
    SHARE_WORK Gauge "cowslipchute_share_core_seconds" ["queue", "size", "work"]
        "Core-seconds of the jobs of a queue and size in the last seconds, at the cell's owner: those that arrived and whose outcome is known, those of them that were in time, and what was missing to their share. None if queue shares are off.";
    SHARE_AHEAD Gauge "cowslipchute_share_ahead" ["queue", "size"]
        "Whether jobs of a queue and size go ahead of their rank, at the cell's owner.";
    RATINGS Gauge "cowslipchute_worker_ratings" []
        "How often a worker was scored for a waiting step since this process became the owner of the cell; most of an owner's work.";
    ADMISSIONS Counter "cowslipchute_admissions_total" ["verdict"]
        "Jobs submitted here whose admission is controlled, by verdict: admitted, rejected, or unjudged for want of a recent forecast.";
    FORECAST_AGE Gauge "cowslipchute_forecast_age_seconds" []
        "Time since this instance received a forecast of the waiting work; forecasts are fetched while jobs are submitted here.";
    BACKLOG Gauge "cowslipchute_backlog_core_seconds" ["service", "priority", "class"]
        "Work of waiting tasks that can still be of value, at the cell's owner.";
    BACKLOG_RATE Gauge "cowslipchute_backlog_rate_cores" ["service", "priority", "class"]
        "Work that is done per second of such tasks, as forecasts state it, at the cell's owner.";
    RETRIES Gauge "cowslipchute_retries_booked" []
        "Rejected jobs that were given a time at which to return, at the cell's owner.";
    DURATION_RATIO Gauge "cowslipchute_task_duration_ratio" ["queue", "kind", "quantile"]
        "Quantiles of the learnt ratio of actual to estimated duration of tasks by queue and kind, at the cell's owner; none without --learned-durations.";
    SPEED_CHANGES Gauge "cowslipchute_speed_limits_decided" ["direction"]
        "Speed limits of best-effort tasks decided since this process became the owner of the cell, lowered and raised ones.";
    FORECAST_FACTORS Gauge "cowslipchute_forecast_factor_permille" ["ahead_ms"]
        "Learnt factor of the deviation of headroom forecasts in thousandths, by horizon, at the cell's owner; only with --colocation-forecast on.";
    CONFIG_VERSION Gauge "cowslipchute_config_version" []
        "Version of the operator's configuration in force.";
    CONFIG_AGE Gauge "cowslipchute_config_age_seconds" []
        "Time since that version came into force on this instance.";
}

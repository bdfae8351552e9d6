//! Best-effort tasks beside latency-critical tasks: interference, forecasts and speed limits.

pub(crate) mod budget;
pub(crate) mod colocate;
pub(crate) mod forecast_error;
pub(crate) mod interference;
pub(crate) mod load;
pub(crate) mod measurement;
pub(crate) mod risk;
pub(crate) mod throttle;

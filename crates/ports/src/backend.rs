//! Headers that an entry process and a backend server exchange in addition to plain HTTP.

/// Response header (any value) of a backend server that did not run the request.
pub const NOT_RUN_HEADER: &str = "cowslipchute-not-run";
/// Request header with the number of the attempt, which distinguishes retries in a backend server's log.
pub const ATTEMPT_HEADER: &str = "cowslipchute-attempt";
/// Request header with the time left until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "cowslipchute-deadline-ms";
/// Request header with the idempotency key of a request that the caller may repeat.
pub const KEY_HEADER: &str = "idempotency-key";
/// Response header (any value) of a backend server that is leaving.
pub const LEAVING_HEADER: &str = "cowslipchute-leaving";

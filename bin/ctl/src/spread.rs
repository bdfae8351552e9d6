//! Waits until a revision is in force on every instance.

use std::time::Duration;
use std::time::Instant;

use cowslipchute_base::code::Code;
use cowslipchute_base::id::Revision;

use crate::client::Client;
use crate::client::Request;
use crate::failure::Failure;
use crate::output::Progress;
use crate::show::Status;

/// Time between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of lagging instances named in an error.
const MAX_NAMED: usize = 5;

/// Returns the request path for the propagation status of a revision.
pub fn path(revision: Option<Revision>) -> String {
    match revision {
        Some(revision) => format!("/v1/status?revision={revision}"),
        None => String::from("/v1/status"),
    }
}

/// Waits until a revision is in force on every instance.
///
/// # Errors
///
/// When the revision is not in force everywhere after `within`. The change stays accepted and
/// continues to propagate.
pub async fn wait(
    client: &Client,
    revision: Revision,
    within: Duration,
    progress: &mut Progress,
) -> Result<Status, Failure> {
    let deadline = Instant::now() + within;
    let request = Request::get(path(Some(revision)));
    loop {
        let response: Result<Status, Failure> = client.send(&request).await;
        let expired = Instant::now() >= deadline;
        match response {
            Ok(status) => {
                let (found, all) = (status.in_force, status.instances);
                progress.show(&format!("revision {revision}: in force on {found}/{all}"));
                if found == all {
                    return Ok(status);
                }
                if expired {
                    return Err(lagging(&status));
                }
            }
            Err(failure) if expired => return Err(failure),
            Err(failure) => progress.show(&format!("revision {revision}: {}", failure.text)),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn lagging(status: &Status) -> Failure {
    let mut names: Vec<&str> =
        status.lagging.iter().take(MAX_NAMED).map(|one| one.instance.as_str()).collect();
    if status.lagging.len() > MAX_NAMED {
        names.push("...");
    }
    let text = format!(
        "revision {} is accepted but in force on only {}/{} instances; lagging: {}",
        status.revision,
        status.in_force,
        status.instances,
        names.join(", ")
    );
    Failure::new(Code::NotEverywhere, text)
        .remedy("it continues to propagate: check again with `cowslipchutectl status`")
}

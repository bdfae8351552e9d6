//! Reads the metrics pages of entry processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cowslipchute_base::code::Code;

use crate::failure::Failure;
use crate::sample::Sample;

/// Timeout for reading one page.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The samples read, and the processes that could not be read.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    /// The samples.
    pub samples: Vec<Sample>,
    /// The admin addresses of processes of which at least one page could not be read.
    pub missing: Vec<String>,
}

/// Samples every process several times. A process that can't be read is recorded as missing and
/// skipped. `progress` is called with the number of rounds completed, so that a waiting operator sees
/// that the command is running.
///
/// # Errors
///
/// When no process could be read.
pub async fn collect(
    admins: &[SocketAddr],
    rounds: u32,
    interval: Duration,
    progress: impl Fn(u32),
) -> Result<Collection, Failure> {
    let client = client()?;
    let mut collection = Collection::default();
    for round in 0..rounds {
        if round > 0 {
            tokio::time::sleep(interval).await;
        }
        read_all(&client, admins, &mut collection).await;
        progress(round + 1);
    }
    if collection.samples.is_empty() {
        let text = format!("no entry process could be read: {}", collection.missing.join(", "));
        return Err(Failure::new(Code::Unreachable, text));
    }
    Ok(collection)
}

fn client() -> Result<reqwest::Client, Failure> {
    // Instances are read directly, never through a proxy set in the environment.
    let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
    client.map_err(|error| Failure::new(Code::Unreachable, error.to_string()))
}

async fn read_all(client: &reqwest::Client, admins: &[SocketAddr], collection: &mut Collection) {
    let mut reads = tokio::task::JoinSet::new();
    for admin in admins {
        let (client, admin) = (client.clone(), *admin);
        reads.spawn(async move { (admin, read(&client, admin).await) });
    }
    while let Some(Ok((admin, page))) = reads.join_next().await {
        let instance = admin.to_string();
        match page {
            Ok(page) => collection.samples.push(Sample { at: now(), instance, page }),
            Err(_) if collection.missing.contains(&instance) => {}
            Err(_) => collection.missing.push(instance),
        }
    }
    collection.missing.sort();
}

async fn read(client: &reqwest::Client, admin: SocketAddr) -> Result<String, reqwest::Error> {
    let answer = client.get(format!("http://{admin}/metrics")).send().await?;
    answer.error_for_status()?.text().await
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

//! Shows changes as they take effect.

use std::io;
use std::io::Write as _;
use std::time::Duration;

use cowslipchute_base::id::Revision;
use reqwest::Response;
use serde_json::Value;

use crate::client::Client;
use crate::failure::Failure;
use crate::output::Format;

/// Delay before a broken stream is reopened.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// Time without data after which a stream counts as broken. Operators send progress every five
/// seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Shows changes after a revision until the output is closed.
///
/// # Errors
///
/// When no operator answers the first request. A stream that breaks later is reopened after the last
/// revision reported as in force.
pub async fn run(client: &Client, after: Revision, format: Format) -> Result<(), Failure> {
    let mut after = after;
    let mut response = client.stream(&path(after)).await?;
    loop {
        if follow(&mut response, &mut after, format).await.is_err() {
            return Ok(());
        }
        response = loop {
            tokio::time::sleep(RECONNECT_DELAY).await;
            if let Ok(response) = client.stream(&path(after)).await {
                break response;
            }
        };
    }
}

fn path(after: Revision) -> String {
    format!("/v1/watch?after={after}")
}

/// Shows one stream until it ends; fails when the output is closed.
async fn follow(response: &mut Response, after: &mut Revision, format: Format) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Ok(Ok(Some(chunk))) = tokio::time::timeout(IDLE_TIMEOUT, response.chunk()).await {
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Ok(line) = serde_json::from_slice::<Value>(&line) else { continue };
            if let Some(text) = render(&line, *after, format) {
                writeln!(io::stdout().lock(), "{text}")?;
            }
            if let Some(revision) = in_force(&line) {
                *after = revision;
            }
        }
    }
    Ok(())
}

fn in_force(line: &Value) -> Option<Revision> {
    if line["type"] == "in-force" { line["revision"].as_u64() } else { None }
}

/// Renders one line of a stream. Progress without a new revision is rendered only as JSON.
pub fn render(line: &Value, after: Revision, format: Format) -> Option<String> {
    let revision = line["revision"].as_u64().unwrap_or(0);
    let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    let (kind, name) = match line["type"].as_str()? {
        "put" => (text(&line["resource"]["kind"]), text(&line["resource"]["name"])),
        "removed" => (text(&line["kind"]), text(&line["name"])),
        "in-force" if revision == after && format != Format::Json => return None,
        _ => (String::new(), String::new()),
    };
    match (format, line["type"].as_str()?) {
        (Format::Json, _) => Some(line.to_string()),
        (Format::Quiet, "put" | "removed") => Some(format!("{kind}/{name}")),
        (Format::Quiet, _) => None,
        (Format::Table, "whole") => Some(String::from("everything that exists follows")),
        (Format::Table, "in-force") => Some(format!("{revision}  in force here")),
        (Format::Table, "removed") => Some(format!("{revision}  removed  {kind}/{name}")),
        (Format::Table, _) => Some(format!("{revision}  put  {kind}/{name}")),
    }
}

//! Creates or replaces the resources of a file.

use std::io::Read as _;
use std::path::Path;
use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::Resource;
use cowslipchute_resource::document;
use reqwest::Method;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::client::Client;
use crate::client::Request;
use crate::failure::Failure;
use crate::output::Format;
use crate::output::Progress;
use crate::output::Table;
use crate::show;
use crate::show::View;
use crate::spread;

/// The action taken on one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The resource did not exist and was created.
    Created,
    /// The resource was replaced.
    Replaced,
    /// The resource already equalled the one in the file.
    Unchanged,
}

impl Action {
    fn as_str(self) -> &'static str {
        match self {
            Action::Created => "created",
            Action::Replaced => "replaced",
            Action::Unchanged => "unchanged",
        }
    }
}

/// The result of applying one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Applied {
    kind: String,
    name: String,
    #[serde(rename = "deed")]
    action: Action,
    revision: Revision,
}

#[derive(Deserialize)]
struct Accepted {
    revision: Revision,
}

/// Whether to wait until the changes are in force, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Do not wait.
    No,
    /// Wait for at most this duration.
    Within(Duration),
}

/// Reads a file of resources, or standard input for `-`.
///
/// # Errors
///
/// `BadFile` when the file can't be read or is invalid.
pub fn read(file: &Path) -> Result<Vec<Resource>, Failure> {
    let bad = |problem: String| {
        let text = format!("{}: {problem}", file.display());
        Failure::new(Code::BadFile, text)
            .remedy("correct the file; its format is described in docs/OPERATING.md")
    };
    let text = if file == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|error| bad(error.to_string()))?;
    document::parse(&text).map_err(|error| bad(error.to_string()))
}

/// Applies resources in file order and returns the output to print.
///
/// # Errors
///
/// The first failure. Its text gives the number of resources applied before it, which stay applied.
pub async fn run(
    client: &Client,
    resources: &[Resource],
    wait: Wait,
    format: Format,
) -> Result<String, Failure> {
    let mut progress = Progress::open(format == Format::Quiet);
    let mut results = Vec::new();
    for resource in resources {
        match apply_one(client, resource).await {
            Ok(result) => results.push(result),
            Err(failure) => return Err(add_progress(failure, resource, &results, resources.len())),
        }
    }
    let changed = results.iter().filter(|result| result.action != Action::Unchanged);
    let last = changed.map(|result| result.revision).max();
    if let (Wait::Within(within), Some(revision)) = (wait, last) {
        spread::wait(client, revision, within, &mut progress).await?;
    }
    Ok(render(&results, format))
}

async fn apply_one(client: &Client, resource: &Resource) -> Result<Applied, Failure> {
    let kind = resource.spec.kind().as_str();
    let path = format!("/v1/{kind}/{}", resource.name);
    let body = serde_json::to_value(resource).expect("a resource can always be serialized");
    let (action, revision) = match client.send::<View>(&Request::get(&path)).await {
        Ok(found) if found.resource == *resource => (Action::Unchanged, found.revision),
        Ok(found) => {
            let request = Request::change(Method::PUT, &path).if_match(found.revision).body(body);
            let accepted: Accepted = client
                .send(&request)
                .await
                .map_err(|failure| explain_conflict(failure, found.revision))?;
            (Action::Replaced, accepted.revision)
        }
        Err(failure) if failure.code == Code::NoResource => {
            let request = Request::change(Method::POST, format!("/v1/{kind}")).body(body);
            let accepted: Accepted =
                client.send(&request).await.map_err(|failure| explain_conflict(failure, 0))?;
            (Action::Created, accepted.revision)
        }
        Err(failure) => return Err(failure),
    };
    Ok(Applied { kind: kind.to_owned(), name: resource.name.to_string(), action, revision })
}

/// Replaces the text of a conflict error by one that explains it to the user of `apply`.
fn explain_conflict(mut failure: Failure, read: Revision) -> Failure {
    match failure.code {
        Code::Conflict => {
            failure.text = format!("the resource was changed after it was read at revision {read}");
        }
        Code::Exists => failure.text = String::from("the resource was created concurrently"),
        Code::NoResource => {
            failure.text = format!("the resource was removed after it was read at revision {read}");
        }
        _ => return failure,
    }
    failure.remedy("read it with `cowslipchutectl get`, correct your file, then apply it again")
}

fn add_progress(
    mut failure: Failure,
    resource: &Resource,
    results: &[Applied],
    all: usize,
) -> Failure {
    let kind = resource.spec.kind().as_str();
    failure.text = format!("{kind}/{}: {}", resource.name, failure.text);
    if all > 1 {
        let remaining = all - results.len() - 1;
        let applied = results.len();
        failure
            .text
            .push_str(&format!(" ({applied} applied before it, {remaining} after it not tried)"));
    }
    failure
}

fn render(results: &[Applied], format: Format) -> String {
    match format {
        Format::Json => show::json(&serde_json::to_value(results).unwrap_or(Value::Null)),
        Format::Quiet => results.iter().map(|result| format!("{}\n", result.revision)).collect(),
        Format::Table => {
            let mut table = Table::new(["resource", "done", "revision"]);
            for result in results {
                let name = format!("{}/{}", result.kind, result.name);
                table.row(vec![
                    name,
                    result.action.as_str().to_owned(),
                    result.revision.to_string(),
                ]);
            }
            table.render()
        }
    }
}

//! Runs a command.

use cowslipchute_base::code::Code;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::Kind;
use reqwest::Method;
use serde::Deserialize;
use serde_json::Value;

use crate::apply;
use crate::apply::Wait;
use crate::client::Client;
use crate::client::Request;
use crate::command::Command;
use crate::command::General;
use crate::command::Options;
use crate::failure::Failure;
use crate::keys;
use crate::output::Format;
use crate::show;
use crate::sizes;
use crate::spread;
use crate::stream;
use crate::trace;
use crate::trace::Trace;

/// Runs a command and returns the output to print.
///
/// # Errors
///
/// A numbered failure, which determines the exit code.
pub async fn run(options: Options) -> Result<String, Failure> {
    let General { operators, output, timeout } = options.general;
    if let Command::Keys { issue, directory } = options.command {
        let paths = match issue {
            Some(name) => keys::issue(&directory, &name)?,
            None => keys::create(&directory)?,
        };
        return Ok(paths.iter().map(|path| format!("{}\n", path.display())).collect());
    }
    if let Command::Trace { job, files } = options.command {
        return Ok(Trace::open(trace::read(&files)?, &job)?.render(output));
    }
    if let Command::Sizes { files } = options.command {
        return Ok(sizes::Report::open(trace::read(&files)?).render(output));
    }
    // The file is read first so that an invalid file is reported even if no operator is given.
    let resources = match &options.command {
        Command::Apply { file, .. } => apply::read(file)?,
        _ => Vec::new(),
    };
    let client = Client::open(operators, timeout)?;
    match options.command {
        Command::Apply { wait, wait_within, .. } => {
            let wait = if wait { Wait::Within(wait_within) } else { Wait::No };
            apply::run(&client, &resources, wait, output).await
        }
        Command::Get { kind, name } => get(&client, kind, &name, output).await,
        Command::List { kind } => list(&client, kind, output).await,
        Command::Watch { after } => {
            stream::run(&client, after, output).await.map(|()| String::new())
        }
        Command::Delete { revision, kind, name } => {
            delete(&client, kind, &name, revision, output).await
        }
        Command::Status { revision } => {
            let answer: Value = client.send(&Request::get(spread::path(revision))).await?;
            Ok(show::status(&parse(&answer)?, &answer, output))
        }
        Command::Events => {
            let answer: Value = client.send(&Request::get("/v1/events")).await?;
            Ok(show::events(&answer, output))
        }
        Command::Drain { instance } => drain(&client, &instance, output).await,
        Command::Keys { .. } | Command::Trace { .. } | Command::Sizes { .. } => {
            unreachable!("handled above")
        }
    }
}

fn parse<T: for<'de> Deserialize<'de>>(answer: &Value) -> Result<T, Failure> {
    let text = "the operator's response can't be parsed by this version";
    show::parse(answer).ok_or_else(|| Failure::new(Code::Unreachable, text))
}

fn warn_if_stale(source: &str) {
    if source != "store" {
        eprintln!("{}", show::STALE_WARNING);
    }
}

async fn get(client: &Client, kind: Kind, name: &str, format: Format) -> Result<String, Failure> {
    let answer: Value = client.send(&Request::get(path(kind, name))).await?;
    let view: show::View = parse(&answer)?;
    warn_if_stale(&view.source);
    Ok(show::view(&view, &answer, format))
}

async fn list(client: &Client, kind: Kind, format: Format) -> Result<String, Failure> {
    let answer: Value = client.send(&Request::get(format!("/v1/{}", kind.as_str()))).await?;
    let list: show::List = parse(&answer)?;
    warn_if_stale(&list.source);
    Ok(show::list(&list, &answer, format))
}

async fn delete(
    client: &Client,
    kind: Kind,
    name: &str,
    revision: Option<Revision>,
    format: Format,
) -> Result<String, Failure> {
    let revision = match revision {
        Some(revision) => revision,
        None => client.send::<show::View>(&Request::get(path(kind, name))).await?.revision,
    };
    let request = Request::change(Method::DELETE, path(kind, name)).if_match(revision);
    let answer: Value = client.send(&request).await?;
    let removed = answer["revision"].as_u64().unwrap_or(0);
    Ok(match format {
        Format::Json => show::json(&answer),
        Format::Quiet => format!("{removed}\n"),
        Format::Table => format!("{}/{name} removed at revision {removed}\n", kind.as_str()),
    })
}

async fn drain(client: &Client, instance: &str, format: Format) -> Result<String, Failure> {
    let request = Request::change(Method::POST, format!("/v1/drain/{instance}"));
    let answer: Value = client.send(&request).await?;
    let (notified, processes) = (&answer["told"], &answer["processes"]);
    Ok(match format {
        Format::Json => show::json(&answer),
        Format::Quiet => format!("{notified}/{processes}\n"),
        Format::Table => {
            format!("{instance} is leaving: {notified}/{processes} processes notified\n")
        }
    })
}

fn path(kind: Kind, name: &str) -> String {
    format!("/v1/{}/{name}", kind.as_str())
}

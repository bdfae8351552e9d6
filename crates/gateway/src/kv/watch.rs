//! A watch: a streamed response with one JSON object per line.

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::http;
use crate::kv::Client;
use crate::kv::call;
use crate::kv::call::Effect;
use crate::kv::entry;
use crate::kv::wire;

/// Capacity of the queue of updates; a full queue applies backpressure to the store.
const QUEUE: usize = 256;
/// Longest accepted line in bytes: a transaction's worth of the largest values in base64.
const LINE_MAX_BYTES: usize = 16 << 20;

impl Client {
    pub(super) async fn open_watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<mpsc::Receiver<Update>, Error> {
        let create_request = wire::watch::Create {
            key: prefix.as_bytes().to_vec(),
            range_end: wire::prefix_end(prefix.as_bytes()),
            start_revision: after + 1,
            progress_notify: true,
        };
        let request = self
            .http
            .post(format!("{}{}", self.base, wire::WATCH))
            .json(&wire::watch::Request { create_request });
        let request = http::with_origin(request, self.origin.as_ref());
        let timeout_error = || Error::Unavailable(String::from("the watch was not opened in time"));
        let response =
            timeout(self.call_timeout, request.send()).await.map_err(|_| timeout_error())?;
        let response = response.map_err(|error| call::send_error(&error, Effect::Nothing))?;
        let mut lines = Lines { response, buffer: Vec::new() };
        let first =
            timeout(self.call_timeout, lines.next()).await.map_err(|_| timeout_error())??;
        if first.canceled {
            return Err(end_error(&first));
        }
        if !first.created {
            return Err(Error::Protocol(String::from("the watch began without its opening")));
        }
        let (sender, receiver) = mpsc::channel(QUEUE);
        tokio::spawn(run(lines, sender, self.watch_silence));
        Ok(receiver)
    }
}

/// Splits the response into lines.
struct Lines {
    response: reqwest::Response,
    buffer: Vec<u8>,
}

impl Lines {
    async fn next(&mut self) -> Result<wire::watch::Response, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return read(&line);
            }
            if self.buffer.len() > LINE_MAX_BYTES {
                return Err(Error::Protocol(String::from("a watch's line is too long")));
            }
            match self.response.chunk().await {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk),
                Ok(None) => {
                    // The last line may lack a line break.
                    let rest = std::mem::take(&mut self.buffer);
                    return if rest.is_empty() { Err(closed_error()) } else { read(&rest) };
                }
                Err(error) => return Err(Error::Unavailable(http::describe(&error))),
            }
        }
    }
}

fn closed_error() -> Error {
    Error::Unavailable(String::from("the store ended the watch"))
}

fn read(line: &[u8]) -> Result<wire::watch::Response, Error> {
    let streamed: wire::Streamed<wire::watch::Response> =
        serde_json::from_slice(line).map_err(|error| Error::Protocol(error.to_string()))?;
    match (streamed.result, streamed.error) {
        (Some(response), _) => Ok(response),
        (None, Some(failure)) => Err(call::store_error(&failure, Effect::Nothing)),
        (None, None) => Err(closed_error()),
    }
}

fn end_error(response: &wire::watch::Response) -> Error {
    match response.compact_revision {
        0 => Error::Unavailable(String::from("the store cancelled the watch")),
        revision => Error::Compacted(revision),
    }
}

async fn run(mut lines: Lines, sender: mpsc::Sender<Update>, silence: Duration) {
    let end = tokio::select! {
        end = forward(&mut lines, &sender, silence) => end,
        () = sender.closed() => return,
    };
    // Fails only if the reader has gone.
    let _ = sender.send(Update::Ended(end)).await;
}

async fn forward(lines: &mut Lines, sender: &mpsc::Sender<Update>, silence: Duration) -> Error {
    loop {
        let response = match timeout(silence, lines.next()).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return error,
            Err(_) => return Error::Unavailable(String::from("the watch fell silent")),
        };
        if response.canceled {
            return end_error(&response);
        }
        for update in updates(response) {
            match update {
                Ok(update) => {
                    if sender.send(update).await.is_err() {
                        return closed_error();
                    }
                }
                Err(error) => return error,
            }
        }
    }
}

/// Converts one message to updates in order of revision, as the store sent them.
fn updates(response: wire::watch::Response) -> Vec<Result<Update, Error>> {
    if response.events.is_empty() {
        return vec![Ok(Update::Progress(response.header.revision))];
    }
    response.events.into_iter().map(update).collect()
}

fn update(event: wire::watch::Event) -> Result<Update, Error> {
    let found = entry(event.kv)?;
    Ok(match event.kind {
        wire::watch::Kind::Put => Update::Put(found),
        wire::watch::Kind::Delete => Update::Deleted { key: found.key, revision: found.revision },
    })
}

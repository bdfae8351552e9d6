//! Merged events of the placers.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use serde::Serialize;
use serde_json::Value;

/// Timeout for reading the events of one placer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes read of one placer's events.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Maximum number of placers queried at once.
const QUERIES_MAX: usize = 16;
/// Field that the events are sorted by.
const TIME_FIELD: &str = "time";
/// Field that names the placer an event comes from.
const PLACER_FIELD: &str = "from";

/// Events of several placers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Events {
    /// Events in ascending order of time if they have one, otherwise in each placer's own order.
    pub events: Vec<Value>,
    /// Placers that did not answer.
    pub unreachable: Vec<SocketAddr>,
}

/// Reads the placers' events.
#[derive(Clone, Debug)]
pub struct Reader {
    http: reqwest::Client,
    placers: Vec<SocketAddr>,
}

impl Reader {
    /// Opens a reader for placers with the given admin addresses.
    ///
    /// # Errors
    ///
    /// When the HTTP client can't be initialized.
    pub fn open(placers: Vec<SocketAddr>) -> reqwest::Result<Reader> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(ANSWER_TIMEOUT)
            .build()?;
        Ok(Reader { http, placers })
    }

    /// Reads and merges the events.
    pub async fn read(&self) -> Events {
        let placers = stream::iter(self.placers.clone());
        let answers = placers.map(|placer| async move { (placer, self.ask(placer).await) });
        let answers: Vec<_> = answers.buffered(QUERIES_MAX).collect().await;
        let mut merged = Events { events: Vec::new(), unreachable: Vec::new() };
        for (placer, events) in answers {
            match events {
                Some(events) => merged.events.extend(events.into_iter().map(|e| tag(e, placer))),
                None => merged.unreachable.push(placer),
            }
        }
        merged.events.sort_by_key(|event| event.get(TIME_FIELD).and_then(Value::as_u64));
        merged
    }

    async fn ask(&self, placer: SocketAddr) -> Option<Vec<Value>> {
        let response = self.http.get(format!("http://{placer}/events")).send().await.ok()?;
        let mut response = response.error_for_status().ok()?;
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.ok()? {
            if body.len() + chunk.len() > ANSWER_BYTES_MAX {
                return None;
            }
            body.extend_from_slice(&chunk);
        }
        parse(&body)
    }
}

/// Adds the placer that an event comes from.
fn tag(mut event: Value, placer: SocketAddr) -> Value {
    if let Value::Object(fields) = &mut event {
        fields.insert(String::from(PLACER_FIELD), Value::from(placer.to_string()));
    }
    event
}

/// Parses a JSON array, or one JSON object per line.
pub fn parse(body: &[u8]) -> Option<Vec<Value>> {
    if let Ok(Value::Array(events)) = serde_json::from_slice(body) {
        return Some(events);
    }
    serde_json::Deserializer::from_slice(body).into_iter().collect::<Result<_, _>>().ok()
}

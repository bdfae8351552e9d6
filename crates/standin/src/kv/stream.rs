//! The endless answer of a watch.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslipchute_gateway::kv::wire;
use futures_util::Stream;
use futures_util::stream;
use poem::Body;
use tokio::sync::watch;

use crate::kv::server::Service;
use crate::valve::Pass;

/// One watch: what it looks at and how far it has come.
struct Watch {
    service: Arc<Service>,
    pass: Pass,
    peer: Option<SocketAddr>,
    create: wire::watch::Create,
    /// Everything up to this revision has been sent.
    sent: u64,
    revision: watch::Receiver<u64>,
    opened: bool,
    ended: bool,
    _waiting: Waiting,
}

/// Counts a watch as waiting for as long as it lives.
struct Waiting {
    service: Arc<Service>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.service.watch_ended();
    }
}

/// Opens the answer of a watch.
pub fn open(
    service: Arc<Service>,
    pass: Pass,
    peer: Option<SocketAddr>,
    create: wire::watch::Create,
) -> Body {
    let revision = service.revisions();
    let sent = match create.start_revision {
        0 => *revision.borrow(),
        start => start - 1,
    };
    service.watch_opened();
    let waiting = Waiting { service: service.clone() };
    let watch = Watch {
        service,
        pass,
        peer,
        create,
        sent,
        revision,
        opened: false,
        ended: false,
        _waiting: waiting,
    };
    Body::from_bytes_stream(lines(watch))
}

fn lines(watch: Watch) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(watch, |mut watch| async move {
        if watch.ended {
            return None;
        }
        let line = watch.next().await;
        watch.ended |= line.is_err();
        Some((line, watch))
    })
}

impl Watch {
    async fn next(&mut self) -> io::Result<Bytes> {
        let mut text = String::new();
        if !self.opened {
            self.opened = true;
            let created = wire::watch::Response {
                header: self.header(),
                created: true,
                ..Default::default()
            };
            push(&mut text, created);
            // What is already there goes out with the opening, as etcd sends them back to back.
            if let Some(response) = self.collect() {
                push(&mut text, response);
            }
        } else {
            push(&mut text, self.wait().await);
        }
        if self.service.valve().go_on(&self.pass).await.is_err() {
            // An error alone is not enough: the HTTP library then ends the body as if it were whole.
            self.peer.into_iter().for_each(|peer| self.service.links().cut(peer));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(Bytes::from(text))
    }

    /// Waits for a change of the range, or until it is time to say that there is none.
    async fn wait(&mut self) -> wire::watch::Response {
        let progress = self.service.progress();
        let deadline = tokio::time::Instant::now() + progress;
        loop {
            if let Some(response) = self.collect() {
                return response;
            }
            let changed = tokio::time::timeout_at(deadline, self.revision.changed());
            if changed.await.is_err() || progress == Duration::ZERO {
                return self.progress();
            }
        }
    }

    fn header(&self) -> wire::Header {
        wire::Header { revision: *self.revision.borrow() }
    }

    /// Says how far the watch is, which is no further than what it has looked at.
    fn progress(&self) -> wire::watch::Response {
        let header = wire::Header { revision: self.sent };
        wire::watch::Response { header, ..wire::watch::Response::default() }
    }

    fn collect(&mut self) -> Option<wire::watch::Response> {
        let now = *self.revision.borrow_and_update();
        let found = self.service.changes_after(self.sent, now, &self.create);
        match found {
            Ok(events) => {
                self.sent = self.sent.max(now);
                let header = wire::Header { revision: self.sent };
                let response = wire::watch::Response { header, events, ..Default::default() };
                (!response.events.is_empty()).then_some(response)
            }
            Err(compact_revision) => {
                self.ended = true;
                let header = self.header();
                let canceled = true;
                let response = wire::watch::Response {
                    header,
                    canceled,
                    compact_revision,
                    ..Default::default()
                };
                Some(response)
            }
        }
    }
}

fn push(text: &mut String, response: wire::watch::Response) {
    let line = wire::Streamed { result: Some(response), error: None };
    text.push_str(&serde_json::to_string(&line).expect("the message is plain data"));
    text.push('\n');
}

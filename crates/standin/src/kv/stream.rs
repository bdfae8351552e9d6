//! The streamed response of a watch.

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

use crate::injector::Call;
use crate::kv::server::Service;

/// One watch and its progress.
struct Watch {
    service: Arc<Service>,
    call: Call,
    peer: Option<SocketAddr>,
    create: wire::watch::Create,
    /// All changes up to this revision have been sent.
    sent: u64,
    revisions: watch::Receiver<u64>,
    is_opened: bool,
    is_ended: bool,
    _waiting: Waiting,
}

/// Counts a watch as open until it is dropped.
struct Waiting {
    service: Arc<Service>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.service.watch_ended();
    }
}

/// Returns the body of a watch's response.
pub fn open(
    service: Arc<Service>,
    call: Call,
    peer: Option<SocketAddr>,
    create: wire::watch::Create,
) -> Body {
    let revisions = service.revisions();
    let sent = match create.start_revision {
        0 => *revisions.borrow(),
        start => start - 1,
    };
    service.watch_opened();
    let waiting = Waiting { service: service.clone() };
    let watch = Watch {
        service,
        call,
        peer,
        create,
        sent,
        revisions,
        is_opened: false,
        is_ended: false,
        _waiting: waiting,
    };
    Body::from_bytes_stream(lines(watch))
}

fn lines(watch: Watch) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(watch, |mut watch| async move {
        if watch.is_ended {
            return None;
        }
        let line = watch.next().await;
        watch.is_ended |= line.is_err();
        Some((line, watch))
    })
}

impl Watch {
    async fn next(&mut self) -> io::Result<Bytes> {
        let mut text = String::new();
        if !self.is_opened {
            self.is_opened = true;
            let created = wire::watch::Response {
                header: self.header(),
                created: true,
                ..Default::default()
            };
            push(&mut text, created);
            // Existing changes are sent together with the creation message, as etcd sends them back
            // to back.
            if let Some(response) = self.collect() {
                push(&mut text, response);
            }
        } else {
            push(&mut text, self.wait().await);
        }
        if self.service.injector().before_chunk(&self.call).await.is_err() {
            // An error alone isn't enough: the HTTP library would end the body as if it were
            // complete.
            self.peer.into_iter().for_each(|peer| self.service.connections().reset(peer));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(Bytes::from(text))
    }

    /// Waits for a change of the range, or until a progress message is due.
    async fn wait(&mut self) -> wire::watch::Response {
        let progress = self.service.progress_interval();
        let deadline = tokio::time::Instant::now() + progress;
        loop {
            if let Some(response) = self.collect() {
                return response;
            }
            let changed = tokio::time::timeout_at(deadline, self.revisions.changed());
            if changed.await.is_err() || progress == Duration::ZERO {
                return self.progress();
            }
        }
    }

    fn header(&self) -> wire::Header {
        wire::Header { revision: *self.revisions.borrow() }
    }

    /// Returns a progress message. Its revision is the last one that the watch has covered.
    fn progress(&self) -> wire::watch::Response {
        let header = wire::Header { revision: self.sent };
        wire::watch::Response { header, ..wire::watch::Response::default() }
    }

    fn collect(&mut self) -> Option<wire::watch::Response> {
        let now = *self.revisions.borrow_and_update();
        let found = self.service.changes_after(self.sent, now, &self.create);
        match found {
            Ok(events) => {
                self.sent = self.sent.max(now);
                let header = wire::Header { revision: self.sent };
                let response = wire::watch::Response { header, events, ..Default::default() };
                (!response.events.is_empty()).then_some(response)
            }
            Err(compact_revision) => {
                self.is_ended = true;
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

//! HTTP server for metrics, health and readiness.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use poem::EndpointExt;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::Data;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::event_loop;
use crate::event_loop::EventLoop;

/// Readiness of the process for work, shared between its event loops.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Sets whether the process is ready for work.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Returns `true` if the process is ready for work.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// Starts the event loop that serves metrics, health and readiness on an address, and the routes of `extra`.
///
/// # Errors
///
/// Fails if the address can't be bound or the thread can't be started.
pub fn spawn(
    address: SocketAddr,
    registry: Registry,
    readiness: Readiness,
    extra: Option<Route>,
) -> io::Result<EventLoop> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    event_loop::spawn("admin", move || async move {
        let route = extra
            .unwrap_or_default()
            .at("/metrics", get(metrics))
            .at("/healthz", get(healthz))
            .at("/readyz", get(readyz))
            .data(registry)
            .data(readiness);
        let acceptor = TcpAcceptor::from_std(listener).expect("the listener is bound");
        let _ = poem::Server::new_with_acceptor(acceptor).run(route).await;
    })
}

#[handler]
fn metrics(registry: Data<&Registry>) -> Response {
    let mut text = Vec::new();
    let encoder = TextEncoder::new();
    match encoder.encode(&registry.gather(), &mut text) {
        Ok(()) => Response::builder().content_type(encoder.format_type()).body(text),
        Err(_) => Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish(),
    }
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

#[handler]
fn readyz(readiness: Data<&Readiness>) -> Response {
    if readiness.get() {
        Response::builder().body("ready\n")
    } else {
        Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n")
    }
}

//! Drives callers' connections.
//!
//! Endpoint, request and response are poem's; the connections are driven by the library below it.
//! Poem's own server polls a connection once more after it has failed, and so keeps the handler of
//! a caller that went away running to its end: an abandoned request would hold its slot at the
//! backend server until its deadline. It also bounds no time for a head. A test of an abandoned
//! request failed with it.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslipchute_daemon::ring;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use poem::Endpoint;
use poem::Request;
use poem::http;
use poem::http::uri::Scheme;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::accept::Accepted;
use crate::front::handler::Handler;
use crate::front::stream::Stream;

/// Serves connections until their ring is closed, then ends each as soon as it has answered the
/// request that it holds, and returns.
pub async fn run(
    mut accepted: ring::Receiver<Accepted>,
    local: SocketAddr,
    handler: Handler,
    idle: Duration,
) {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle);
    let server = Arc::new(Server { handler, builder, local });
    let (ending, ended) = watch::channel(());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            next = accepted.recv() => match next {
                Some(next) => {
                    connections.spawn(serve(server.clone(), next, ended.clone()));
                }
                None => break,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(ending);
    while connections.join_next().await.is_some() {}
}

type Body = BoxBody<Bytes, io::Error>;

struct Server {
    handler: Handler,
    builder: http1::Builder,
    local: SocketAddr,
}

/// Serves one connection. Dropping it, on an error above all, drops the handler with it.
async fn serve(server: Arc<Server>, accepted: Accepted, mut ended: watch::Receiver<()>) {
    let Accepted { stream, remote, guard: _place } = accepted;
    let Ok(stream) = TcpStream::from_std(stream) else { return };
    // Without this a short answer may wait for the caller's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(&server, request, remote));
    let connection = server.builder.serve_connection(TokioIo::new(Stream::open(stream)), service);
    let mut connection = pin!(connection);
    tokio::select! {
        ended = &mut connection => {
            if ended.is_err_and(|error| error.is_parse()) {
                server.handler.count_unparsable();
            }
            return;
        }
        // Only ever closed.
        _ = ended.changed() => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(
    server: &Server,
    request: http::Request<Incoming>,
    remote: SocketAddr,
) -> Result<http::Response<Body>, Infallible> {
    let local = LocalAddr(server.local.into());
    let request = Request::from((request, local, RemoteAddr(remote.into()), Scheme::HTTP));
    Ok(server.handler.get_response(request).await.into())
}

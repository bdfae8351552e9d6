//! Drives callers' connections.
//!
//! Endpoint, request and response are poem's, but the connections are driven directly by hyper.
//! Poem's own server polls a connection once more after it has failed, and so runs the handler of a
//! disconnected caller to its end: an abandoned request would occupy the backend server until its
//! deadline, and a test of abandoned requests fails. It also has no timeout for reading a head.

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

/// Largest read buffer of a connection, which has to hold the largest head.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Serves connections until their ring is closed, then closes each as soon as its current request
/// is answered, and returns.
pub async fn run(
    mut accepted: ring::Receiver<Accepted>,
    local: SocketAddr,
    handler: Handler,
    idle: Duration,
) {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle).max_buf_size(MAX_BUFFER_BYTES);
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

/// Serves one connection. Dropping the connection, in particular on an error, drops the handler.
async fn serve(server: Arc<Server>, accepted: Accepted, mut ended: watch::Receiver<()>) {
    let Accepted { stream, remote, guard: _guard } = accepted;
    let Ok(stream) = TcpStream::from_std(stream) else { return };
    // Without `TCP_NODELAY` a short answer may wait for the caller's delayed acknowledgement.
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
        // No value is ever sent: this resolves when the sender is dropped.
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

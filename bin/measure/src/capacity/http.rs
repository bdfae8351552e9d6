//! Transport cost of an exchange with a worker: the shipped client over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use cowslipchute_gateway::worker::Client;
use cowslipchute_gateway::worker::EXCHANGE_PATH;
use cowslipchute_ports::worker::Worker;
use poem::EndpointExt as _;
use poem::Server;
use poem::handler;
use poem::listener::Acceptor as _;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use poem::web::Data;

use crate::capacity::slope::Slope;
use crate::capacity::wire;
use crate::cpu_time;

/// Numbers of starts in an exchange.
const START_COUNTS: &[usize] = &[0, 8, 32];
/// Exchanges per timing.
const TIMED_EXCHANGES: u32 = 4_000;
/// Uncounted exchanges that warm up the connection.
const WARM_UP_EXCHANGES: u32 = 200;
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Transport costs of an exchange.
#[derive(Clone, Debug)]
pub struct Http {
    /// Microseconds of processor time per exchange, by starts.
    pub exchange: Slope,
    /// Size of the request and response headers of an exchange, in bytes.
    pub header_bytes: f64,
}

impl Http {
    /// Measures over loopback, with the client and the server in this process on separate threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be bound or the server's thread doesn't answer.
    pub fn measure() -> anyhow::Result<Http> {
        let mut header_bytes = 0.0;
        let mut failed = None;
        let exchange = Slope::measure(
            "placer",
            "µs of processor for an exchange over HTTP",
            "starts in it",
            START_COUNTS,
            |starts| match measure(starts) {
                Ok(cost) => {
                    header_bytes = cost.header_bytes;
                    cost.micros
                }
                Err(error) => {
                    failed = Some(error);
                    0.0
                }
            },
        );
        match failed {
            Some(error) => Err(error),
            None => Ok(Http { exchange, header_bytes }),
        }
    }
}

struct Cost {
    micros: f64,
    header_bytes: f64,
}

pub(super) fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn measure(starts: usize) -> anyhow::Result<Cost> {
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let (bound, address) = std::sync::mpsc::channel();
    let body = serde_json::to_vec(&wire::report(starts))?;
    let server = std::thread::spawn(move || serve(body, &bound, stopped));
    let address: SocketAddr = address.recv().context("the stand-in's thread did not start")?;
    let result = runtime()?.block_on(run_exchanges(address, starts));
    drop(stop);
    server.join().map_err(|_| anyhow::anyhow!("the stand-in's thread panicked"))??;
    result
}

#[derive(Clone)]
struct Body(std::sync::Arc<Vec<u8>>);

#[handler]
fn respond(body: Data<&Body>) -> poem::Response {
    poem::Response::builder().content_type("application/json").body(body.0.0.as_ref().clone())
}

fn serve(
    body: Vec<u8>,
    bound: &std::sync::mpsc::Sender<SocketAddr>,
    stopped: tokio::sync::oneshot::Receiver<()>,
) -> anyhow::Result<()> {
    runtime()?.block_on(async {
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
        let address = acceptor.local_addr()[0].as_socket_addr().copied();
        bound.send(address.context("a TCP listener has an address")?)?;
        let route = poem::Route::new().at(EXCHANGE_PATH, poem::post(respond));
        let app = route.data(Body(std::sync::Arc::new(body)));
        let shutdown = async {
            let _ = stopped.await;
        };
        Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(app, shutdown, None).await?;
        Ok(())
    })
}

async fn run_exchanges(address: SocketAddr, starts: usize) -> anyhow::Result<Cost> {
    let client = Client::open(EXCHANGE_TIMEOUT);
    let exchange = wire::exchange(starts);
    for _ in 0..WARM_UP_EXCHANGES {
        client.exchange(address, &exchange).await?;
    }
    let before = cpu_time::now();
    for _ in 0..TIMED_EXCHANGES {
        client.exchange(address, &exchange).await?;
    }
    let elapsed_cpu = cpu_time::now() - before;
    Ok(Cost {
        micros: elapsed_cpu.as_secs_f64() * 1e6 / f64::from(TIMED_EXCHANGES),
        header_bytes: header_bytes(address).await?,
    })
}

/// Returns the size of the headers of an exchange between a plain client and the same server.
async fn header_bytes(address: SocketAddr) -> anyhow::Result<f64> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let request = client.post(format!("http://{address}{EXCHANGE_PATH}")).json(&wire::exchange(0));
    let request = request.build()?;
    let line = format!("POST {EXCHANGE_PATH} HTTP/1.1\r\nhost: {address}\r\naccept: */*\r\n");
    let length = request.body().and_then(|body| body.as_bytes()).map_or(0, <[u8]>::len);
    let sent =
        line.len() + field_bytes(request.headers()) + format!("content-length: {length}").len();
    let response = client.execute(request).await?;
    let received = "HTTP/1.1 200 OK\r\n".len() + field_bytes(response.headers());
    Ok((sent + received + 6) as f64)
}

/// Returns the size of header fields in HTTP/1.1, in bytes.
pub(super) fn field_bytes(headers: &reqwest::header::HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

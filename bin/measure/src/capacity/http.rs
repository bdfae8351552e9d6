//! What an exchange with a worker costs beyond its decision: the shipped client over loopback.

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
use crate::processor;

/// Starts in one exchange.
const STARTS: &[usize] = &[0, 8, 32];
/// Exchanges that a time is taken from.
const TIMED: u32 = 4_000;
/// Exchanges before, so that the connection is warm.
const WARM: u32 = 200;
/// Time that one exchange may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Costs of the worker link.
#[derive(Clone, Debug)]
pub struct Http {
    /// Microseconds of processor time for an exchange, by the starts in it.
    pub exchange: Slope,
    /// Bytes of the two heads of an exchange.
    pub heads: f64,
}

impl Http {
    /// Measures over loopback; both ends are in this process, on threads of their own.
    ///
    /// # Errors
    ///
    /// When a port can't be bound or the other thread does not answer.
    pub fn measure() -> anyhow::Result<Http> {
        let mut heads = 0.0;
        let mut failed = None;
        let exchange = Slope::measure(
            "placer",
            "µs of processor for an exchange over HTTP",
            "starts in it",
            STARTS,
            |starts| match measure(starts) {
                Ok(measured) => {
                    heads = measured.heads;
                    measured.micros
                }
                Err(error) => {
                    failed = Some(error);
                    0.0
                }
            },
        );
        match failed {
            Some(error) => Err(error),
            None => Ok(Http { exchange, heads }),
        }
    }
}

struct Measured {
    micros: f64,
    heads: f64,
}

pub(super) fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn measure(starts: usize) -> anyhow::Result<Measured> {
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let (bound, address) = std::sync::mpsc::channel();
    let body = serde_json::to_vec(&wire::report(starts))?;
    let server = std::thread::spawn(move || serve(body, &bound, stopped));
    let address: SocketAddr = address.recv().context("the stand-in's thread did not start")?;
    let result = runtime()?.block_on(drive(address, starts));
    drop(stop);
    server.join().map_err(|_| anyhow::anyhow!("the stand-in's thread panicked"))??;
    result
}

#[derive(Clone)]
struct Answer(std::sync::Arc<Vec<u8>>);

#[handler]
fn answer(body: Data<&Answer>) -> poem::Response {
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
        let route = poem::Route::new().at(EXCHANGE_PATH, poem::post(answer));
        let app = route.data(Answer(std::sync::Arc::new(body)));
        let gone = async {
            let _ = stopped.await;
        };
        Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(app, gone, None).await?;
        Ok(())
    })
}

async fn drive(address: SocketAddr, starts: usize) -> anyhow::Result<Measured> {
    let client = Client::open(TIMEOUT);
    let exchange = wire::exchange(starts);
    for _ in 0..WARM {
        client.exchange(address, &exchange).await?;
    }
    let before = processor::now();
    for _ in 0..TIMED {
        client.exchange(address, &exchange).await?;
    }
    let spent = processor::now() - before;
    Ok(Measured {
        micros: spent.as_secs_f64() * 1e6 / f64::from(TIMED),
        heads: heads(address).await?,
    })
}

/// Adds up the heads of one exchange as a plain client and the same server make them.
async fn heads(address: SocketAddr) -> anyhow::Result<f64> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let request = client.post(format!("http://{address}{EXCHANGE_PATH}")).json(&wire::exchange(0));
    let request = request.build()?;
    let line = format!("POST {EXCHANGE_PATH} HTTP/1.1\r\nhost: {address}\r\naccept: */*\r\n");
    let length = request.body().and_then(|body| body.as_bytes()).map_or(0, <[u8]>::len);
    let sent = line.len() + fields(request.headers()) + format!("content-length: {length}").len();
    let response = client.execute(request).await?;
    let received = "HTTP/1.1 200 OK\r\n".len() + fields(response.headers());
    Ok((sent + received + 6) as f64)
}

/// Bytes of header fields as HTTP/1.1 writes them.
pub(super) fn fields(headers: &reqwest::header::HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

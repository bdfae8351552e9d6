//! Requests between scheduler processes, as single datagrams: the state of a job, the numbers of
//! pending jobs, whether the store is reachable, and the forecast of waiting work.
//!
//! The owner of the cell knows states and numbers without a call to the store, whose calls are
//! counted and limited. A lost datagram costs a timeout and a read of the store; a connection would
//! cost more, and could hang. `docs/design/platform.md` gives the comparison.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_admission::calendar::Booking;
use cowslipchute_admission::forecast::Forecast;
use cowslipchute_base::panic;
use cowslipchute_planner::record;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::clock;
use crate::health::Health;
use crate::owner;
use crate::owner::SharedPlanner;

/// Timeout of a request: a few round trips between failure domains, plus the delay of an owner that
/// is briefly busy.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);
/// Size of the largest datagram; the counts of some hundred queues fit.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Delay after a failed receive, so that a broken socket doesn't cause a busy loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request to another process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// Asks for the state of a job.
    State(JobId),
    /// Asks for the number of pending jobs of each queue.
    Pending,
    /// Asks whether the receiver reaches the store.
    StoreReachable,
    /// Asks for the forecast of waiting work, and reports rejected jobs that the owner hasn't
    /// confirmed.
    Forecast(Vec<Booking>),
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Response {
    /// State of the job, or `None` if the owner doesn't know it.
    State(Option<State>),
    /// Queues that have pending jobs, with their numbers.
    Pending(Vec<(Arc<str>, u32)>),
    /// Whether the store answered the receiver recently, whether or not it owns the cell.
    StoreReachable(bool),
    /// The receiver doesn't own the cell.
    NotOwner,
    /// The forecast of waiting work.
    Forecast(Arc<Forecast>),
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Datagram {
    Request { id: u64, request: Request },
    Response { id: u64, response: Response },
}

type Calls = Arc<Mutex<HashMap<u64, oneshot::Sender<Response>>>>;

/// The RPC endpoint of this process.
#[derive(Clone, Debug)]
pub struct Endpoint {
    socket: Arc<UdpSocket>,
    calls: Calls,
    planner: SharedPlanner,
    health: Health,
}

/// Binds the endpoint to an address and starts responding to requests.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    planner: SharedPlanner,
    health: Health,
) -> std::io::Result<Endpoint> {
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let endpoint = Endpoint { socket, calls: Calls::default(), planner, health };
    tokio::spawn(endpoint.clone().receive());
    Ok(endpoint)
}

impl Endpoint {
    /// Sends a request to the process at an address; returns `None` if no response arrives in time.
    pub async fn call(&self, address: SocketAddr, request: Request) -> Option<Response> {
        if self.socket.local_addr().is_ok_and(|own| own == address) {
            return Some(self.respond(request));
        }
        let id = rand::random();
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        let datagram = record::encode(&Datagram::Request { id, request });
        let sent = self.socket.send_to(&datagram, address).await;
        let response = match sent {
            Ok(_) => {
                tokio::time::timeout(RESPONSE_TIMEOUT, receiver).await.ok().and_then(Result::ok)
            }
            // The caller reads the store instead.
            Err(_) => None,
        };
        self.lock().remove(&id);
        response
    }

    /// Returns the response of this process.
    pub fn respond(&self, request: Request) -> Response {
        let now = clock::now();
        let mut planner = owner::lock(&self.planner);
        let owns = planner.owns(now);
        match request {
            Request::StoreReachable => Response::StoreReachable(self.health.is_reachable(now)),
            _ if !owns => Response::NotOwner,
            Request::State(job) => Response::State(planner.state(job)),
            Request::Pending => Response::Pending(planner.queued_jobs().into_iter().collect()),
            Request::Forecast(bookings) => {
                planner.book_retries(now, &bookings);
                Response::Forecast(planner.forecast(now, self.health.is_reachable(now)))
            }
        }
    }

    async fn receive(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            // Ignores datagrams of other senders; the port is open to the network.
            let Ok(datagram) = record::decode(&buffer[..length]) else { continue };
            match datagram {
                Datagram::Request { id, request } => {
                    let response = self.respond(request);
                    let reply = record::encode(&Datagram::Response { id, response });
                    // If the response is lost, the caller times out.
                    let _ = self.socket.send_to(&reply, from).await;
                }
                Datagram::Response { id, response } => {
                    if let Some(call) = self.lock().remove(&id) {
                        // The caller may have timed out just now.
                        let _ = call.send(response);
                    }
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Response>>> {
        panic::lock(&self.calls)
    }
}

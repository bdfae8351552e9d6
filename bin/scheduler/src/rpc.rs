//! Questions between our processes, as single datagrams: how far a job is, how many wait.
//!
//! The owner of the cell knows both without a call to the store, whose calls are counted and
//! limited. A lost datagram costs a timeout and a read of the store; a connection would cost more,
//! and could hang. `docs/design/platform.md` gives the comparison.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

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

/// How long an answer is waited for: a few round trips between failure domains, and an owner that
/// is busy for a moment.
const ANSWER_TIME: Duration = Duration::from_millis(120);
/// Largest datagram; counts of some hundred queues fit.
const DATAGRAM: usize = 16 << 10;
/// Pause after a failed receive, so that a broken socket doesn't spin.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// How far a job is.
    State(JobId),
    /// How many jobs of each queue wait.
    Pending,
    /// Whether the one asked reaches the store.
    StoreReachable,
}

/// What the owner answers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Response {
    /// The state, or nothing for a job that the owner doesn't know.
    State(Option<State>),
    /// Queues with jobs that wait, and their numbers.
    Pending(Vec<(Arc<str>, u32)>),
    /// Whether the store answered the one asked a moment ago, whoever owns the cell.
    StoreReachable(bool),
    /// The process asked doesn't own the cell now.
    NotOwner,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Datagram {
    Request { number: u64, question: Request },
    Response { number: u64, answer: Response },
}

type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<Response>>>>;

/// This process's end of the link.
#[derive(Clone, Debug)]
pub struct Endpoint {
    socket: Arc<UdpSocket>,
    waiting: Waiting,
    planner: SharedPlanner,
    health: Health,
}

/// Binds the link at an address and starts answering.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    planner: SharedPlanner,
    health: Health,
) -> std::io::Result<Endpoint> {
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let link = Endpoint { socket, waiting: Waiting::default(), planner, health };
    tokio::spawn(link.clone().receive());
    Ok(link)
}

impl Endpoint {
    /// Asks the process at an address; nothing if no answer comes in time.
    pub async fn call(&self, address: SocketAddr, question: Request) -> Option<Response> {
        if self.socket.local_addr().is_ok_and(|own| own == address) {
            return Some(self.answer(question));
        }
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(number, sender);
        let datagram = record::encode(&Datagram::Request { number, question });
        let sent = self.socket.send_to(&datagram, address).await;
        let answer = match sent {
            Ok(_) => tokio::time::timeout(ANSWER_TIME, receiver).await.ok().and_then(Result::ok),
            // The caller reads the store instead.
            Err(_) => None,
        };
        self.lock().remove(&number);
        answer
    }

    /// Answers from what this process knows.
    pub fn answer(&self, question: Request) -> Response {
        let planner = owner::lock(&self.planner);
        let owns = planner.owns(clock::now());
        match question {
            Request::StoreReachable => {
                Response::StoreReachable(self.health.is_reachable(clock::now()))
            }
            _ if !owns => Response::NotOwner,
            Request::State(job) => Response::State(planner.state(job)),
            Request::Pending => Response::Pending(planner.queued_jobs().into_iter().collect()),
        }
    }

    async fn receive(self) {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            };
            // Whatever is not ours is left alone; the port is open to the network.
            let Ok(datagram) = record::decode(&buffer[..length]) else { continue };
            match datagram {
                Datagram::Request { number, question } => {
                    let answer = self.answer(question);
                    let reply = record::encode(&Datagram::Response { number, answer });
                    // The one who asked goes on without an answer.
                    let _ = self.socket.send_to(&reply, from).await;
                }
                Datagram::Response { number, answer } => {
                    if let Some(waiting) = self.lock().remove(&number) {
                        // It may have given up a moment ago.
                        let _ = waiting.send(answer);
                    }
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Response>>> {
        self.waiting.lock().expect("nobody panics while holding the table of questions")
    }
}

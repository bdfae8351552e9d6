//! Workers over HTTP, each on its own port.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use cowslipchute_base::id::Instance;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_gateway::worker::EXCHANGE_PATH;
use cowslipchute_ports::worker::Exchange;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::Method;
use poem::http::StatusCode;

use crate::connection::Connections;
use crate::host;
use crate::injector::Injector;
use crate::injector::Refusal;
use crate::origin;
use crate::worker::fleet::Fleet;

/// Largest exchange, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// The fleet, shared by all calls.
#[derive(Debug)]
pub struct Service {
    fleet: Mutex<Fleet>,
    clock: Clock,
}

impl Service {
    /// Returns a service for a fleet.
    pub(crate) fn open(clock: Clock, fleet: Fleet) -> Arc<Service> {
        Arc::new(Service { fleet: Mutex::new(fleet), clock })
    }

    /// Advances the fleet to the current time and calls `f` with it. The clock is read under the
    /// lock, so that the fleet's time never goes back.
    pub fn with<T>(&self, f: impl FnOnce(&mut Fleet, std::time::Duration) -> T) -> T {
        let mut fleet: MutexGuard<'_, Fleet> = self.fleet.lock().expect("no lock holder panics");
        let now = self.clock.now();
        fleet.advance(now);
        f(&mut fleet, now)
    }

    fn exchange(&self, instance: &Instance, exchange: &Exchange) -> Response {
        let mut fleet = self.fleet.lock().expect("no lock holder panics");
        let now = self.clock.now();
        let report = fleet.exchange(instance, now, exchange);
        drop(fleet);
        let text = serde_json::to_string(&report).expect("the report is plain data");
        Response::builder().content_type("application/json").body(text)
    }
}

/// The context of one worker's calls.
pub(crate) struct Context {
    /// The worker.
    pub instance: Instance,
    /// The fleet.
    pub service: Arc<Service>,
    /// The worker's fault injector.
    pub injector: Arc<Injector>,
    /// The worker's connections.
    pub connections: Arc<Connections>,
}

async fn serve(context: Arc<Context>, mut request: Request) -> Result<Response, Refusal> {
    if request.method() != Method::POST || request.uri().path() != EXCHANGE_PATH {
        return Ok(StatusCode::NOT_FOUND.into());
    }
    let from = origin::of(&request);
    let Ok(body) = request.take_body().into_bytes_limit(BODY_LIMIT).await else {
        return Err(Refusal::Break);
    };
    let exchange: Exchange = match serde_json::from_slice(&body) {
        Ok(exchange) => exchange,
        Err(error) => return Ok((StatusCode::BAD_REQUEST, error.to_string()).into()),
    };
    let call = context.injector.before_request(from).await?;
    let response = context.service.exchange(&context.instance, &exchange);
    context.injector.before_response(&call).await?;
    Ok(response)
}

/// One worker's HTTP handler.
pub(crate) struct Handler {
    /// The context, shared by the worker's calls.
    pub context: Arc<Context>,
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let peer = host::peer(&request);
        // A separate task, because an exchange that has arrived is carried out even if its sender
        // has disconnected.
        let served = tokio::spawn(serve(self.context.clone(), request)).await;
        match served.expect("serving doesn't panic") {
            Ok(response) => Ok(response),
            Err(Refusal::Down) => Ok(StatusCode::SERVICE_UNAVAILABLE.into()),
            Err(Refusal::Break) => {
                peer.into_iter().for_each(|peer| self.context.connections.reset(peer));
                Ok(Response::default())
            }
        }
    }
}

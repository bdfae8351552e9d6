//! Workers over HTTP, each on a port of its own.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use cowslipchute_base::id::Instance;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_gateway::worker::EXCHANGE;
use cowslipchute_ports::worker::Exchange;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::Method;
use poem::http::StatusCode;

use crate::host;
use crate::link::Links;
use crate::origin;
use crate::valve::Refusal;
use crate::valve::Valve;
use crate::worker::fleet::Fleet;

/// Largest exchange.
const BODY_LIMIT: usize = 8 << 20;

/// The fleet that all calls share.
#[derive(Debug)]
pub struct Service {
    fleet: Mutex<Fleet>,
    clock: Clock,
}

impl Service {
    /// Opens the fleet to calls.
    pub(crate) fn open(clock: Clock, fleet: Fleet) -> Arc<Service> {
        Arc::new(Service { fleet: Mutex::new(fleet), clock })
    }

    /// Uses the fleet as it is now. The clock is read under the lock, so that time never goes back.
    pub fn with<T>(&self, f: impl FnOnce(&mut Fleet, std::time::Duration) -> T) -> T {
        let mut fleet: MutexGuard<'_, Fleet> = self.fleet.lock().expect("no holder panics");
        let now = self.clock.now();
        fleet.advance(now);
        f(&mut fleet, now)
    }

    fn exchange(&self, instance: &Instance, exchange: &Exchange) -> Response {
        let mut fleet = self.fleet.lock().expect("no holder panics");
        let now = self.clock.now();
        let report = fleet.exchange(instance, now, exchange);
        drop(fleet);
        let text = serde_json::to_string(&report).expect("the report is plain data");
        Response::builder().content_type("application/json").body(text)
    }
}

/// One worker's HTTP endpoint.
pub(crate) struct Door {
    /// The worker.
    pub instance: Instance,
    /// The fleet behind it.
    pub service: Arc<Service>,
    /// What its calls pass.
    pub valve: Arc<Valve>,
    /// Its connections.
    pub links: Arc<Links>,
}

async fn serve(door: Arc<Door>, mut request: Request) -> Result<Response, Refusal> {
    if request.method() != Method::POST || request.uri().path() != EXCHANGE {
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
    let pass = door.valve.enter(from).await?;
    let response = door.service.exchange(&door.instance, &exchange);
    door.valve.leave(&pass).await?;
    Ok(response)
}

/// A [`Door`] that its calls share.
pub(crate) struct Entrance {
    /// The door.
    pub door: Arc<Door>,
}

impl Endpoint for Entrance {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let peer = host::peer(&request);
        // A task of its own, since an exchange that has arrived is obeyed even when its sender is
        // gone.
        let served = tokio::spawn(serve(self.door.clone(), request)).await;
        match served.expect("serving doesn't panic") {
            Ok(response) => Ok(response),
            Err(Refusal::Down) => Ok(StatusCode::SERVICE_UNAVAILABLE.into()),
            Err(Refusal::Break) => {
                peer.into_iter().for_each(|peer| self.door.links.cut(peer));
                Ok(Response::default())
            }
        }
    }
}

//! HTTP clients to backend servers: one for each incarnation of each server, so that no connection
//! to an earlier incarnation is ever used for a later one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Time;
use reqwest::Client;

/// Time after which an idle connection is closed. Backend servers keep connections longer, so that
/// they rarely close one while a request is being written to it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which an unused client is removed; its connections are closed long before.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(60);

/// The clients of one front.
#[derive(Debug, Default)]
pub struct Table {
    clients: HashMap<(SocketAddr, Incarnation), Slot>,
    last_sweep: Time,
}

#[derive(Debug)]
struct Slot {
    client: Client,
    last_used: Time,
}

impl Table {
    /// Returns the client for one incarnation of a backend server, opening it if necessary.
    ///
    /// # Errors
    ///
    /// Returns an error if the library rejects the client's settings.
    pub fn get(
        &mut self,
        now: Time,
        address: SocketAddr,
        incarnation: Incarnation,
        connect: Duration,
        idle_max: usize,
    ) -> reqwest::Result<Client> {
        if now.saturating_sub(self.last_sweep) > UNUSED_TIMEOUT {
            self.clients.retain(|_, slot| now.saturating_sub(slot.last_used) <= UNUSED_TIMEOUT);
            self.last_sweep = now;
        }
        if let Some(slot) = self.clients.get_mut(&(address, incarnation)) {
            slot.last_used = now;
            return Ok(slot.client.clone());
        }
        let client = open(connect, idle_max)?;
        self.clients
            .insert((address, incarnation), Slot { client: client.clone(), last_used: now });
        Ok(client)
    }
}

/// Opens a client that follows no redirects, uses no proxy from the environment and doesn't retry.
///
/// The HTTP library still sends a request on a new connection if the pooled one closed before the
/// request was started. That is safe, since no byte had been written; a test checks it.
fn open(connect: Duration, idle_max: usize) -> reqwest::Result<Client> {
    Client::builder()
        .http1_only()
        .no_proxy()
        .referer(false)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(connect)
        .tcp_nodelay(true)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_max)
        .build()
}

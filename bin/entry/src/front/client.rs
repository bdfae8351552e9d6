//! HTTP clients to backend servers: one for each life of each server, so that no connection to an
//! earlier life is ever used for a later one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Time;
use reqwest::Client;

/// How long an idle connection is kept. Backend servers keep theirs longer, so that they rarely
/// close one just as a request is being written to it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a client is kept after its last use; its connections are closed long before.
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
    /// Finds or opens the client for one life of a backend server.
    ///
    /// # Errors
    ///
    /// When the library refuses its settings.
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

/// Opens a client that does nothing of its own accord: no redirect, no proxy from the environment,
/// no retry.
///
/// The library below still sends a request on a fresh connection when its pooled one closed before
/// the request was begun. That is safe: not a byte had been written. A test holds it to that.
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

//! HTTP clients to backend servers: one for each incarnation of each server, so that no connection
//! to an earlier incarnation is ever used for a later one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Time;

use crate::front::connection::Client;

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
    /// Returns the client for one incarnation of a backend server, opening it if there is none with
    /// this number of connections.
    pub fn get(
        &mut self,
        now: Time,
        address: SocketAddr,
        incarnation: Incarnation,
        connect: Duration,
        connections: usize,
    ) -> Client {
        if now.saturating_sub(self.last_sweep) > UNUSED_TIMEOUT {
            self.clients.retain(|_, slot| now.saturating_sub(slot.last_used) <= UNUSED_TIMEOUT);
            self.last_sweep = now;
        }
        let found = self.clients.get_mut(&(address, incarnation));
        if let Some(slot) = found.filter(|slot| slot.client.connections() == connections) {
            slot.last_used = now;
            return slot.client.clone();
        }
        let client = Client::open(address, connect, connections);
        let slot = Slot { client: client.clone(), last_used: now };
        self.clients.insert((address, incarnation), slot);
        client
    }
}

//! The limits of a process, derived from those of its machine.

/// Fraction of the sockets that clients may hold. The rest is for calls: an owner has one to each
/// worker in progress, and idle connections to the store and to workers.
const CLIENT_SOCKET_FRACTION: usize = 4;
/// Fraction of the memory that connections may take.
const CONNECTION_MEMORY_FRACTION: usize = 4;
/// Fraction of the memory that the bodies of requests in progress may take.
const BODY_MEMORY_FRACTION: usize = 8;
/// Bound on the memory of a connection without a large body: its state, its buffers here and in the
/// kernel, and the bytes that aren't charged ([`crate::bytes::FREE_BYTES`]).
const CONNECTION_BYTES: usize = 128 << 10;
/// Connections that are allowed whatever the machine has.
const MIN_CONNECTIONS: usize = 16;

/// Limits on what clients may hold of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of connections.
    pub connections: usize,
    /// Bytes of all large bodies together.
    pub body_bytes: usize,
}

impl Limits {
    /// Returns the limits for clients' requests on a machine with this memory, in bytes, and this
    /// many sockets.
    pub fn of_machine(memory: usize, sockets: usize) -> Limits {
        let by_memory = memory / CONNECTION_MEMORY_FRACTION / CONNECTION_BYTES;
        let by_sockets = sockets / CLIENT_SOCKET_FRACTION;
        Limits {
            connections: by_memory.min(by_sockets).max(MIN_CONNECTIONS),
            body_bytes: memory / BODY_MEMORY_FRACTION,
        }
    }

    /// Returns the limits for a port that a few known clients poll with requests without a body.
    pub fn of_polled_port() -> Limits {
        Limits { connections: MIN_CONNECTIONS, body_bytes: 0 }
    }
}

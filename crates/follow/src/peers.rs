//! The interface through which this crate calls peers.

use std::future::Future;
use std::net::SocketAddr;

use cowslipchute_peer::node::Node;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use thiserror::Error;

/// A call that got no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("the peer did not answer: {0}")]
pub struct Error(pub String);

/// Makes calls to peers.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Makes one call.
    ///
    /// # Errors
    ///
    /// When there is no reply; the peer may still have acted on the call.
    fn call(
        &self,
        address: SocketAddr,
        call: &Call,
    ) -> impl Future<Output = Result<Reply, Error>> + Send;
}

impl Peers for Node {
    async fn call(&self, address: SocketAddr, call: &Call) -> Result<Reply, Error> {
        Node::call(self, address, call).await.map_err(|error| Error(error.to_string()))
    }
}

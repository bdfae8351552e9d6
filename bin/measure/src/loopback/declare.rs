//! Declares a service in the platform's store, so that the entry serves it.

use std::time::Duration;

use cowslipchute_gateway::kv::Client;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Resource;
use cowslipchute_resource::Spec;
use cowslipchute_resource::key;
use cowslipchute_resource::service;
use cowslipchute_resource::stored::Stored;

/// Requests that may wait, so that the load is bounded by its connections alone.
const QUEUE: u32 = 100_000;

/// Time that the write may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Writes a service that has room for any load of this command.
///
/// # Errors
///
/// When the store can't be reached or refuses.
pub async fn service(store: &str, name: &str) -> anyhow::Result<()> {
    let spec = service::Spec {
        queue: QUEUE,
        queue_wait: Duration::from_secs(5),
        hedge: false,
        ..service::Spec::default()
    };
    let resource = Resource { name: name.into(), spec: Spec::Service(spec) };
    let value = Stored { operation: 1, resource }.to_bytes();
    let change = Change::Put { key: key::config(Kind::Service, name), value, lease: 0 };
    let txn = Txn { preconditions: Vec::new(), changes: vec![change] };
    Client::open(store, TIMEOUT).commit(txn).await?;
    Ok(())
}

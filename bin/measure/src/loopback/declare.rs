//! Declares a service in the platform's store.

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

/// Queue length of the service, large enough that only the connections bound the load.
const QUEUE_LENGTH: u32 = 100_000;

/// Timeout of the write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Declares a service that queues any load of this command.
///
/// # Errors
///
/// Returns an error if the store can't be reached or refuses the write.
pub async fn service(store: &str, name: &str) -> anyhow::Result<()> {
    let spec = service::Spec {
        queue: QUEUE_LENGTH,
        queue_wait: Duration::from_secs(5),
        hedge: false,
        ..service::Spec::default()
    };
    let resource = Resource { name: name.into(), spec: Spec::Service(spec) };
    let value = Stored { operation: 1, resource }.to_bytes();
    let change = Change::Put { key: key::config(Kind::Service, name), value, lease: 0 };
    let txn = Txn { preconditions: Vec::new(), changes: vec![change] };
    Client::open(store, WRITE_TIMEOUT).commit(txn).await?;
    Ok(())
}

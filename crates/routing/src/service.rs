//! State of a declared service.

use std::sync::Arc;

use cowslipchute_base::entity::Id;
use cowslipchute_base::id;
use cowslipchute_resource::service::Spec;

use crate::budget::Budget;
use crate::cooldown::Cooldown;
use crate::hedge::Histogram;
use crate::pool::Pool;

/// One service and the state shared by its requests.
#[derive(Debug)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Its desired state.
    pub spec: Arc<Spec>,
    /// The pool of backend servers that answer.
    pub pool: Id<Pool>,
    /// Whether it is still declared; if not, it is removed with its last request.
    pub declared: bool,
    /// Number of its requests without a final answer.
    pub requests: usize,
    /// Number of its requests that wait for a slot.
    pub queued: u32,
    /// Budget of its retries and hedges.
    pub budget: Budget,
    /// Histogram of its recent latencies.
    pub latencies: Histogram,
    /// Cooldown of the log event for a spent budget.
    pub budget_cooldown: Cooldown,
    /// Cooldown of the log event for shed requests.
    pub shed_cooldown: Cooldown,
}

impl Service {
    /// Creates the state of a newly declared service.
    pub fn open(name: id::Service, spec: Arc<Spec>, pool: Id<Pool>) -> Service {
        Service {
            name,
            pool,
            declared: true,
            requests: 0,
            queued: 0,
            budget: Budget::open(spec.retry_permille),
            latencies: Histogram::default(),
            budget_cooldown: Cooldown::default(),
            shed_cooldown: Cooldown::default(),
            spec,
        }
    }

    /// Applies a changed declaration; requests in progress keep their pool.
    pub fn redeclare(&mut self, spec: Arc<Spec>, pool: Id<Pool>) {
        self.budget.set_permille(spec.retry_permille);
        self.spec = spec;
        self.pool = pool;
        self.declared = true;
    }
}

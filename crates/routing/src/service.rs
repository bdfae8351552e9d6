//! A declared service, as the router keeps it.

use std::sync::Arc;

use cowslipchute_base::entity::Id;
use cowslipchute_base::id;
use cowslipchute_resource::service::Spec;

use crate::budget::Budget;
use crate::cooldown::Cooldown;
use crate::hedge::Histogram;
use crate::pool::Pool;

/// One service and what its requests share.
#[derive(Debug)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Its desired state.
    pub spec: Arc<Spec>,
    /// The backend servers that answer.
    pub pool: Id<Pool>,
    /// Whether it is still declared; if not, it goes with its last request.
    pub declared: bool,
    /// Its requests that have no final answer.
    pub requests: usize,
    /// Its requests that wait for a slot.
    pub queued: u32,
    /// Its retries and hedges.
    pub budget: Budget,
    /// Its recent latencies.
    pub latencies: Histogram,
    /// When the spent budget was last noted.
    pub budget_cooldown: Cooldown,
    /// When the refusal of trials was last noted.
    pub shed_cooldown: Cooldown,
}

impl Service {
    /// Opens a service that was just declared.
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

    /// Puts a changed declaration in force; requests in progress keep their pool.
    pub fn redeclare(&mut self, spec: Arc<Spec>, pool: Id<Pool>) {
        self.budget.set_permille(spec.retry_permille);
        self.spec = spec;
        self.pool = pool;
        self.declared = true;
    }
}

//! Ranks of requests within their service, and shares of client accounts in its long prompts.

use ringbend_gateway::{Demand, EngineProfile, Job, Priorities, Rank};
use ringbend_types::ServiceName;

use crate::node::Node;

impl Node {
    /// The priorities that requests of a service have; none without a configuration, or if the
    /// deployment does not ask for overload control.
    pub(crate) fn priorities(&self, service: &ServiceName) -> Priorities {
        if !self.cfg.borrow().overload.is_enabled() {
            return Priorities::default();
        }
        let replica = self.replica.borrow();
        replica.snapshot().map(|snapshot| snapshot.priorities(service)).unwrap_or_default()
    }

    /// The rank of a request now.
    pub(crate) fn rank(&self, job: &Job) -> Rank {
        job.rank(self.clock.now(), &self.priorities(&job.service))
    }

    /// Charges a long prompt that is placed now to its client account, if accounts have shares.
    /// The planner of a service places all its long prompts, so its record is complete, except that
    /// it starts empty.
    pub(crate) fn charge_long_prompt(&self, job: &Job, engine: &EngineProfile, demand: Demand) {
        if !self.cfg.borrow().overload.is_enabled() {
            return;
        }
        let read_ms = engine.prefill_ms(demand.prompt_tokens);
        let mut shares = self.prompt_shares.borrow_mut();
        let shares = shares.entry(job.service.clone()).or_default();
        shares.charge(self.clock.now(), job.account.as_ref(), read_ms);
    }
}

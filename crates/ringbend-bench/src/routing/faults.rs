//! Fault injection in the simulation.

use ringbend_models::{EngineModel, PrefixCache};
use ringbend_platform::EndpointState;
use ringbend_policy::{AttemptEnd, Event};
use ringbend_types::{AttemptId, InstanceId, RequestId};

use super::ids::instance_index;
use super::{CallerEnd, DETECTION_DELAY, RoutingSimulation, SimulationEvent};
use crate::scenario::Fault;

impl RoutingSimulation {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::EngineCrash(engine, downtime) => {
                self.crash_engine(engine);
                self.schedule_after(downtime, SimulationEvent::RestartEngine { engine });
            }
            Fault::EngineFreeze(engine, time) => {
                self.engines[engine].frozen_until = self.now + time;
                self.schedule_after(time, SimulationEvent::Unfreeze { engine });
            }
            Fault::EngineLeave(engine) => {
                self.engines[engine].model.set_state(EndpointState::Leaving);
                self.engines[engine].leaving_since = Some(self.now);
            }
            Fault::RefuseAll(time) => {
                self.refusing = true;
                self.schedule_after(time, SimulationEvent::SetRefusing(false));
            }
            Fault::InstanceCrash(instance) => self.crash_instance(instance),
            Fault::InstancePause(instance, time) => {
                // Overlapping pauses end with the later one; queued events keep their order.
                let until = self.instances[instance].paused_until.max(self.now + time);
                self.instances[instance].paused_until = until;
                self.schedule_at(until, SimulationEvent::Resume { instance });
            }
            Fault::Partition(time) => {
                self.partitioned = true;
                self.schedule_after(DETECTION_DELAY, SimulationEvent::UpdatePeers);
                self.schedule_after(time, SimulationEvent::HealPartition);
            }
            Fault::CacheLoss => {
                for engine in &mut self.engines {
                    let blocks = engine.model.spec().cache_blocks;
                    engine.model.replace_cache(PrefixCache::new(blocks));
                }
            }
        }
    }

    pub(super) fn crash_engine(&mut self, engine: usize) {
        self.engines[engine].alive = false;
        self.engines[engine].model = EngineModel::new(self.scenario.spec.clone());
        let broken: Vec<(AttemptId, usize)> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.engine == engine)
            .map(|(id, a)| (*id, a.instance))
            .collect();
        for (attempt, instance) in broken {
            self.end_attempt(instance, attempt, AttemptEnd::Broken);
        }
    }

    /// Callers and engines see their connections to the crashed instance break, and the engines
    /// cancel its attempts. Its reservations remain until they are swept.
    pub(super) fn crash_instance(&mut self, instance: usize) {
        self.instances[instance].alive = false;
        let at = self.now + self.scenario.caller_latency;
        let lost: Vec<RequestId> =
            self.requests.iter().filter(|(_, (_, i))| *i == instance).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some((record, _)) = self.requests.remove(&id) {
                self.records[record].end = Some((at, CallerEnd::InstanceLost));
            }
        }
        let broken: Vec<(AttemptId, usize)> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.instance == instance)
            .map(|(id, a)| (*id, a.engine))
            .collect();
        for (attempt, engine) in broken {
            self.schedule_after(self.scenario.latency, SimulationEvent::Cancel { engine, attempt });
        }
        self.schedule_after(DETECTION_DELAY, SimulationEvent::UpdatePeers);
    }

    pub(super) fn update_peers(&mut self) {
        for instance in 0..self.instances.len() {
            let half = self.instances.len() / 2;
            let same_side = |other: &InstanceId| {
                let other = instance_index(other);
                !self.partitioned || (other < half) == (instance < half)
            };
            let live = self.live_instances().into_iter().filter(same_side).collect();
            self.deliver(instance, Event::Peers(live));
        }
    }

    pub(super) fn live_instances(&self) -> Vec<InstanceId> {
        self.instances.iter().filter(|i| i.alive).map(|i| i.id.clone()).collect()
    }

    pub(super) fn can_reach(&self, instance: usize, engine: usize) -> bool {
        let first_instance = instance < self.instances.len() / 2;
        let first_engine = engine < self.engines.len() / 2;
        !self.partitioned || first_instance == first_engine
    }

    /// Returns the first live instance from `wanted` on, as a load balancer skips crashed instances.
    pub(super) fn live_instance_from(&self, wanted: usize) -> usize {
        let n = self.instances.len();
        let alive = |at: &usize| self.instances[*at].alive;
        (0..n).map(|offset| (wanted + offset) % n).find(alive).unwrap_or(wanted)
    }
}

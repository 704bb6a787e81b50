//! What fails in a world.

use ringbend_models::{EngineModel, PrefixCache};
use ringbend_platform::EndpointState;
use ringbend_policy::{AttemptEnd, Event};
use ringbend_types::{AttemptId, InstanceId, RequestId};

use super::names::instance_index;
use super::{CallerEnd, DEATH_KNOWN_AFTER, Happening, World};
use crate::scenario::Fault;

impl World {
    pub(super) fn fail(&mut self, fault: Fault) {
        match fault {
            Fault::EngineDies(engine, away) => {
                self.engine_dies(engine);
                self.after(away, Happening::EngineBack { engine });
            }
            Fault::EngineFreezes(engine, time) => {
                self.engines[engine].frozen_until = self.now + time;
                self.after(time, Happening::Thaw { engine });
            }
            Fault::EngineLeaves(engine) => {
                self.engines[engine].model.set_state(EndpointState::Leaving);
                self.engines[engine].leaves_at = Some(self.now);
            }
            Fault::AllRefuse(time) => {
                self.refusing = true;
                self.after(time, Happening::Refuse(false));
            }
            Fault::InstanceDies(instance) => self.instance_dies(instance),
            Fault::InstancePauses(instance, time) => {
                // Pauses that overlap end with the later one; events keep their order.
                let until = self.instances[instance].paused_until.max(self.now + time);
                self.instances[instance].paused_until = until;
                self.at(until, Happening::Resume { instance });
            }
            Fault::Cut(time) => {
                self.cut = true;
                self.after(DEATH_KNOWN_AFTER, Happening::PeersKnow);
                self.after(time, Happening::Mend);
            }
            Fault::CachesLost => {
                for engine in &mut self.engines {
                    let blocks = engine.model.spec().cache_blocks;
                    engine.model.replace_cache(PrefixCache::new(blocks));
                }
            }
        }
    }

    pub(super) fn engine_dies(&mut self, engine: usize) {
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

    /// The callers of a dead instance see their connections break, and so do the engines, which
    /// end the attempts. Reservations stay until they are swept.
    pub(super) fn instance_dies(&mut self, instance: usize) {
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
            self.after(self.scenario.latency, Happening::Cancel { engine, attempt });
        }
        self.after(DEATH_KNOWN_AFTER, Happening::PeersKnow);
    }

    pub(super) fn tell_peers(&mut self) {
        for instance in 0..self.instances.len() {
            let half = self.instances.len() / 2;
            let same_side = |other: &InstanceId| {
                let other = instance_index(other);
                !self.cut || (other < half) == (instance < half)
            };
            let live = self.live_instances().into_iter().filter(same_side).collect();
            self.deliver(instance, Event::Peers(live));
        }
    }

    pub(super) fn live_instances(&self) -> Vec<InstanceId> {
        self.instances.iter().filter(|i| i.alive).map(|i| i.id.clone()).collect()
    }

    pub(super) fn reaches(&self, instance: usize, engine: usize) -> bool {
        let first_instance = instance < self.instances.len() / 2;
        let first_engine = engine < self.engines.len() / 2;
        !self.cut || first_instance == first_engine
    }

    /// The balancer leaves out instances that are gone.
    pub(super) fn reachable_instance(&self, wanted: usize) -> usize {
        let n = self.instances.len();
        let alive = |at: &usize| self.instances[*at].alive;
        (0..n).map(|step| (wanted + step) % n).find(alive).unwrap_or(wanted)
    }
}

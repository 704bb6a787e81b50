//! The engine side of the simulation: submissions, steps, reservations and load reports.

use std::time::Duration;

use rand::Rng;
use ringbend_models::{EngineOutput, SequenceRequest, SubmitError};
use ringbend_platform::{EndpointEntry, EndpointKind, EndpointState, Reservation};
use ringbend_policy::{AttemptEnd, Dispatch, Event, HeldMemory};
use ringbend_types::{AttemptId, TokenCount};

use super::ids::{engine_index, parse_id, service};
use super::{
    ASSUMED_REPORT_AGE, Attempt, Engine, PREFIX_BLOCKS, PROGRESS_INTERVAL, RoutingSimulation,
    SimulationEvent,
};

impl RoutingSimulation {
    pub(super) fn submit(&mut self, instance: usize, dispatch: &Dispatch) {
        let engine = engine_index(&dispatch.endpoint);
        let attempt = dispatch.attempt;
        let Some((record, _)) = self.requests.get(&dispatch.request).copied() else { return };
        if !self.engines[engine].alive || !self.can_reach(instance, engine) {
            return self.end_attempt(instance, attempt, AttemptEnd::NotSent);
        }
        if let Some(leaving_since) = self.engines[engine].leaving_since {
            let elapsed = self.now.since(leaving_since);
            let longest = self.report.last_dispatch_after_leave.unwrap_or_default();
            self.report.last_dispatch_after_leave = Some(longest.max(elapsed));
        }
        if self.refusing {
            let end = AttemptEnd::Refused { retry_after: Some(Duration::from_secs(1)) };
            return self.end_attempt(instance, attempt, end);
        }
        let sequence_request = self.build_sequence_request(record, dispatch);
        let kv_required = sequence_request.prompt_tokens.0 + sequence_request.max_tokens
            - sequence_request.reserved_elsewhere.0;
        let report = self.engines[engine].model.report();
        if report.kv_used.0 + kv_required > report.kv_capacity.0 {
            self.report.overcommits += 1;
        }
        match self.engines[engine].model.submit(self.now, sequence_request) {
            Ok(()) => {
                let next_index = dispatch.resume_from;
                self.attempts.insert(attempt, Attempt { instance, engine, next_index });
                self.accepted_attempts.insert(attempt, record);
                if dispatch.resume_from == 0 {
                    self.records[record].runs += 1;
                }
                self.schedule_step(engine);
            }
            Err(SubmitError::Leaving) => {
                let end = AttemptEnd::Refused { retry_after: None };
                self.end_attempt(instance, attempt, end);
            }
            Err(_) => {
                let end = AttemptEnd::Refused { retry_after: Some(Duration::from_millis(500)) };
                self.end_attempt(instance, attempt, end);
            }
        }
    }

    pub(super) fn build_sequence_request(
        &self,
        record: usize,
        dispatch: &Dispatch,
    ) -> SequenceRequest {
        let arrival = &self.records[record].arrival;
        let blocks = (0..PREFIX_BLOCKS).map(|block| arrival.prefix * PREFIX_BLOCKS + block);
        let full_blocks = arrival.prompt / ringbend_models::BLOCK_TOKENS;
        SequenceRequest {
            attempt: dispatch.attempt,
            prompt_tokens: TokenCount(arrival.prompt),
            max_tokens: arrival.output,
            resume_from: dispatch.resume_from,
            priority: dispatch.priority,
            blocks: blocks.take(full_blocks as usize).collect(),
            reserved_elsewhere: TokenCount(dispatch.held.iter().map(|h| h.tokens.0).sum()),
        }
    }

    pub(super) fn end_attempt(&mut self, instance: usize, attempt: AttemptId, end: AttemptEnd) {
        self.attempts.remove(&attempt);
        let event = Box::new(Event::Ended { attempt, end });
        self.schedule_after(
            self.scenario.latency,
            SimulationEvent::DeliverToPolicy { instance, event },
        );
    }

    pub(super) fn schedule_step(&mut self, engine: usize) {
        let frozen_until = self.engines[engine].frozen_until;
        if let Some(due) = self.engines[engine].model.step_ends_at() {
            self.schedule_at(due.max(frozen_until), SimulationEvent::Step { engine });
        }
    }

    pub(super) fn run_step(&mut self, engine: usize) {
        if self.engines[engine].frozen_until > self.now {
            return;
        }
        let due = self.engines[engine].model.step_ends_at();
        if due.is_none_or(|due| due > self.now) {
            return;
        }
        let outputs = self.engines[engine].model.advance(self.now);
        for output in outputs {
            self.forward_output(output);
        }
        self.schedule_step(engine);
    }

    pub(super) fn forward_output(&mut self, output: EngineOutput) {
        let Some(attempt) = self.attempts.get_mut(&output.attempt) else { return };
        let first = output.index == attempt.next_index;
        let tokens = output.index + 1;
        let (instance, id) = (attempt.instance, output.attempt);
        if !self.can_reach(instance, self.attempts[&id].engine) {
            return;
        }
        if first || output.last || tokens.is_multiple_of(PROGRESS_INTERVAL) {
            let event = Box::new(Event::Progress { attempt: id, tokens });
            self.schedule_after(
                self.scenario.latency,
                SimulationEvent::DeliverToPolicy { instance, event },
            );
        }
        if output.last {
            let event = Box::new(Event::Ended { attempt: id, end: AttemptEnd::Complete });
            self.schedule_after(
                self.scenario.latency,
                SimulationEvent::DeliverToPolicy { instance, event },
            );
            self.attempts.remove(&id);
        }
    }

    pub(super) fn reserve(&mut self, instance: usize, attempt: AttemptId, memory: HeldMemory) {
        let engine = engine_index(&memory.endpoint);
        let reachable = self.engines[engine].alive && self.can_reach(instance, engine);
        let reservation = Reservation { attempt, tokens: memory.tokens };
        let held = reachable && self.engines[engine].model.reserve(reservation).is_ok();
        let endpoint = memory.endpoint;
        let event = Box::new(Event::Reserved { attempt, endpoint, held });
        self.schedule_after(
            self.scenario.latency,
            SimulationEvent::DeliverToPolicy { instance, event },
        );
    }

    pub(super) fn send_reports(&mut self) {
        self.schedule_after(self.scenario.report_every, SimulationEvent::Report);
        for engine in 0..self.engines.len() {
            if !self.engines[engine].alive || self.engines[engine].frozen_until > self.now {
                continue;
            }
            let report = self.engines[engine].model.report();
            let endpoint = self.engines[engine].id.clone();
            for instance in 0..self.instances.len() {
                let lost = self.rng.random_bool(self.scenario.report_loss);
                if lost || !self.can_reach(instance, engine) {
                    continue;
                }
                let arrives = self.now + self.scenario.report_lag + self.scenario.latency;
                let at = arrives - ASSUMED_REPORT_AGE;
                let (endpoint, report) = (endpoint.clone(), report.clone());
                let event = Box::new(Event::Load { endpoint, report, at });
                self.schedule_at(arrives, SimulationEvent::DeliverToPolicy { instance, event });
            }
        }
    }

    pub(super) fn entries(&self) -> Vec<EndpointEntry> {
        let entry = |engine: &Engine| EndpointEntry {
            id: engine.id.clone(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: parse_id("dc-1"),
            kind: EndpointKind::Engine,
            service: service(),
            checks_fencing: true,
            kv_capacity: self.scenario.spec.kv_capacity,
            state: EndpointState::Live,
        };
        self.engines.iter().map(entry).collect()
    }
}

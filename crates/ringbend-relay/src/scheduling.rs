//! Placement of a request from the point of view of the instance that serves its caller.

use std::time::Duration;

use ringbend_gateway::{
    AllowedDataCentres, AllowedRegions, Assessment, Endpoint, HealthEvent, Job, Placement,
    Reservation, ReservationId, SuspectState, Suspects, WorkId,
};
use ringbend_types::{Fingerprint, Timestamp};
use smallvec::SmallVec;

use crate::active_request::{ActiveRequest, SendFailure};
use crate::node::TrackedSend;
use crate::placement::PlacementError;
use crate::reservations::{MemoryReservations, ReservedEndpoint};

/// Delay before a memory reservation is retried. The largest prompts run for several seconds.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Requests whose target time to the first event exceeds one of these values are queued at the
/// engine behind more urgent ones.
const LOW_URGENCY_AIMS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_000)];

/// The number of engine priorities between two priorities of the configuration.
const RANKS_PER_PRIORITY: u8 = 3;

/// The lowest priority that engines support.
const MAX_RANK: u8 = 9;

/// Callers abandon a stream without a first event after the longest of three times: this multiple
/// of the target time to the first event, `GAP_FACTOR` times the target for pauses between events,
/// and `MIN_FIRST_EVENT_TIMEOUT`.
const AIM_FACTOR: u32 = 4;

/// Multiple of the target for pauses between events; see [`AIM_FACTOR`].
const GAP_FACTOR: u32 = 8;

/// Shortest time after which callers abandon a stream without a first event; see [`AIM_FACTOR`].
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request's next send.
pub(crate) struct ScheduledSend {
    /// The endpoint that receives the request.
    pub(crate) endpoint: Endpoint,
    /// The engines that prefill the prompt, and how.
    pub(crate) placement: Placement,
    /// The send's entry in the load tracker.
    pub(crate) tracked: TrackedSend,
    /// Expected time to the first event.
    pub(crate) expected: Duration,
}

impl ActiveRequest {
    /// Places the request. With `at_once`, as for a stream that is resumed, it does not wait for
    /// its turn.
    pub(crate) async fn schedule(&self, at_once: bool) -> Result<ScheduledSend, SendFailure> {
        if self.is_held() {
            return Err(SendFailure::Held);
        }
        if self.node.is_out_of_reach(&self.config.service.name) {
            return Err(SendFailure::OutOfReach);
        }
        if let Some(after) = self.node.all_backing_off(&self.config.service.name) {
            return Err(SendFailure::BackingOff(after));
        }
        let tracked = TrackedSend::new(self.node.clone());
        let job = self.build_job(at_once);
        if job.data_centres.is_empty() {
            log::info!(target: "request", id = self.request_id(); "no data centre is in all allowed regions");
            return Err(SendFailure::NoEndpoint);
        }
        let placement = tokio::select! {
            biased;
            () = self.wait_until_last_send() => return Err(SendFailure::Stopping),
            placement = self.node.schedule(tracked.id, &job, self.config.service.engine) => placement,
        };
        let placement = placement.map_err(|e| match e {
            PlacementError::TurnExpired => SendFailure::TurnExpired,
            PlacementError::NoEndpoint => self.no_endpoint_reason(),
            PlacementError::Held => SendFailure::Held,
            PlacementError::NoArbiter => SendFailure::NoArbiter,
            PlacementError::Limited(after) => SendFailure::Limited(after),
            PlacementError::Overloaded(after) => SendFailure::Overloaded(after),
            PlacementError::NotCoordinator => SendFailure::NoEndpoint,
        })?;
        let endpoint = self.node.directory.borrow().get(&placement.lead).cloned();
        let endpoint = endpoint.ok_or(SendFailure::NoEndpoint)?;
        let expected = Duration::from_secs_f64(placement.first_ms.max(0.0) / 1e3);
        Ok(ScheduledSend { endpoint, placement, tracked, expected })
    }

    /// Why no endpoint is eligible.
    fn no_endpoint_reason(&self) -> SendFailure {
        let after = self.node.all_backing_off(&self.config.service.name);
        after.map_or(SendFailure::NoEndpoint, SendFailure::BackingOff)
    }

    fn build_job(&self, at_once: bool) -> Job {
        let deadline = self.attempts.deadline();
        Job {
            request: self.request_id().into(),
            service: self.config.service.name.clone(),
            demand: self.metadata.demand,
            since: self.arrived_at,
            first_by: self.first_event_due(),
            gap: self.gap_target(),
            // A caller that has received an event waits until its deadline.
            caller_timeout_at: if at_once { deadline } else { self.first_event_timeout() },
            deadline,
            tried: self.attempts.tried().iter().cloned().collect(),
            backing_off: self.node.closed_endpoints(&self.config.service.name),
            data_centres: self.allowed_data_centres(),
            at_once,
            priority: self.priority(),
            account: self.config.account.as_ref().map(|account| account.id.clone()),
            fingerprint: self
                .node
                .cfg
                .borrow()
                .overload
                .is_enabled()
                .then_some(self.original.keys.request),
            suspects: self.suspects(),
        }
    }

    /// The data centres in which the request may run. Its route and its client account may each be
    /// confined to regions.
    pub(crate) fn allowed_data_centres(&self) -> AllowedDataCentres {
        let route = &self.config.route.regions;
        let account = self.config.account.as_ref().map(|account| &account.regions);
        let restrictions: SmallVec<[&AllowedRegions; 2]> =
            std::iter::once(route).chain(account).collect();
        self.node.cfg.borrow().regions.data_centres_in(&restrictions)
    }

    /// Whether the request must not be sent to any endpoint.
    pub(crate) fn is_held(&self) -> bool {
        !self.is_trial && self.held_for().is_some()
    }

    /// The request or part for which the request is held, whether or not this is its trial run.
    pub(crate) fn held_for(&self) -> Option<Fingerprint> {
        let assessment = self.assess();
        assessment.cause.filter(|_| assessment.state == SuspectState::Held)
    }

    /// How the request is treated according to this instance's knowledge.
    pub(crate) fn assess(&self) -> Assessment {
        self.original.keys.assess(&self.node.quarantine.borrow())
    }

    /// The fingerprints of the request and its parts if one is suspected of crashing endpoints. The
    /// trial run of a held request needs no arbiter.
    fn suspects(&self) -> Suspects {
        match self.assess().state {
            SuspectState::Suspect(_) if !self.is_trial => self.original.keys.suspects(),
            _ => Suspects::new(),
        }
    }

    /// Reserves memory for the request if its lead engine has too little.
    pub(crate) async fn reserve_memory(
        &self,
        placement: &Placement,
        tracked: &mut TrackedSend,
    ) -> Result<(), SendFailure> {
        if placement.held.is_empty() {
            return Ok(());
        }
        match MemoryReservations::reserve(
            self.node.clone(),
            self.reserved_endpoints(tracked.id, placement),
        )
        .await
        {
            Ok(memory) => {
                tracked.memory = Some(memory);
                Ok(())
            }
            Err(reservation) => {
                let (id, endpoint) = (self.request_id(), &reservation.endpoint);
                log::info!(target: "request", id, endpoint:% = endpoint, tokens = reservation.tokens; "engine has too little free memory");
                self.record_health(endpoint, HealthEvent::Full);
                Err(SendFailure::NoMemory)
            }
        }
    }

    fn reserved_endpoints(&self, work: WorkId, placement: &Placement) -> Vec<ReservedEndpoint> {
        let directory = self.node.directory.borrow();
        let held = placement.held.iter().zip(1..);
        held.filter_map(|(held, number)| {
            let address = directory.get(&held.endpoint)?.address;
            let (endpoint, tokens) = (held.endpoint.clone(), held.tokens);
            let reservation = Reservation { id: ReservationId { work, number }, endpoint, tokens };
            Some(ReservedEndpoint { reservation, address })
        })
        .collect()
    }

    /// The target for the longest pause between events.
    pub(crate) fn gap_target(&self) -> Duration {
        self.config.route.target_gap.unwrap_or(self.config.route.target_latency)
    }

    /// The target time of the first event.
    pub(crate) fn first_event_due(&self) -> Timestamp {
        self.arrived_at + self.config.route.target_latency
    }

    /// When the caller gives up if no event has arrived.
    fn first_event_timeout(&self) -> Timestamp {
        let route = &self.config.route;
        let timeout = (route.target_latency * AIM_FACTOR)
            .max(self.gap_target() * GAP_FACTOR)
            .max(MIN_FIRST_EVENT_TIMEOUT);
        self.attempts.deadline().min(self.arrived_at + timeout)
    }

    /// The request's priority in an engine's queue: by account or route first, then by how soon the
    /// first event is due, so that a long prompt that waits for memory does not delay short ones.
    pub(crate) fn engine_priority(&self) -> u8 {
        let urgency_rank =
            LOW_URGENCY_AIMS.iter().filter(|aim| self.config.route.target_latency > **aim).count()
                as u8;
        self.priority()
            .saturating_mul(RANKS_PER_PRIORITY)
            .saturating_add(urgency_rank)
            .min(MAX_RANK)
    }

    /// The priority of the account, or of the route if the account has none.
    pub(crate) fn priority(&self) -> u8 {
        let account = self.config.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.config.route.priority)
    }

    /// How long one engine takes to prefill the prompt.
    pub(crate) fn prefill_time(&self) -> Duration {
        let (engine, demand) = (&self.config.service.engine, self.metadata.demand);
        let ms = engine.zip(demand).map_or(0.0, |(e, d)| e.prefill_ms(d.prompt_tokens));
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Waits briefly for memory to be freed. Returns false if a retry would be too late.
    pub(crate) async fn wait_for_memory(&self) -> bool {
        let now = self.node.clock.now();
        if now + MEMORY_RETRY_INTERVAL >= self.first_event_due().min(self.attempts.deadline()) {
            return false;
        }
        tokio::time::sleep(MEMORY_RETRY_INTERVAL).await;
        true
    }
}

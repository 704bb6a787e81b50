//! A request as its instance has it placed.

use std::time::Duration;

use ringbend_gateway::{
    Endpoint, HealthEvent, Job, Placement, Reservation, ReservationId, SuspectState, WorkId,
};
use ringbend_types::{Fingerprint, Timestamp};

use crate::life::{Failed, Life};
use crate::memory::{HeldMemory, Place};
use crate::node::Placed;
use crate::placing::Denied;

/// How long to wait before memory is asked for again. The largest prompts run for some seconds.
const MEMORY_RETRY: Duration = Duration::from_millis(200);

/// Requests that are due later than these wait behind those that are due sooner.
const PATIENT_AIMS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_000)];

/// How many ranks at an engine lie between two priorities of the configuration.
const RANKS_PER_PRIORITY: u8 = 3;

/// The last rank that engines know.
const LAST_RANK: u8 = 9;

/// Callers leave a stream without an event after this many times its aim, if that is longest.
const AIM_FACTOR: u32 = 4;

/// The same in longest pauses that are on time.
const GAP_FACTOR: u32 = 8;

/// The same as a span.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// Where a request goes next.
pub(crate) struct Scheduled {
    /// Gets the request.
    pub(crate) endpoint: Endpoint,
    /// How it is read.
    pub(crate) placement: Placement,
    /// Its work on the books.
    pub(crate) placed: Placed,
    /// How long its first event is expected to take.
    pub(crate) expected: Duration,
}

impl Life {
    /// Has the request placed. One whose stream has begun does not wait for its turn.
    pub(crate) async fn schedule(&self, at_once: bool) -> Result<Scheduled, Failed> {
        if self.is_held() {
            return Err(Failed::Held);
        }
        if let Some(after) = self.node.all_backing_off(&self.terms.service.name) {
            return Err(Failed::BackingOff(after));
        }
        let placed = Placed::new(self.node.clone());
        let job = self.job(at_once);
        let placement = tokio::select! {
            biased;
            () = self.past_last_send() => return Err(Failed::Stopping),
            placement = self.node.schedule(placed.id, &job, self.terms.service.engine) => placement,
        };
        let placement = placement.map_err(|denied| match denied {
            Denied::NoTurn => Failed::NoTurn,
            Denied::NoEndpoint => self.no_endpoint(),
            Denied::Held => Failed::Held,
            Denied::NoArbiter => Failed::NoArbiter,
            Denied::Limited(after) => Failed::Limited(after),
            Denied::NotHere => Failed::NoEndpoint,
        })?;
        let endpoint = self.node.directory.borrow().get(&placement.lead).cloned();
        let endpoint = endpoint.ok_or(Failed::NoEndpoint)?;
        let expected = Duration::from_secs_f64(placement.first_ms.max(0.0) / 1e3);
        Ok(Scheduled { endpoint, placement, placed, expected })
    }

    /// Why no endpoint was left.
    fn no_endpoint(&self) -> Failed {
        let after = self.node.all_backing_off(&self.terms.service.name);
        after.map_or(Failed::NoEndpoint, Failed::BackingOff)
    }

    fn job(&self, at_once: bool) -> Job {
        let deadline = self.attempts.deadline();
        Job {
            request: self.id().into(),
            service: self.terms.service.name.clone(),
            demand: self.call.demand,
            since: self.arrived,
            first_by: self.first_by(),
            gap: self.gap(),
            // A caller that has a first event leaves at its deadline.
            caller_timeout_at: if at_once { deadline } else { self.first_event_patience() },
            deadline,
            tried: self.attempts.tried().iter().cloned().collect(),
            backing_off: self.node.closed_endpoints(&self.terms.service.name),
            at_once,
            rank: self.urgency(),
            suspect: self.suspect(),
        }
    }

    /// Whether no endpoint may get the request.
    pub(crate) fn is_held(&self) -> bool {
        !self.is_try && self.node.suspect_state(self.origin.fingerprint) == SuspectState::Held
    }

    /// The request, if it is suspected of ending endpoints. The one try of a held one needs no arbiter.
    fn suspect(&self) -> Option<Fingerprint> {
        let of = self.origin.fingerprint;
        let is_suspect = matches!(self.node.suspect_state(of), SuspectState::Suspect(_));
        (is_suspect && !self.is_try).then_some(of)
    }

    /// Holds memory for the request where its lead has too little.
    pub(crate) async fn hold_memory(
        &self,
        placement: &Placement,
        placed: &mut Placed,
    ) -> Result<(), Failed> {
        if placement.held.is_empty() {
            return Ok(());
        }
        match HeldMemory::hold(self.node.clone(), self.places(placed.id, placement)).await {
            Ok(memory) => {
                placed.memory = Some(memory);
                Ok(())
            }
            Err(ticket) => {
                let (id, endpoint) = (self.id(), &ticket.endpoint);
                log::info!(target: "request", id, endpoint:% = endpoint, tokens = ticket.tokens; "no memory");
                self.trust(endpoint, HealthEvent::Full);
                Err(Failed::NoMemory)
            }
        }
    }

    fn places(&self, work: WorkId, placement: &Placement) -> Vec<Place> {
        let directory = self.node.directory.borrow();
        let held = placement.held.iter().zip(1..);
        held.filter_map(|(held, number)| {
            let address = directory.get(&held.endpoint)?.address;
            let (endpoint, tokens) = (held.endpoint.clone(), held.tokens);
            let ticket = Reservation { id: ReservationId { work, number }, endpoint, tokens };
            Some(Place { ticket, address })
        })
        .collect()
    }

    /// The longest pause between events that is on time.
    pub(crate) fn gap(&self) -> Duration {
        self.terms.route.gap_aim.unwrap_or(self.terms.route.aim)
    }

    /// When the first event is due.
    pub(crate) fn first_by(&self) -> Timestamp {
        self.arrived + self.terms.route.aim
    }

    /// When the caller leaves if no event has come.
    fn first_event_patience(&self) -> Timestamp {
        let route = &self.terms.route;
        let patience = (route.aim * AIM_FACTOR).max(self.gap() * GAP_FACTOR).max(LEAST_PATIENCE);
        self.attempts.deadline().min(self.arrived + patience)
    }

    /// The rank among requests that wait at an engine: by account or route, then by how soon the
    /// first event is due, so that a long prompt that waits for memory does not hold up short ones.
    pub(crate) fn rank(&self) -> u8 {
        let patience = PATIENT_AIMS.iter().filter(|aim| self.terms.route.aim > **aim).count() as u8;
        self.urgency().saturating_mul(RANKS_PER_PRIORITY).saturating_add(patience).min(LAST_RANK)
    }

    /// The priority of its account, or of its route.
    fn urgency(&self) -> u8 {
        let account = self.terms.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.terms.route.priority)
    }

    /// How long one engine would read the prompt.
    pub(crate) fn read_time(&self) -> Duration {
        let (engine, demand) = (&self.terms.service.engine, self.call.demand);
        let ms = engine.zip(demand).map_or(0.0, |(e, d)| e.prefill_ms(d.prompt_tokens));
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Waits a little for memory to be freed; false once it is no use.
    pub(crate) async fn wait_for_memory(&self) -> bool {
        let now = self.node.clock.now();
        if now + MEMORY_RETRY >= self.first_by().min(self.attempts.deadline()) {
            return false;
        }
        tokio::time::sleep(MEMORY_RETRY).await;
        true
    }
}

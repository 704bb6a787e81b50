//! Where a request is put: the choice of endpoints, its work on the load book, memory held for it.

use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{
    Demand, Endpoint, EndpointLoad, Placement, Ticket, TicketId, TrustEvent, View, Wish, Work,
    WorkId, is_long, place_on_engines, place_on_service, stake,
};
use ringbend_types::{EndpointId, Timestamp};

use crate::fields::Millis;
use crate::life::{Failed, Life};
use crate::memory::{HeldMemory, Place};
use crate::node::Placed;

/// How long to wait before memory is asked for again. The largest prompts run for some seconds.
const MEMORY_RETRY: Duration = Duration::from_millis(200);

/// Requests that are due later than these wait behind those that are due sooner.
const PATIENT_AIMS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_000)];

/// How long an instance that has just started listens for others before it takes itself for the only
/// one. A read of the store, which may take a third of a second when it is slow, tells of them.
const LISTEN_TIME: Duration = Duration::from_millis(400);

/// How many ranks at an engine lie between two priorities of the configuration.
const RANKS_PER_PRIORITY: u8 = 3;

/// The last rank that engines know.
const LAST_RANK: u8 = 9;

impl Life {
    /// Decides with what is known of the service's endpoints now.
    pub(crate) fn decide<T>(&self, with: impl FnOnce(View<'_>, &[&Endpoint]) -> T) -> T {
        let now = self.node.clock.now();
        self.node.load.borrow_mut().advance(now);
        let directory = self.node.directory.borrow();
        let candidates: Vec<&Endpoint> =
            directory.of_service(now, &self.terms.service.name).collect();
        let (cfg, load, trust) =
            (self.node.cfg.borrow(), self.node.load.borrow(), self.node.trust.borrow());
        let alone = self.node.peers.borrow().instances(now) <= 1;
        let view = View {
            now,
            home: &cfg.data_centre,
            load: &load,
            alone: alone.then(|| self.node.rng.borrow_mut().random()),
            starting: alone && now.since(self.node.clock.started_at()) < LISTEN_TIME,
            weights: &cfg.placement,
            trust: &trust,
            tried: self.attempts.tried(),
        };
        with(view, &candidates)
    }

    /// Picks endpoints and writes the line of that decision.
    pub(crate) fn choose(&mut self) -> Option<(Endpoint, Placement)> {
        let (placement, candidates) = self.decide(|view, candidates| {
            let placement = match (&self.terms.service.engine, self.call.demand) {
                (Some(engine), Some(demand)) => {
                    place_on_engines(view, engine, candidates, &self.wish(view.now, demand))
                }
                _ => place_on_service(view, candidates),
            };
            placement.map(|placement| (placement, candidates.len()))
        })?;
        let endpoint = self.node.directory.borrow().get(&placement.lead)?.clone();
        self.expected = Duration::from_secs_f64(placement.first_ms.max(0.0) / 1e3);
        let load = self.node.load.borrow();
        self.log_choice(self.node.clock.now(), &placement, load.of(&endpoint.id), candidates);
        Some((endpoint, placement))
    }

    /// What is wanted of a placement.
    pub(crate) fn wish(&self, now: Timestamp, demand: Demand) -> Wish {
        Wish { demand, first_in: self.first_by().since(now), gap: self.gap() }
    }

    /// Writes the line of a choice: what it was made from, and what it expects.
    fn log_choice(
        &self,
        now: Timestamp,
        placement: &Placement,
        lead: &EndpointLoad,
        candidates: usize,
    ) {
        let config_age_ms = Millis(self.node.replica.borrow().age(now));
        let (config, instances) = (self.terms.version, self.node.metrics.live_instances.get());
        let prompt = self.call.demand.map_or(0, |demand| demand.prompt_tokens);
        let with: Vec<&str> = placement.helpers.iter().map(EndpointId::as_str).collect();
        let cost_percent = (placement.cost * 100.0) as i64;
        let places = self.terms.service.engine.map_or(0, |engine| engine.slots);
        log::info!(
            target: "request", id = self.id(), route:% = self.terms.route.name,
            endpoint:% = placement.lead, with = with.join(" "), prompt, candidates,
            config:%, config_age_ms:%, instances,
            part_ms:% = Millis(Some(placement.part)), first_ms = placement.first_ms as u64,
            cost_percent, backlog_ms:% = Millis(Some(lead.backlog())),
            writers = lead.writers().len(), places, memory = lead.memory_tokens();
            "sent"
        );
    }

    /// Puts the request on the load book, and holds memory for it where the lead has too little.
    pub(crate) async fn place(&mut self, placement: &Placement) -> Result<Placed, Failed> {
        let id = self.node.next_work();
        let mut placed = self.node.place(id, self.work(placement));
        if placement.held.is_empty() {
            return Ok(placed);
        }
        match HeldMemory::hold(self.node.clone(), self.places(id, placement)).await {
            Ok(memory) => {
                placed.memory = Some(memory);
                Ok(placed)
            }
            Err(ticket) => {
                let (id, endpoint) = (self.id(), &ticket.endpoint);
                log::info!(target: "request", id, endpoint:% = endpoint, tokens = ticket.tokens; "no memory");
                self.node.trust.borrow_mut().note(
                    self.node.clock.now(),
                    endpoint,
                    TrustEvent::Full,
                );
                Err(Failed::NoMemory)
            }
        }
    }

    pub(crate) fn places(&self, work: WorkId, placement: &Placement) -> Vec<Place> {
        let directory = self.node.directory.borrow();
        let held = placement.held.iter().zip(1..);
        held.filter_map(|(held, number)| {
            let address = directory.get(&held.endpoint)?.address;
            let (endpoint, tokens) = (held.endpoint.clone(), held.tokens);
            let ticket = Ticket { id: TicketId { work, number }, endpoint, tokens };
            Some(Place { ticket, address })
        })
        .collect()
    }

    pub(crate) fn work(&self, placement: &Placement) -> Work {
        let demand = self.call.demand.unwrap_or(Demand { prompt_tokens: 0, answer_tokens: 0 });
        let memory = demand.prompt_tokens + demand.answer_tokens;
        Work {
            lead: placement.lead.clone(),
            helpers: placement.helpers.clone(),
            part: placement.part,
            memory_tokens: memory.saturating_sub(placement.held.iter().map(|h| h.tokens).sum()),
            held: placement.held.clone(),
            long: self.is_long(),
            gap: self.gap(),
            first_by: self.first_by(),
            stake: stake(&self.node.cfg.borrow().placement, demand.prompt_tokens),
            until: self.attempts.deadline(),
        }
    }

    /// The longest pause between events that is on time.
    pub(crate) fn gap(&self) -> Duration {
        self.terms.route.gap_aim.unwrap_or(self.terms.route.aim)
    }

    /// When the first event is due.
    pub(crate) fn first_by(&self) -> Timestamp {
        self.arrived + self.terms.route.aim
    }

    /// The rank among requests that wait at an engine: by account or route, then by how soon the
    /// first event is due, so that a long prompt that waits for memory does not hold up short ones.
    pub(crate) fn rank(&self) -> u8 {
        let account = self.terms.account.as_ref().and_then(|account| account.priority);
        let urgency = account.unwrap_or(self.terms.route.priority);
        let patience = PATIENT_AIMS.iter().filter(|aim| self.terms.route.aim > **aim).count() as u8;
        urgency.saturating_mul(RANKS_PER_PRIORITY).saturating_add(patience).min(LAST_RANK)
    }

    /// Whether the prompt is long, so that it waits for its turn.
    pub(crate) fn is_long(&self) -> bool {
        let engine = self.terms.service.engine.as_ref().zip(self.call.demand);
        engine.is_some_and(|(e, demand)| is_long(&self.node.cfg.borrow().placement, e, demand))
    }

    /// How long one engine would read the prompt.
    pub(crate) fn read_time(&self) -> Duration {
        let (engine, demand) = (&self.terms.service.engine, self.call.demand);
        let ms = engine.zip(demand).map_or(0.0, |(e, d)| e.read_ms(d.prompt_tokens));
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

//! A model of prompts of several kinds that compete for engines, decided by the code under test and
//! served as its load tracker expects.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ringbend_gateway::{
    DecodeTask, EngineProfile, Job, Priorities, QueuedPrompt, Turn, WaitingPrompt, WorkId,
    decide_turn, is_long, place_on_engines,
};
use ringbend_types::{EndpointId, Timestamp};

use super::{Scene, at, ms, profile, work_id};

/// A kind of prompts. Times are in milliseconds.
#[derive(Clone, Copy)]
pub struct Kind {
    pub prompt_tokens: u64,
    pub target: u64,
    pub gap: u64,
    pub priority: u8,
    pub per_second: f64,
    pub value_on_time: f64,
    pub value_late: f64,
}

/// What became of the prompts of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub count: usize,
    pub served: usize,
    pub on_time: usize,
    value: f64,
    max_value: f64,
}

impl Outcome {
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.count.max(1) as f64
    }

    pub fn value_share(&self) -> f64 {
        self.value / self.max_value.max(f64::MIN_POSITIVE)
    }

    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.served += other.served;
        self.on_time += other.on_time;
        self.value += other.value;
        self.max_value += other.max_value;
    }

    fn record(&mut self, kind: &Kind, end: End) {
        self.count += 1;
        self.served += usize::from(end != End::Dropped);
        self.on_time += usize::from(end == End::OnTime);
        self.max_value += kind.value_on_time;
        self.value += match end {
            End::Dropped => 0.0,
            End::Late => kind.value_late,
            End::OnTime => kind.value_on_time,
        };
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Dropped,
    Late,
    OnTime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting { passed_over_at: Option<Timestamp> },
    Placed,
    Decoding { until: Timestamp },
}

struct Request {
    kind: usize,
    job: Job,
    state: State,
    engines: Vec<EndpointId>,
    late: bool,
}

/// The interval at which decisions are repeated.
const STEP_MS: u64 = 5;

/// Duration of a pass without prefill.
const PASS_MS: u64 = 45;

/// How long a response is decoded.
const DECODE_MS: u64 = 1_700;

/// The setting of a burst.
pub struct Burst<'a> {
    pub engines: usize,
    pub kinds: &'a [Kind],
    /// The priorities known to the scheduler.
    pub priorities: Priorities,
    pub duration_ms: u64,
    pub seed: u64,
}

impl Burst<'_> {
    fn profile(&self) -> EngineProfile {
        EngineProfile { slots: 12, ..profile() }
    }

    /// Runs the burst. Returns the outcomes by kind.
    pub fn run(&self) -> Vec<Outcome> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut scene = Scene::new(self.engines);
        scene.priorities = self.priorities;
        let mut open: BTreeMap<WorkId, Request> = BTreeMap::new();
        let (mut outcomes, mut sequence) = (vec![Outcome::default(); self.kinds.len()], 0);
        // Callers have left 20 s after the last arrival.
        for now_ms in (0..self.duration_ms + 20_000).step_by(STEP_MS as usize) {
            scene.now = at(now_ms);
            scene.load.advance(scene.now);
            for (index, kind) in self.kinds.iter().enumerate() {
                let share = kind.per_second * STEP_MS as f64 / 1e3;
                if now_ms < self.duration_ms && rng.random_bool(share) {
                    sequence += 1;
                    let job = self.job(kind, now_ms, sequence);
                    self.arrive(&mut scene, &mut open, index, work_id(sequence), job);
                }
            }
            self.place_waiting(&mut scene, &mut open);
            self.advance(&mut scene, &mut open, &mut outcomes);
        }
        assert!(open.is_empty(), "{} requests are still open", open.len());
        outcomes
    }

    /// Due times are unique to the microsecond, which identifies requests in the load tracker.
    fn job(&self, kind: &Kind, now_ms: u64, id: u64) -> Job {
        let now = at(now_ms);
        let patience = 2_000.max(4 * kind.target).max(8 * kind.gap);
        Job {
            since: now,
            first_by: Timestamp((now + ms(kind.target)).0 + id % 4_000),
            gap: ms(kind.gap),
            caller_timeout_at: now + ms(patience.min(15_000)),
            deadline: now + ms(15_000),
            priority: kind.priority,
            ..super::job(kind.prompt_tokens)
        }
    }

    fn arrive(
        &self,
        scene: &mut Scene,
        open: &mut BTreeMap<WorkId, Request>,
        kind: usize,
        id: WorkId,
        job: Job,
    ) {
        let demand = job.demand.unwrap();
        let state = State::Waiting { passed_over_at: None };
        let mut request = Request { kind, job, state, engines: Vec::new(), late: false };
        if is_long(&scene.weights, &self.profile(), demand) {
            let Job { service, since, first_by, priority, account, .. } = request.job.clone();
            let read_time = self.profile().prefill_time(demand.prompt_tokens, 1);
            let until = request.job.caller_timeout_at;
            let waiting =
                WaitingPrompt { service, read_time, since, first_by, until, priority, account };
            scene.load.add_waiting(id, waiting);
        } else {
            self.place(scene, id, &mut request, false);
            mark_late_streams(scene, open, &request.engines);
        }
        open.insert(id, request);
    }

    fn place_waiting(&self, scene: &mut Scene, open: &mut BTreeMap<WorkId, Request>) {
        let waiting: Vec<WorkId> = scene.load.waiting().map(|(id, _)| id).collect();
        for id in waiting {
            let request = open.get_mut(&id).unwrap();
            let State::Waiting { passed_over_at } = request.state else { unreachable!() };
            let passed_over_for = passed_over_at.map_or(ms(0), |at| scene.now.since(at));
            let goal = request.job.goal(scene.now, request.job.demand.unwrap());
            scene.rank = request.job.rank(scene.now, &scene.priorities);
            let prompt = QueuedPrompt { id, passed_over_for, goal };
            let candidates = scene.candidates();
            let passed_over_at =
                match decide_turn(scene.view(), &self.profile(), &candidates, &prompt) {
                    Turn::Now => {
                        let mut request = open.remove(&id).unwrap();
                        self.place(scene, id, &mut request, true);
                        mark_late_streams(scene, open, &request.engines);
                        open.insert(id, request);
                        continue;
                    }
                    Turn::PassedOver => passed_over_at.or(Some(scene.now)),
                    Turn::After(_) => None,
                    _ => passed_over_at,
                };
            request.state = State::Waiting { passed_over_at };
        }
    }

    fn place(&self, scene: &mut Scene, id: WorkId, request: &mut Request, long: bool) {
        let demand = request.job.demand.unwrap();
        scene.rank = request.job.rank(scene.now, &scene.priorities);
        let goal = request.job.goal(scene.now, demand);
        let candidates = scene.candidates();
        let placement = place_on_engines(scene.view(), &self.profile(), &candidates, &goal);
        let placement = placement.unwrap();
        let work = request.job.work(&scene.weights, &placement, long, scene.rank);
        scene.load.place(scene.now, id, work);
        request.state = State::Placed;
        request.engines = std::iter::once(placement.lead).chain(placement.helpers).collect();
    }

    /// Starts and ends streams, and ends requests whose callers have left.
    fn advance(
        &self,
        scene: &mut Scene,
        open: &mut BTreeMap<WorkId, Request>,
        outcomes: &mut [Outcome],
    ) {
        let now = scene.now;
        let mut ended = Vec::new();
        let order: SlotOrder =
            open.iter().map(|(id, r)| (r.job.first_by, (r.job.priority, *id))).collect();
        for (id, request) in open.iter_mut() {
            if let State::Decoding { until } = request.state {
                if now >= until {
                    ended.push((*id, if request.late { End::Late } else { End::OnTime }));
                }
            } else if now >= request.job.caller_timeout_at {
                ended.push((*id, End::Dropped));
            } else if request.state == State::Placed && self.has_first_event(scene, &order, request)
            {
                scene.load.first_event(*id);
                request.late |= now + ms(PASS_MS) > request.job.first_by;
                request.state = State::Decoding { until: now + ms(DECODE_MS) };
            }
        }
        for (id, end) in ended {
            let request = open.remove(&id).unwrap();
            scene.load.end(now, id);
            outcomes[request.kind].record(&self.kinds[request.kind], end);
        }
    }

    /// Whether its prompt has been read and the lead has a slot for it. Engines give free slots to
    /// the most urgent request.
    fn has_first_event(&self, scene: &Scene, order: &SlotOrder, request: &Request) -> bool {
        let first_by = request.job.first_by;
        let is_read = |e: &EndpointId| {
            scene.load.of(e).prefills().all(|prefill| prefill.first_by != first_by)
        };
        let decodes = scene.load.of(&request.engines[0]).decodes();
        let own = order[&first_by];
        let is_before = |task: &&DecodeTask| {
            task.writing || order.get(&task.first_by).is_some_and(|other| *other < own)
        };
        let before = decodes.iter().filter(is_before).count();
        before < self.profile().slots as usize && request.engines.iter().all(is_read)
    }
}

/// Priority and arrival of each request, by its due time.
type SlotOrder = BTreeMap<Timestamp, (u8, WorkId)>;

/// Marks streams whose next event waits for the prefill on these engines for too long.
fn mark_late_streams(scene: &Scene, open: &mut BTreeMap<WorkId, Request>, engines: &[EndpointId]) {
    for request in open.values_mut() {
        let is_decoding = matches!(request.state, State::Decoding { .. });
        if is_decoding && engines.contains(&request.engines[0]) {
            let pass = scene.load.of(&request.engines[0]).backlog() + ms(PASS_MS);
            request.late |= pass > request.job.gap;
        }
    }
}

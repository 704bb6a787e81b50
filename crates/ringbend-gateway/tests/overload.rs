//! The queue of short prompts under overload.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::quickcheck;
use ringbend_gateway::{
    Admission, Capacity, Decision, Demand, OverloadConfig, OverloadQueue, PlaceReason,
    WaitingRequest, WorkId, startable,
};
use ringbend_types::Timestamp;
use support::{Scene, at, ms, profile, work, work_id};

const FULL: Capacity = Capacity { free: 0, slots: 100 };
const ONE_FREE: Capacity = Capacity { free: 1, slots: 100 };

/// A request with a target of 300 ms whose caller disconnects after 2 s.
fn request(id: u64, since: u64, priority: u8, account: &str) -> WaitingRequest {
    WaitingRequest {
        id: work_id(id),
        fingerprint: None,
        account: Some(account.parse().unwrap()),
        priority,
        since: at(since),
        first_by: at(since + 300),
        until: at(since + 2_000),
        deadline: at(since + 10_000),
        work: ms(1_600),
        begin: ms(100),
    }
}

fn queue() -> OverloadQueue {
    OverloadQueue::new(OverloadConfig::default(), 1)
}

/// Fills a queue until it is overloaded, at the returned time.
fn overloaded() -> (OverloadQueue, u64) {
    let mut queue = queue();
    for id in 0..100 {
        queue.push(at(id * 2), request(id, id * 2, 0, "a"), FULL);
    }
    assert!(queue.is_overloaded(at(200)));
    (queue, 200)
}

fn placed(decision: Decision) -> Option<(u64, PlaceReason)> {
    match decision {
        Decision::Place(id, reason) => Some((id.sequence, reason)),
        _ => None,
    }
}

#[test]
fn a_request_is_placed_at_once_while_engines_have_capacity() {
    let mut queue = queue();
    assert_eq!(queue.push(at(0), request(1, 0, 0, "a"), ONE_FREE), Admission::PlaceNow);
    assert_eq!(queue.push(at(0), request(2, 0, 0, "a"), FULL), Admission::Queued);
    // Nothing overtakes a waiting request by arriving when capacity is free.
    assert_eq!(queue.push(at(0), request(3, 0, 0, "a"), ONE_FREE), Admission::Queued);
    assert_eq!(placed(queue.next(at(1), ONE_FREE)), Some((2, PlaceReason::OnTime)));
}

/// Guards against late requests that take capacity which another request needs to be on time.
#[test]
fn late_requests_start_after_all_that_can_be_on_time() {
    let mut queue = queue();
    queue.push(at(0), request(1, 0, 0, "a"), FULL);
    assert!(matches!(queue.next(at(250), FULL), Decision::Wait(_)));
    queue.push(at(250), request(2, 250, 0, "a"), FULL);
    queue.push(at(250), request(3, 250, 1, "a"), FULL);
    let order: Vec<_> = (0..3).map(|_| placed(queue.next(at(260), ONE_FREE)).unwrap()).collect();
    let expected = [(2, PlaceReason::OnTime), (3, PlaceReason::OnTime), (1, PlaceReason::Late)];
    assert_eq!(order, expected);
}

/// Guards against a late request that waits for ever behind requests that can be on time.
#[test]
fn a_late_request_starts_while_it_can_still_begin_before_its_caller_disconnects() {
    let mut queue = queue();
    queue.push(at(0), request(1, 0, 0, "a"), FULL);
    let mut started = None;
    for now in 0..2_000 {
        if let Some((1, reason)) = placed(queue.next(at(now), FULL)) {
            started = started.or(Some((now, reason)));
        }
    }
    let (now, reason) = started.unwrap();
    assert_eq!(reason, PlaceReason::LastChance);
    assert!((1_500..=1_900).contains(&now), "started at {now} ms");
}

/// Guards against callers that wait for nothing: a rejection tells them when to return.
#[test]
fn a_request_that_would_not_begin_in_time_is_rejected_with_a_return_time() {
    let (mut queue, now) = overloaded();
    let admission = queue.push(at(now), request(900, now, 0, "a"), FULL);
    let Admission::Rejected(after) = admission else { panic!("{admission:?}") };
    assert!(after.delay() > ms(0) && after.delay() <= ms(10_000) / 3, "{after}");
}

/// Guards against rejected callers that return together and are rejected together again.
#[test]
fn return_times_are_spread() {
    let (mut queue, now) = overloaded();
    let mut times = BTreeSet::new();
    for id in 900..950 {
        if let Admission::Rejected(after) = queue.push(at(now), request(id, now, 0, "a"), FULL) {
            times.insert(after.delay().as_millis() / 10);
        }
    }
    assert!(times.len() >= 25, "only {} different times", times.len());
}

/// Guards against long-running overload by one account that leaves nothing to the others.
#[test]
fn an_account_with_few_requests_is_admitted_beside_one_with_many() {
    let (mut queue, now) = overloaded();
    assert_eq!(queue.push(at(now), request(900, now, 0, "b"), FULL), Admission::Queued);
    let order: Vec<_> = (0..3).filter_map(|_| placed(queue.next(at(now), ONE_FREE))).collect();
    assert!(order.iter().any(|(id, _)| *id == 900), "{order:?}");
}

/// Guards against a less urgent request that is overtaken for as long as its caller waits.
#[test]
fn a_request_that_has_waited_long_counts_as_more_urgent() {
    for (now, first) in [(750, 2), (850, 1)] {
        let mut queue = queue();
        queue.push(at(0), request(1, 0, 1, "a"), FULL);
        queue.push(at(500), request(2, 500, 0, "a"), FULL);
        assert_eq!(placed(queue.next(at(now), ONE_FREE)), Some((first, PlaceReason::Late)));
    }
}

#[test]
fn a_request_whose_caller_disconnects_is_removed() {
    let mut queue = queue();
    queue.push(at(0), request(1, 0, 0, "a"), FULL);
    assert!(queue.remove(work_id(1)) && queue.is_empty());
    assert_eq!(placed(queue.next(at(5_000), ONE_FREE)), None);
}

/// Guards against classes and accounts that starve while a more urgent class alone exceeds the
/// capacity. 100 requests per second can start; 250 of the first class and 20 of each other class
/// arrive.
#[test]
fn no_class_and_no_account_starves() {
    let (mut queue, mut started) = (queue(), BTreeMap::<(u8, String), usize>::new());
    let mut requests = BTreeMap::new();
    for now in 0..20_000u64 {
        let mut arrive = |id: u64, priority: u8, account: &str| {
            let request = request(id, now, priority, account);
            requests.insert(request.id, (priority, account.to_owned()));
            queue.push(at(now), request, FULL);
        };
        if now % 4 == 0 {
            arrive(now * 10, 0, if now % 40 == 0 { "small" } else { "large" });
        }
        if now % 50 == 0 {
            arrive(now * 10 + 1, 1, "large");
            arrive(now * 10 + 2, 2, "large");
        }
        let capacity = if now % 10 == 0 { ONE_FREE } else { FULL };
        while let Some((id, _)) = decide(&mut queue, now, capacity) {
            *started.entry(requests[&id].clone()).or_default() += 1;
            if capacity.free > 0 {
                break;
            }
        }
    }
    let count = |priority: u8, account: &str| started[&(priority, account.to_owned())];
    // Small sends 500 requests and its fair share is larger.
    assert!(count(0, "small") > 400, "{started:?}");
    // A twentieth of the 2,000 starts is kept for each class.
    assert!(count(1, "large") >= 60 && count(2, "large") >= 60, "{started:?}");
    assert!(count(0, "large") > 1_000, "{started:?}");
}

/// The next placement; rejections are skipped.
fn decide(
    queue: &mut OverloadQueue,
    now: u64,
    capacity: Capacity,
) -> Option<(WorkId, PlaceReason)> {
    loop {
        match queue.next(at(now), capacity) {
            Decision::Place(id, reason) => return Some((id, reason)),
            Decision::Reject(..) => {}
            Decision::Wait(_) => return None,
        }
    }
}

/// A queue driven by random bytes, and all that happened to its requests.
struct Driven {
    queue: OverloadQueue,
    now: u64,
    waiting: BTreeMap<WorkId, WaitingRequest>,
    ended: BTreeMap<WorkId, &'static str>,
    placements: Vec<(Timestamp, WaitingRequest, PlaceReason, Vec<WaitingRequest>)>,
    states: Vec<(u64, bool)>,
}

impl Driven {
    fn run(steps: &[(u8, u8)]) -> Self {
        let mut driven = Self {
            queue: queue(),
            now: 0,
            waiting: BTreeMap::new(),
            ended: BTreeMap::new(),
            placements: Vec::new(),
            states: Vec::new(),
        };
        for (number, (kind, detail)) in steps.iter().enumerate() {
            driven.step(number as u64, *kind, *detail);
        }
        driven
    }

    fn step(&mut self, number: u64, kind: u8, detail: u8) {
        match kind % 8 {
            0..5 => {
                let account = ["a", "b", "c"][usize::from(detail / 4 % 3)];
                let request = request(number, self.now, detail % 3, account);
                self.waiting.insert(request.id, request.clone());
                let admission = self.queue.push(at(self.now), request, FULL);
                if let Admission::Rejected(_) = admission {
                    self.end(work_id(number), "rejected");
                }
            }
            5 => self.decide(ONE_FREE),
            6 => {
                let id = work_id(u64::from(detail));
                if self.queue.remove(id) {
                    self.end(id, "removed");
                }
            }
            _ => self.now += u64::from(detail),
        }
        self.decide(FULL);
        self.states.push((self.now, self.queue.is_overloaded(at(self.now))));
    }

    fn decide(&mut self, capacity: Capacity) {
        loop {
            match self.queue.next(at(self.now), capacity) {
                Decision::Place(id, reason) => {
                    let request = self.end(id, "placed");
                    let others = self.waiting.values().cloned().collect();
                    self.placements.push((at(self.now), request, reason, others));
                }
                Decision::Reject(id, _) => drop(self.end(id, "rejected")),
                Decision::Wait(_) => return,
            }
            if capacity.free > 0 {
                return;
            }
        }
    }

    fn end(&mut self, id: WorkId, how: &'static str) -> WaitingRequest {
        let before = self.ended.insert(id, how);
        assert_eq!(before, None, "{id:?} ended twice");
        self.waiting.remove(&id).expect("only waiting requests end")
    }
}

fn can_be_on_time(now: Timestamp, request: &WaitingRequest) -> bool {
    now <= request.first_by - request.begin
}

/// The class of a request, less what it gained by waiting.
fn rank(now: Timestamp, request: &WaitingRequest) -> u8 {
    let step = ms(2_000).mul_f64(OverloadConfig::default().aging_share);
    let gained = now.since(request.since).as_micros() / step.as_micros();
    request.priority.saturating_sub(u8::try_from(gained).unwrap())
}

quickcheck! {
    fn every_request_is_placed_rejected_or_removed(steps: Vec<(u8, u8)>) -> bool {
        let mut driven = Driven::run(&steps);
        driven.now += 10_000;
        driven.decide(FULL);
        driven.waiting.is_empty() && driven.queue.is_empty()
    }

    /// Guards against a late request that takes the place of one of its class and account.
    fn no_late_request_is_placed_before_one_of_its_kind_that_can_be_on_time(
        steps: Vec<(u8, u8)>
    ) -> bool {
        Driven::run(&steps).placements.iter().all(|(now, placed, reason, waiting)| {
            let is_same_kind = |other: &&WaitingRequest| {
                other.account == placed.account && rank(*now, other) == rank(*now, placed)
            };
            can_be_on_time(*now, placed)
                || *reason == PlaceReason::LastChance
                || !waiting.iter().filter(is_same_kind).any(|other| can_be_on_time(*now, other))
        })
    }

    /// Guards against a state that changes with each burst of some milliseconds.
    fn the_overloaded_state_does_not_flap(steps: Vec<(u8, u8)>) -> bool {
        let cfg = OverloadConfig::default();
        let states = Driven::run(&steps).states;
        let changes: Vec<_> = states.windows(2).filter(|w| w[0].1 != w[1].1).map(|w| w[1]).collect();
        changes.windows(2).all(|pair| {
            let (since, was_overloaded) = pair[0];
            let least = if was_overloaded { cfg.leave_after } else { cfg.enter_after };
            at(pair[1].0).since(at(since)) >= least
        })
    }
}

/// Guards against a state that ends while requests are still placed late.
#[test]
fn the_overloaded_state_ends_a_while_after_the_queue_is_empty() {
    let (mut queue, now) = overloaded();
    while decide(&mut queue, now, ONE_FREE).is_some() {}
    assert!(queue.is_empty());
    let ended = (now..now + 3_000).find(|now| !queue.is_overloaded(at(*now)));
    assert!(ended.is_some_and(|ended| ended >= now + 1_000), "{ended:?}");
}

/// Guards against prompts that are sent to engines which cannot start them, where no order applies
/// any more.
#[test]
fn capacity_is_limited_by_slots_and_by_queued_prefill() {
    let mut scene = Scene::new(2);
    let demand = Demand { prompt_tokens: 5_000, answer_tokens: 200 };
    let capacity = |scene: &Scene| startable(scene.view(), &profile(), &scene.candidates(), demand);
    // Four prompts of 21 ms are read within 100 ms.
    assert_eq!(capacity(&scene), Capacity { free: 8, slots: 32 });
    scene.load.place(scene.now, work_id(1), work(1, ms(500)));
    assert_eq!(capacity(&scene).free, 4);
    for id in 2..18 {
        scene.load.place(scene.now, work_id(id), work(2, ms(0)));
        scene.load.first_event(work_id(id));
    }
    assert_eq!(capacity(&scene).free, 0);
}

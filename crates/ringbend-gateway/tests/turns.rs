//! When long prompts are sent, and which engines they avoid.

mod support;

use std::time::Duration;

use ringbend_gateway::{
    Demand, PlacementGoal, QueuedPrompt, Turn, WaitingPrompt, Work, decide_turn, place_on_engines,
};
use support::{Scene, at, endpoint, ms, profile, service, work, work_id};

/// Waiting long prompts.
struct Queue(Scene);

impl Queue {
    fn new(engines: usize) -> Self {
        Self(Scene::new(engines))
    }

    /// All engines have this much time left to read.
    fn with_backlog(mut self, left_ms: u64) -> Self {
        for engine in 1..=self.0.fleet.len() {
            let helpers = [endpoint(engine % self.0.fleet.len() + 1).id].into_iter().collect();
            let long = Work { long: true, helpers, ..work(engine, ms(left_ms / 2)) };
            self.0.load.place(at(0), work_id(engine as u64), long);
        }
        self
    }

    /// Adds a prompt that one engine reads for `read_ms`, and whose first event is due at `due_ms`.
    fn with_waiting(mut self, id: u64, read_ms: u64, since_ms: u64, due_ms: u64) -> Self {
        let waiting = WaitingPrompt {
            service: service("engines"),
            read_time: ms(read_ms),
            since: at(since_ms),
            first_by: at(due_ms),
            until: at(since_ms + 15_000),
            priority: 1,
            account: None,
        };
        self.0.load.add_waiting(work_id(id), waiting);
        self
    }

    fn at(mut self, now_ms: u64) -> Self {
        self.0.now = at(now_ms);
        self.0.load.advance(at(now_ms));
        self
    }

    fn turn_of(&self, id: u64, passed_over_for: Duration, prompt_tokens: u64) -> Turn {
        let prompt = QueuedPrompt { id: work_id(id), passed_over_for, goal: goal(prompt_tokens) };
        decide_turn(self.0.view(), &profile(), &self.0.candidates(), &prompt)
    }

    fn turn_after(&self, id: u64, passed_over_for: Duration) -> Turn {
        self.turn_of(id, passed_over_for, 100_000)
    }

    fn turn(&self, id: u64) -> Turn {
        self.turn_after(id, Duration::ZERO)
    }

    /// The turn of a prompt with this many tokens.
    fn turn_of_tokens(mut self, prompt_tokens: u64) -> Turn {
        let read_ms = profile().prefill_ms(prompt_tokens) as u64;
        self = self.with_waiting(100, read_ms, 0, 3_000);
        self.turn_of(100, Duration::ZERO, prompt_tokens)
    }

    fn lead(&self, prompt_tokens: u64) -> String {
        let (view, candidates) = (self.0.view(), self.0.candidates());
        let placement = place_on_engines(view, &profile(), &candidates, &goal(prompt_tokens));
        placement.unwrap().lead.to_string()
    }
}

fn goal(prompt_tokens: u64) -> PlacementGoal {
    let demand = Demand { prompt_tokens, answer_tokens: 500 };
    PlacementGoal { demand, first_in: ms(3_000), gap: ms(800) }
}

#[test]
fn a_long_prompt_is_sent_at_once_if_engines_have_nothing_to_read() {
    assert_eq!(Queue::new(6).with_waiting(100, 2_000, 0, 3_000).turn(100), Turn::Now);
}

/// Sent at once, it would be read before everything that is being read, and make that late.
#[test]
fn a_long_prompt_waits_while_engines_read() {
    let queue = Queue::new(6).with_backlog(500).with_waiting(100, 2_000, 0, 3_000);
    let Turn::After(left) = queue.turn(100) else { panic!("{:?}", queue.turn(100)) };
    assert!(left > ms(400) && left <= ms(500), "{left:?}");
    assert_eq!(queue.at(700).turn(100), Turn::Now);
}

#[test]
fn the_prompt_that_is_due_first_is_sent_first() {
    let queue =
        Queue::new(6).with_waiting(100, 3_000, 0, 4_000).with_waiting(101, 3_000, 100, 3_500);
    assert_eq!(queue.turn(101), Turn::Now);
    assert_eq!(queue.turn(100), Turn::PassedOver);
}

#[test]
fn prompts_that_need_few_engines_are_sent_side_by_side() {
    let queue = Queue::new(6).with_waiting(100, 1_000, 0, 3_000).with_waiting(101, 1_000, 0, 3_000);
    assert_eq!(queue.turn(100), Turn::Now);
    assert_eq!(queue.turn(101), Turn::Now);
}

/// Six engines read 6 s of prompts in one second: either the long one is on time, or the two
/// others.
#[test]
fn the_longest_prompt_yields_if_not_all_can_be_on_time() {
    let queue = Queue::new(6)
        .with_waiting(100, 6_000, 0, 1_200)
        .with_waiting(101, 2_400, 0, 1_300)
        .with_waiting(102, 2_400, 0, 1_400);
    assert_eq!(queue.turn(101), Turn::Now);
    assert_eq!(queue.turn(100), Turn::PassedOver);
}

#[test]
fn a_prompt_that_has_waited_long_is_sent_first_however_late() {
    let queue = Queue::new(6)
        .with_waiting(100, 12_000, 0, 3_000)
        .with_waiting(101, 2_400, 9_000, 12_500)
        .at(9_100);
    assert_eq!(queue.turn(100), Turn::Now);
    assert_eq!(queue.turn(101), Turn::PassedOver);
}

/// The instance of the first prompt may have been killed; others learn of it only seconds later.
#[test]
fn unused_engines_are_given_to_the_next_prompt() {
    let queue =
        Queue::new(6).with_waiting(100, 3_600, 0, 3_500).with_waiting(101, 3_600, 100, 4_000);
    assert_eq!(queue.turn_after(101, ms(10)), Turn::PassedOver);
    assert_eq!(queue.turn_after(101, ms(40)), Turn::Now);
}

#[test]
fn a_prompt_of_another_service_blocks_no_prompt() {
    let mut queue = Queue::new(6).with_waiting(101, 3_600, 100, 4_000);
    let other = WaitingPrompt {
        service: service("other"),
        read_time: ms(3_600),
        since: at(0),
        first_by: at(3_500),
        until: at(15_000),
        priority: 1,
        account: None,
    };
    queue.0.load.add_waiting(work_id(100), other);
    assert_eq!(queue.turn(101), Turn::Now);
}

#[test]
fn a_prompt_that_no_longer_waits_blocks_no_prompt() {
    let mut queue =
        Queue::new(6).with_waiting(100, 3_600, 0, 3_500).with_waiting(101, 3_600, 100, 4_000);
    queue.0.load.end(at(0), work_id(100));
    assert_eq!(queue.turn(101), Turn::Now);
    let mut queue =
        Queue::new(6).with_waiting(100, 3_600, 0, 3_500).with_waiting(101, 3_600, 100, 4_000);
    queue.0.load.forget_instance(at(0), 1);
    assert_eq!(queue.0.load.waiting().count(), 0);
}

#[test]
fn a_prompt_that_cannot_be_read_before_its_caller_disconnects_fails_at_once() {
    let queue = Queue::new(6).with_backlog(4_000).with_waiting(100, 12_000, 0, 3_000);
    assert!(matches!(queue.turn(100), Turn::After(_)), "{:?}", queue.turn(100));
    assert_eq!(queue.at(13_500).turn(100), Turn::TooLate);
}

/// Sixteen engines, of which this many are filled by short prompts that decode.
fn beside_short_prompts(engines: u64) -> Queue {
    let mut queue = Queue::new(16);
    for n in 0..engines * 15 {
        let id = work_id(1_000 + n);
        queue.0.load.place(at(0), id, work(1 + (n / 15) as usize, ms(0)));
        queue.0.load.first_event(id);
    }
    queue
}

/// Guards against splitting a long prompt among the few engines that short prompts left: one with
/// 34 s of prefill was sent to four engines and occupied each for 8.5 s.
#[test]
fn a_prompt_waits_while_short_prompts_leave_it_too_few_engines() {
    let turn = |taken| beside_short_prompts(taken).turn_of_tokens(600_000);
    assert_eq!([13, 12, 10].map(turn), [Turn::TooFewEngines; 3]);
    assert_eq!(turn(2), Turn::Now);
}

/// Seventeen engines read a million tokens for 3 s each, and some fleets have only one engine.
#[test]
fn no_prompt_is_too_long_for_idle_engines() {
    for engines in [1, 3, 8, 18, 60] {
        for prompt_tokens in [100_000, 200_000, 500_000, 1_000_000] {
            let turn = Queue::new(engines).turn_of_tokens(prompt_tokens);
            assert_ne!(turn, Turn::TooFewEngines, "{prompt_tokens} tokens, {engines} engines");
        }
    }
}

#[test]
fn a_prompt_that_few_engines_read_quickly_does_not_wait_for_more() {
    assert_eq!(beside_short_prompts(13).turn_of_tokens(200_000), Turn::Now);
}

/// Guards against nine instances that start together and send nine prompts to the same engines.
#[test]
fn a_long_prompt_waits_for_other_instances_to_be_heard() {
    let mut queue = Queue::new(6).with_waiting(100, 2_000, 0, 3_000);
    queue.0.starting = true;
    assert!(matches!(queue.turn(100), Turn::After(_)), "{:?}", queue.turn(100));
    queue.0.starting = false;
    assert_eq!(queue.turn(100), Turn::Now);
}

#[test]
fn a_single_engine_serves_long_prompts_too() {
    let mut queue = Queue::new(1).with_waiting(100, 2_000, 0, 3_000);
    queue.0.load.place(at(0), work_id(1), work(1, ms(0)));
    assert_eq!(queue.turn(100), Turn::Now);
    assert_eq!(queue.lead(200_000), "e-01");
}

#[test]
fn long_prompts_avoid_the_engines_that_short_prompts_need() {
    let mut queue = Queue::new(3);
    for n in 0..10 {
        queue.0.load.place(at(0), work_id(200 + n), work(2, ms(0)));
    }
    assert_ne!(queue.lead(400_000), "e-02");
    // The short prompts would need all engines but one, which is left for long prompts.
    for n in 0..80 {
        queue.0.load.place(at(0), work_id(300 + n), work(1 + n as usize % 2, ms(0)));
    }
    assert_eq!(queue.lead(400_000), endpoint(3).id.to_string());
}

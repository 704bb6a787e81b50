//! Claims under lost replies, outages and concurrent instances.

use std::time::Duration;

use ringbend_ledger::{
    AnswerBody, CallId, ClaimAction, ClaimBatcher, ClaimBatcherConfig, ClaimEvent, ClaimKey,
    ExistingClaim, Settlement, StoredAnswer,
};
use ringbend_models::{TableFaults, TableModel, TableRates};
use ringbend_platform::{TableReply, TableRequest};
use ringbend_types::{RequestId, Timestamp};

/// The claims of one instance, driven against a table model without delays.
struct Instance {
    batcher: ClaimBatcher,
    now: Timestamp,
    outcomes: Vec<ClaimAction>,
}

impl Instance {
    fn new() -> Self {
        let batcher = ClaimBatcher::new(ClaimBatcherConfig::default());
        Self { batcher, now: Timestamp(0), outcomes: Vec::new() }
    }

    /// Passes in an event and answers all calls from the table, until the batcher is idle.
    fn run(&mut self, table: &mut TableModel, event: ClaimEvent) {
        let mut events = vec![event];
        for _ in 0..1_000 {
            let Some(event) = events.pop() else {
                if self.batcher.next_wakeup() == Timestamp::NEVER {
                    return;
                }
                self.now = self.now + Duration::from_millis(100);
                events.push(ClaimEvent::Tick);
                continue;
            };
            for action in self.batcher.handle(self.now, unix_ms(self.now), event) {
                match action {
                    ClaimAction::Call(call, request) => {
                        let reply = table.call(self.now, &request);
                        events.push(ClaimEvent::Reply { call, reply });
                    }
                    outcome => self.outcomes.push(outcome),
                }
            }
        }
        panic!("the batcher does not become idle");
    }

    fn settle(&mut self, table: &mut TableModel, id: u64, settlement: Settlement) {
        self.run(table, ClaimEvent::Settle { holder: request(id), settlement });
    }
}

fn unix_ms(now: Timestamp) -> u64 {
    now.0 / 1_000
}

fn request(id: u64) -> RequestId {
    RequestId { incarnation: 7, sequence: id }
}

fn key(text: &str) -> ClaimKey {
    ClaimKey { account: "peach".parse().unwrap(), key: text.parse().unwrap() }
}

fn claim(id: u64, text: &str) -> ClaimEvent {
    ClaimEvent::Claim {
        holder: request(id),
        key: key(text),
        digest: 1,
        until_unix_ms: 60_000,
        abandon_at: Timestamp::from_millis(30_000),
    }
}

fn table() -> TableModel {
    TableModel::new(TableRates { writes_per_s: u32::MAX, reads_per_s: u32::MAX })
}

fn answer(text: &str) -> StoredAnswer {
    let body = AnswerBody::Inline(text.into());
    StoredAnswer { status: 200, content_type: "text/plain".into(), body }
}

#[test]
fn only_one_of_two_instances_gets_the_claim() {
    let mut table = table();
    let (mut one, mut two) = (Instance::new(), Instance::new());
    one.run(&mut table, claim(1, "count"));
    two.run(&mut table, claim(2, "count"));
    assert_eq!(one.outcomes, [ClaimAction::Granted(request(1))]);
    assert_eq!(two.outcomes, [ClaimAction::AlreadyClaimed(request(2), ExistingClaim::InProgress)]);
}

#[test]
fn the_second_request_gets_the_stored_answer() {
    let mut table = table();
    let (mut one, mut two) = (Instance::new(), Instance::new());
    one.run(&mut table, claim(1, "count"));
    one.settle(&mut table, 1, Settlement::Done(answer("42")));
    two.run(&mut table, claim(2, "count"));
    assert_eq!(
        two.outcomes,
        [ClaimAction::AlreadyClaimed(request(2), ExistingClaim::Answered(answer("42")))]
    );
    assert_eq!(one.batcher.unsettled(), 0);
}

#[test]
fn after_a_crash_the_second_request_gets_in_progress_then_may_have_run() {
    let mut table = table();
    let mut one = Instance::new();
    one.run(&mut table, claim(1, "count"));
    drop(one);
    let mut two = Instance::new();
    two.run(&mut table, claim(2, "count"));
    two.now = Timestamp::from_millis(60_001);
    let ClaimEvent::Claim { holder: _, key, digest, until_unix_ms, .. } = claim(3, "count") else {
        return;
    };
    let abandon_at = Timestamp::from_millis(90_000);
    let late = ClaimEvent::Claim { holder: request(3), key, digest, until_unix_ms, abandon_at };
    two.run(&mut table, late);
    assert_eq!(
        two.outcomes,
        [
            ClaimAction::AlreadyClaimed(request(2), ExistingClaim::InProgress),
            ClaimAction::AlreadyClaimed(request(3), ExistingClaim::MayHaveRun),
        ]
    );
}

#[test]
fn a_request_that_was_not_run_frees_its_key() {
    let mut table = table();
    let mut one = Instance::new();
    one.run(&mut table, claim(1, "count"));
    one.settle(&mut table, 1, Settlement::NotRun);
    one.run(&mut table, claim(2, "count"));
    assert_eq!(one.outcomes[1], ClaimAction::Granted(request(2)));
}

#[test]
fn a_key_reused_for_a_different_request_is_rejected() {
    let mut table = table();
    let mut one = Instance::new();
    one.run(&mut table, claim(1, "count"));
    let ClaimEvent::Claim { key, until_unix_ms, abandon_at, .. } = claim(2, "count") else {
        return;
    };
    let other = ClaimEvent::Claim { holder: request(2), key, digest: 2, until_unix_ms, abandon_at };
    one.run(&mut table, other);
    assert_eq!(
        one.outcomes[1],
        ClaimAction::AlreadyClaimed(request(2), ExistingClaim::DifferentRequest)
    );
}

#[test]
fn a_claim_whose_reply_was_lost_is_read_back() {
    let mut table = table();
    table.faults = TableFaults { lose_answers: 1, ..TableFaults::default() };
    let mut one = Instance::new();
    one.run(&mut table, claim(1, "count"));
    assert_eq!(one.outcomes, [ClaimAction::Granted(request(1))]);
}

#[test]
fn an_outage_abandons_the_claim_without_writing() {
    let mut table = table();
    table.faults = TableFaults { outage: true, ..TableFaults::default() };
    let mut one = Instance::new();
    one.run(&mut table, claim(1, "count"));
    assert_eq!(one.outcomes, [ClaimAction::Abandoned(request(1))]);
    assert_eq!(table.commits(), 0);
}

#[test]
fn a_settlement_is_retried_until_an_outage_ends() {
    let mut table = table();
    let mut one = Instance::new();
    one.run(&mut table, claim(1, "count"));
    table.faults = TableFaults { outage: true, ..TableFaults::default() };
    let settle =
        ClaimEvent::Settle { holder: request(1), settlement: Settlement::Done(answer("42")) };
    let actions = one.batcher.handle(one.now, 0, settle);
    let [ClaimAction::Call(call, table_request)] = &actions[..] else { panic!("{actions:?}") };
    let reply = table.call(one.now, table_request);
    one.batcher.handle(one.now, 0, ClaimEvent::Reply { call: *call, reply });
    assert_eq!(one.batcher.unsettled(), 1);
    table.faults = TableFaults::default();
    one.run(&mut table, ClaimEvent::Tick);
    assert_eq!(one.batcher.unsettled(), 0);
    let mut two = Instance::new();
    two.run(&mut table, claim(2, "count"));
    assert_eq!(
        two.outcomes,
        [ClaimAction::AlreadyClaimed(request(2), ExistingClaim::Answered(answer("42")))]
    );
}

#[test]
fn many_claims_share_a_commit() {
    let mut table = table();
    let mut one = Instance::new();
    // The remaining claims are batched while the first two commits are in flight.
    let mut calls: Vec<(CallId, TableRequest)> = Vec::new();
    for id in 0..200 {
        for action in one.batcher.handle(one.now, 0, claim(id, &format!("k{id}"))) {
            match action {
                ClaimAction::Call(call, request) => calls.push((call, request)),
                other => panic!("{other:?}"),
            }
        }
    }
    let mut granted = 0;
    while let Some((call, request)) = calls.pop() {
        let reply = table.call(one.now, &request);
        assert_eq!(reply, Ok(TableReply::Committed));
        for action in one.batcher.handle(one.now, 0, ClaimEvent::Reply { call, reply }) {
            match action {
                ClaimAction::Call(call, request) => calls.push((call, request)),
                ClaimAction::Granted(_) => granted += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(granted, 200);
    assert!(table.commits() <= 6, "{} commits", table.commits());
}

//! Claims at a table whose replies do not advance them.

use std::time::Duration;

use ringbend_ledger::{
    CallId, ClaimAction, ClaimBatcher, ClaimBatcherConfig, ClaimEvent, ClaimKey, ExistingClaim,
    Settlement,
};
use ringbend_models::{TableModel, TableRates};
use ringbend_platform::{Row, RowKey, RowVersion, TableError, TableReply, TableRequest, Write};
use ringbend_types::{RequestId, Timestamp};

/// More calls than a claim needs within a second. A batcher that makes more of them does not wait.
const MAX_CALLS_PER_S: usize = 25;

/// The claims of one instance, whose calls are answered by a function and take no time.
struct Driver<F> {
    batcher: ClaimBatcher,
    now: Timestamp,
    answer: F,
    calls: usize,
    outcomes: Vec<ClaimAction>,
}

impl<F: FnMut(&TableRequest) -> Result<TableReply, TableError>> Driver<F> {
    fn new(answer: F) -> Self {
        let batcher = ClaimBatcher::new(ClaimBatcherConfig::default());
        Self { batcher, now: Timestamp(0), answer, calls: 0, outcomes: Vec::new() }
    }

    /// Passes in events and answers all calls until `until`, or until there is nothing to do.
    fn run(&mut self, events: Vec<ClaimEvent>, until: Timestamp) {
        let mut events: Vec<ClaimEvent> = events.into_iter().rev().collect();
        while self.calls < 1_000 {
            let Some(event) = events.pop() else {
                let wakeup = self.batcher.next_wakeup();
                if wakeup > until {
                    return;
                }
                self.now = wakeup.max(self.now);
                events.push(ClaimEvent::Tick);
                continue;
            };
            for action in self.batcher.handle(self.now, self.now.0 / 1_000, event) {
                match action {
                    ClaimAction::Call(call, request) => {
                        self.calls += 1;
                        let reply = (self.answer)(&request);
                        events.push(ClaimEvent::Reply { call, reply });
                    }
                    outcome => self.outcomes.push(outcome),
                }
            }
        }
    }
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

fn seconds(s: u64) -> Timestamp {
    Timestamp(0) + Duration::from_secs(s)
}

/// A table whose row of a claim holds a value that no instance of this version can decode.
fn table_with_unreadable_claim(text: &str) -> TableModel {
    let mut table = TableModel::new(TableRates { writes_per_s: u32::MAX, reads_per_s: u32::MAX });
    let put = Write::Put { key: key(text).row(), value: "unreadable".into(), ttl_s: None };
    let commit = TableRequest::Commit { conditions: Vec::new(), writes: vec![put] };
    table.call(Timestamp(0), &commit).unwrap();
    table
}

/// Guards against claiming forever, and without a delay, a key whose row cannot be decoded, such as
/// one of a later release. Whether its request has run is unknown.
#[test]
fn a_claim_whose_row_is_unreadable_is_reported_as_may_have_run() {
    let mut table = table_with_unreadable_claim("a");
    let mut driver = Driver::new(|call| table.call(Timestamp(0), call));
    driver.run(vec![claim(1, "a")], seconds(60));
    let may_have_run = ClaimAction::AlreadyClaimed(request(1), ExistingClaim::MayHaveRun);
    assert_eq!(driver.outcomes, [may_have_run]);
    assert_eq!(driver.calls, 1);
}

/// Guards against an unreadable row that keeps the other claims of its batches from being granted.
#[test]
fn claims_beside_one_whose_row_is_unreadable_are_granted() {
    let mut table = table_with_unreadable_claim("c3");
    let mut driver = Driver::new(|call| table.call(Timestamp(0), call));
    let claims = (0..20).map(|id| claim(id, &format!("c{id}"))).collect();
    driver.run(claims, seconds(60));
    let granted = |id| driver.outcomes.contains(&ClaimAction::Granted(request(id)));
    let missing: Vec<u64> = (0..20).filter(|id| *id != 3 && !granted(*id)).collect();
    assert_eq!((missing, driver.calls <= 21), (Vec::new(), true), "{} calls", driver.calls);
}

/// Guards against a table that rejects a claim without naming a row: the claim was repeated without
/// a delay until its time had passed.
#[test]
fn a_claim_that_is_rejected_without_a_row_is_retried_with_a_delay_and_abandoned() {
    let mut driver = Driver::new(|_| Ok(TableReply::ConditionsFailed(Vec::new())));
    driver.run(vec![claim(1, "a")], seconds(60));
    assert_eq!(driver.outcomes, [ClaimAction::Abandoned(request(1))]);
    assert!(driver.calls <= MAX_CALLS_PER_S, "{} calls", driver.calls);
    assert!(driver.now >= Timestamp::from_millis(300), "{:?}", driver.now);
}

/// Guards against freeing a claim again and again without a delay.
#[test]
fn a_claim_that_cannot_be_freed_is_retried_with_a_delay() {
    let mut held: Option<(RowKey, std::sync::Arc<str>)> = None;
    let mut driver = Driver::new(|call| match call {
        TableRequest::Read { .. } => {
            let row = |(key, value)| Row { key, version: RowVersion(1), value };
            Ok(TableReply::Rows(held.clone().map(row).into_iter().collect()))
        }
        TableRequest::Commit { writes, .. } => match &writes[..] {
            [Write::Put { key, value, .. }] => {
                held = Some((key.clone(), value.clone()));
                Ok(TableReply::Committed)
            }
            _ => Ok(TableReply::ConditionsFailed(Vec::new())),
        },
        TableRequest::Scan { .. } => Err(TableError::NotApplied),
    });
    driver.run(vec![claim(1, "a")], seconds(1));
    let settle = ClaimEvent::Settle { holder: request(1), settlement: Settlement::NotRun };
    driver.run(vec![settle], seconds(1));
    assert!(driver.calls <= MAX_CALLS_PER_S, "{} calls", driver.calls);
}

/// Guards against settling a claim again and again without a delay, at a table that answers with
/// anything but the outcome of a commit.
#[test]
fn a_settlement_with_an_unexpected_reply_is_retried_with_a_delay() {
    let mut is_first = true;
    let mut driver = Driver::new(|_| {
        let is_claim = std::mem::replace(&mut is_first, false);
        Ok(if is_claim { TableReply::Committed } else { TableReply::Rows(Vec::new()) })
    });
    driver.run(vec![claim(1, "a")], seconds(1));
    let settle = ClaimEvent::Settle { holder: request(1), settlement: Settlement::MayHaveRun };
    driver.run(vec![settle], seconds(1));
    assert!(driver.calls <= MAX_CALLS_PER_S, "{} calls", driver.calls);
}

/// A reply to a call that the batcher does not know changes nothing.
#[test]
fn a_reply_to_an_unknown_call_is_ignored() {
    let mut driver = Driver::new(|_| Ok(TableReply::Committed));
    let reply = Ok(TableReply::Committed);
    driver.run(vec![ClaimEvent::Reply { call: CallId(9), reply }], seconds(1));
    assert_eq!((driver.calls, driver.outcomes.len()), (0, 0));
}

//! Two requests with one key at two instances: every interleaving of their calls, with every fault
//! of the store, is walked. At most one may run; one that is told "not run" never ran. The naive
//! router, without claims, must run both.

use std::time::Duration;

use ringbend_ledger::{
    CallId, ClaimAction, ClaimBatcher, ClaimBatcherConfig, ClaimEvent, ClaimKey, Settlement,
};
use ringbend_models::{TableFaults, TableModel, TableRates};
use ringbend_platform::{TableError, TableReply, TableRequest};
use ringbend_types::{RequestId, Timestamp};

/// Faults in one walk at most.
const MOST_FAULTS: u32 = 3;

#[derive(Clone)]
struct Instance {
    batcher: ClaimBatcher,
    now: Timestamp,
    calls: Vec<(CallId, TableRequest)>,
    granted: u32,
    given_up: bool,
    held: bool,
}

/// A commit that was lost on its way and may land later.
type Late = Option<TableRequest>;

fn request(id: u64) -> RequestId {
    RequestId { incarnation: id, sequence: 1 }
}

impl Instance {
    fn new(id: u64) -> Self {
        let cfg = ClaimBatcherConfig { max_claim_attempts: 3, ..ClaimBatcherConfig::default() };
        let mut instance = Self {
            batcher: ClaimBatcher::new(cfg),
            now: Timestamp(0),
            calls: Vec::new(),
            granted: 0,
            given_up: false,
            held: false,
        };
        instance.give(ClaimEvent::Claim {
            holder: request(id),
            key: ClaimKey { account: "peach".parse().unwrap(), key: "count".parse().unwrap() },
            digest: 1,
            until_unix_ms: 1_000_000,
            abandon_at: Timestamp::from_millis(1_000_000),
        });
        instance
    }

    fn give(&mut self, event: ClaimEvent) {
        for action in self.batcher.handle(self.now, 0, event) {
            match action {
                ClaimAction::Call(call, request) => self.calls.push((call, request)),
                // The holder stays, as one whose answer has not arrived yet.
                ClaimAction::Granted(_) => self.granted += 1,
                ClaimAction::Abandoned(_) => self.given_up = true,
                ClaimAction::AlreadyClaimed(..) => self.held = true,
            }
        }
    }

    /// Lets time pass until the batcher wants something.
    fn wait(&mut self) {
        for _ in 0..10 {
            if !self.calls.is_empty() || self.batcher.next_wakeup() == Timestamp::NEVER {
                return;
            }
            self.now = self.now + Duration::from_millis(100);
            self.give(ClaimEvent::Tick);
        }
    }
}

struct Walk {
    leaves: u64,
    most_granted: u32,
    both_ways: u64,
    none: u64,
}

fn step(table: &TableModel, late: &Late, instances: &[Instance; 2], faults: u32, walk: &mut Walk) {
    let mut over = true;
    for at in 0..2 {
        if instances[at].calls.is_empty() {
            continue;
        }
        over = false;
        for fate in 0..5 {
            let (mut table, mut late, mut instances) =
                (table.clone(), late.clone(), instances.clone());
            let (call, request) = instances[at].calls.remove(0);
            let write = request.is_write();
            let is_fault = fate > 0;
            if (is_fault && faults == 0) || (fate >= 2 && !write) || (fate == 4 && late.is_some()) {
                continue;
            }
            let now = Timestamp(0);
            let reply = match fate {
                0 => table.call(now, &request),
                1 => Err(TableError::NotApplied),
                2 => {
                    table.faults = TableFaults { lose_answers: 1, ..TableFaults::default() };
                    table.call(now, &request)
                }
                3 => Err(TableError::OutcomeUnknown),
                _ => {
                    late = Some(request);
                    Err(TableError::OutcomeUnknown)
                }
            };
            table.faults = TableFaults::default();
            instances[at].give(ClaimEvent::Reply { call, reply });
            instances[at].wait();
            step(&table, &late, &instances, faults - u32::from(is_fault), walk);
        }
    }
    if let Some(request) = late {
        // The late commit lands now.
        over = false;
        let mut table = table.clone();
        let _: Result<TableReply, TableError> = table.call(Timestamp(0), request);
        step(&table, &None, instances, faults, walk);
    }
    if over {
        walk.leaves += 1;
        let granted = instances[0].granted + instances[1].granted;
        walk.most_granted = walk.most_granted.max(granted);
        walk.none += u64::from(granted == 0);
        for instance in instances {
            walk.both_ways += u64::from(instance.granted > 0 && instance.given_up);
        }
    }
}

#[test]
fn at_most_one_of_two_runs_in_every_interleaving() {
    let table = TableModel::new(TableRates { writes_per_s: u32::MAX, reads_per_s: u32::MAX });
    let mut walk = Walk { leaves: 0, most_granted: 0, both_ways: 0, none: 0 };
    step(&table, &None, &[Instance::new(1), Instance::new(2)], MOST_FAULTS, &mut walk);
    assert!(walk.leaves > 1_000, "only {} ends were reached", walk.leaves);
    assert_eq!(walk.most_granted, 1);
    assert_eq!(walk.both_ways, 0, "a request was told not run after it was granted");
}

#[test]
fn without_faults_exactly_one_runs() {
    let table = TableModel::new(TableRates::default());
    let mut walk = Walk { leaves: 0, most_granted: 0, both_ways: 0, none: 0 };
    step(&table, &None, &[Instance::new(1), Instance::new(2)], 0, &mut walk);
    assert_eq!((walk.most_granted, walk.none), (1, 0));
}

#[test]
fn a_grant_that_nobody_waits_for_is_freed() {
    let mut table = TableModel::new(TableRates::default());
    let mut instance = Instance::new(1);
    let (call, request_) = instance.calls.remove(0);
    let reply = table.call(Timestamp(0), &request_);
    instance.give(ClaimEvent::Reply { call, reply });
    let settlement = Settlement::NotRun;
    instance.give(ClaimEvent::Settle { holder: request(1), settlement });
    while let Some((call, request)) = instance.calls.pop() {
        let reply = table.call(Timestamp(0), &request);
        instance.give(ClaimEvent::Reply { call, reply });
    }
    let mut second = Instance::new(2);
    let (call, request_) = second.calls.remove(0);
    let reply = table.call(Timestamp(0), &request_);
    second.give(ClaimEvent::Reply { call, reply });
    assert_eq!(second.granted, 1);
}

//! Exhaustive test of two requests with the same key at two instances. All interleavings of their calls
//! with all faults of the table are explored. At most one request may run, and one that is reported as not
//! run must never have run.

use std::time::Duration;

use ringbend_ledger::{
    CallId, ClaimAction, ClaimBatcher, ClaimBatcherConfig, ClaimEvent, ClaimKey, Settlement,
};
use ringbend_models::{TableFaults, TableModel, TableRates};
use ringbend_platform::{TableError, TableReply, TableRequest};
use ringbend_types::{RequestId, Timestamp};

/// Maximum number of faults in one execution.
const MAX_FAULTS: u32 = 3;

#[derive(Clone)]
struct Instance {
    batcher: ClaimBatcher,
    now: Timestamp,
    calls: Vec<(CallId, TableRequest)>,
    granted: u32,
    abandoned: bool,
    already_claimed: bool,
}

/// A commit that was lost in flight and may take effect later.
type DelayedCommit = Option<TableRequest>;

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
            abandoned: false,
            already_claimed: false,
        };
        instance.handle(ClaimEvent::Claim {
            holder: request(id),
            key: ClaimKey { account: "peach".parse().unwrap(), key: "count".parse().unwrap() },
            digest: 1,
            until_unix_ms: 1_000_000,
            abandon_at: Timestamp::from_millis(1_000_000),
        });
        instance
    }

    fn handle(&mut self, event: ClaimEvent) {
        for action in self.batcher.handle(self.now, 0, event) {
            match action {
                ClaimAction::Call(call, request) => self.calls.push((call, request)),
                // The claim stays held, as for a request whose answer has not arrived yet.
                ClaimAction::Granted(_) => self.granted += 1,
                ClaimAction::Abandoned(_) => self.abandoned = true,
                ClaimAction::AlreadyClaimed(..) => self.already_claimed = true,
            }
        }
    }

    /// Advances the time until the batcher makes a call.
    fn wait(&mut self) {
        for _ in 0..10 {
            if !self.calls.is_empty() || self.batcher.next_wakeup() == Timestamp::NEVER {
                return;
            }
            self.now = self.now + Duration::from_millis(100);
            self.handle(ClaimEvent::Tick);
        }
    }
}

struct Exploration {
    final_states: u64,
    max_granted: u32,
    granted_and_abandoned: u64,
    none_granted: u64,
}

fn explore(
    table: &TableModel,
    delayed: &DelayedCommit,
    instances: &[Instance; 2],
    faults: u32,
    exploration: &mut Exploration,
) {
    let mut is_final = true;
    for at in 0..2 {
        if instances[at].calls.is_empty() {
            continue;
        }
        is_final = false;
        for fault in 0..5 {
            let (mut table, mut delayed, mut instances) =
                (table.clone(), delayed.clone(), instances.clone());
            let (call, request) = instances[at].calls.remove(0);
            let write = request.is_write();
            let is_fault = fault > 0;
            if (is_fault && faults == 0)
                || (fault >= 2 && !write)
                || (fault == 4 && delayed.is_some())
            {
                continue;
            }
            let now = Timestamp(0);
            let reply = match fault {
                0 => table.call(now, &request),
                1 => Err(TableError::NotApplied),
                2 => {
                    table.faults = TableFaults { lose_answers: 1, ..TableFaults::default() };
                    table.call(now, &request)
                }
                3 => Err(TableError::OutcomeUnknown),
                _ => {
                    delayed = Some(request);
                    Err(TableError::OutcomeUnknown)
                }
            };
            table.faults = TableFaults::default();
            instances[at].handle(ClaimEvent::Reply { call, reply });
            instances[at].wait();
            explore(&table, &delayed, &instances, faults - u32::from(is_fault), exploration);
        }
    }
    if let Some(request) = delayed {
        // The delayed commit takes effect now.
        is_final = false;
        let mut table = table.clone();
        let _: Result<TableReply, TableError> = table.call(Timestamp(0), request);
        explore(&table, &None, instances, faults, exploration);
    }
    if is_final {
        exploration.final_states += 1;
        let granted = instances[0].granted + instances[1].granted;
        exploration.max_granted = exploration.max_granted.max(granted);
        exploration.none_granted += u64::from(granted == 0);
        for instance in instances {
            exploration.granted_and_abandoned +=
                u64::from(instance.granted > 0 && instance.abandoned);
        }
    }
}

#[test]
fn at_most_one_request_runs_in_every_interleaving() {
    let table = TableModel::new(TableRates { writes_per_s: u32::MAX, reads_per_s: u32::MAX });
    let mut exploration =
        Exploration { final_states: 0, max_granted: 0, granted_and_abandoned: 0, none_granted: 0 };
    explore(&table, &None, &[Instance::new(1), Instance::new(2)], MAX_FAULTS, &mut exploration);
    assert!(
        exploration.final_states > 1_000,
        "only {} final states were reached",
        exploration.final_states
    );
    assert_eq!(exploration.max_granted, 1);
    assert_eq!(
        exploration.granted_and_abandoned, 0,
        "a request was reported as not run after its claim was granted"
    );
}

#[test]
fn exactly_one_request_runs_without_faults() {
    let table = TableModel::new(TableRates::default());
    let mut exploration =
        Exploration { final_states: 0, max_granted: 0, granted_and_abandoned: 0, none_granted: 0 };
    explore(&table, &None, &[Instance::new(1), Instance::new(2)], 0, &mut exploration);
    assert_eq!((exploration.max_granted, exploration.none_granted), (1, 0));
}

#[test]
fn an_unused_grant_is_freed() {
    let mut table = TableModel::new(TableRates::default());
    let mut instance = Instance::new(1);
    let (call, table_request) = instance.calls.remove(0);
    let reply = table.call(Timestamp(0), &table_request);
    instance.handle(ClaimEvent::Reply { call, reply });
    let settlement = Settlement::NotRun;
    instance.handle(ClaimEvent::Settle { holder: request(1), settlement });
    while let Some((call, request)) = instance.calls.pop() {
        let reply = table.call(Timestamp(0), &request);
        instance.handle(ClaimEvent::Reply { call, reply });
    }
    let mut second = Instance::new(2);
    let (call, table_request) = second.calls.remove(0);
    let reply = table.call(Timestamp(0), &table_request);
    second.handle(ClaimEvent::Reply { call, reply });
    assert_eq!(second.granted, 1);
}

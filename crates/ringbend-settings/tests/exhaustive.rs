//! Exhaustive test of two operators that change the same node. All interleavings of their calls with all
//! faults of the table are explored. A naive committer, which reads and writes without conditions and
//! retries on any error, is explored in the same way and must violate the guarantees.

mod support;

use std::collections::BTreeSet;

use ringbend_models::{TableFaults, TableModel};
use ringbend_platform::{RowKey, TableError, TableReply, TableRequest, Write};
use ringbend_settings::{CommitOutcome, CommitStep, Committer, LogEntry, SettingsTree};
use support::{call, set, table};

/// Maximum number of faults in one execution.
const MAX_FAULTS: u32 = 2;

#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered,
    ReplyLost,
    CommitLost,
    Rejected,
}

/// The program of one operator: its next call, and the outcome that it reported.
trait Operator: Clone {
    fn next(&self) -> Option<TableRequest>;
    fn reply(&mut self, reply: Result<TableReply, TableError>);
    /// `Some(true)` if the change was reported as accepted, `Some(false)` if reported as not applied.
    fn reported(&self) -> Option<bool>;
}

#[derive(Clone)]
struct ConditionalCommitter {
    committer: Committer,
    step: CommitStep,
}

impl ConditionalCommitter {
    fn new(id: &str, weight: u32) -> Self {
        let mut committer = Committer::new(set(id, "/x", weight), SettingsTree::default());
        let step = committer.start();
        Self { committer, step }
    }
}

impl Operator for ConditionalCommitter {
    fn next(&self) -> Option<TableRequest> {
        match &self.step {
            CommitStep::Call(call) | CommitStep::Backoff { call, .. } => Some(call.clone()),
            CommitStep::Done(_) => None,
        }
    }

    fn reply(&mut self, reply: Result<TableReply, TableError>) {
        self.step = self.committer.on_reply(reply);
    }

    fn reported(&self) -> Option<bool> {
        match &self.step {
            CommitStep::Done(CommitOutcome::Accepted(_) | CommitOutcome::AlreadyAccepted(_)) => {
                Some(true)
            }
            CommitStep::Done(CommitOutcome::OutcomeUnknown) => None,
            CommitStep::Done(_) => Some(false),
            _ => None,
        }
    }
}

/// Appends to the log by counting its entries, without conditions, and treats an error as "not applied".
#[derive(Clone)]
struct NaiveCommitter {
    id: &'static str,
    weight: u32,
    version: Option<u64>,
    attempts: u32,
    reported: Option<bool>,
}

impl Operator for NaiveCommitter {
    fn next(&self) -> Option<TableRequest> {
        if self.reported.is_some() {
            return None;
        }
        let Some(version) = self.version else {
            return Some(TableRequest::Scan {
                prefix: "settings/log/".into(),
                after: None,
                limit: 100,
                paged: false,
            });
        };
        let version = ringbend_types::SettingsVersion(version);
        let entry = LogEntry { version, change: set(self.id, "/x", self.weight) };
        let key = RowKey::new(format!("settings/log/{:020}", version.0));
        let value = serde_json::to_string(&entry).unwrap().into();
        let writes = vec![Write::Put { key, value, ttl_s: None }];
        Some(TableRequest::Commit { conditions: Vec::new(), writes })
    }

    fn reply(&mut self, reply: Result<TableReply, TableError>) {
        match reply {
            Ok(TableReply::Rows(rows)) => self.version = Some(rows.len() as u64 + 1),
            Ok(_) => self.reported = Some(true),
            Err(_) => {
                self.attempts += 1;
                self.version = None;
                if self.attempts == 2 {
                    self.reported = Some(false);
                }
            }
        }
    }

    fn reported(&self) -> Option<bool> {
        self.reported
    }
}

struct Exploration {
    final_states: u64,
    violations: Vec<String>,
}

fn log(table: &mut TableModel) -> Vec<LogEntry> {
    let scan = TableRequest::Scan {
        prefix: "settings/log/".into(),
        after: None,
        limit: 1_000,
        paged: false,
    };
    match call(table, &scan) {
        Ok(TableReply::Rows(rows)) => {
            rows.iter().map(|row| serde_json::from_str(&row.value).unwrap()).collect()
        }
        other => panic!("{other:?}"),
    }
}

fn check_final_state(
    table: &mut TableModel,
    operators: &[impl Operator; 2],
    exploration: &mut Exploration,
) {
    exploration.final_states += 1;
    let log = log(table);
    let ids: Vec<&str> = log.iter().map(|e| e.change.id.as_str()).collect();
    let unique: BTreeSet<&str> = ids.iter().copied().collect();
    if unique.len() != ids.len() {
        exploration.violations.push(format!("a change was applied twice: {ids:?}"));
    }
    if log.iter().enumerate().any(|(n, e)| e.version.0 != n as u64 + 1) {
        exploration.violations.push(format!("versions have gaps: {log:?}"));
    }
    for (operator, id) in operators.iter().zip(["a", "b"]) {
        if operator.reported().is_some_and(|accepted| accepted != unique.contains(id)) {
            exploration.violations.push(format!(
                "{id} was reported as {:?}, the log has {ids:?}",
                operator.reported()
            ));
        }
    }
}

fn explore(
    table: &TableModel,
    operators: &[impl Operator; 2],
    faults: u32,
    exploration: &mut Exploration,
) {
    let mut is_final = true;
    for at in 0..2 {
        let Some(request) = operators[at].next() else { continue };
        is_final = false;
        for outcome in [
            CallOutcome::Answered,
            CallOutcome::ReplyLost,
            CallOutcome::CommitLost,
            CallOutcome::Rejected,
        ] {
            let is_fault = !matches!(outcome, CallOutcome::Answered);
            let lost = matches!(outcome, CallOutcome::ReplyLost | CallOutcome::CommitLost);
            if (is_fault && faults == 0) || (lost && !request.is_write()) {
                continue;
            }
            let (mut table, mut operators) = (table.clone(), operators.clone());
            table.faults = TableFaults {
                lose_answers: matches!(outcome, CallOutcome::ReplyLost).into(),
                lose_commits: matches!(outcome, CallOutcome::CommitLost).into(),
                outage: matches!(outcome, CallOutcome::Rejected),
                delay_ms: 0,
            };
            let reply = call(&mut table, &request);
            table.faults = TableFaults::default();
            operators[at].reply(reply);
            explore(&table, &operators, faults - u32::from(is_fault), exploration);
        }
    }
    if is_final {
        check_final_state(&mut table.clone(), operators, exploration);
    }
}

#[test]
fn no_interleaving_violates_the_guarantees() {
    let mut exploration = Exploration { final_states: 0, violations: Vec::new() };
    let operators = [ConditionalCommitter::new("a", 1), ConditionalCommitter::new("b", 2)];
    explore(&table(), &operators, MAX_FAULTS, &mut exploration);
    assert!(
        exploration.final_states > 1_000,
        "only {} final states were reached",
        exploration.final_states
    );
    assert!(exploration.violations.is_empty(), "{:?}", exploration.violations.first());
}

#[test]
fn the_naive_committer_violates_the_guarantees() {
    let naive =
        |id, weight| NaiveCommitter { id, weight, version: None, attempts: 0, reported: None };
    let mut exploration = Exploration { final_states: 0, violations: Vec::new() };
    explore(&table(), &[naive("a", 1), naive("b", 2)], MAX_FAULTS, &mut exploration);
    assert!(
        exploration.violations.iter().any(|b| b.contains("twice")),
        "no change was applied twice"
    );
    assert!(
        exploration.violations.iter().any(|b| b.contains("was reported as Some(true)")),
        "no accepted change was lost"
    );
    assert!(
        exploration.violations.iter().any(|b| b.contains("was reported as Some(false)")),
        "no applied change was reported as not applied"
    );
}

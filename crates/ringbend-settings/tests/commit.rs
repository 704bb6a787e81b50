//! Commits through the table service under concurrent changes, lost replies and outages.

mod support;

use quickcheck::{Gen, QuickCheck, TestResult};
use ringbend_models::TableFaults;
use ringbend_platform::TableReply;
use ringbend_settings::{
    ApplyOutcome, CommitOutcome, CommitStep, Committer, MAX_COMMIT_ATTEMPTS, Replica, SettingsTree,
};
use ringbend_types::SettingsVersion;
use support::{commit, faulty_table, path, set, sync, table};

fn weight(replica: &Replica, at: &str) -> u32 {
    replica.tree().effective(&path(at)).limits.weight
}

#[test]
fn changes_of_different_nodes_are_both_applied() {
    let (mut table, mut replica) = (table(), Replica::default());
    assert!(matches!(commit(&mut table, set("a", "/x", 1), &replica), CommitOutcome::Accepted(_)));
    assert!(matches!(commit(&mut table, set("b", "/y", 2), &replica), CommitOutcome::Accepted(_)));
    sync(&mut table, &mut replica);
    assert_eq!((weight(&replica, "/x"), weight(&replica, "/y")), (1, 2));
}

#[test]
fn a_change_with_an_outdated_base_conflicts_and_writes_nothing() {
    let (mut table, mut replica) = (table(), Replica::default());
    commit(&mut table, set("a", "/x", 1), &replica);
    let mut late = set("b", "/x", 2);
    late.base = Some(SettingsVersion(0));
    let outcome = commit(&mut table, late, &replica);
    let version = SettingsVersion(1);
    assert_eq!(outcome, CommitOutcome::Conflict { path: path("/x"), version });
    sync(&mut table, &mut replica);
    assert_eq!(weight(&replica, "/x"), 1);
}

#[test]
fn a_change_whose_reply_was_lost_is_found_and_applied_once() {
    let mut table = faulty_table(TableFaults { lose_answers: 1, ..TableFaults::default() });
    let mut replica = Replica::default();
    let outcome = commit(&mut table, set("a", "/x", 1), &replica);
    assert_eq!(outcome, CommitOutcome::AlreadyAccepted(SettingsVersion(1)));
    sync(&mut table, &mut replica);
    assert_eq!(replica.version(), SettingsVersion(1));
}

#[test]
fn an_outage_is_reported_as_not_applied() {
    let mut table = faulty_table(TableFaults { outage: true, ..TableFaults::default() });
    let outcome = commit(&mut table, set("a", "/x", 1), &Replica::default());
    assert_eq!(outcome, CommitOutcome::NotApplied);
}

#[test]
fn an_unknown_outcome_is_never_reported_as_rejected() {
    // All commits are lost without effect, but the committer cannot know that, so it must not report the
    // change as rejected.
    let mut table = faulty_table(TableFaults { lose_commits: u32::MAX, ..TableFaults::default() });
    let replica = Replica::default();
    assert_eq!(commit(&mut table, set("a", "/x", 1), &replica), CommitOutcome::OutcomeUnknown);
    table.faults = TableFaults::default();
    let again = commit(&mut table, set("a", "/x", 1), &replica);
    assert!(matches!(again, CommitOutcome::Accepted(_)));
}

#[test]
fn a_replica_that_is_behind_the_log_reads_the_nodes() {
    let (mut table, replica) = (table(), Replica::default());
    for n in 0..600 {
        commit(&mut table, set(&format!("c{n}"), &format!("/a{}", n % 7), n + 1), &replica);
    }
    // Old log rows have expired.
    let keys = (1..=300).map(|v| ringbend_platform::RowKey::new(format!("settings/log/{v:020}")));
    let writes = keys.map(|key| ringbend_platform::Write::Delete { key }).collect();
    let request = ringbend_platform::TableRequest::Commit { conditions: Vec::new(), writes };
    support::call(&mut table, &request).unwrap();
    let mut late = Replica::default();
    sync(&mut table, &mut late);
    assert_eq!(late.version(), SettingsVersion(600));
    // Change 599 was the last one of account 4, because 599 % 7 == 4.
    assert_eq!(weight(&late, "/a4"), 600);
}

/// Guards against repeating a commit without a limit and a delay at a service that answers it with
/// rows.
#[test]
fn a_commit_that_is_answered_with_rows_ends_as_unknown() {
    let mut committer = Committer::new(set("a", "/x", 1), SettingsTree::default());
    let mut step = committer.start();
    for _ in 0..10 * MAX_COMMIT_ATTEMPTS {
        step = match step {
            CommitStep::Done(outcome) => {
                assert_eq!(outcome, CommitOutcome::OutcomeUnknown);
                return;
            }
            CommitStep::Call(_) | CommitStep::Backoff { .. } => {
                committer.on_reply(Ok(TableReply::Rows(Vec::new())))
            }
        };
    }
    panic!("the commit has not ended");
}

/// For all orders in which entries and snapshots arrive, the version never decreases, and a replica at a
/// given version is equal to the snapshot of that version.
fn version_never_decreases(order: Vec<(u8, bool)>) -> TestResult {
    let (mut table, mut source) = (table(), Replica::default());
    let mut entries = Vec::new();
    let mut snapshots = Vec::new();
    for n in 0..12_u32 {
        let change = set(&format!("c{n}"), &format!("/a{}", n % 3), n + 1);
        match commit(&mut table, change, &source) {
            CommitOutcome::Accepted(entry) => entries.push(entry),
            _ => return TestResult::failed(),
        }
        sync(&mut table, &mut source);
        snapshots.push(source.snapshot().clone());
    }
    let mut replica = Replica::default();
    for (at, is_snapshot) in order {
        let before = replica.version();
        let at = usize::from(at) % entries.len();
        let applied = if is_snapshot {
            replica.load(snapshots[at].clone())
        } else {
            replica.apply(&entries[at]) == ApplyOutcome::Applied
        };
        if replica.version() < before || applied != (replica.version() > before) {
            return TestResult::failed();
        }
        let expected = snapshots.get(replica.version().0.wrapping_sub(1) as usize);
        if expected.is_some_and(|s| s != replica.snapshot()) {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn the_version_in_force_never_decreases() {
    let seeded = Gen::from_size_and_seed(60, 7);
    QuickCheck::new()
        .rng(seeded)
        .quickcheck(version_never_decreases as fn(Vec<(u8, bool)>) -> TestResult);
}

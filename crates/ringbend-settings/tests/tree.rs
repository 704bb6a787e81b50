//! Inheritance, explanations, diffs and validation of the settings tree.

mod support;

use ringbend_settings::{NodePath, Replica, SettingsError, known_keys, schema};
use serde_json::json;
use support::{change, commit, edit, path, set, sync, table};

fn replica_with(changes: &[(&str, &str, serde_json::Value)]) -> Replica {
    let (mut table, mut replica) = (table(), Replica::default());
    for (n, (at, key, value)) in changes.iter().enumerate() {
        let next = change(&format!("c{n}"), vec![edit(at, key, value.clone())]);
        commit(&mut table, next, &replica);
        sync(&mut table, &mut replica);
    }
    replica
}

#[test]
fn a_node_inherits_what_it_does_not_override() {
    let replica = replica_with(&[
        ("/", "class.priority", json!(5)),
        ("/peach", "limits.weight", json!(7)),
        ("/peach/assistant/drivers", "class.priority", json!(0)),
    ]);
    let drivers = replica.tree().effective(&path("/peach/assistant/drivers"));
    assert_eq!((drivers.class.priority, drivers.limits.weight), (0, 7));
    let other = replica.tree().effective(&path("/mahoe/quotes"));
    assert_eq!((other.class.priority, other.limits.weight), (5, 100));
}

#[test]
fn a_node_inherits_again_after_its_override_is_removed() {
    let (mut table, mut replica) = (table(), Replica::default());
    commit(&mut table, set("a", "/", 3), &replica);
    commit(&mut table, set("b", "/peach", 9), &replica);
    let mut unset = set("c", "/peach", 0);
    unset.edits[0].value = None;
    commit(&mut table, unset, &replica);
    sync(&mut table, &mut replica);
    assert_eq!(replica.tree().effective(&path("/peach")).limits.weight, 3);
}

#[test]
fn an_explanation_names_the_node_that_set_the_value() {
    let replica = replica_with(&[("/peach", "limits.weight", json!(7))]);
    let lines = replica.tree().explain(&path("/peach/assistant"));
    let weight = lines.iter().find(|l| l.key.as_str() == "limits.weight").unwrap();
    assert_eq!((&weight.value, &weight.from), (&json!(7), &Some(path("/peach"))));
    let other = lines.iter().find(|l| l.key.as_str() == "retries.attempts").unwrap();
    assert_eq!(other.from, None);
    assert_eq!(lines.len(), known_keys().len());
}

#[test]
fn a_diff_lists_only_what_differs() {
    let replica = replica_with(&[("/peach", "limits.weight", json!(7))]);
    let diff = replica.tree().diff(&NodePath::Fleet, &path("/peach"));
    assert_eq!(diff.len(), 1);
    assert_eq!((&diff[0].left, &diff[0].right), (&json!(100), &json!(7)));
}

#[test]
fn an_unknown_key_is_rejected_with_the_closest_match() {
    let error = "limits.wieght".parse::<ringbend_settings::SettingKey>().unwrap_err();
    assert_eq!(
        error.to_string(),
        "unknown setting \"limits.wieght\"; did you mean \"limits.weight\"?"
    );
}

#[test]
fn a_value_of_the_wrong_type_is_rejected_with_its_path() {
    let wrong = change("a", vec![edit("/peach", "routing.choice", json!("fastest"))]);
    let error = Replica::default().tree().check(&wrong).unwrap_err().to_string();
    assert!(error.starts_with("/peach routing.choice = \"fastest\""), "{error}");
    assert!(error.contains("predicted-finish"), "{error}");
}

#[test]
fn a_value_out_of_range_is_rejected_with_the_allowed_range() {
    let wrong = change("a", vec![edit("/", "class.priority", json!(9))]);
    let error = Replica::default().tree().check(&wrong).unwrap_err();
    assert_eq!(error.to_string(), "at /: class.priority = 9: allowed are 0 to 7");
}

#[test]
fn a_change_that_invalidates_a_descendant_is_rejected() {
    let replica = replica_with(&[("/peach", "timeouts.deadline_ms", json!(500_000))]);
    let wrong = change("x", vec![edit("/", "timeouts.max_deadline_ms", json!(200_000))]);
    match replica.tree().check(&wrong) {
        Err(SettingsError::OutOfRange { path: at, .. }) => assert_eq!(at, path("/peach")),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_schema_contains_all_settings() {
    let schema = serde_json::to_string(&schema()).unwrap();
    for key in known_keys() {
        let name = key.split_once('.').unwrap().1;
        assert!(schema.contains(&format!("\"{name}\"")), "{key} is not in the schema");
    }
}

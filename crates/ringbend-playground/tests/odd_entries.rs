//! Entries of the instance list that another writer left: the list is followed all the same.

mod support;

use ringbend_playground::{Fleet, FleetConfig};
use serde_json::{Value, json};
use support::{
    block_on, call, expected_tokens, parse_tokens, post, put, send_prompt, small_config, wait_until,
};

/// How deep a value is nested.
const NESTING: usize = 8_000;

/// An entry of an engine that serves the model `other`, at an address where nothing listens.
fn engine_entry() -> Value {
    json!({"id": "odd-1", "address": "127.0.0.1:9", "data_centre": "dc-1", "kind": "engine",
        "service": "other", "checks_fencing": false, "kv_capacity": 1_000, "state": "live"})
}

fn odd_entries() -> Vec<String> {
    let with_value = |field: &str, value: &str| {
        let mut entry = engine_entry();
        entry[field] = json!("PLACE");
        entry.to_string().replace("\"PLACE\"", value)
    };
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let mut entries =
        vec![nested.clone(), "null".into(), "1e400".into(), "\"engine\"".into(), "{}".into()];
    for value in [nested.as_str(), "1e400", "18446744073709551616", "-1", "1.5", "null"] {
        entries.push(with_value("kv_capacity", value));
        entries.push(with_value("extra", value));
    }
    for address in
        ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1", "127.0.0.1:0", "[::1]:70000", "nowhere:80"]
    {
        entries.push(with_value("address", &format!("\"{address}\"")));
    }
    for field in ["id", "data_centre", "kind", "service", "state"] {
        entries.push(with_value(field, "\"\\u0000\""));
        entries.push(with_value(field, &format!("\"{}\"", "x".repeat(10_000))));
    }
    entries.push(with_value("kv_capacity", "18446744073709551615"));
    entries
}

#[test]
fn odd_entries_do_not_stop_instances_from_following_the_list() {
    block_on(async {
        let mut fleet = Fleet::start(FleetConfig { services: 0, ..small_config() }).await.unwrap();
        let url = format!("http://{}/v1/endpoints", fleet.instance_list.address());
        for entry in odd_entries() {
            post(url.clone(), entry).await;
        }
        let service =
            ringbend_standins::service::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let entry = json!({"id": "service-9", "address": service.address(), "data_centre": "dc-1",
            "kind": "service", "service": "dispatch", "checks_fencing": false, "kv_capacity": 0, "state": "live"});
        put(url, entry).await;
        // Also an instance that starts later.
        fleet.add_instance("late").await.unwrap();
        fleet.wait_ready().await.unwrap();
        for instance in &fleet.instances {
            let to = instance.callers_address;
            wait_until("the new service is known", async || {
                call(to, "/services/dispatch/count", &[], "one box").await.status == 200
            })
            .await;
            let answer = send_prompt(to, "review", 5).await;
            assert_eq!(parse_tokens(&answer), (expected_tokens("review", 5), true), "{answer:?}");
        }
    });
}

//! End-to-end tests with failures of endpoints, callers, instances and the platform.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ringbend_models::TablePage;
use ringbend_playground::{CALLER_KEY, Fleet, FleetConfig};
use serde_json::{Value, json};
use support::{
    admin_get, block_on, call, call_with_key, change_setting, expected_tokens, inject_fault,
    parse_tokens, put, run_count, send, send_prompt, set_everywhere, settings_version,
    small_config, wait_until,
};

#[test]
fn a_stream_continues_on_another_engine_after_a_crash() {
    block_on(async {
        let mut fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let answer = tokio::task::spawn_local(async move { send_prompt(to, "review", 100).await });
        let mut busy = None;
        wait_until("an engine runs the prompt", async || {
            busy = fleet.engines.iter().position(|e| e.stats().sequences > 0);
            busy.is_some()
        })
        .await;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        drop(fleet.engines.remove(busy.unwrap()));
        let answer = answer.await.unwrap();
        assert_eq!(parse_tokens(&answer), (expected_tokens("review", 100), true));
    });
}

#[test]
fn truncated_and_misdelivered_answers_never_reach_a_caller() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig { engines: 3, ..small_config() }).await.unwrap();
        for engine in 0..3 {
            inject_fault(&fleet, engine, |f| {
                f.cut_streams = 1;
                f.wrong_attempt = 1;
                f.cross_events = 1;
            });
        }
        set_everywhere(&fleet, "retries.attempts", json!(20)).await;
        set_everywhere(&fleet, "retries.ratio_percent", json!(100)).await;
        let calls = (0..12).map(|n| {
            let to = fleet.instances[n % 2].callers_address;
            async move {
                let text = format!("prompt number {n}");
                let answer = send_prompt(to, &text, 30).await;
                (text, answer)
            }
        });
        for (text, answer) in futures_util::future::join_all(calls).await {
            assert_eq!(
                parse_tokens(&answer),
                (expected_tokens(&text, 30), true),
                "{text}: {}",
                answer.text
            );
        }
    });
}

#[test]
fn a_prompt_on_a_frozen_engine_is_retried_after_the_first_token_timeout() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        set_everywhere(&fleet, "timeouts.first_token_ms", json!(300)).await;
        inject_fault(&fleet, 0, |f| f.freeze = true);
        for n in 0..4 {
            let text = format!("n{n}");
            let answer = send_prompt(fleet.instances[0].callers_address, &text, 5).await;
            assert_eq!(parse_tokens(&answer), (expected_tokens(&text, 5), true));
        }
    });
}

#[test]
fn the_deadline_is_enforced_when_every_engine_is_frozen() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        inject_fault(&fleet, 0, |f| f.freeze = true);
        inject_fault(&fleet, 1, |f| f.freeze = true);
        let started_at = Instant::now();
        let body = json!({"model": "standin", "prompt": "x"}).to_string();
        let headers = [("x-ringbend-deadline-ms", "800")];
        let answer =
            call(fleet.instances[0].callers_address, "/v1/completions", &headers, &body).await;
        assert_eq!(answer.code(), "deadline_exceeded");
        assert_eq!((answer.status, answer.run_state().as_str()), (504, "may-have-run"));
        assert!(answer.retry_after.is_some());
        assert!(started_at.elapsed() < Duration::from_secs(3));
    });
}

#[test]
fn a_prompt_rejected_by_every_engine_is_reported_as_not_run() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        inject_fault(&fleet, 0, |f| f.refuse = true);
        inject_fault(&fleet, 1, |f| f.refuse = true);
        let started_at = Instant::now();
        let answer = send_prompt(fleet.instances[0].callers_address, "x", 5).await;
        assert_eq!((answer.status, answer.run_state().as_str()), (502, "not-run"));
        assert!(answer.retry_after.is_some());
        assert!(started_at.elapsed() < Duration::from_secs(10), "{:?}", started_at.elapsed());
    });
}

#[test]
fn engine_memory_is_freed_when_the_caller_disconnects() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        for stream in [true, false] {
            let body =
                json!({"model": "standin", "stream": stream, "max_tokens": 5_000, "prompt": "x"});
            let client = awc::Client::builder().disable_timeout().finish();
            let sent = client
                .post(format!("http://{to}/v1/completions"))
                .bearer_auth(CALLER_KEY)
                .send_json(&body);
            let call = tokio::task::spawn_local(async move {
                let response = sent.await;
                std::future::pending::<()>().await;
                drop(response);
            });
            wait_until("the request runs", async || {
                fleet.engines.iter().any(|e| e.stats().sequences > 0)
            })
            .await;
            call.abort();
            drop(client);
            wait_until("memory is freed", async || {
                fleet.engines.iter().all(|e| e.stats().kv_used.0 == 0)
            })
            .await;
        }
    });
}

#[test]
fn a_keyed_call_with_a_lost_response_is_not_run_again() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let faults = format!("http://{}/_faults", fleet.services[0].address());
        put(faults.clone(), json!({"lose_answer": true})).await;
        let first = call_with_key(fleet.instances[0].callers_address, "count-1").await;
        assert_eq!(
            (first.code().as_str(), first.run_state().as_str()),
            ("endpoint_failed", "may-have-run")
        );
        put(faults, json!({})).await;
        let mut second = call_with_key(fleet.instances[1].callers_address, "count-1").await;
        // The first call's settlement may not have reached the table yet.
        wait_until("the first call is settled", async || {
            second = call_with_key(fleet.instances[1].callers_address, "count-1").await;
            second.code() != "in_progress"
        })
        .await;
        assert_eq!(second.code(), "earlier_may_have_run");
        assert_eq!(run_count(&fleet, "count-1").await, 1);
    });
}

#[test]
fn a_repeated_keyed_call_gets_the_first_response() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let first = call_with_key(fleet.instances[0].callers_address, "count-2").await;
        let mut second = call_with_key(fleet.instances[1].callers_address, "count-2").await;
        wait_until("the first call is settled", async || {
            second = call_with_key(fleet.instances[1].callers_address, "count-2").await;
            second.status == 200
        })
        .await;
        assert_eq!((first.status, first.json()), (200, second.json()));
        assert_eq!(run_count(&fleet, "count-2").await, 1);
    });
}

/// Guards against a call that is answered with the response to another one, because what differs is in
/// the query.
#[test]
fn a_key_that_is_used_again_with_another_query_is_rejected() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let headers = [("x-ringbend-request-key", "count-9"), ("x-call-key", "count-9")];
        let send = async |query: &str| {
            call(to, &format!("/services/dispatch/count{query}"), &headers, "one box").await
        };
        let first = send("?boxes=1").await;
        assert_eq!(first.status, 200, "{}", first.text);
        let mut second = send("?boxes=1").await;
        wait_until("the first call is settled", async || {
            second = send("?boxes=1").await;
            second.status == 200
        })
        .await;
        assert_eq!(second.json(), first.json());
        for query in ["?boxes=2", "", "?boxes=1&boxes=2", "?boxes%3D1"] {
            let other = send(query).await;
            assert_eq!((other.status, other.code().as_str()), (422, "key_reused"), "{query:?}");
        }
        assert_eq!(run_count(&fleet, "count-9").await, 1);
    });
}

async fn table_call(table: SocketAddr, request: &Value) -> Value {
    let post = awc::Client::default().post(format!("http://{table}/v1/call"));
    send(post, request.to_string()).await.json()
}

/// Guards against an object whose name, as a claim row states it, asks the object store for another
/// one.
#[test]
fn a_stored_response_is_read_from_an_object_with_any_name() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let (table, objects) = (fleet.table.address(), fleet.objects.address());
        let to = fleet.instances[0].callers_address;
        let headers = [("x-ringbend-request-key", "count-10"), ("x-call-key", "count-10")];
        // The service returns the body, so that the response is too large for the claim row.
        let body = "x".repeat(40 << 10);
        let repeat = async || call(to, "/services/dispatch/count", &headers, &body).await;
        let first = repeat().await;
        let mut claim = Value::Null;
        wait_until("the call is settled", async || {
            let read = json!({"read": {"keys": ["claim/peach/count-10"]}});
            let row = table_call(table, &read).await["rows"][0]["value"].clone();
            claim = serde_json::from_str(row.as_str().unwrap_or("null")).unwrap();
            claim["state"]["done"].is_object()
        })
        .await;
        let known = claim["state"]["done"]["body"]["object"].as_str().unwrap();
        let get = awc::Client::default().get(format!("http://{objects}/objects/{known}"));
        let object = send(get, String::new()).await.json();
        assert!(object == first.json());
        for (name, path) in
            [("a?b=c", "a%3Fb%3Dc"), ("a#b %", "a%23b%20%25"), ("a/%62", "a%2F%2562")]
        {
            put(format!("http://{objects}/objects/{path}"), object.clone()).await;
            claim["state"]["done"]["body"]["object"] = name.into();
            let value = claim.to_string();
            let write =
                json!({"put": {"key": "claim/peach/count-10", "value": value, "ttl_s": null}});
            let commit = json!({"commit": {"conditions": [], "writes": [write]}});
            assert_eq!(table_call(table, &commit).await, "committed");
            let repeated = repeat().await;
            assert_eq!((repeated.status, repeated.code().as_str()), (200, ""), "{name:?}");
            assert!(repeated.json() == first.json(), "{name:?}");
        }
        assert_eq!(run_count(&fleet, "count-10").await, 1);
    });
}

#[test]
fn a_rejected_keyed_call_releases_its_key() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let faults = format!("http://{}/_faults", fleet.services[0].address());
        put(faults.clone(), json!({"refuse": true})).await;
        let refused = call_with_key(fleet.instances[0].callers_address, "count-3").await;
        assert_eq!(refused.run_state(), "not-run");
        put(faults, json!({})).await;
        wait_until("the key is released", async || {
            call_with_key(fleet.instances[1].callers_address, "count-3").await.status == 200
        })
        .await;
        assert_eq!(run_count(&fleet, "count-3").await, 1);
    });
}

#[test]
fn a_table_outage_blocks_keyed_calls_but_not_prompts() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults.clone(), json!({"outage": true})).await;
        let started_at = Instant::now();
        let answer = call_with_key(fleet.instances[0].callers_address, "count-4").await;
        assert_eq!((answer.code().as_str(), answer.run_state().as_str()), ("no_claim", "not-run"));
        assert!(started_at.elapsed() < Duration::from_secs(3));
        assert_eq!(run_count(&fleet, "count-4").await, 0);
        let answer = send_prompt(fleet.instances[0].callers_address, "x", 5).await;
        assert_eq!(parse_tokens(&answer), (expected_tokens("x", 5), true));
        put(faults, json!({})).await;
        assert_eq!(call_with_key(fleet.instances[0].callers_address, "count-4").await.status, 200);
    });
}

#[test]
fn a_keyed_call_succeeds_when_a_table_reply_is_lost() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults, json!({"lose_answers": 1})).await;
        // Leases and presence records also commit, so the lost reply may not be the claim's. The call
        // must succeed in either case.
        assert_eq!(call_with_key(fleet.instances[0].callers_address, "count-5").await.status, 200);
        assert_eq!(run_count(&fleet, "count-5").await, 1);
    });
}

#[test]
fn a_keyed_call_is_not_run_again_after_its_instance_was_killed() {
    block_on(async {
        let mut fleet = Fleet::start(small_config()).await.unwrap();
        let faults = format!("http://{}/_faults", fleet.services[0].address());
        put(faults, json!({"delay_ms": 60_000})).await;
        let to = fleet.instances[0].callers_address;
        let lost = tokio::task::spawn_local(async move { call_with_key(to, "count-6").await });
        wait_until("the request runs", async || run_count(&fleet, "count-6").await == 1).await;
        drop(fleet.instances.remove(0));
        lost.abort();
        let second = call_with_key(fleet.instances[0].callers_address, "count-6").await;
        assert_eq!(second.code(), "in_progress");
        assert!(second.retry_after.is_some());
        assert_eq!(run_count(&fleet, "count-6").await, 1);
    });
}

#[test]
fn a_leaving_engine_gets_no_new_requests_while_listed_as_live() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig { instances: 3, ..small_config() }).await.unwrap();
        inject_fault(&fleet, 0, |f| f.leave = true);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        for n in 0..12 {
            let answer = send_prompt(fleet.instances[n % 3].callers_address, "x", 2).await;
            assert_eq!(answer.status, 200);
        }
        assert_eq!(fleet.engines[0].stats().submitted, 0);
    });
}

#[test]
fn an_instance_started_during_a_table_outage_gets_settings_from_its_peers() {
    block_on(async {
        let mut fleet = Fleet::start(small_config()).await.unwrap();
        set_everywhere(&fleet, "limits.weight", json!(7)).await;
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults, json!({"outage": true})).await;
        fleet.add_instance("late").await.unwrap();
        fleet.wait_ready().await.unwrap();
        assert_eq!(settings_version(fleet.instances[2].admin_address).await, 1);
        let refused =
            change_setting(fleet.instances[2].admin_address, "c", "/", "limits.weight", json!(8))
                .await;
        assert_eq!(refused.json()["outcome"], "not-applied");
    });
}

#[test]
fn an_instance_isolated_from_its_peers_gets_settings_from_the_table() {
    block_on(async {
        let mut fleet = Fleet::start(small_config()).await.unwrap();
        fleet.add_isolated_instance("alone").await.unwrap();
        fleet.wait_ready().await.unwrap();
        let accepted =
            change_setting(fleet.instances[0].admin_address, "c", "/", "limits.weight", json!(9))
                .await;
        assert_eq!(accepted.status, 200);
        let started_at = Instant::now();
        wait_until("setting in force", async || {
            settings_version(fleet.instances[2].admin_address).await == 1
        })
        .await;
        assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    });
}

#[test]
fn a_claim_granted_after_the_deadline_is_not_used() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults.clone(), json!({"delay_ms": 900})).await;
        let headers = [
            ("x-ringbend-request-key", "count-7"),
            ("x-call-key", "count-7"),
            ("x-ringbend-deadline-ms", "300"),
        ];
        let to = fleet.instances[0].callers_address;
        let late = call(to, "/services/dispatch/count", &headers, "one box").await;
        assert_eq!(late.run_state(), "not-run", "{}", late.text);
        put(faults, json!({})).await;
        // The late claim is released, so the next call with the key runs, and it is the first to run.
        wait_until("the key is released", async || {
            call_with_key(to, "count-7").await.status == 200
        })
        .await;
        assert_eq!(run_count(&fleet, "count-7").await, 1);
    });
}

#[test]
fn accepted_changes_take_effect_despite_conflicts_and_lost_table_replies() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig { instances: 3, ..small_config() }).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults, json!({"lose_answers": 5})).await;
        let changes = (0..12_u32).map(|n| {
            let admin = fleet.instances[n as usize % 3].admin_address;
            async move {
                let at = format!("/account-{}", n % 4);
                let key = ["limits.weight", "limits.burst_s", "class.priority"][n as usize / 4];
                let value = json!(n % 7 + 1);
                let answer = change_setting(admin, &format!("c{n}"), &at, key, value.clone()).await;
                (at, key, value, answer)
            }
        });
        let ended = futures_util::future::join_all(changes).await;
        let mut highest = 0;
        for (_, _, _, answer) in &ended {
            let outcome = answer.json()["outcome"].as_str().unwrap_or_default().to_owned();
            assert!(["accepted", "conflict"].contains(&outcome.as_str()), "{}", answer.text);
            highest = highest.max(answer.json()["version"].as_u64().unwrap_or(0));
        }
        for instance in &fleet.instances {
            wait_until("setting in force", async || {
                settings_version(instance.admin_address).await >= highest
            })
            .await;
            for (at, key, value, answer) in &ended {
                if answer.status == 200 {
                    let path = format!("/v1/settings/node?path={at}");
                    let node = support::admin_get(instance.admin_address, &path).await;
                    assert_eq!(&node["overrides"][key], value, "{at} {key}");
                }
            }
        }
    });
}

#[test]
fn a_rolling_restart_cuts_off_no_requests() {
    block_on(async {
        let mut fleet = Fleet::start(FleetConfig { instances: 3, ..small_config() }).await.unwrap();
        // Each instance has a long stream open while it drains.
        let mut streams = Vec::new();
        for round in 0..3 {
            let to = fleet.instances[0].callers_address;
            let text = format!("long {round}");
            let stream = text.clone();
            let call = tokio::task::spawn_local(async move { send_prompt(to, &stream, 150).await });
            wait_until("the request runs", async || {
                fleet.engines.iter().any(|e| e.stats().sequences > 0)
            })
            .await;
            streams.push((text, call));
            let old = fleet.instances.remove(0);
            fleet.add_instance(&format!("new-{round}")).await.unwrap();
            assert_eq!(old.drain().await.cut_off, 0);
        }
        fleet.wait_ready().await.unwrap();
        for (text, call) in streams {
            assert_eq!(parse_tokens(&call.await.unwrap()), (expected_tokens(&text, 150), true));
        }
    });
}

/// Guards against instances that take the first page of the table for the whole of it.
#[test]
fn an_instance_reads_all_settings_from_a_table_with_small_pages() {
    block_on(async {
        let table_page = TablePage { max_rows: 2, max_bytes: 1_000_000 };
        let mut fleet = Fleet::start(FleetConfig { table_page, ..small_config() }).await.unwrap();
        for n in 0..7 {
            let at = format!("/a{n}");
            let admin = fleet.instances[0].admin_address;
            let id = format!("c{n}");
            let accepted = change_setting(admin, &id, &at, "limits.weight", json!(n + 2)).await;
            assert_eq!(accepted.status, 200);
        }
        // Without the first entry of the log, a new instance has to read all nodes.
        let delete = json!({"delete": {"key": "settings/log/00000000000000000001"}});
        let commit = json!({"commit": {"conditions": [], "writes": [delete]}});
        let table = fleet.table.address();
        let deleted = call(table, "/v1/call", &[], &commit.to_string()).await;
        assert_eq!(deleted.status, 200, "{}", deleted.text);
        fleet.add_isolated_instance("alone").await.unwrap();
        fleet.wait_ready().await.unwrap();
        let admin = fleet.instances[2].admin_address;
        wait_until("settings in force", async || settings_version(admin).await == 7).await;
        for n in 0..7 {
            let node = admin_get(admin, &format!("/v1/settings/node?path=/a{n}")).await;
            assert_eq!(node["overrides"]["limits.weight"], json!(n + 2), "{node}");
        }
    });
}

//! Failures of endpoints, callers and the platform, on the whole path.

mod support;

use std::time::{Duration, Instant};

use ringbend_playground::{CALLER_KEY, Fleet, FleetConfig};
use serde_json::json;
use support::{
    call, change, expected, fault, keyed, prompt, put, run, runs, set_everywhere, small, tokens,
    until, version,
};

#[test]
fn an_engine_that_dies_in_mid_answer_is_continued_without_a_seam() {
    run(async {
        let mut fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        let answer = tokio::task::spawn_local(async move { prompt(to, "review", 100).await });
        let mut busy = None;
        until("an engine runs it", async || {
            busy = fleet.engines.iter().position(|e| e.stats().sequences > 0);
            busy.is_some()
        })
        .await;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        drop(fleet.engines.remove(busy.unwrap()));
        let answer = answer.await.unwrap();
        assert_eq!(tokens(&answer), (expected("review", 100), true));
    });
}

#[test]
fn cut_crossed_and_late_answers_never_reach_a_caller() {
    run(async {
        let fleet = Fleet::start(FleetConfig { engines: 3, ..small() }).await.unwrap();
        for engine in 0..3 {
            fault(&fleet, engine, |f| {
                f.cut_streams = 1;
                f.wrong_attempt = 1;
                f.cross_events = 1;
            });
        }
        set_everywhere(&fleet, "retries.attempts", json!(20)).await;
        set_everywhere(&fleet, "retries.ratio_percent", json!(100)).await;
        let calls = (0..12).map(|n| {
            let to = fleet.instances[n % 2].callers;
            async move {
                let text = format!("prompt number {n}");
                let answer = prompt(to, &text, 30).await;
                (text, answer)
            }
        });
        for (text, answer) in futures_util::future::join_all(calls).await {
            assert_eq!(tokens(&answer), (expected(&text, 30), true), "{text}: {}", answer.text);
        }
    });
}

#[test]
fn a_frozen_engine_is_left_within_its_bound() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        set_everywhere(&fleet, "timeouts.first_token_ms", json!(300)).await;
        fault(&fleet, 0, |f| f.freeze = true);
        for n in 0..4 {
            let text = format!("n{n}");
            let answer = prompt(fleet.instances[0].callers, &text, 5).await;
            assert_eq!(tokens(&answer), (expected(&text, 5), true));
        }
    });
}

#[test]
fn with_every_engine_frozen_the_caller_hears_it_within_the_deadline() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        fault(&fleet, 0, |f| f.freeze = true);
        fault(&fleet, 1, |f| f.freeze = true);
        let begun = Instant::now();
        let body = json!({"model": "standin", "prompt": "x"}).to_string();
        let headers = [("x-ringbend-deadline-ms", "800")];
        let answer = call(fleet.instances[0].callers, "/v1/completions", &headers, &body).await;
        assert_eq!(answer.code(), "deadline_exceeded");
        assert_eq!((answer.status, answer.run_state().as_str()), (504, "may-have-run"));
        assert!(answer.retry_after.is_some());
        assert!(begun.elapsed() < Duration::from_secs(3));
    });
}

#[test]
fn refused_everywhere_is_told_not_run_at_once() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        fault(&fleet, 0, |f| f.refuse = true);
        fault(&fleet, 1, |f| f.refuse = true);
        let begun = Instant::now();
        let answer = prompt(fleet.instances[0].callers, "x", 5).await;
        assert_eq!((answer.status, answer.run_state().as_str()), (502, "not-run"));
        assert!(answer.retry_after.is_some());
        assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_caller_that_hangs_up_frees_the_engine() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
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
            until("it runs", async || fleet.engines.iter().any(|e| e.stats().sequences > 0)).await;
            call.abort();
            drop(client);
            until("it is freed", async || fleet.engines.iter().all(|e| e.stats().kv_used.0 == 0))
                .await;
        }
    });
}

#[test]
fn a_lost_answer_of_a_keyed_call_is_never_run_again() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let faults = format!("http://{}/_faults", fleet.services[0].address());
        put(faults.clone(), json!({"lose_answer": true})).await;
        let first = keyed(fleet.instances[0].callers, "count-1").await;
        assert_eq!(
            (first.code().as_str(), first.run_state().as_str()),
            ("endpoint_failed", "may-have-run")
        );
        put(faults, json!({})).await;
        let mut second = keyed(fleet.instances[1].callers, "count-1").await;
        // The settlement of the first is on its way to the table.
        until("it is settled", async || {
            second = keyed(fleet.instances[1].callers, "count-1").await;
            second.code() != "in_progress"
        })
        .await;
        assert_eq!(second.code(), "earlier_may_have_run");
        assert_eq!(runs(&fleet, "count-1").await, 1);
    });
}

#[test]
fn a_keyed_call_sent_again_gets_the_first_answer() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let first = keyed(fleet.instances[0].callers, "count-2").await;
        let mut second = keyed(fleet.instances[1].callers, "count-2").await;
        until("it is settled", async || {
            second = keyed(fleet.instances[1].callers, "count-2").await;
            second.status == 200
        })
        .await;
        assert_eq!((first.status, first.json()), (200, second.json()));
        assert_eq!(runs(&fleet, "count-2").await, 1);
    });
}

#[test]
fn a_keyed_call_that_was_refused_leaves_its_key_free() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let faults = format!("http://{}/_faults", fleet.services[0].address());
        put(faults.clone(), json!({"refuse": true})).await;
        let refused = keyed(fleet.instances[0].callers, "count-3").await;
        assert_eq!(refused.run_state(), "not-run");
        put(faults, json!({})).await;
        until("the key is free", async || {
            keyed(fleet.instances[1].callers, "count-3").await.status == 200
        })
        .await;
        assert_eq!(runs(&fleet, "count-3").await, 1);
    });
}

#[test]
fn with_the_table_out_a_keyed_call_is_not_run_and_prompts_go_on() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults.clone(), json!({"outage": true})).await;
        let begun = Instant::now();
        let answer = keyed(fleet.instances[0].callers, "count-4").await;
        assert_eq!((answer.code().as_str(), answer.run_state().as_str()), ("no_claim", "not-run"));
        assert!(begun.elapsed() < Duration::from_secs(3));
        assert_eq!(runs(&fleet, "count-4").await, 0);
        let answer = prompt(fleet.instances[0].callers, "x", 5).await;
        assert_eq!(tokens(&answer), (expected("x", 5), true));
        put(faults, json!({})).await;
        assert_eq!(keyed(fleet.instances[0].callers, "count-4").await.status, 200);
    });
}

#[test]
fn a_lost_answer_of_the_claim_does_not_lose_the_call() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults, json!({"lose_answers": 1})).await;
        // Leases and presence also write; whichever commit loses its answer, the call is answered.
        assert_eq!(keyed(fleet.instances[0].callers, "count-5").await.status, 200);
        assert_eq!(runs(&fleet, "count-5").await, 1);
    });
}

#[test]
fn the_holder_of_a_key_is_killed_and_the_second_instance_does_not_run_it() {
    run(async {
        let mut fleet = Fleet::start(small()).await.unwrap();
        let faults = format!("http://{}/_faults", fleet.services[0].address());
        put(faults, json!({"delay_ms": 60_000})).await;
        let to = fleet.instances[0].callers;
        let lost = tokio::task::spawn_local(async move { keyed(to, "count-6").await });
        until("it runs", async || runs(&fleet, "count-6").await == 1).await;
        drop(fleet.instances.remove(0));
        lost.abort();
        let second = keyed(fleet.instances[0].callers, "count-6").await;
        assert_eq!(second.code(), "in_progress");
        assert!(second.retry_after.is_some());
        assert_eq!(runs(&fleet, "count-6").await, 1);
    });
}

#[test]
fn a_leaving_engine_gets_no_new_work_though_the_list_has_it_live() {
    run(async {
        let fleet = Fleet::start(FleetConfig { instances: 3, ..small() }).await.unwrap();
        fault(&fleet, 0, |f| f.leave = true);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        for n in 0..12 {
            let answer = prompt(fleet.instances[n % 3].callers, "x", 2).await;
            assert_eq!(answer.status, 200);
        }
        assert_eq!(fleet.engines[0].stats().submitted, 0);
    });
}

#[test]
fn an_instance_that_starts_while_the_table_is_out_takes_settings_from_its_peers() {
    run(async {
        let mut fleet = Fleet::start(small()).await.unwrap();
        set_everywhere(&fleet, "limits.weight", json!(7)).await;
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults, json!({"outage": true})).await;
        fleet.add_instance("late").await.unwrap();
        fleet.wait_ready().await.unwrap();
        assert_eq!(version(fleet.instances[2].admin).await, 1);
        let refused = change(fleet.instances[2].admin, "c", "/", "limits.weight", json!(8)).await;
        assert_eq!(refused.json()["outcome"], "not-applied");
    });
}

#[test]
fn an_instance_cut_off_from_its_peers_takes_settings_from_the_table() {
    run(async {
        let mut fleet = Fleet::start(small()).await.unwrap();
        fleet.add_isolated("alone").await.unwrap();
        fleet.wait_ready().await.unwrap();
        let accepted = change(fleet.instances[0].admin, "c", "/", "limits.weight", json!(9)).await;
        assert_eq!(accepted.status, 200);
        let begun = Instant::now();
        until("in force", async || version(fleet.instances[2].admin).await == 1).await;
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_claim_granted_after_the_deadline_is_not_used() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults.clone(), json!({"delay_ms": 900})).await;
        let headers = [
            ("x-ringbend-request-key", "count-7"),
            ("x-call-key", "count-7"),
            ("x-ringbend-deadline-ms", "300"),
        ];
        let to = fleet.instances[0].callers;
        let late = call(to, "/services/dispatch/count", &headers, "one box").await;
        assert_eq!(late.run_state(), "not-run", "{}", late.text);
        put(faults, json!({})).await;
        // The late grant is given back, and the key is free for the next try, which is the first run.
        until("the key is free", async || keyed(to, "count-7").await.status == 200).await;
        assert_eq!(runs(&fleet, "count-7").await, 1);
    });
}

#[test]
fn crossing_changes_and_lost_answers_leave_every_accepted_change_in_force() {
    run(async {
        let fleet = Fleet::start(FleetConfig { instances: 3, ..small() }).await.unwrap();
        let faults = format!("http://{}/faults", fleet.table.address());
        put(faults, json!({"lose_answers": 5})).await;
        let changes = (0..12_u32).map(|n| {
            let admin = fleet.instances[n as usize % 3].admin;
            async move {
                let at = format!("/account-{}", n % 4);
                let key = ["limits.weight", "limits.burst_s", "class.priority"][n as usize / 4];
                let value = json!(n % 7 + 1);
                let answer = change(admin, &format!("c{n}"), &at, key, value.clone()).await;
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
            until("in force", async || version(instance.admin).await >= highest).await;
            for (at, key, value, answer) in &ended {
                if answer.status == 200 {
                    let path = format!("/v1/settings/node?path={at}");
                    let node = support::admin_get(instance.admin, &path).await;
                    assert_eq!(&node["overrides"][key], value, "{at} {key}");
                }
            }
        }
    });
}

#[test]
fn instances_restarted_one_after_another_cut_no_request() {
    run(async {
        let mut fleet = Fleet::start(FleetConfig { instances: 3, ..small() }).await.unwrap();
        // A long stream is open at each instance while it drains.
        let mut streams = Vec::new();
        for round in 0..3 {
            let to = fleet.instances[0].callers;
            let text = format!("long {round}");
            let stream = text.clone();
            let call = tokio::task::spawn_local(async move { prompt(to, &stream, 150).await });
            until("it runs", async || fleet.engines.iter().any(|e| e.stats().sequences > 0)).await;
            streams.push((text, call));
            let old = fleet.instances.remove(0);
            fleet.add_instance(&format!("new-{round}")).await.unwrap();
            assert_eq!(old.drain().await.cut_off, 0);
        }
        fleet.wait_ready().await.unwrap();
        for (text, call) in streams {
            assert_eq!(tokens(&call.await.unwrap()), (expected(&text, 150), true));
        }
    });
}

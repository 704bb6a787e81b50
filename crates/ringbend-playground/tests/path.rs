//! The whole path without failures.

mod support;

use bytes::Bytes;
use ringbend_playground::{CALLER_KEY, Fleet, FleetConfig, LoadConfig, Report, Verdict, run_load};
use ringbend_types::PromptBucket;
use serde_json::json;
use support::{
    admin_get, call, change, expected, prompt, run, send, small, tokens, until, version,
};

#[test]
fn a_mixed_load_is_answered_whole_and_right() {
    run(async {
        let fleet = Fleet::start(FleetConfig::default()).await.unwrap();
        let callers: Vec<_> = fleet.instances.iter().map(|i| i.callers).collect();
        let load = LoadConfig { prompts: [12, 6, 3, 1], plain: 4, ..LoadConfig::default() };
        let results = run_load(&callers, &load).await;
        let report = Report::of(&results);
        assert_eq!(report.requests, 30);
        assert_eq!((report.lost, report.crossed), (0, 0));
        let prompts = results.iter().filter(|r| r.bucket.is_some());
        assert!(prompts.clone().all(|r| r.verdict == Verdict::Answered), "{results:?}");
        let million = prompts.filter(|r| r.bucket == Some(PromptBucket::Million));
        assert_eq!(million.count(), 1);
        until("memory is free", async || fleet.engines.iter().all(|e| e.stats().kv_used.0 == 0))
            .await;
    });
}

#[test]
fn answers_come_as_events_and_as_json_in_both_shapes() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        let streamed = prompt(to, "hello", 5).await;
        assert_eq!(tokens(&streamed), (expected("hello", 5), true));
        let body = json!({"model": "standin", "max_tokens": 5, "prompt": "hello"}).to_string();
        let whole = call(to, "/v1/completions", &[], &body).await.json();
        assert_eq!(whole["choices"][0]["text"], expected("hello", 5).concat());
        assert_eq!(whole["usage"]["completion_tokens"], 5);
        let messages = json!([{"role": "user", "content": "hello"}]);
        let body = json!({"model": "standin", "max_tokens": 5, "messages": messages}).to_string();
        let chat = call(to, "/v1/chat/completions", &[], &body).await.json();
        assert_eq!(chat["object"], "chat.completion");
        assert!(chat["choices"][0]["message"]["content"].as_str().unwrap().starts_with(" t"));
    });
}

#[test]
fn http_2_is_spoken_as_well() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let io = actix_rt::net::TcpStream::connect(fleet.instances[0].callers).await.unwrap();
        let (mut client, connection) = h2::client::handshake(io).await.unwrap();
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let request = http02::Request::get("http://ringbend/v1/models")
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .body(())
            .unwrap();
        let (response, _) = client.send_request(request, true).unwrap();
        let mut response = response.await.unwrap();
        assert_eq!(response.status(), 200);
        let body: Bytes = response.body_mut().data().await.unwrap().unwrap();
        let models: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(models["data"][0]["id"], "standin");
    });
}

#[test]
fn a_plain_call_is_passed_on_with_method_body_and_headers() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        let answer = call(to, "/services/dispatch/stops?day=1", &[], "route 7").await;
        assert_eq!(answer.status, 200);
        let answer = answer.json();
        assert_eq!((&answer["path"], &answer["method"]), (&json!("/stops"), &json!("POST")));
        assert_eq!(answer["body"], "route 7");
    });
}

#[test]
fn a_setting_changed_at_one_instance_is_in_force_at_all() {
    run(async {
        let fleet = Fleet::start(FleetConfig { instances: 4, ..small() }).await.unwrap();
        let accepted =
            change(fleet.instances[0].admin, "c1", "/peach", "limits.weight", json!(7)).await;
        assert_eq!(accepted.json(), json!({"outcome": "accepted", "version": 1}));
        for instance in &fleet.instances {
            until("in force", async || version(instance.admin).await == 1).await;
            let path = "/v1/settings/effective?path=/peach/standin";
            let effective = admin_get(instance.admin, path).await;
            assert_eq!(effective["limits"]["weight"], 7);
        }
    });
}

/// The code expected, headers, body.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str);

#[test]
fn bad_input_is_refused_clearly_and_not_run() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        let path = "/v1/completions";
        let good = json!({"model": "standin", "prompt": "x"}).to_string();
        let cases: [Case; 7] = [
            ("bad_body", &[], "{\"model\": "),
            ("bad_body", &[], "{\"model\": \"standin\"}"),
            ("bad_body", &[], "{\"model\": \"standin\", \"prompt\": \"x\", \"max_tokens\": 1e9}"),
            ("bad_body", &[], "{\"model\": 7, \"prompt\": \"x\"}"),
            ("unknown_service", &[], "{\"model\": \"none\", \"prompt\": \"x\"}"),
            ("bad_header", &[("x-ringbend-deadline-ms", "soon")], &good),
            ("bad_header", &[("x-ringbend-request-key", "no spaces")], &good),
        ];
        for (code, headers, body) in cases {
            let answer = call(to, path, headers, body).await;
            assert_eq!((answer.code().as_str(), answer.run_state().as_str()), (code, "not-run"));
            assert!((400..500).contains(&answer.status), "{answer:?}");
        }
        assert_eq!(fleet.engines.iter().map(|e| e.stats().submitted).sum::<u64>(), 0);
    });
}

#[test]
fn metrics_count_what_happened_with_units_in_their_names() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let instance = &fleet.instances[0];
        assert_eq!(prompt(instance.callers, "hello", 3).await.status, 200);
        let url = format!("http://{}/metrics", instance.admin);
        let text = send(awc::Client::default().get(url), String::new()).await.text;
        for line in [
            "ringbend_requests_admitted_total 1",
            "ringbend_requests_total{outcome=\"Answered\"} 1",
            "ringbend_time_to_first_token_seconds_count{prompt=\"1k\"} 1",
            "ringbend_attempts_total 1",
            "ringbend_live_instances 2",
        ] {
            assert!(text.contains(line), "no {line:?} in:\n{text}");
        }
    });
}

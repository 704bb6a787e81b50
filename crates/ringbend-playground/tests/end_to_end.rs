//! End-to-end tests without injected faults.

mod support;

use bytes::Bytes;
use ringbend_playground::{
    CALLER_KEY, CallOutcome, Fleet, FleetConfig, LoadConfig, Report, run_load,
};
use ringbend_types::PromptBucket;
use serde_json::json;
use support::{
    admin_get, block_on, call, change_setting, expected_tokens, parse_tokens, send, send_prompt,
    settings_version, small_config, wait_until,
};

#[test]
fn a_mixed_load_gets_complete_and_correct_answers() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig::default()).await.unwrap();
        let callers: Vec<_> = fleet.instances.iter().map(|i| i.callers_address).collect();
        let load = LoadConfig { prompts: [12, 6, 3, 1], service_calls: 4, ..LoadConfig::default() };
        let results = run_load(&callers, &load).await;
        let report = Report::from_results(&results);
        assert_eq!(report.requests, 30);
        assert_eq!((report.lost, report.crossed), (0, 0));
        let prompts = results.iter().filter(|r| r.bucket.is_some());
        assert!(prompts.clone().all(|r| r.outcome == CallOutcome::Answered), "{results:?}");
        let million = prompts.filter(|r| r.bucket == Some(PromptBucket::Million));
        assert_eq!(million.count(), 1);
        wait_until("memory is freed", async || {
            fleet.engines.iter().all(|e| e.stats().kv_used.0 == 0)
        })
        .await;
    });
}

#[test]
fn completions_and_chats_are_answered_with_events_or_json() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let streamed = send_prompt(to, "hello", 5).await;
        assert_eq!(parse_tokens(&streamed), (expected_tokens("hello", 5), true));
        let body = json!({"model": "standin", "max_tokens": 5, "prompt": "hello"}).to_string();
        let whole = call(to, "/v1/completions", &[], &body).await.json();
        assert_eq!(whole["choices"][0]["text"], expected_tokens("hello", 5).concat());
        assert_eq!(whole["usage"]["completion_tokens"], 5);
        let messages = json!([{"role": "user", "content": "hello"}]);
        let body = json!({"model": "standin", "max_tokens": 5, "messages": messages}).to_string();
        let chat = call(to, "/v1/chat/completions", &[], &body).await.json();
        assert_eq!(chat["object"], "chat.completion");
        assert!(chat["choices"][0]["message"]["content"].as_str().unwrap().starts_with(" t"));
    });
}

#[test]
fn http_2_is_supported() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let io =
            actix_rt::net::TcpStream::connect(fleet.instances[0].callers_address).await.unwrap();
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
fn a_service_call_is_forwarded_with_its_path_method_and_body() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let answer = call(to, "/services/dispatch/stops?day=1", &[], "route 7").await;
        assert_eq!(answer.status, 200);
        let answer = answer.json();
        assert_eq!((&answer["path"], &answer["method"]), (&json!("/stops"), &json!("POST")));
        assert_eq!(answer["body"], "route 7");
    });
}

#[test]
fn a_setting_changed_at_one_instance_takes_effect_at_all() {
    block_on(async {
        let fleet = Fleet::start(FleetConfig { instances: 4, ..small_config() }).await.unwrap();
        let accepted = change_setting(
            fleet.instances[0].admin_address,
            "c1",
            "/peach",
            "limits.weight",
            json!(7),
        )
        .await;
        assert_eq!(accepted.json(), json!({"outcome": "accepted", "version": 1}));
        for instance in &fleet.instances {
            wait_until("setting in force", async || {
                settings_version(instance.admin_address).await == 1
            })
            .await;
            let path = "/v1/settings/effective?path=/peach/standin";
            let effective = admin_get(instance.admin_address, path).await;
            assert_eq!(effective["limits"]["weight"], 7);
        }
    });
}

/// Expected error code, request headers and request body.
type InvalidRequest<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str);

#[test]
fn invalid_requests_are_rejected_with_an_error_code_and_not_run() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let path = "/v1/completions";
        let good = json!({"model": "standin", "prompt": "x"}).to_string();
        let cases: [InvalidRequest; 7] = [
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
fn metrics_count_requests_and_name_their_units() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let instance = &fleet.instances[0];
        assert_eq!(send_prompt(instance.callers_address, "hello", 3).await.status, 200);
        let url = format!("http://{}/metrics", instance.admin_address);
        let text = send(awc::Client::default().get(url), String::new()).await.text;
        for line in [
            "ringbend_requests_admitted_total 1",
            "ringbend_requests_total{outcome=\"Answered\"} 1",
            "ringbend_time_to_first_token_seconds_count{prompt=\"1k\"} 1",
            "ringbend_attempts_total 1",
            "ringbend_live_instances 2",
        ] {
            assert!(text.contains(line), "{line:?} is missing in:\n{text}");
        }
    });
}

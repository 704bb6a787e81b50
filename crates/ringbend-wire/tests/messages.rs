//! Encoding and decoding of messages, including those of newer releases.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use ringbend_gateway::{Demand, EngineUsage, Job, UsageReport, WorkId};
use ringbend_membership as gossip;
use ringbend_settings::{Change, Edit, LogEntry, Replica};
use ringbend_types::{Fingerprint, Incarnation, SettingsVersion, Timestamp};
use ringbend_wire::{
    Ask, EntriesReply, Envelope, Gossip, Grant, Message, Verdict, decode_ask, decode_engine_usage,
    encode_ask, encode_engine_usage, envelope,
};

fn message(updates: Vec<gossip::Update>) -> gossip::Message {
    gossip::Message {
        from: "instance-1".parse().unwrap(),
        from_address: "10.0.0.1:7000".parse().unwrap(),
        incarnation: Incarnation(7),
        sequence: 3,
        kind: gossip::MessageKind::PingRequest { target: "instance-2".parse().unwrap() },
        settings: SettingsVersion(9),
        updates,
    }
}

/// Guards against a planner that cannot order the requests of other schedulers, or recognize their
/// repetitions. Prints the sizes that `docs/design/overload.md` states.
#[test]
fn a_placement_request_keeps_what_overload_control_needs() {
    let now = Timestamp::from_millis(100_000);
    let millis = Duration::from_millis;
    let job = Job {
        request: "0123456789abcdef".into(),
        service: "talk".parse().unwrap(),
        demand: Some(Demand { prompt_tokens: 5_000, answer_tokens: 400 }),
        since: now - millis(20),
        first_by: now + millis(280),
        gap: millis(200),
        caller_timeout_at: now + millis(1_980),
        deadline: now + millis(9_980),
        tried: Default::default(),
        backing_off: Vec::new(),
        data_centres: Default::default(),
        at_once: false,
        priority: 2,
        account: Some("account-7".parse().unwrap()),
        fingerprint: Some(Fingerprint::from_digest(&[7; 32])),
        suspects: Default::default(),
    };
    let id = WorkId { instance: 1, sequence: 70_000 };
    let ask = Ask { owner: Some(1), ..encode_ask(now, id, &job) };
    assert_eq!(decode_ask(now, &ask).unwrap(), job);
    let (owner, verdict) = (Some(1), Verdict::TooLate.into());
    let grant =
        Grant { sequence: id.sequence, owner, verdict, come_back_ms: 900, ..Grant::default() };
    let grant = Grant { overloaded: true, ..grant };
    println!(
        "placement request {} bytes, rejection {} bytes",
        ask.encoded_len(),
        grant.encoded_len()
    );
    assert!(ask.encoded_len() <= 120 && grant.encoded_len() <= 30);
}

#[test]
fn gossip_round_trips() {
    let sent = message(vec![
        gossip::Update::EndpointLeaving("engine-1".parse().unwrap()),
        gossip::Update::Member {
            id: "instance-3".parse().unwrap(),
            address: "[::1]:9".parse().unwrap(),
            incarnation: Incarnation(u64::MAX),
            state: gossip::MemberState::Suspect,
        },
    ]);
    let body = envelope::Body::Gossip(Gossip::from(&sent));
    let bytes = Envelope { body: Some(body) }.encode_to_vec();
    let Some(envelope::Body::Gossip(back)) = Envelope::decode(bytes.as_slice()).unwrap().body
    else {
        panic!("not gossip");
    };
    assert_eq!(gossip::Message::try_from(back).unwrap(), sent);
}

#[test]
fn unknown_fields_and_updates_of_a_newer_release_are_ignored() {
    let mut wire = Gossip::from(&message(Vec::new()));
    wire.updates.push(ringbend_wire::Update { news: None });
    let mut bytes = wire.encode_to_vec();
    // Field 100, a varint.
    bytes.extend_from_slice(&[0xa0, 0x06, 0x01]);
    let back = Gossip::decode(bytes.as_slice()).unwrap();
    assert_eq!(gossip::Message::try_from(back).unwrap(), message(Vec::new()));
}

/// A report that travels in a digest keeps its age, with which its load fades.
#[test]
fn engine_usage_round_trips_with_its_age() {
    let usage = EngineUsage { requests: 12, memory_tokens: 300_000 };
    let report = UsageReport { usage, received_at: Timestamp::from_millis(60_400) };
    let engine = "e-1".parse().unwrap();
    let encoded = encode_engine_usage(Timestamp::from_millis(60_450), &engine, &report);
    let (id, back) = decode_engine_usage(Timestamp::from_millis(10_050), &encoded).unwrap();
    assert_eq!((id, back.usage), (engine, usage));
    assert_eq!(back.received_at, Timestamp::from_millis(10_000));
    let ancient = ringbend_wire::EngineUsage { age_ms: u64::MAX, ..encoded.clone() };
    let (_, back) = decode_engine_usage(Timestamp::from_millis(10_050), &ancient).unwrap();
    assert_eq!(back.received_at, Timestamp(0));
    let malformed = ringbend_wire::EngineUsage { endpoint: "no spaces please".into(), ..encoded };
    assert!(decode_engine_usage(Timestamp(0), &malformed).is_err());
}

#[test]
fn malformed_text_is_an_error() {
    let mut wire = Gossip::from(&message(Vec::new()));
    wire.from = String::from("no spaces please");
    assert!(gossip::Message::try_from(wire).is_err());
}

#[test]
fn an_entries_reply_updates_a_replica() {
    let entry = |version: u64| LogEntry {
        version: SettingsVersion(version),
        change: Change {
            id: format!("c{version}").parse().unwrap(),
            author: "test".into(),
            base: None,
            edits: vec![Edit {
                path: "/".parse().unwrap(),
                key: "limits.weight".parse().unwrap(),
                value: Some(version.into()),
            }],
        },
    };
    let (mut ahead, mut behind) = (Replica::default(), Replica::default());
    (1..=5).for_each(|version| {
        ahead.apply(&entry(version));
    });
    behind.apply(&entry(1));
    EntriesReply::from_replica(&ahead, behind.version()).apply_to(&mut behind).unwrap();
    assert_eq!(behind.snapshot(), ahead.snapshot());
    let mut far_behind = Replica::default();
    let mut loaded = Replica::default();
    loaded.load(ahead.snapshot().clone());
    EntriesReply::from_replica(&loaded, far_behind.version()).apply_to(&mut far_behind).unwrap();
    assert_eq!(far_behind.version(), SettingsVersion(5));
}

/// Arbitrary bytes make neither the decoder nor the conversion panic.
fn decodes_without_panic(bytes: Vec<u8>) -> bool {
    if let Ok(Envelope { body: Some(envelope::Body::Gossip(gossip)) }) =
        Envelope::decode(bytes.as_slice())
    {
        let _ = gossip::Message::try_from(gossip);
    }
    true
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    let seeded = Gen::from_size_and_seed(300, 7);
    QuickCheck::new()
        .tests(2_000)
        .rng(seeded)
        .quickcheck(decodes_without_panic as fn(Vec<u8>) -> bool);
}

#[test]
fn the_committed_code_matches_the_generator_output() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")]).unwrap();
    let out = std::env::temp_dir().join(format!("ringbend-wire-test-{}", std::process::id()));
    std::fs::create_dir_all(&out).unwrap();
    prost_build::Config::new().out_dir(&out).compile_fds(files).unwrap();
    let made = std::fs::read_to_string(out.join("ringbend.peer.v1.rs")).unwrap();
    std::fs::remove_dir_all(&out).unwrap();
    let committed = std::fs::read_to_string(root.join("src/generated.rs")).unwrap();
    assert_eq!(made, committed);
}

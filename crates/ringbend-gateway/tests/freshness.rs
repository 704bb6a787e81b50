//! The version of a copy of the configuration never decreases, and the copy never counts as more
//! recent than it is.

mod support;

use quickcheck::quickcheck;
use ringbend_gateway::{
    AdmissionBounds, AdmissionRequest, ConfigVersion, Denied, Freshness, OfferResult, Proof,
    Replica, admit,
};
use support::{at, ms, snapshot};

fn proof(sent_ms: u64, store_ms: u64) -> Proof {
    Proof { sent: at(sent_ms), store_clock: ms(store_ms) }
}

#[test]
fn a_long_poll_response_is_placed_by_the_stores_clock() {
    let mut freshness = Freshness::default();
    freshness.prove(proof(1_000, 50_000), true);
    // Sent at 2,000 and answered by the store 1,500 ms later.
    freshness.prove(proof(2_000, 52_500), false);
    assert_eq!(freshness.proved_at(), Some(at(3_500)));
    assert_eq!(freshness.age(at(3_600)), Some(ms(100)));
}

#[test]
fn without_a_clock_pairing_a_response_proves_only_the_time_of_sending() {
    let mut freshness = Freshness::default();
    freshness.prove(proof(2_000, 52_500), false);
    assert_eq!(freshness.proved_at(), Some(at(2_000)));
}

#[test]
fn a_store_whose_clock_went_backwards_is_paired_again() {
    let mut freshness = Freshness::default();
    freshness.prove(proof(1_000, 50_000), true);
    freshness.prove(proof(9_000, 10), false);
    assert_eq!(freshness.proved_at(), Some(at(9_000)));
    freshness.prove(proof(9_100, 1_010), false);
    assert_eq!(freshness.proved_at(), Some(at(10_000)));
}

quickcheck! {
    /// Whatever the network delays, the time of the proof is no later than the store's response.
    fn a_proof_is_never_later_than_the_stores_response(delays: Vec<(u16, u16, u16)>) -> bool {
        let (mut freshness, mut now) = (Freshness::default(), 1_000u64);
        for (index, (out, wait, back)) in delays.into_iter().enumerate() {
            let paired = index % 3 == 0;
            let wait = if paired { 0 } else { u64::from(wait) };
            let answered = now + u64::from(out) + wait;
            // The store's clock is 70 s ahead of ours and runs at the same speed.
            let placed = freshness.prove(proof(now, answered + 70_000), paired);
            if placed > at(answered) {
                return false;
            }
            now = answered + u64::from(back) + 1;
        }
        true
    }

    fn the_version_in_force_never_decreases(offers: Vec<u8>) -> bool {
        let mut replica = Replica::default();
        offers.into_iter().all(|version| {
            let before = replica.version();
            let adopted = replica.offer(snapshot(u64::from(version), None));
            let expected = match before {
                Some(ConfigVersion(v)) if u64::from(version) < v => OfferResult::Older,
                Some(ConfigVersion(v)) if u64::from(version) == v => OfferResult::Same,
                before => OfferResult::Newer { before },
            };
            adopted == expected && replica.version() >= before
        })
    }
}

const BOUNDS: AdmissionBounds = AdmissionBounds { key_age: Some(ms(3_500)), denial_age: ms(2_000) };

fn request(path: &'static str, key: Option<&'static str>) -> AdmissionRequest<'static> {
    AdmissionRequest { host: "H:80", path, key }
}

fn replica(proved_ms: u64) -> Replica {
    let mut replica = Replica::default();
    replica.offer(snapshot(3, Some(&["k"])));
    replica.prove(proof(proved_ms, 1_000), true);
    replica
}

fn denied(now_ms: u64, path: &'static str, key: Option<&'static str>) -> Option<Denied> {
    admit(&replica(0), at(now_ms), &BOUNDS, request(path, key)).err()
}

#[test]
fn a_key_is_admitted_until_the_copy_may_miss_its_revocation() {
    assert_eq!(denied(3_499, "/a/x", Some("k")), None);
    assert_eq!(denied(3_500, "/a/x", Some("k")), Some(Denied::StaleConfig));
}

#[test]
fn an_unknown_key_or_route_is_not_rejected_for_good_by_a_stale_copy() {
    assert_eq!(denied(100, "/a/x", Some("other")), Some(Denied::BadKey));
    assert_eq!(denied(2_100, "/a/x", Some("other")), Some(Denied::StaleConfig));
    assert_eq!(denied(100, "/b/", Some("k")), Some(Denied::NoRoute));
    assert_eq!(denied(2_100, "/b/", Some("k")), Some(Denied::StaleConfig));
    assert_eq!(denied(100, "/a/x", None), Some(Denied::BadKey));
}

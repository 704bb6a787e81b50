//! Rate limits of endpoints, as observed by instances and exchanged between them.

mod support;

use quickcheck::{Arbitrary, Gen, quickcheck};
use ringbend_gateway::{
    Endpoint, KnownLimit, LimitSignal, LimitSource, LimitUpdate, Limits, MalformedLimit,
};
use ringbend_types::{EndpointStart, ParseDecimalError, RequestRate};
use support::{at, endpoint};

const TWO: RequestRate = RequestRate::per_second(2);
const FIVE: RequestRate = RequestRate::per_second(5);

fn observe(limits: &mut Limits, now: u64, asked: u64, signal: LimitSignal) -> LimitUpdate {
    limits.observe(at(now), &endpoint(1), at(asked), signal, LimitSource::Response)
}

fn started(ms: u64) -> Endpoint {
    Endpoint { start: Some(EndpointStart(ms)), ..endpoint(1) }
}

#[test]
fn a_limit_applies_until_a_later_request_gets_a_response_without_it() {
    let mut limits = Limits::default();
    assert_eq!(observe(&mut limits, 10, 0, LimitSignal::None), LimitUpdate::Unchanged);
    assert_eq!(observe(&mut limits, 20, 0, LimitSignal::Rate(TWO)), LimitUpdate::Changed);
    assert_eq!(limits.rate(&endpoint(1)), Some(TWO));
    assert_eq!(observe(&mut limits, 30, 15, LimitSignal::None), LimitUpdate::Unchanged);
    assert_eq!(limits.rate(&endpoint(1)), Some(TWO), "that response may be older than the limit");
    assert_eq!(observe(&mut limits, 40, 25, LimitSignal::None), LimitUpdate::Changed);
    assert_eq!(limits.rate(&endpoint(1)), None);
}

#[test]
fn the_latest_of_two_limits_applies() {
    let mut limits = Limits::default();
    observe(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    assert_eq!(observe(&mut limits, 20, 0, LimitSignal::Rate(FIVE)), LimitUpdate::Changed);
    assert_eq!(observe(&mut limits, 30, 0, LimitSignal::Rate(FIVE)), LimitUpdate::Unchanged);
    assert_eq!(limits.rate(&endpoint(1)), Some(FIVE));
}

#[test]
fn a_malformed_limit_changes_nothing_and_is_reported_once() {
    let mut limits = Limits::default();
    observe(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    let bad = LimitSignal::Malformed(MalformedLimit::Rate(ParseDecimalError::Negative));
    assert!(matches!(observe(&mut limits, 20, 15, bad), LimitUpdate::Malformed(_)));
    assert_eq!(observe(&mut limits, 30, 15, bad), LimitUpdate::Unchanged);
    assert_eq!(limits.rate(&endpoint(1)), Some(TWO));
    assert_eq!(observe(&mut limits, 40, 35, LimitSignal::None), LimitUpdate::Changed);
    assert!(limits.is_empty());
}

#[test]
fn a_status_report_ends_a_limit_only_if_reports_name_it() {
    let mut limits = Limits::default();
    observe(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    let report = |limits: &mut Limits, now, signal| {
        limits.observe(at(now), &endpoint(1), at(now - 1), signal, LimitSource::Report)
    };
    assert_eq!(report(&mut limits, 20, LimitSignal::None), LimitUpdate::Unchanged);
    assert!(!limits.is_in_reports(&endpoint(1).id));
    report(&mut limits, 30, LimitSignal::Rate(TWO));
    assert!(limits.is_in_reports(&endpoint(1).id));
    assert_eq!(report(&mut limits, 40, LimitSignal::None), LimitUpdate::Changed);
}

#[test]
fn a_restarted_endpoint_has_no_limit() {
    let mut limits = Limits::default();
    limits.observe(at(10), &started(1), at(0), LimitSignal::Rate(TWO), LimitSource::Response);
    assert_eq!(limits.rate(&started(1)), Some(TWO));
    assert_eq!(limits.rate(&started(2)), None);
    limits.observe(at(20), &started(2), at(15), LimitSignal::Rate(FIVE), LimitSource::Response);
    assert_eq!(limits.rate(&started(2)), Some(FIVE));
    let late =
        limits.observe(at(30), &started(1), at(0), LimitSignal::Rate(TWO), LimitSource::Response);
    assert_eq!(late, LimitUpdate::Unchanged, "a signal of the earlier process");
}

#[test]
fn the_record_of_a_removed_endpoint_is_dropped_after_a_while() {
    let mut limits = Limits::default();
    observe(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    limits.sweep(at(59_000), |_| true);
    assert_eq!(limits.len(), 1);
    limits.sweep(at(61_000), |_| false);
    assert_eq!(limits.len(), 1, "a registered endpoint keeps its limit");
    limits.sweep(at(61_000), |_| true);
    assert!(limits.has_no_records());
}

#[test]
fn the_number_of_records_is_bounded() {
    let mut limits = Limits::default();
    for number in 0..5_000 {
        let signal = LimitSignal::Rate(TWO);
        limits.observe(at(10), &endpoint(number), at(0), signal, LimitSource::Response);
    }
    assert_eq!(limits.len(), 4_096);
}

/// An observation of one instance, or a message between two.
#[derive(Debug, Clone, Copy)]
enum Event {
    Observes { at: usize, rate: Option<u64> },
    Sends { from: usize, to: usize },
}

const INSTANCES: usize = 4;

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = |g: &mut Gen| usize::arbitrary(g) % INSTANCES;
        if bool::arbitrary(g) {
            let rate = bool::arbitrary(g).then(|| u64::arbitrary(g) % 4);
            Self::Observes { at: instance(g), rate }
        } else {
            Self::Sends { from: instance(g), to: instance(g) }
        }
    }
}

fn send_record(all: &mut [Limits], now: u64, from: usize, to: usize) {
    let known: Option<KnownLimit> = all[from].known(&endpoint(1).id).cloned();
    if let Some(known) = known {
        all[to].merge(at(now), &known);
    }
}

quickcheck! {
    /// Instances that exchange all they know converge, whatever they observed and received in any
    /// order.
    fn instances_converge(events: Vec<Event>) -> bool {
        let mut all = vec![Limits::default(); INSTANCES];
        let mut now = 10;
        for event in events {
            now += 10;
            match event {
                Event::Observes { at, rate } => {
                    let signal = rate.map(RequestRate::per_second);
                    let signal = signal.map_or(LimitSignal::None, LimitSignal::Rate);
                    observe(&mut all[at], now, now - 1, signal);
                }
                Event::Sends { from, to } => send_record(&mut all, now, from, to),
            }
        }
        for _ in 0..2 {
            for from in 0..INSTANCES {
                (0..INSTANCES).for_each(|to| send_record(&mut all, now + 10, from, to));
            }
        }
        let rates: Vec<_> = all.iter().map(|limits| limits.rate(&endpoint(1))).collect();
        rates.iter().all(|rate| *rate == rates[0])
    }

    /// Parsing any text succeeds with a non-negative rate or fails with an error.
    fn any_text_is_a_rate_or_an_error(text: String) -> bool {
        text.parse::<RequestRate>().is_ok_and(|rate| rate.as_f64() >= 0.0)
            || text.parse::<RequestRate>().is_err()
    }
}

#[test]
fn rates_are_decimal_numbers_that_are_finite_and_not_negative() {
    let rate = |text: &str| text.parse::<RequestRate>();
    assert_eq!(rate("2.5"), Ok(RequestRate(2_500_000)));
    assert_eq!(rate("0"), Ok(RequestRate(0)));
    assert_eq!(rate("-0"), Ok(RequestRate(0)));
    assert_eq!(rate(""), Err(ParseDecimalError::Empty));
    assert_eq!(rate("-1"), Err(ParseDecimalError::Negative));
    assert_eq!(rate("NaN"), Err(ParseDecimalError::NotFinite));
    assert_eq!(rate("inf"), Err(ParseDecimalError::NotFinite));
    assert_eq!(rate("1e309"), Err(ParseDecimalError::NotFinite));
    assert_eq!(rate("many"), Err(ParseDecimalError::NotANumber));
    assert_eq!(rate(&"1".repeat(1 << 20)), Err(ParseDecimalError::TooLong));
    assert!(rate("1e300").is_ok());
}

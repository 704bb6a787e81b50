//! What is known of the limits that endpoints name, as instances hear it and tell each other.

mod support;

use quickcheck::{Arbitrary, Gen, quickcheck};
use ringbend_gateway::{
    Endpoint, KnownLimit, LimitSignal, LimitSource, LimitUpdate, Limits, MalformedLimit,
};
use ringbend_types::{EndpointStart, ParseDecimalError, RequestRate};
use support::{at, endpoint};

const TWO: RequestRate = RequestRate::per_second(2);
const FIVE: RequestRate = RequestRate::per_second(5);

fn hear(limits: &mut Limits, now: u64, asked: u64, word: LimitSignal) -> LimitUpdate {
    limits.observe(at(now), &endpoint(1), at(asked), word, LimitSource::Response)
}

fn started(ms: u64) -> Endpoint {
    Endpoint { start: Some(EndpointStart(ms)), ..endpoint(1) }
}

#[test]
fn a_limit_holds_from_the_answer_that_names_it_to_one_that_was_asked_for_later_and_does_not() {
    let mut limits = Limits::default();
    assert_eq!(hear(&mut limits, 10, 0, LimitSignal::None), LimitUpdate::Unchanged);
    assert_eq!(hear(&mut limits, 20, 0, LimitSignal::Rate(TWO)), LimitUpdate::Changed);
    assert_eq!(limits.rate(&endpoint(1)), Some(TWO));
    assert_eq!(hear(&mut limits, 30, 15, LimitSignal::None), LimitUpdate::Unchanged);
    assert_eq!(limits.rate(&endpoint(1)), Some(TWO), "that answer may be older");
    assert_eq!(hear(&mut limits, 40, 25, LimitSignal::None), LimitUpdate::Changed);
    assert_eq!(limits.rate(&endpoint(1)), None);
}

#[test]
fn the_newest_of_two_limits_counts() {
    let mut limits = Limits::default();
    hear(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    assert_eq!(hear(&mut limits, 20, 0, LimitSignal::Rate(FIVE)), LimitUpdate::Changed);
    assert_eq!(hear(&mut limits, 30, 0, LimitSignal::Rate(FIVE)), LimitUpdate::Unchanged);
    assert_eq!(limits.rate(&endpoint(1)), Some(FIVE));
}

#[test]
fn a_word_that_cannot_be_read_changes_nothing_and_is_told_once() {
    let mut limits = Limits::default();
    hear(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    let bad = LimitSignal::Malformed(MalformedLimit::Rate(ParseDecimalError::Negative));
    assert!(matches!(hear(&mut limits, 20, 15, bad), LimitUpdate::Malformed(_)));
    assert_eq!(hear(&mut limits, 30, 15, bad), LimitUpdate::Unchanged);
    assert_eq!(limits.rate(&endpoint(1)), Some(TWO));
    assert_eq!(hear(&mut limits, 40, 35, LimitSignal::None), LimitUpdate::Changed);
    assert!(limits.is_empty());
}

#[test]
fn a_report_ends_a_limit_only_if_reports_name_it() {
    let mut limits = Limits::default();
    hear(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    let report = |limits: &mut Limits, now, word| {
        limits.observe(at(now), &endpoint(1), at(now - 1), word, LimitSource::Report)
    };
    assert_eq!(report(&mut limits, 20, LimitSignal::None), LimitUpdate::Unchanged);
    assert!(!limits.is_in_reports(&endpoint(1).id));
    report(&mut limits, 30, LimitSignal::Rate(TWO));
    assert!(limits.is_in_reports(&endpoint(1).id));
    assert_eq!(report(&mut limits, 40, LimitSignal::None), LimitUpdate::Changed);
}

#[test]
fn an_endpoint_that_has_started_again_has_no_limit() {
    let mut limits = Limits::default();
    limits.observe(at(10), &started(1), at(0), LimitSignal::Rate(TWO), LimitSource::Response);
    assert_eq!(limits.rate(&started(1)), Some(TWO));
    assert_eq!(limits.rate(&started(2)), None);
    limits.observe(at(20), &started(2), at(15), LimitSignal::Rate(FIVE), LimitSource::Response);
    assert_eq!(limits.rate(&started(2)), Some(FIVE));
    let late =
        limits.observe(at(30), &started(1), at(0), LimitSignal::Rate(TWO), LimitSource::Response);
    assert_eq!(late, LimitUpdate::Unchanged, "word of its former process");
}

#[test]
fn what_is_told_of_an_endpoint_that_is_gone_is_forgotten_after_a_while() {
    let mut limits = Limits::default();
    hear(&mut limits, 10, 0, LimitSignal::Rate(TWO));
    limits.sweep(at(59_000), |_| true);
    assert_eq!(limits.len(), 1);
    limits.sweep(at(61_000), |_| false);
    assert_eq!(limits.len(), 1, "one that is there keeps its limit");
    limits.sweep(at(61_000), |_| true);
    assert!(limits.has_no_records());
}

#[test]
fn no_more_is_remembered_than_is_allowed_for() {
    let mut limits = Limits::default();
    for number in 0..5_000 {
        let word = LimitSignal::Rate(TWO);
        limits.observe(at(10), &endpoint(number), at(0), word, LimitSource::Response);
    }
    assert_eq!(limits.len(), 4_096);
}

/// What one instance hears, or is told by another one.
#[derive(Debug, Clone, Copy)]
enum Event {
    Hears { at: usize, rate: Option<u64> },
    Tells { from: usize, to: usize },
}

const INSTANCES: usize = 4;

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = |g: &mut Gen| usize::arbitrary(g) % INSTANCES;
        if bool::arbitrary(g) {
            let rate = bool::arbitrary(g).then(|| u64::arbitrary(g) % 4);
            Self::Hears { at: instance(g), rate }
        } else {
            Self::Tells { from: instance(g), to: instance(g) }
        }
    }
}

fn tell(all: &mut [Limits], now: u64, from: usize, to: usize) {
    let told: Option<KnownLimit> = all[from].known(&endpoint(1).id).cloned();
    if let Some(told) = told {
        all[to].merge(at(now), &told);
    }
}

quickcheck! {
    /// Whatever they heard and were told in any order, instances that tell each other all they know agree.
    fn instances_agree_in_the_end(events: Vec<Event>) -> bool {
        let mut all = vec![Limits::default(); INSTANCES];
        let mut now = 10;
        for event in events {
            now += 10;
            match event {
                Event::Hears { at, rate } => {
                    let word = rate.map(RequestRate::per_second);
                    let word = word.map_or(LimitSignal::None, LimitSignal::Rate);
                    hear(&mut all[at], now, now - 1, word);
                }
                Event::Tells { from, to } => tell(&mut all, now, from, to),
            }
        }
        for _ in 0..2 {
            for from in 0..INSTANCES {
                (0..INSTANCES).for_each(|to| tell(&mut all, now + 10, from, to));
            }
        }
        let rates: Vec<_> = all.iter().map(|limits| limits.rate(&endpoint(1))).collect();
        rates.iter().all(|rate| *rate == rates[0])
    }

    /// No text ends the program, and what is read is never less than nothing.
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

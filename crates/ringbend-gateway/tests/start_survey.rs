//! Which engines a scheduler asks for their load after it has started. Guards against engines that
//! are asked by each of many instances, and against load of which the age is not considered.

mod support;

use ringbend_gateway::{EngineUsage, StartSurvey, UsageReport};
use support::{at, endpoint, ms};

const FADE: std::time::Duration = ms(1_700);

fn report(received_ms: u64) -> UsageReport {
    let usage = EngineUsage { requests: 3, memory_tokens: 9_000 };
    UsageReport { usage, received_at: at(received_ms) }
}

fn survey() -> StartSurvey {
    StartSurvey::new(at(60_000))
}

#[test]
fn each_engine_is_asked_once() {
    let (mut survey, one, two) = (survey(), endpoint(1).id, endpoint(2).id);
    assert!(survey.begin(at(60_400), &one, FADE));
    assert!(!survey.begin(at(60_500), &one, FADE), "asked already, even if it does not answer");
    assert!(survey.merge(at(60_500), &two, report(60_490), FADE));
    assert!(!survey.begin(at(60_600), &two, FADE), "asked by another scheduler");
    assert_eq!(survey.counts().asked, 1);
}

#[test]
fn no_engine_is_asked_once_the_load_before_the_start_has_ended() {
    assert!(survey().begin(at(61_600), &endpoint(1).id, FADE));
    assert!(!survey().begin(at(61_700), &endpoint(1).id, FADE));
}

/// An instance that is restarted in a running fleet learns the load from the other schedulers.
#[test]
fn no_engine_is_asked_if_a_scheduler_has_been_running_for_longer() {
    let (mut survey, engine) = (survey(), endpoint(1).id);
    survey.record_scheduler(at(60_300), ms(2_200));
    assert!(survey.is_active(at(60_300), FADE), "started within two seconds of each other");
    survey.record_scheduler(at(60_300), ms(2_400));
    assert!(!survey.begin(at(60_300), &engine, FADE));
    assert!(!survey.merge(at(60_300), &engine, report(60_200), FADE));
}

#[test]
fn an_answer_after_the_fade_time_is_ignored() {
    let (mut survey, engine) = (survey(), endpoint(1).id);
    assert!(!survey.record_answer(&engine, report(61_700), FADE));
    assert!(survey.record_answer(&engine, report(61_600), FADE));
}

#[test]
fn a_report_from_another_scheduler_is_used_until_its_load_has_faded() {
    let (mut survey, engine) = (survey(), endpoint(1).id);
    assert!(!survey.merge(at(62_000), &engine, report(60_300), FADE));
    assert!(survey.merge(at(61_900), &engine, report(60_300), FADE));
    assert!(!survey.merge(at(61_900), &engine, report(61_800), FADE), "the first one is used");
    assert_eq!(survey.reports(at(61_950)).count(), 1);
    assert_eq!(survey.reports(at(62_000)).count(), 0);
}

/// Guards against a report that is lost because it arrives before the list of endpoints.
#[test]
fn a_report_about_an_unknown_engine_is_kept() {
    let (mut survey, engine) = (survey(), endpoint(1).id);
    survey.defer(engine.clone(), report(60_300));
    assert_eq!(survey.reports(at(60_300)).count(), 0);
    let deferred = survey.take_deferred();
    assert_eq!(deferred.into_iter().collect::<Vec<_>>(), [(engine, report(60_300))]);
    assert!(survey.take_deferred().is_empty());
}

/// Only a start of all instances changes how requests spread; an instance that is restarted in a
/// running fleet leaves the order of engines as it is.
#[test]
fn all_instances_have_just_started_unless_one_has_been_running_for_longer() {
    let mut survey = survey();
    assert!(survey.is_start_of_all(at(60_300)) && survey.is_start_of_all(at(69_900)));
    assert!(!survey.is_start_of_all(at(70_000)));
    survey.record_scheduler(at(60_300), ms(30_000));
    assert!(!survey.is_start_of_all(at(60_300)));
}

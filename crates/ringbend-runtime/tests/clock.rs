//! Time in which the machine is suspended: no timer of the runtime counts it, and each decision must.

use std::cell::Cell;
use std::time::{Duration, Instant};

use ringbend_runtime::Clock;
use ringbend_types::Timestamp;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static BEGAN: Instant = Instant::now();
}

/// A clock of a machine that was suspended for as long as the test says.
fn time_with_suspension() -> Duration {
    BEGAN.with(Instant::elapsed) + SUSPENDED.get()
}

/// Longer than a wait may go on after the machine is back.
const SOON: Duration = Duration::from_millis(700);

#[actix_rt::test]
async fn a_wait_ends_soon_after_a_suspension_that_it_would_have_ended_in() {
    let clock = Clock::with_source(time_with_suspension, Timestamp::default());
    let began = Instant::now();
    let at = clock.now() + Duration::from_secs(4);
    let suspend = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        SUSPENDED.set(Duration::from_secs(5));
    };
    tokio::join!(clock.sleep_until(at), suspend);
    assert!(began.elapsed() < SOON, "it went on for {:?}", began.elapsed());
    assert!(clock.now() >= at);
}

#[actix_rt::test]
async fn what_has_passed_in_a_suspension_is_not_waited_for() {
    let clock = Clock::with_source(time_with_suspension, Timestamp::default());
    let at = clock.now() + Duration::from_secs(4);
    SUSPENDED.set(SUSPENDED.get() + Duration::from_secs(5));
    let began = Instant::now();
    clock.sleep_until(at).await;
    assert!(began.elapsed() < SOON);
    assert!(tokio::time::Instant::now() + SOON > clock.instant(at));
}

//! Suspension of the machine. Timers of the runtime do not count the time of a suspension, but the clock
//! has to.

use std::cell::Cell;
use std::time::{Duration, Instant};

use ringbend_runtime::Clock;
use ringbend_types::Timestamp;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static STARTED: Instant = Instant::now();
}

/// The time of a machine that was suspended for [`SUSPENDED`].
fn time_with_suspension() -> Duration {
    STARTED.with(Instant::elapsed) + SUSPENDED.get()
}

/// Upper bound for the end of a wait after the machine has resumed.
const RESUME_BOUND: Duration = Duration::from_millis(700);

#[actix_rt::test]
async fn a_wait_that_expires_during_a_suspension_ends_soon_after_it() {
    let clock = Clock::with_source(time_with_suspension, Timestamp::default());
    let started = Instant::now();
    let at = clock.now() + Duration::from_secs(4);
    let suspend = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        SUSPENDED.set(Duration::from_secs(5));
    };
    tokio::join!(clock.sleep_until(at), suspend);
    assert!(started.elapsed() < RESUME_BOUND, "the wait lasted {:?}", started.elapsed());
    assert!(clock.now() >= at);
}

#[actix_rt::test]
async fn a_time_that_passed_during_a_suspension_is_not_waited_for() {
    let clock = Clock::with_source(time_with_suspension, Timestamp::default());
    let at = clock.now() + Duration::from_secs(4);
    SUSPENDED.set(SUSPENDED.get() + Duration::from_secs(5));
    let started = Instant::now();
    clock.sleep_until(at).await;
    assert!(started.elapsed() < RESUME_BOUND);
    assert!(tokio::time::Instant::now() + RESUME_BOUND > clock.instant(at));
}

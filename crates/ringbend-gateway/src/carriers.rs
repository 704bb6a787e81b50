//! The order in which other instances are asked to carry connections to an endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use rand::Rng;
use ringbend_types::Timestamp;

/// How long an instance that helped is preferred.
const HELPED_TTL: Duration = Duration::from_secs(5);

/// How long an instance that could not help is asked last.
const FAILED_TTL: Duration = Duration::from_secs(2);

/// With fewer instances that helped recently, others are tried as well, to spread the load.
const MIN_HELPERS: usize = 4;

/// The bounds of the time after which the next instance is asked.
const ASK_DELAY: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_millis(300);

/// The multiple of the average connect time after which the next instance is asked.
const ASK_DELAY_FACTOR: f64 = 2.0;

/// The weight of the latest connect time in the moving average.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Other instances that may carry connections.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Candidates {
    /// Live instances of the own data centre.
    pub local: Vec<SocketAddrV4>,
    /// Instances of other data centres.
    pub remote: Vec<SocketAddrV4>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    helped_at: Option<Timestamp>,
    failed_at: Option<Timestamp>,
}

impl Record {
    fn helped(&self, now: Timestamp) -> bool {
        self.helped_at.is_some_and(|at| now.since(at) < HELPED_TTL)
    }

    fn failed(&self, now: Timestamp) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < FAILED_TTL)
    }
}

/// What other instances did when they were asked to carry connections.
#[derive(Debug, Clone, Default)]
pub struct Carriers {
    records: BTreeMap<SocketAddrV4, Record>,
    /// The moving average of the time to connect through another instance.
    average: Duration,
}

impl Carriers {
    /// Records that the instance at `address` connected within `time`.
    pub fn record_helped(&mut self, now: Timestamp, address: SocketAddrV4, time: Duration) {
        *self.records.entry(address).or_default() =
            Record { helped_at: Some(now), failed_at: None };
        let (average, time) = (self.average.as_secs_f64(), time.as_secs_f64());
        self.average = Duration::from_secs_f64(average + (time - average) * AVERAGE_WEIGHT);
    }

    /// Records that the instance at `address` could not help.
    pub fn record_failed(&mut self, now: Timestamp, address: SocketAddrV4) {
        *self.records.entry(address).or_default() =
            Record { helped_at: None, failed_at: Some(now) };
        self.records.retain(|_, record| record.helped(now) || record.failed(now));
    }

    /// The instances to ask, in this order: those that could not help last, and those of the own
    /// data centre first.
    pub fn order(
        &self,
        now: Timestamp,
        candidates: &Candidates,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddrV4> {
        let record =
            |address: &SocketAddrV4| self.records.get(address).copied().unwrap_or_default();
        let all = || candidates.local.iter().chain(&candidates.remote);
        let has_helpers =
            all().filter(|address| record(address).helped(now)).count() >= MIN_HELPERS;
        let class = |address: &SocketAddrV4| {
            let record = record(address);
            (record.failed(now), has_helpers && !record.helped(now))
        };
        let local = candidates.local.iter().map(|address| (class(address), false, *address));
        let remote = candidates.remote.iter().map(|address| (class(address), true, *address));
        let mut order: Vec<_> = local
            .chain(remote)
            .map(|(class, is_remote, a)| (class, is_remote, rng.random::<u32>(), a))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., address)| address).collect()
    }

    /// Whether none of the candidates could help recently.
    pub fn have_all_failed(&self, now: Timestamp, candidates: &Candidates) -> bool {
        let failed = |address| self.records.get(address).is_some_and(|r: &Record| r.failed(now));
        candidates.local.iter().chain(&candidates.remote).all(failed)
    }

    /// The instance that last helped, if that is recent.
    pub fn latest(&self, now: Timestamp) -> Option<SocketAddrV4> {
        let helped = self.records.iter().filter(|(_, record)| record.helped(now));
        helped.max_by_key(|(_, record)| record.helped_at).map(|(address, _)| *address)
    }

    /// The time without an answer after which the next instance is asked as well.
    pub fn ask_delay(&self) -> Duration {
        self.average.mul_f64(ASK_DELAY_FACTOR).clamp(*ASK_DELAY.start(), *ASK_DELAY.end())
    }
}

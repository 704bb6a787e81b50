//! Rate limits that endpoints announce for all instances together.
//!
//! An overloaded endpoint names its limit in its responses for as long as it applies. The instance
//! that reads such a response tells all others, so that instances that have sent nothing to the
//! endpoint know it as well.
//!
//! The known limit of an endpoint has a version, which an instance raises when it observes a
//! different limit. A later version supersedes an earlier one, and of two equal versions the
//! tighter limit wins, so instances converge whatever the order and number of messages. If the
//! result does not match what the endpoint announces now, its next response raises the version
//! again.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, ParseDecimalError, RequestRate, Timestamp};

use crate::directory::Endpoint;

/// The maximum number of endpoints with a record, about 100 bytes each. Endpoints that no longer
/// name a limit are evicted first, and among those the one heard from longest ago.
const MAX_RECORDS: usize = 4_096;

/// How long to remember that an endpoint no longer names a limit: longer than messages about its
/// former limit circulate.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Changes within this time are repeated with each heartbeat, since datagrams can be lost. Longer
/// than the time after which a silent instance counts as gone; an instance that returns later
/// receives everything.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// Why an announced limit cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedLimit {
    /// The value is not text.
    NotText,
    /// The limit is given more than once.
    Duplicate,
    /// The value is not a rate of requests.
    Rate(ParseDecimalError),
}

impl fmt::Display for MalformedLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotText => f.write_str("no text"),
            Self::Duplicate => f.write_str("said more than once"),
            Self::Rate(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for MalformedLimit {}

/// The limit in a response of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitSignal {
    /// No limit: the endpoint takes any number of requests.
    #[default]
    None,
    /// The rate of requests that the endpoint accepts from all instances together.
    Rate(RequestRate),
    /// A limit that cannot be parsed. The previous one stays in force.
    Malformed(MalformedLimit),
}

/// The kind of response that carried a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// The response to a request of a caller.
    Response,
    /// The response to a status query. Not every endpoint names its limit there.
    Report,
    /// The response to a reservation, where the absence of a limit means nothing.
    Reservation,
}

/// The known limit of one endpoint, as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownLimit {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The start time of its process, if endpoints report it. A restarted endpoint has no limit
    /// until it names one.
    pub start: Option<EndpointStart>,
    /// Raised each time a different limit is observed.
    pub version: u64,
    /// The rate it accepts from all instances together; `None` if it has no limit.
    pub rate: Option<RequestRate>,
}

impl KnownLimit {
    /// Whether this record is about a later process than the one with start time `other`.
    fn is_after(&self, other: Option<EndpointStart>) -> bool {
        self.start.zip(other).is_some_and(|(own, other)| own > other)
    }

    /// Whether this record supersedes the known one.
    fn replaces(&self, known: &Self) -> bool {
        if self.is_after(known.start) || known.is_after(self.start) {
            return self.is_after(known.start);
        }
        let is_tighter = match (self.rate, known.rate) {
            (Some(own), Some(known)) => own < known,
            (own, known) => own.is_some() && known.is_none(),
        };
        self.version > known.version || (self.version == known.version && is_tighter)
    }
}

/// The effect of an observation on what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUpdate {
    /// Nothing changed.
    Unchanged,
    /// The known limit changed.
    Changed,
    /// The limit cannot be parsed, whereas the previous one could.
    Malformed(MalformedLimit),
}

#[derive(Debug, Clone)]
struct Entry {
    known: KnownLimit,
    /// When this instance last learned something new.
    changed_at: Timestamp,
    /// When this instance last observed or was told that the endpoint names a limit.
    named_at: Timestamp,
    /// Whether the endpoint has named this limit in a status report.
    in_report: bool,
    is_malformed: bool,
}

impl Entry {
    /// Whether a response from this source that names no limit ends the limit.
    fn is_ended_by_absence_in(&self, from: LimitSource) -> bool {
        match from {
            LimitSource::Response => true,
            LimitSource::Report => self.in_report,
            LimitSource::Reservation => false,
        }
    }
}

/// The rate limits of endpoints.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    entries: HashMap<EndpointId, Entry>,
}

impl Limits {
    /// Records the limit in a response to what was sent to `endpoint` at `asked`.
    ///
    /// Responses can overtake each other, so one without a limit ends the known limit only if it
    /// was requested after the limit was last named.
    pub fn observe(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        asked: Timestamp,
        signal: LimitSignal,
        from: LimitSource,
    ) -> LimitUpdate {
        self.drop_former_process(endpoint);
        let Some(entry) = self.entries.get_mut(&endpoint.id) else {
            return self.first_signal(now, endpoint, signal, from);
        };
        if entry.known.is_after(endpoint.start) {
            return LimitUpdate::Unchanged;
        }
        let rate = match signal {
            LimitSignal::Malformed(why) => {
                let was_malformed = std::mem::replace(&mut entry.is_malformed, true);
                return if was_malformed {
                    LimitUpdate::Unchanged
                } else {
                    LimitUpdate::Malformed(why)
                };
            }
            LimitSignal::Rate(rate) => Some(rate),
            LimitSignal::None => None,
        };
        entry.is_malformed = false;
        if rate.is_some() {
            entry.named_at = now;
            entry.in_report |= from == LimitSource::Report;
        } else if asked <= entry.named_at || !entry.is_ended_by_absence_in(from) {
            return LimitUpdate::Unchanged;
        }
        if entry.known.rate == rate {
            return LimitUpdate::Unchanged;
        }
        entry.known.rate = rate;
        entry.known.version += 1;
        entry.changed_at = now;
        entry.in_report &= rate.is_some();
        LimitUpdate::Changed
    }

    fn first_signal(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        signal: LimitSignal,
        from: LimitSource,
    ) -> LimitUpdate {
        let (rate, update) = match signal {
            LimitSignal::None => return LimitUpdate::Unchanged,
            LimitSignal::Rate(rate) => (Some(rate), LimitUpdate::Changed),
            LimitSignal::Malformed(why) => (None, LimitUpdate::Malformed(why)),
        };
        let (id, start) = (endpoint.id.clone(), endpoint.start);
        let version = u64::from(rate.is_some());
        let known = KnownLimit { endpoint: id, start, version, rate };
        self.insert(now, known, from == LimitSource::Report, rate.is_none());
        update
    }

    fn insert(&mut self, now: Timestamp, known: KnownLimit, in_report: bool, is_malformed: bool) {
        if self.entries.len() >= MAX_RECORDS {
            let least =
                self.entries.iter().min_by_key(|(_, e)| (e.known.rate.is_some(), e.named_at));
            if let Some(least) = least.map(|(id, _)| id.clone()) {
                self.entries.remove(&least);
            }
        }
        let id = known.endpoint.clone();
        self.entries
            .insert(id, Entry { known, changed_at: now, named_at: now, in_report, is_malformed });
    }

    /// Drops the record of an earlier process of the endpoint.
    fn drop_former_process(&mut self, endpoint: &Endpoint) {
        let is_former = |entry: &Entry| {
            endpoint.start.zip(entry.known.start).is_some_and(|(new, old)| new > old)
        };
        if self.entries.get(&endpoint.id).is_some_and(is_former) {
            self.entries.remove(&endpoint.id);
        }
    }

    /// Merges a record received from another instance. Returns whether the known limit changed.
    pub fn merge(&mut self, now: Timestamp, received: &KnownLimit) -> bool {
        let Some(entry) = self.entries.get_mut(&received.endpoint) else {
            self.insert(now, received.clone(), false, false);
            return received.rate.is_some();
        };
        if !received.replaces(&entry.known) {
            return false;
        }
        let has_changed = received.rate != entry.known.rate;
        let is_former = received.is_after(entry.known.start);
        entry.known = received.clone();
        entry.changed_at = now;
        entry.in_report &= received.rate.is_some() && !is_former;
        if received.rate.is_some() {
            entry.named_at = now;
        }
        has_changed
    }

    /// The rate an endpoint accepts from all instances together; `None` if it has no limit.
    pub fn rate(&self, endpoint: &Endpoint) -> Option<RequestRate> {
        let known = &self.entries.get(&endpoint.id)?.known;
        let is_former = endpoint.start.zip(known.start).is_some_and(|(new, old)| new > old);
        known.rate.filter(|_| !is_former)
    }

    /// Whether the endpoint has named its limit in a status report, so that its reports show when
    /// the limit ends.
    pub fn is_in_reports(&self, endpoint: &EndpointId) -> bool {
        self.entries.get(endpoint).is_some_and(|entry| entry.in_report)
    }

    /// The record of this endpoint.
    pub fn known(&self, endpoint: &EndpointId) -> Option<&KnownLimit> {
        self.entries.get(endpoint).map(|entry| &entry.known)
    }

    /// The records of all endpoints that name a limit.
    pub fn all(&self) -> impl Iterator<Item = &KnownLimit> {
        self.entries.values().map(|entry| &entry.known).filter(|known| known.rate.is_some())
    }

    /// Recent changes, to be sent again.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &KnownLimit> {
        let recent = move |entry: &&Entry| now.since(entry.changed_at) < REPEAT_TIME;
        self.entries.values().filter(recent).map(|entry| &entry.known)
    }

    /// Whether there is no record of any endpoint.
    pub fn has_no_records(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of endpoints that name a limit.
    pub fn len(&self) -> usize {
        self.all().count()
    }

    /// Whether no endpoint names a limit.
    pub fn is_empty(&self) -> bool {
        self.all().next().is_none()
    }

    /// Drops endpoints that have named no limit for long, and those that are gone.
    pub fn sweep(&mut self, now: Timestamp, is_gone: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|id, entry| {
            let is_old = now.since(entry.changed_at) >= ENDED_RETENTION;
            !is_old || (entry.known.rate.is_some() && !is_gone(id))
        });
    }
}

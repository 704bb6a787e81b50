//! How many requests a second endpoints take from all instances together, by their own word.
//!
//! An endpoint in need names its limit in its answers, for as long as it holds. Whichever instance reads
//! such an answer tells all others, so that one that has sent nothing there knows as well.
//!
//! What is known of an endpoint has a version, which is raised by each instance that hears something else than
//! it knows. A later version goes before an earlier one, and of two that were raised side by side the
//! tighter limit, so instances can tell each other in any order, more than once, and end up with the same.
//! If that is not what the endpoint says any more, its next answer raises the version again.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, ParseDecimalError, RequestRate, Timestamp};

use crate::directory::Endpoint;

/// The most endpoints of which something is remembered, some 100 bytes each. What gives way first names no limit
/// any more, and of those what was heard longest ago.
const MOST_KEPT: usize = 4_096;

/// How long it is remembered that an endpoint names no limit any more: longer than word of its former limit is told.
const ENDED_TIME: Duration = Duration::from_secs(60);

/// What has changed within this time is told again with each heartbeat, as datagrams are lost. Longer than an
/// instance may be silent before it counts as gone; one that comes back after that is told all.
const TOLD_AGAIN: Duration = Duration::from_secs(5);

/// Why what an answer says of a limit cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedLimit {
    /// It is no text.
    NotText,
    /// It is said more than once.
    Duplicate,
    /// It is no rate of requests.
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

/// What an endpoint's answer says of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitSignal {
    /// Nothing: it takes what comes.
    #[default]
    None,
    /// It takes so many requests from all instances together.
    Rate(RequestRate),
    /// Something that cannot be read. What it said before holds on.
    Malformed(MalformedLimit),
}

/// Which answer an endpoint's word comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// The answer to a request of a caller.
    Response,
    /// What it says when it is asked how it is. Not every endpoint names its limit there.
    Report,
    /// The answer to an order, where a limit that is not named says nothing.
    Reservation,
}

/// What is known of one endpoint's limit, as instances tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownLimit {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When its process started, if endpoints tell. One that starts again has no limit until it names one.
    pub start: Option<EndpointStart>,
    /// Raised each time that something else is heard of it.
    pub version: u64,
    /// What it takes from all instances together; none if it takes what comes.
    pub rate: Option<RequestRate>,
}

impl KnownLimit {
    /// Whether the other is about an earlier process of the endpoint.
    fn is_after(&self, other: Option<EndpointStart>) -> bool {
        self.start.zip(other).is_some_and(|(own, other)| own > other)
    }

    /// Whether this goes before what is known.
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

/// What an answer's word means for what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUpdate {
    /// Nothing new.
    Unchanged,
    /// Something else is known now.
    Changed,
    /// It cannot be read, where the last word could.
    Malformed(MalformedLimit),
}

#[derive(Debug, Clone)]
struct Entry {
    known: KnownLimit,
    /// When this instance last heard something new.
    changed: Timestamp,
    /// When this instance last heard or was told that it names a limit.
    named: Timestamp,
    /// Whether it has named this limit when it was asked how it is.
    in_report: bool,
    is_bad: bool,
}

impl Entry {
    /// Whether the limit has ended if it is not named there.
    fn ends_by(&self, from: LimitSource) -> bool {
        match from {
            LimitSource::Response => true,
            LimitSource::Report => self.in_report,
            LimitSource::Reservation => false,
        }
    }
}

/// The limits that endpoints name.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    entries: HashMap<EndpointId, Entry>,
}

impl Limits {
    /// Takes in the word of an answer to what was sent to `endpoint` at `asked`.
    ///
    /// Answers overtake each other, so one without a limit ends it only if it was asked for after the
    /// limit was last named.
    pub fn observe(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        asked: Timestamp,
        word: LimitSignal,
        from: LimitSource,
    ) -> LimitUpdate {
        self.forget_former(endpoint);
        let Some(entry) = self.entries.get_mut(&endpoint.id) else {
            return self.first_word(now, endpoint, word, from);
        };
        if entry.known.is_after(endpoint.start) {
            return LimitUpdate::Unchanged;
        }
        let rate = match word {
            LimitSignal::Malformed(why) => {
                let was_bad = std::mem::replace(&mut entry.is_bad, true);
                return if was_bad { LimitUpdate::Unchanged } else { LimitUpdate::Malformed(why) };
            }
            LimitSignal::Rate(rate) => Some(rate),
            LimitSignal::None => None,
        };
        entry.is_bad = false;
        if rate.is_some() {
            entry.named = now;
            entry.in_report |= from == LimitSource::Report;
        } else if asked <= entry.named || !entry.ends_by(from) {
            return LimitUpdate::Unchanged;
        }
        if entry.known.rate == rate {
            return LimitUpdate::Unchanged;
        }
        entry.known.rate = rate;
        entry.known.version += 1;
        entry.changed = now;
        entry.in_report &= rate.is_some();
        LimitUpdate::Changed
    }

    fn first_word(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        word: LimitSignal,
        from: LimitSource,
    ) -> LimitUpdate {
        let (rate, heard) = match word {
            LimitSignal::None => return LimitUpdate::Unchanged,
            LimitSignal::Rate(rate) => (Some(rate), LimitUpdate::Changed),
            LimitSignal::Malformed(why) => (None, LimitUpdate::Malformed(why)),
        };
        let (id, start) = (endpoint.id.clone(), endpoint.start);
        let version = u64::from(rate.is_some());
        let known = KnownLimit { endpoint: id, start, version, rate };
        self.insert(now, known, from == LimitSource::Report, rate.is_none());
        heard
    }

    fn insert(&mut self, now: Timestamp, known: KnownLimit, in_report: bool, is_bad: bool) {
        if self.entries.len() >= MOST_KEPT {
            let least = self.entries.iter().min_by_key(|(_, e)| (e.known.rate.is_some(), e.named));
            if let Some(least) = least.map(|(id, _)| id.clone()) {
                self.entries.remove(&least);
            }
        }
        let id = known.endpoint.clone();
        self.entries.insert(id, Entry { known, changed: now, named: now, in_report, is_bad });
    }

    /// Forgets what an earlier process of the endpoint named.
    fn forget_former(&mut self, endpoint: &Endpoint) {
        let is_former = |entry: &Entry| {
            endpoint.start.zip(entry.known.start).is_some_and(|(new, old)| new > old)
        };
        if self.entries.get(&endpoint.id).is_some_and(is_former) {
            self.entries.remove(&endpoint.id);
        }
    }

    /// Takes in what another instance knows. Returns whether something else is known now.
    pub fn merge(&mut self, now: Timestamp, told: &KnownLimit) -> bool {
        let Some(entry) = self.entries.get_mut(&told.endpoint) else {
            self.insert(now, told.clone(), false, false);
            return told.rate.is_some();
        };
        if !told.replaces(&entry.known) {
            return false;
        }
        let has_changed = told.rate != entry.known.rate;
        let is_former = told.is_after(entry.known.start);
        entry.known = told.clone();
        entry.changed = now;
        entry.in_report &= told.rate.is_some() && !is_former;
        if told.rate.is_some() {
            entry.named = now;
        }
        has_changed
    }

    /// What an endpoint takes from all instances together; none if it takes what comes.
    pub fn rate(&self, endpoint: &Endpoint) -> Option<RequestRate> {
        let known = &self.entries.get(&endpoint.id)?.known;
        let is_former = endpoint.start.zip(known.start).is_some_and(|(new, old)| new > old);
        known.rate.filter(|_| !is_former)
    }

    /// Whether the endpoint has named its limit when it was asked how it is, so that its reports tell when it ends.
    pub fn is_in_reports(&self, endpoint: &EndpointId) -> bool {
        self.entries.get(endpoint).is_some_and(|entry| entry.in_report)
    }

    /// What is known of this endpoint.
    pub fn known(&self, endpoint: &EndpointId) -> Option<&KnownLimit> {
        self.entries.get(endpoint).map(|entry| &entry.known)
    }

    /// What is known of each endpoint that names a limit.
    pub fn all(&self) -> impl Iterator<Item = &KnownLimit> {
        self.entries.values().map(|entry| &entry.known).filter(|known| known.rate.is_some())
    }

    /// What has changed lately, to be told again.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &KnownLimit> {
        let recent = move |entry: &&Entry| now.since(entry.changed) < TOLD_AGAIN;
        self.entries.values().filter(recent).map(|entry| &entry.known)
    }

    /// Whether nothing is remembered of any endpoint.
    pub fn has_no_records(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many endpoints name a limit.
    pub fn len(&self) -> usize {
        self.all().count()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.all().next().is_none()
    }

    /// Forgets endpoints that have named none for long, and those that are gone.
    pub fn sweep(&mut self, now: Timestamp, is_gone: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|id, entry| {
            let is_old = now.since(entry.changed) >= ENDED_TIME;
            !is_old || (entry.known.rate.is_some() && !is_gone(id))
        });
    }
}

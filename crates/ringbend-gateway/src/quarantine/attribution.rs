//! Which of several possible causes a crash is attributed to.
//!
//! When an endpoint's process ends, each request that had not begun there or had just begun is a
//! possible cause, and so is each part of its prompt. A cause that many requests share is never
//! seen if only whole requests are counted, as each of them is new.
//!
//! A part gets strikes like a request, and a run that outlives the time in which a fatal one ends its
//! engine clears it. So a part that much traffic has is cleared by the runs that are under way
//! anyway, and one that no request has survived keeps its strikes.
//!
//! Requests that contain a fatal part may have harmless parts in common, and one fatal request makes
//! all of its parts look fatal. A part with enough strikes is therefore held only if nothing else
//! explains them. Otherwise only requests that contain all the possible causes are held: they would
//! end an engine whichever it is. The others run one at a time, and each such run either clears its
//! part or leaves it as the only explanation.

use std::time::Duration;

use ringbend_types::{Fingerprint, Timestamp};

use super::{Quarantine, Record, STRIKES_TO_HOLD, SuspectState, Suspicion};

/// How many of a part's strikes something else need not share to explain them: the part may have run
/// beside an unrelated crash before.
const UNSHARED_STRIKES: usize = 1;

/// How often recent survivors may clear a part.
const VOUCH_INTERVAL: Duration = Duration::from_secs(1);

/// How a request is treated for its own strikes and those of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// How it is treated.
    pub state: SuspectState,
    /// The request or part that this is due to; `None` if the request is clear.
    pub cause: Option<Fingerprint>,
}

impl Quarantine {
    /// How a request is treated that has these fingerprints: those of its parts, in order, and its
    /// own. Of several suspects with as many strikes the first one is the cause, as more requests
    /// share it.
    pub fn assess(&self, fingerprints: impl Iterator<Item = Fingerprint> + Clone) -> Assessment {
        let (mut most, mut cause) = (0, None);
        if self.records.is_empty() {
            return Assessment { state: SuspectState::Clear, cause };
        }
        for fingerprint in fingerprints.clone() {
            let Some(suspicion) = self.get(fingerprint) else { continue };
            let strikes = suspicion.ended.len();
            if suspicion.is_conclusive() && self.contains_cause(fingerprint, fingerprints.clone()) {
                return Assessment { state: SuspectState::Held, cause: Some(fingerprint) };
            }
            if strikes > most {
                (most, cause) = (strikes, Some(fingerprint));
            }
        }
        let state = if most == 0 { SuspectState::Clear } else { SuspectState::Suspect(most) };
        Assessment { state, cause }
    }

    /// Whether a request with these fingerprints contains what has caused the strikes of one of them:
    /// all that may have, if that cannot be told apart yet.
    fn contains_cause(
        &self,
        fingerprint: Fingerprint,
        contained: impl Iterator<Item = Fingerprint> + Clone,
    ) -> bool {
        self.rivals(fingerprint).all(|rival| contained.clone().any(|other| other == rival))
    }

    /// Whether there are parts with strikes, so that the parts of requests matter.
    pub fn knows_parts(&self) -> bool {
        let is_struck =
            |record: &Record| record.suspicion.part.is_some() && !record.suspicion.ended.is_empty();
        self.records.values().any(is_struck)
    }

    /// Whether recent survivors may clear the part of a strike that has just been recorded. If it was
    /// cleared a moment ago and struck again, it may have become fatal since they began, so only
    /// later ones clear it.
    pub fn may_be_vouched_for(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get(&fingerprint) else { return false };
        let was_cleared = record.cleared_at.is_some_and(|at| now.since(at) < VOUCH_INTERVAL);
        record.suspicion.part.is_some() && !was_cleared
    }

    /// Whether a strike is due to the end of this process.
    pub fn has_ended(&self, process: &super::EndedProcess) -> bool {
        self.suspicions().any(|suspicion| suspicion.ended.contains(process))
    }

    /// The number of parts that are held.
    pub fn held_part_count(&self) -> usize {
        let held = self.records.iter().filter(|(_, r)| r.suspicion.part.is_some() && r.is_held());
        held.filter(|(fingerprint, _)| !self.has_rival(**fingerprint)).count()
    }

    /// Whether something else explains the strikes of a part.
    pub(super) fn has_rival(&self, fingerprint: Fingerprint) -> bool {
        self.rivals(fingerprint).next().is_some()
    }

    /// What else explains the strikes of a part. Nothing explains those of a request better than the
    /// request itself, as it contains its parts.
    fn rivals(&self, fingerprint: Fingerprint) -> impl Iterator<Item = Fingerprint> {
        let part = self.get(fingerprint).filter(|suspicion| suspicion.part.is_some());
        let others = part
            .into_iter()
            .flat_map(|part| self.suspicions().filter(move |other| is_rival(part, other)));
        others.map(|other| other.fingerprint)
    }
}

fn is_rival(part: &Suspicion, other: &Suspicion) -> bool {
    let is_likely = other.ended.len() + 1 >= STRIKES_TO_HOLD;
    let explains_tests = part.tested.iter().all(|process| other.includes(process));
    if part.fingerprint == other.fingerprint || !is_likely || !explains_tests {
        return false;
    }
    part.ended.iter().filter(|process| !other.includes(process)).count() <= UNSHARED_STRIKES
}

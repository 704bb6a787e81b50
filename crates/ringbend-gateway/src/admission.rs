//! Whether a request is let in, by the configuration in force and how old it may be.

use std::sync::Arc;
use std::time::Duration;

use ringbend_types::Timestamp;

use crate::replica::Replica;
use crate::snapshot::{Account, Route, Snapshot};

/// How old a configuration may be for which purpose.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionBounds {
    /// A key that was taken away is refused for requests sent this long after the change. So a copy
    /// that was not proved current for as long lets no key in. None where nothing bounds it.
    pub key_age: Option<Duration>,
    /// A copy older than this says "come back" in place of "unknown", as a newer configuration may
    /// know the route or key.
    pub denial_age: Duration,
}

/// What a request shows at the door.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The host it names.
    pub host: &'a str,
    /// Its path, without the query.
    pub path: &'a str,
    /// Its key.
    pub key: Option<&'a str>,
}

/// Why a request is not let in. None of these has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No configuration has been read yet.
    NoConfig,
    /// The configuration is too old to trust keys, or to be sure that something is unknown.
    StaleConfig,
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to nobody.
    BadKey,
}

/// A request that was let in.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// The account that its key belongs to; none on a public route.
    pub account: Option<Account>,
    /// The configuration that decided.
    pub snapshot: Arc<Snapshot>,
}

/// Decides on a request that was read at `now`. Its caller sent it no later than that, so a
/// configuration that is young enough at `now` was young enough when the request was sent.
///
/// # Errors
///
/// Why it is not let in.
pub fn admit(
    replica: &Replica,
    now: Timestamp,
    bounds: &AdmissionBounds,
    arrival: AdmissionRequest<'_>,
) -> Result<Admitted, Denied> {
    let snapshot = replica.snapshot().ok_or(Denied::NoConfig)?;
    let age = replica.age(now).unwrap_or(Duration::MAX);
    let unknown = |denied| if age > bounds.denial_age { Denied::StaleConfig } else { denied };
    let route =
        snapshot.route(arrival.host, arrival.path).ok_or_else(|| unknown(Denied::NoRoute))?;
    let admitted = |account| Admitted { route: route.clone(), account, snapshot: snapshot.clone() };
    if route.public || !snapshot.needs_keys() {
        return Ok(admitted(None));
    }
    if bounds.key_age.is_some_and(|most| age >= most) {
        return Err(Denied::StaleConfig);
    }
    let account = arrival.key.and_then(|key| snapshot.account(key));
    match account {
        Some(account) => Ok(admitted(Some(account.clone()))),
        None => Err(unknown(Denied::BadKey)),
    }
}

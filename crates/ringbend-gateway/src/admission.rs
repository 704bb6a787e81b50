//! Admission of requests, based on the configuration in force and its age.

use std::sync::Arc;
use std::time::Duration;

use ringbend_types::Timestamp;

use crate::replica::Replica;
use crate::snapshot::{Account, Route, Snapshot};

/// Limits on the age of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionBounds {
    /// A revoked key must be refused for requests sent this long after the change, so a copy that
    /// has not been proved current within this time admits no key. `None` disables the limit.
    pub key_age: Option<Duration>,
    /// A copy older than this answers "retry later" instead of "unknown", as a newer configuration
    /// may know the route or key.
    pub denial_age: Duration,
}

/// The parts of a request that admission depends on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The requested host.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The API key.
    pub key: Option<&'a str>,
}

/// Why a request is not admitted. In all cases it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No configuration has been read yet.
    NoConfig,
    /// The configuration is too old to trust keys or to be sure that a route or key does not exist.
    StaleConfig,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
}

/// An admitted request.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The matching route.
    pub route: Arc<Route>,
    /// The client account of the key; `None` on a public route.
    pub account: Option<Account>,
    /// The configuration on which the decision is based.
    pub snapshot: Arc<Snapshot>,
}

/// Decides whether to admit a request that was read at `now`. The caller sent it no later than
/// that, so a configuration that is recent enough at `now` was recent enough when the request was
/// sent.
///
/// # Errors
///
/// The reason why the request is not admitted.
pub fn admit(
    replica: &Replica,
    now: Timestamp,
    bounds: &AdmissionBounds,
    request: AdmissionRequest<'_>,
) -> Result<Admitted, Denied> {
    let snapshot = replica.snapshot().ok_or(Denied::NoConfig)?;
    let age = replica.age(now).unwrap_or(Duration::MAX);
    let unknown = |denied| if age > bounds.denial_age { Denied::StaleConfig } else { denied };
    let route =
        snapshot.route(request.host, request.path).ok_or_else(|| unknown(Denied::NoRoute))?;
    let admitted = |account| Admitted { route: route.clone(), account, snapshot: snapshot.clone() };
    if route.public || !snapshot.needs_keys() {
        return Ok(admitted(None));
    }
    if bounds.key_age.is_some_and(|max_age| age >= max_age) {
        return Err(Denied::StaleConfig);
    }
    let account = request.key.and_then(|key| snapshot.account(key));
    match account {
        Some(account) => Ok(admitted(Some(account.clone()))),
        None => Err(unknown(Denied::BadKey)),
    }
}

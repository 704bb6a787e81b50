//! The check before every send to an endpoint.
//!
//! A request may have been placed by another instance, or have waited since. Whether its endpoints still take it is
//! decided from what this instance knows at the moment of sending.

use std::fmt;

use ringbend_gateway::{Endpoint, Placement, SendEnd};
use ringbend_types::EndpointId;

use crate::life::{Failed, Life};
use crate::node::Node;

/// Why nothing may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Inadmissible {
    /// Its process has ended.
    Ended,
    /// It is draining, by its row or by its own announcement.
    Draining,
}

impl fmt::Display for Inadmissible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ended => "ended",
            Self::Draining => "draining",
        })
    }
}

impl Node {
    /// Whether something may be sent to an endpoint now.
    ///
    /// # Errors
    ///
    /// Nothing may be sent.
    pub(crate) fn admission(&self, endpoint: &Endpoint) -> Result<(), Inadmissible> {
        let directory = self.directory.borrow();
        if directory.has_ended(endpoint) {
            return Err(Inadmissible::Ended);
        }
        let known = directory.get(&endpoint.id).unwrap_or(endpoint);
        if directory.is_leaving(known) {
            return Err(Inadmissible::Draining);
        }
        Ok(())
    }

    /// The first endpoint of a placement that nothing may be sent to.
    pub(crate) fn inadmissible(&self, placement: &Placement) -> Option<(EndpointId, Inadmissible)> {
        let ids = std::iter::once(&placement.lead).chain(&placement.helpers);
        let known = ids.filter_map(|id| self.directory.borrow().get(id).cloned());
        self.first_inadmissible(&known.collect::<Vec<_>>())
    }

    fn first_inadmissible(&self, endpoints: &[Endpoint]) -> Option<(EndpointId, Inadmissible)> {
        endpoints.iter().find_map(|e| Some((e.id.clone(), self.admission(e).err()?)))
    }
}

impl Life {
    /// Checks that a request may be sent to its lead and read by its helpers now.
    ///
    /// # Errors
    ///
    /// It may not. Nothing was sent, so it is placed again.
    pub(crate) fn admit(&mut self, on: &[Endpoint]) -> Result<(), Failed> {
        let Some((endpoint, why)) = self.node.first_inadmissible(on) else { return Ok(()) };
        if on.first().is_some_and(|lead| lead.id == endpoint) {
            // Whoever places it again may not know yet.
            self.attempts.sending(&endpoint);
        }
        self.node.metrics.inadmissible();
        log::info!(target: "request", id = self.id(), endpoint:%, why:%; "endpoint takes no requests; placing again");
        Err(Failed::Send(SendEnd::NotSent))
    }
}

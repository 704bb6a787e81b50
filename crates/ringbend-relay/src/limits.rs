//! The limits that endpoints name in their answers.

use ringbend_gateway::{Endpoint, HeardLimit, LimitWord, WordIn};
use ringbend_types::{RequestRate, Timestamp};

use crate::node::Node;

impl Node {
    /// Takes in what an answer to something that was sent at `asked` says of its endpoint's limit.
    pub(crate) fn hear_limit(
        &self,
        endpoint: &Endpoint,
        asked: Timestamp,
        word: LimitWord,
        from: WordIn,
    ) {
        let heard = self.limits.borrow_mut().hear(self.clock.now(), endpoint, asked, word, from);
        match heard {
            HeardLimit::Known => {}
            HeardLimit::Changed => self.changed_limit(endpoint, "its answer"),
            HeardLimit::Bad(why) => {
                log::warn!(target: "limits", endpoint:% = endpoint.id, why:%; "limit not read");
            }
        }
    }

    /// Writes the line of what an endpoint's limit is now.
    fn changed_limit(&self, endpoint: &Endpoint, from: &str) {
        let limits = self.limits.borrow();
        let rate = limits.of(endpoint).as_ref().map(RequestRate::to_string);
        let rate = rate.as_deref().unwrap_or("none");
        let limited = limits.len();
        log::info!(
            target: "limits", endpoint:% = endpoint.id, service:% = endpoint.service, rate, from,
            limited;
            "limit"
        );
        self.metrics.limited_endpoints.set(limited as i64);
    }
}

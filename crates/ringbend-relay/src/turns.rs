//! Waiting until a long prompt may be sent to engines.

use std::time::Duration;

use ringbend_gateway::{Claim, Turn, Waiting, WorkId, turn};
use ringbend_types::Timestamp;

use crate::life::{Failed, Life};

/// The longest time between two looks at engines that still read: an engine may leave meanwhile.
const LONGEST_LOOK: Duration = Duration::from_millis(60);

/// Callers leave a stream without an event after this many times its aim, if that is longest.
const AIM_FACTOR: u32 = 4;

/// The same in longest pauses that are on time.
const GAP_FACTOR: u32 = 8;

/// The same as a span.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// The shortest time between two looks.
const SHORTEST_LOOK: Duration = Duration::from_millis(4);

impl Life {
    /// Waits until it is this request's turn, if its prompt is long.
    pub(crate) async fn wait_for_turn(&mut self) -> Result<(), Failed> {
        if !self.is_long() {
            return Ok(());
        }
        let began = self.node.clock.now();
        let waits = self.node.wait(Waiting {
            service: self.terms.service.name.clone(),
            read: self.read_time(),
            since: self.arrived,
            first_by: self.first_by(),
            until: self.first_event_patience(),
        });
        let mut passed_over_at: Option<Timestamp> = None;
        let mut had_too_few = false;
        loop {
            let now = self.node.clock.now();
            let unused = passed_over_at.map_or(Duration::ZERO, |at| now.since(at));
            let look = match self.turn(waits.id, unused) {
                Turn::Now => break,
                Turn::TooLate => return Err(Failed::NoTurn),
                Turn::TooFew => {
                    if !had_too_few {
                        log::info!(target: "request", id = self.id(); "waits for more engines");
                    }
                    had_too_few = true;
                    LONGEST_LOOK
                }
                Turn::PassedOver => {
                    passed_over_at.get_or_insert(now);
                    SHORTEST_LOOK
                }
                Turn::In(left) => {
                    passed_over_at = None;
                    left.clamp(SHORTEST_LOOK, LONGEST_LOOK)
                }
            };
            tokio::select! {
                () = tokio::time::sleep(look) => {}
                () = self.node.load_news.notified() => {}
            }
        }
        let waited_ms = self.node.clock.now().since(began).as_millis() as u64;
        let waiting = self.node.load.borrow().waiting().count() - 1;
        log::info!(target: "request", id = self.id(), waited_ms, waiting; "turn");
        Ok(())
    }

    /// When the caller leaves if no event has come.
    fn first_event_patience(&self) -> Timestamp {
        let route = &self.terms.route;
        let patience = (route.aim * AIM_FACTOR).max(self.gap() * GAP_FACTOR).max(LEAST_PATIENCE);
        self.attempts.deadline().min(self.arrived + patience)
    }

    fn turn(&self, id: WorkId, unused: Duration) -> Turn {
        let Some((engine, demand)) = self.terms.service.engine.as_ref().zip(self.call.demand)
        else {
            return Turn::Now;
        };
        self.decide(|view, candidates| {
            let claim = Claim { id, unused, wish: self.wish(view.now, demand) };
            turn(view, engine, candidates, &claim)
        })
    }
}

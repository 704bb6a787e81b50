//! How many short prompts engines can start now.

use std::time::Duration;

use crate::candidate::millis;
use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::fleet_view::FleetView;
use crate::placement::Demand;

/// The prefill that an engine may have queued when it starts another short prompt, a third of the
/// shortest target: what waits in an engine's own queue can no longer be reordered.
const MAX_BACKLOG_MS: f64 = 100.0;

/// Passes before the first event: the rest of the current one, half on average, and the next.
const PASSES: f64 = 1.5;

/// The number of requests that engines can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Capacity {
    /// The number of short prompts that engines can start now.
    pub free: u32,
    /// The number of requests that they run at once.
    pub slots: u32,
}

impl Capacity {
    /// The capacity after one more start.
    pub fn after_start(self) -> Self {
        Self { free: self.free.saturating_sub(1), ..self }
    }
}

/// The number of prompts of this size that the engines can start now without delaying each other.
pub fn startable(
    view: FleetView<'_>,
    profile: &EngineProfile,
    engines: &[&Endpoint],
    demand: Demand,
) -> Capacity {
    let read_ms = profile.prefill_ms(demand.prompt_tokens).max(1.0);
    let free_on = |engine: &Endpoint| {
        let load = view.load.of(&engine.id);
        let open = profile.slots.saturating_sub(load.decodes().len() as u32);
        let backlog_ms = millis(load.backlog());
        let pace = load.pace().factor();
        let readable = ((MAX_BACKLOG_MS / pace - backlog_ms) / read_ms).floor().max(0.0) as u32;
        let readable = if backlog_ms <= 0.0 { readable.max(1) } else { readable };
        open.min(readable)
    };
    Capacity {
        free: engines.iter().map(|engine| free_on(engine)).sum(),
        slots: profile.slots * engines.len() as u32,
    }
}

/// The time from the start of a prompt on an engine with capacity to its first event.
pub fn begin_time(profile: &EngineProfile, demand: Demand) -> Duration {
    let pass_ms = profile.pass_ms(profile.slots);
    let ms = PASSES * pass_ms + profile.prefill_ms(demand.prompt_tokens);
    Duration::from_secs_f64(ms / 1e3)
}

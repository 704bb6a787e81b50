//! A simulated model engine over HTTP.
//!
//! | route | purpose |
//! |---|---|
//! | `POST /v1/completions`, `POST /v1/chat/completions` | runs a prompt; responds with server-sent events when `stream` is true |
//! | `POST /cancel/ATTEMPT` | cancels an attempt |
//! | `GET /load` | a delayed [`LoadReport`](ringbend_platform::LoadReport) |
//! | `GET /cache-events/SEQUENCE` | [`CacheEvent`](ringbend_platform::CacheEvent)s after this sequence number |
//! | `GET`, `POST /reservations`, `DELETE /reservations/ATTEMPT` | memory reserved for attempts that run on other engines |
//! | `POST /kv/export`, `POST /kv/import` | reserves memory for exported KV until `DELETE /reservations/ATTEMPT` |
//! | `POST /orders` | [`Order`](ringbend_platform::Order)s; 409 with the highest known fencing number when the order's is lower |
//! | `PUT /faults`, `GET /stats` | [`EngineFaults`], [`EngineStats`] |
//!
//! Any engine can continue an answer that another engine started: the request then carries
//! `"resume": {"tokens": N, "text": "…"}`, and the engine verifies the text.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ringbend_models::{EngineModel, EngineSpec};
use ringbend_runtime::{Clock, Server, ServerConfig, serve};
use ringbend_types::{RequestId, TokenCount};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use crate::engine_api::EngineService;
use crate::engine_driver::EngineDriver;

/// Configuration of a simulated engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Speed and memory.
    pub spec: EngineSpec,
    /// Delay of the load reports.
    pub report_lag: Duration,
    /// Model name in the responses.
    pub model: String,
}

/// Faults that a test can inject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Accept requests but never respond; running requests make no progress.
    pub freeze: bool,
    /// Reject each request without running it.
    pub refuse: bool,
    /// Respond to each request with an error, as if running it had failed.
    pub error: bool,
    /// Delay of each response's headers, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming streamed responses to cut off midway.
    pub cut_streams: u32,
    /// Number of upcoming responses to send with another attempt's id.
    pub wrong_attempt: u32,
    /// Number of upcoming events to swap with those of another running response.
    pub cross_events: u32,
    /// Ignore cancellations and closed connections.
    pub ignore_cancel: bool,
    /// Accept no new work and report the engine as leaving.
    pub leave: bool,
    /// Drop every second cache event.
    pub lose_cache_events: bool,
}

/// State and counters of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Number of attempts that wait or run.
    pub sequences: usize,
    /// KV memory in use.
    pub kv_used: TokenCount,
    /// Highest KV memory use so far.
    pub peak_kv: TokenCount,
    /// Number of reservations held for other engines.
    pub reservations: usize,
    /// Number of accepted attempts.
    pub submitted: u64,
    /// Requests whose answer was started from the first token more than once.
    pub rerun: Vec<RequestId>,
}

/// A running simulated engine. Dropping it simulates a crash: it closes the listener and ends the
/// responses of all connections.
pub struct Engine {
    server: Server,
    driver: Rc<EngineDriver>,
    step_task: JoinHandle<()>,
}

impl Engine {
    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the engine's state and counters.
    pub fn stats(&self) -> EngineStats {
        self.driver.stats()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.driver.set_faults(faults);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.step_task.abort();
        self.driver.crash();
    }
}

/// Starts a simulated engine that listens on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(address: SocketAddr, cfg: EngineConfig) -> std::io::Result<Engine> {
    let model = RefCell::new(EngineModel::new(cfg.spec.clone()));
    let driver = Rc::new(EngineDriver::new(Clock::start(), model, cfg.report_lag));
    let step_task = tokio::task::spawn_local(driver.clone().run());
    let service = Rc::new(EngineService::new(driver.clone(), cfg.model));
    let server = serve(address, ServerConfig::default(), service).await?;
    Ok(Engine { server, driver, step_task })
}

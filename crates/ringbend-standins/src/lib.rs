//! Stand-ins (fakes) for the services of the platform. Each is served over HTTP and has faults that
//! a test can inject.
//!
//! | module | what it simulates |
//! |---|---|
//! | [`engine`] | a model engine: prompts, load reports, cache events, reservations, KV export, orders |
//! | [`service`] | an HTTP service that counts how often it ran the calls of each key |
//! | [`table`] | the transactional table service |
//! | [`objects`] | the object store |
//! | [`instances`] | the instance list |
//!
//! Tests, the playground and the examples in the README use them. Ringbend itself does not link them.

pub mod engine;
mod engine_api;
mod engine_driver;
pub mod instances;
pub mod objects;
pub mod service;
pub mod table;
mod token_text;

pub use token_text::token_text;

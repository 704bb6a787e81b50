//! Small stand-ins of the platform, each served over HTTP, with faults that a test switches on.
//!
//! | stand-in | what it serves |
//! |---|---|
//! | [`engine`] | prompts, load reports, cache events, reservations, KV export, orders |
//! | [`service`] | plain calls that count how often each key ran |
//! | [`table`] | the transactional table service |
//! | [`objects`] | the object store |
//! | [`instances`] | the instance list |
//!
//! They are for tests, the playground and the README; nothing of Ringbend itself links them.

pub mod engine;
mod engine_api;
mod engine_driver;
pub mod instances;
pub mod objects;
pub mod service;
pub mod table;
mod words;

pub use words::token_text;

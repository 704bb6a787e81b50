//! Panics of the task of one request, which must not end what it shares with others.

use std::any::Any;
use std::fmt;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;

use futures_util::FutureExt;

/// A future has panicked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Panicked(Box<str>);

impl fmt::Display for Panicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "panicked: {}", self.0)
    }
}

impl std::error::Error for Panicked {}

impl Panicked {
    fn new(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        Self(text.unwrap_or("unknown reason").into())
    }
}

/// Awaits `work` and turns a panic into an error. What `work` owned has been dropped by then. It is pinned
/// by the caller, as each wrapper that owns a large future adds its size to that of the task.
///
/// # Errors
///
/// `work` panicked.
pub async fn catch_panic<F: Future + ?Sized>(work: Pin<&mut F>) -> Result<F::Output, Panicked> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|payload| Panicked::new(&*payload))
}

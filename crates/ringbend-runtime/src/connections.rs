//! The open connections of a server, and which of them are closed to make room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// A request body that makes no progress for this time may be given up for others.
const BODY_STALL: Duration = Duration::from_secs(1);

/// A response that its client does not read for this time may be given up for others. It has run, so
/// it is kept longer than a request that has not.
const RESPONSE_STALL: Duration = Duration::from_secs(3);

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request head.
    Head,
    /// The rest of a request body.
    Body,
    /// The handler or the body of its response.
    Handler,
    /// The client, to read the response.
    Response,
    /// The client, to close its side.
    Closing,
}

/// The state of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    phase: Cell<Phase>,
    /// When the phase began or last made progress.
    since: Cell<Instant>,
    is_closing: Cell<bool>,
    close: Notify,
}

impl ConnectionState {
    fn new() -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            close: Notify::new(),
        }
    }

    /// Enters a phase, or records its progress.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Whether the connection is to be closed to make room.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Waits until the connection is to be closed to make room.
    pub(crate) async fn closing(&self) {
        let mut notified = std::pin::pin!(self.close.notified());
        // Registered before the check, so that no notification in between is missed.
        notified.as_mut().enable();
        if !self.is_closing() {
            notified.await;
        }
    }

    fn start_closing(&self) {
        self.is_closing.set(true);
        self.close.notify_waiters();
    }

    /// Whether no request is lost if the connection is closed.
    fn is_unused(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle | Phase::Head | Phase::Closing)
    }

    /// Whether the client holds up its request or response.
    fn is_stalled(&self, now: Instant) -> bool {
        let stall = match self.phase.get() {
            Phase::Body => BODY_STALL,
            Phase::Response => RESPONSE_STALL,
            Phase::Idle | Phase::Head | Phase::Handler | Phase::Closing => return false,
        };
        now.duration_since(self.since.get()) >= stall
    }
}

/// Counts of connections that were not served to their end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections without a request that were closed for others.
    pub closed_unused: u64,
    /// Connections whose client stalled and that were closed for others.
    pub closed_stalled: u64,
    /// Connections that were refused because none could be closed for them.
    pub refused: u64,
}

/// The open connections of a server.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    open: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_id: Cell<u64>,
    counts: Cell<ConnectionCounts>,
    logged_at: Cell<Option<Instant>>,
}

/// Counts are logged at most this often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A connection that counts as open until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    id: u64,
    pub(crate) state: Rc<ConnectionState>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

impl Connections {
    /// Allows `max` open connections.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            open: RefCell::default(),
            last_id: Cell::default(),
            counts: Cell::default(),
            logged_at: Cell::default(),
        })
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// The maximum number of open connections.
    pub fn max(&self) -> usize {
        self.max
    }

    /// The connections that were not served to their end.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts.get()
    }

    /// Asks the connection whose client has stalled longest to close, if there is one. Its memory is
    /// released once its task has run.
    pub fn close_stalled(&self) -> bool {
        let now = Instant::now();
        let is_closed = self.close_oldest(|state| state.is_stalled(now));
        if is_closed {
            self.count(|counts| counts.closed_stalled += 1);
        }
        is_closed
    }

    /// Whether another connection may be opened. Closes an open one for it if necessary.
    pub(crate) async fn has_room(&self) -> bool {
        while self.open() >= self.max {
            if !self.close_unused() && !self.close_stalled() {
                self.count(|counts| counts.refused += 1);
                return false;
            }
            // The task of the closed connection runs first.
            tokio::task::yield_now().await;
        }
        true
    }

    pub(crate) fn add(self: &Rc<Self>) -> OpenConnection {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let state = Rc::new(ConnectionState::new());
        self.open.borrow_mut().insert(id, state.clone());
        OpenConnection { connections: self.clone(), id, state }
    }

    fn close_unused(&self) -> bool {
        let is_closed = self.close_oldest(ConnectionState::is_unused);
        if is_closed {
            self.count(|counts| counts.closed_unused += 1);
        }
        is_closed
    }

    fn close_oldest(&self, may_close: impl Fn(&ConnectionState) -> bool) -> bool {
        let open = self.open.borrow();
        let candidates = open.values().filter(|state| !state.is_closing() && may_close(state));
        let oldest = candidates.min_by_key(|state| state.since.get());
        oldest.inspect(|state| state.start_closing()).is_some()
    }

    fn count(&self, update: impl FnOnce(&mut ConnectionCounts)) {
        let mut counts = self.counts.get();
        update(&mut counts);
        self.counts.set(counts);
        let now = Instant::now();
        if self.logged_at.get().is_some_and(|at| now.duration_since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        let ConnectionCounts { closed_unused, closed_stalled, refused } = counts;
        log::warn!(
            target: "connections", open = self.open(), max = self.max, closed_unused, closed_stalled, refused;
            "no room for another connection or its bodies"
        );
    }
}

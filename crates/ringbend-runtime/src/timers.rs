//! The timer service, which runs subscribed callbacks when they are due.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use ringbend_types::Timestamp;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::clock::Clock;

/// Called when due. Returns when it is due next.
type Callback = Rc<dyn Fn(Timestamp) -> Timestamp>;

struct Entry {
    due: Timestamp,
    callback: Callback,
}

#[derive(Default)]
struct Shared {
    entries: RefCell<BTreeMap<u64, Entry>>,
    next_id: Cell<u64>,
    changed: Notify,
}

/// Runs callbacks when they are due, on the thread that started the service.
pub struct TimerService {
    shared: Rc<Shared>,
    task: JoinHandle<()>,
}

/// A callback's subscription to the timer service. Dropping it cancels the callback.
pub struct Subscription {
    id: u64,
    shared: Weak<Shared>,
}

impl TimerService {
    /// Starts the service on the current thread.
    pub fn start(clock: Clock) -> Self {
        let shared = Rc::new(Shared::default());
        let task = tokio::task::spawn_local(run_timers(clock, shared.clone()));
        Self { shared, task }
    }

    /// Subscribes a callback that is first due at `due` and returns its next due time.
    pub fn subscribe(
        &self,
        due: Timestamp,
        callback: impl Fn(Timestamp) -> Timestamp + 'static,
    ) -> Subscription {
        let id = self.shared.next_id.get() + 1;
        self.shared.next_id.set(id);
        let entry = Entry { due, callback: Rc::new(callback) };
        self.shared.entries.borrow_mut().insert(id, entry);
        self.shared.changed.notify_one();
        Subscription { id, shared: Rc::downgrade(&self.shared) }
    }
}

impl Drop for TimerService {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Subscription {
    /// Makes the callback due at `at`, unless it is due earlier already.
    pub fn no_later_than(&self, at: Timestamp) {
        let Some(shared) = self.shared.upgrade() else { return };
        let mut entries = shared.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&self.id) else { return };
        if at < entry.due {
            entry.due = at;
            shared.changed.notify_one();
        }
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        if let Some(shared) = self.shared.upgrade()
            && let Ok(mut entries) = shared.entries.try_borrow_mut()
        {
            entries.remove(&self.id);
        }
    }
}

async fn run_timers(clock: Clock, shared: Rc<Shared>) {
    loop {
        let next = shared.entries.borrow().values().map(|e| e.due).min();
        let due = next.unwrap_or(Timestamp::NEVER);
        tokio::select! {
            () = clock.sleep_until(due) => run_due_callbacks(clock.now(), &shared),
            () = shared.changed.notified() => {}
        }
    }
}

fn run_due_callbacks(now: Timestamp, shared: &Shared) {
    let entries = shared.entries.borrow();
    let due: Vec<u64> = entries.iter().filter(|(_, e)| e.due <= now).map(|(id, _)| *id).collect();
    drop(entries);
    for id in due {
        let callback = shared.entries.borrow_mut().get_mut(&id).map(|entry| {
            entry.due = Timestamp::NEVER;
            entry.callback.clone()
        });
        let Some(callback) = callback else { continue };
        let next = callback(now);
        if let Some(entry) = shared.entries.borrow_mut().get_mut(&id) {
            entry.due = entry.due.min(next);
        }
    }
}

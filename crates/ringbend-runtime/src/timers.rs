//! The timer service: parts subscribe a callback and say when they want it next.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use ringbend_types::Timestamp;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::clock::Clock;

/// Called when due; returns when it is due next.
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

/// Runs callbacks on this thread when they are due.
pub struct TimerService {
    shared: Rc<Shared>,
    task: JoinHandle<()>,
}

/// A part's place in the timer service. Dropping it ends the subscription.
pub struct Subscription {
    id: u64,
    shared: Weak<Shared>,
}

impl TimerService {
    /// Starts the service on this thread.
    pub fn start(clock: Clock) -> Self {
        let shared = Rc::new(Shared::default());
        let task = tokio::task::spawn_local(run(clock, shared.clone()));
        Self { shared, task }
    }

    /// Subscribes a callback that is first due at `due` and returns when it is due next.
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
    /// Makes the callback due at `at`, when that is sooner than now planned.
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

async fn run(clock: Clock, shared: Rc<Shared>) {
    loop {
        let next = shared.entries.borrow().values().map(|e| e.due).min();
        let due = next.unwrap_or(Timestamp::NEVER);
        tokio::select! {
            () = clock.sleep_until(due) => fire(clock.now(), &shared),
            () = shared.changed.notified() => {}
        }
    }
}

fn fire(now: Timestamp, shared: &Shared) {
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

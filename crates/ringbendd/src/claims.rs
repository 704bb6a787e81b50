//! Runs the claims of requests that must not be repeated.

use std::cell::RefCell;
use std::rc::Rc;

use ringbend_ledger::{ClaimAction, ClaimBatcher, ClaimBatcherConfig, ClaimEvent, Settlement};
use ringbend_runtime::{Subscription, unix_millis};
use ringbend_types::Timestamp;

use crate::app::App;
use crate::policy_driver::RequestSignal;

/// The claims of this instance.
pub(crate) struct Claims {
    batcher: RefCell<ClaimBatcher>,
    timer: RefCell<Option<Subscription>>,
}

impl Claims {
    pub(crate) fn new() -> Self {
        let batcher = ClaimBatcher::new(ClaimBatcherConfig::default());
        Self { batcher: RefCell::new(batcher), timer: RefCell::default() }
    }

    /// Subscribes to the timer service.
    pub(crate) fn start(app: &Rc<App>) {
        let weak = Rc::downgrade(app);
        let timer = app.timers.subscribe(Timestamp::NEVER, move |_| {
            let Some(app) = weak.upgrade() else { return Timestamp::NEVER };
            app.claims.handle(&app, ClaimEvent::Tick);
            app.claims.batcher.borrow().next_wakeup()
        });
        *app.claims.timer.borrow_mut() = Some(timer);
    }

    /// Returns the number of claims and settlements in progress; shutdown waits until it is zero.
    pub(crate) fn unsettled(&self) -> usize {
        self.batcher.borrow().unsettled()
    }

    /// Passes an event to the batcher and executes the resulting actions.
    pub(crate) fn handle(&self, app: &Rc<App>, event: ClaimEvent) {
        let actions = self.batcher.borrow_mut().handle(app.now(), unix_millis(), event);
        for action in actions {
            self.execute(app, action);
        }
        if let Some(timer) = &*self.timer.borrow() {
            timer.no_later_than(self.batcher.borrow().next_wakeup());
        }
    }

    fn execute(&self, app: &Rc<App>, action: ClaimAction) {
        match action {
            ClaimAction::Call(call, request) => {
                let app = app.clone();
                tokio::task::spawn_local(async move {
                    let reply = app.table.call(request).await;
                    app.claims.handle(&app, ClaimEvent::Reply { call, reply });
                });
            }
            ClaimAction::Granted(holder) => {
                if !app.policy.signal(holder, RequestSignal::ClaimGranted) {
                    // The caller has already been answered "not run".
                    let settlement = Settlement::NotRun;
                    self.handle(app, ClaimEvent::Settle { holder, settlement });
                }
            }
            ClaimAction::AlreadyClaimed(holder, by) => {
                app.policy.signal(holder, RequestSignal::AlreadyClaimed(by));
            }
            ClaimAction::Abandoned(holder) => {
                app.policy.signal(holder, RequestSignal::ClaimAbandoned);
            }
        }
    }
}

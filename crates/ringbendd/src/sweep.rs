//! Runs this instance's presence lease, and under the sweep lease frees orphaned engine memory.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ringbend_ledger::{Lease, LeaseAction, LeaseConfig, LeaseEvent, SweepConfig, Sweeper};
use ringbend_platform::{
    EndpointEntry, EndpointKind, Order, OrderKind, RowKey, TableReply, TableRequest,
};
use ringbend_policy::Event;
use ringbend_types::{Incarnation, LeaseName, Timestamp};

use crate::app::App;

/// Interval at which the holder of the sweep lease starts a pass over all engines.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Pause between two engines of a pass, so that a pass over hundreds of engines stays within the
/// request budget.
const ENGINE_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum time from sending an order until it takes effect.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(2);

/// How long the presence row of an instance that is gone may be kept.
const PRESENCE_TTL: Duration = Duration::from_secs(24 * 3600);

/// Presence is renewed rarely because every instance does it: 32 commits per second at 320
/// instances.
fn presence_config() -> LeaseConfig {
    LeaseConfig {
        ttl: Duration::from_secs(30),
        margin: Duration::from_secs(10),
        renew_interval: Duration::from_secs(10),
        row_ttl: Some(PRESENCE_TTL),
    }
}

/// Runs a lease's state machine for as long as the instance lives. When the lease is lost, the
/// policy is given `lapse_event`.
fn run_lease(app: &Rc<App>, lease: Rc<RefCell<Lease>>, lapse_event: Option<Event>) {
    let app = app.clone();
    tokio::task::spawn_local(async move {
        let mut held = false;
        loop {
            let holds_now = lease.borrow().fencing(app.now(), Duration::ZERO).is_some();
            if let (true, false, Some(event)) = (held, holds_now, &lapse_event) {
                app.policy.handle(&app, event.clone());
            }
            held = holds_now;
            let due = lease.borrow().next_wakeup();
            app.clock.sleep_until(due).await;
            let mut action = lease.borrow_mut().handle(app.now(), LeaseEvent::Tick);
            while let Some(LeaseAction::Call(call)) = action {
                let reply = app.table.call(call).await;
                action = lease.borrow_mut().handle(app.now(), LeaseEvent::Reply(reply));
            }
        }
    });
}

/// Starts the presence lease, the sweep lease and the sweep.
pub(crate) fn start(app: &Rc<App>) {
    let presence = format!("presence-{:016x}", app.incarnation.0);
    for (name, is_sweep) in [(presence.as_str(), false), ("sweep", true)] {
        let cfg = if is_sweep { LeaseConfig::default() } else { presence_config() };
        let Ok(name) = name.parse::<LeaseName>() else { continue };
        let holder = app.cfg.instance.clone();
        let lease = Lease::new(cfg, &name, holder, app.incarnation);
        let lease = Rc::new(RefCell::new(lease));
        run_lease(app, lease.clone(), (!is_sweep).then_some(Event::PresenceLapsed));
        if is_sweep {
            let app = app.clone();
            tokio::task::spawn_local(async move { sweep(&app, &lease).await });
        }
    }
}

async fn sweep(app: &Rc<App>, lease: &Rc<RefCell<Lease>>) {
    let mut sweeper = Sweeper::new(SweepConfig::default());
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        if lease.borrow().fencing(app.now(), MAX_ORDER_DELAY).is_none() {
            // Another instance sweeps, so observations made under an earlier lease are stale.
            sweeper = Sweeper::new(SweepConfig::default());
            continue;
        }
        for engine in app.policy.all_endpoints() {
            if engine.kind == EndpointKind::Engine {
                sweep_engine(app, lease, &mut sweeper, &engine).await;
                actix_rt::time::sleep(ENGINE_INTERVAL).await;
            }
        }
    }
}

async fn sweep_engine(
    app: &Rc<App>,
    lease: &Rc<RefCell<Lease>>,
    sweeper: &mut Sweeper,
    engine: &EndpointEntry,
) {
    let Ok(reservations) = app.endpoint_control.reservations(engine.address).await else { return };
    let holders: BTreeSet<Incarnation> =
        reservations.iter().map(|r| Incarnation(r.attempt.incarnation)).collect();
    update_presence(app, sweeper, &holders).await;
    sweeper.set_live(app.peers.live_incarnations(app));
    let orphans = sweeper.find_orphaned(app.now(), &engine.id, &reservations);
    if orphans.is_empty() {
        return;
    }
    // Check the lease again right before sending the order.
    let now: Timestamp = app.now();
    let Some(fencing) = lease.borrow().fencing(now, MAX_ORDER_DELAY) else { return };
    log::info!(engine:% = engine.id, attempts = orphans.len(); "freeing orphaned memory reservations");
    let kind = OrderKind::FreeReservations { attempts: orphans };
    if let Err(e) = app.endpoint_control.order(engine.address, Order { fencing, kind }).await {
        log::warn!(engine:% = engine.id; "cannot free orphaned memory reservations: {e}");
    }
}

/// Reads the presence rows of the instances that hold memory.
async fn update_presence(app: &Rc<App>, sweeper: &mut Sweeper, holders: &BTreeSet<Incarnation>) {
    if holders.is_empty() {
        return;
    }
    let key = |holder: &Incarnation| RowKey::new(format!("lease/presence-{:016x}", holder.0));
    let keys: Vec<RowKey> = holders.iter().map(key).collect();
    match app.table.call(TableRequest::Read { keys }).await {
        Ok(TableReply::Rows(rows)) => {
            for holder in holders {
                let row = rows.iter().find(|row| row.key == key(holder));
                sweeper.observe_presence(app.now(), *holder, row.map(|row| row.version));
            }
        }
        _ => sweeper.reset_presence(),
    }
}

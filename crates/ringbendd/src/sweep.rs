//! Drives this instance's presence lease, the sweep lease and the sweep itself.

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

/// How often the holder of the sweep lease begins a round over every engine.
const SWEEP_EVERY: Duration = Duration::from_secs(5);

/// Between two engines of a round, so that a round over hundreds keeps to the budget.
const BETWEEN_ENGINES: Duration = Duration::from_millis(60);

/// An order's longest flight.
const ORDER_FLIGHT: Duration = Duration::from_secs(2);

/// How long the presence row of an instance that is gone may be kept.
const PRESENCE_TTL: Duration = Duration::from_secs(24 * 3600);

/// Presence is renewed seldom, since every instance does it: 32 commits a second at 320 instances.
fn presence_config() -> LeaseConfig {
    LeaseConfig {
        ttl: Duration::from_secs(30),
        margin: Duration::from_secs(10),
        renew_interval: Duration::from_secs(10),
        row_ttl: Some(PRESENCE_TTL),
    }
}

/// Runs a lease's machine for as long as the instance lives.
fn drive(app: &Rc<App>, lease: Rc<RefCell<Lease>>, on_lapse: Option<Event>) {
    let app = app.clone();
    tokio::task::spawn_local(async move {
        let mut held = false;
        loop {
            let holds = lease.borrow().fencing(app.now(), Duration::ZERO).is_some();
            if let (true, false, Some(event)) = (held, holds, &on_lapse) {
                app.decisions.decide(&app, event.clone());
            }
            held = holds;
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

/// Starts presence and sweep.
pub(crate) fn start(app: &Rc<App>) {
    let presence = format!("presence-{:016x}", app.incarnation.0);
    for (name, sweeps) in [(presence.as_str(), false), ("sweep", true)] {
        let cfg = if sweeps { LeaseConfig::default() } else { presence_config() };
        let Ok(name) = name.parse::<LeaseName>() else { continue };
        let holder = app.cfg.instance.clone();
        let lease = Lease::new(cfg, &name, holder, app.incarnation);
        let lease = Rc::new(RefCell::new(lease));
        drive(app, lease.clone(), (!sweeps).then_some(Event::PresenceLapsed));
        if sweeps {
            let app = app.clone();
            tokio::task::spawn_local(async move { sweep(&app, &lease).await });
        }
    }
}

async fn sweep(app: &Rc<App>, lease: &Rc<RefCell<Lease>>) {
    let mut sweeper = Sweeper::new(SweepConfig::default());
    loop {
        actix_rt::time::sleep(SWEEP_EVERY).await;
        if lease.borrow().fencing(app.now(), ORDER_FLIGHT).is_none() {
            // Another instance sweeps; what was seen under an earlier lease is stale.
            sweeper = Sweeper::new(SweepConfig::default());
            continue;
        }
        for engine in app.decisions.listed() {
            if engine.kind == EndpointKind::Engine {
                sweep_engine(app, lease, &mut sweeper, &engine).await;
                actix_rt::time::sleep(BETWEEN_ENGINES).await;
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
    let Ok(held) = app.control.reservations(engine.address).await else { return };
    let holders: BTreeSet<Incarnation> =
        held.iter().map(|r| Incarnation(r.attempt.incarnation)).collect();
    look_up(app, sweeper, &holders).await;
    sweeper.set_live(app.peers.live_incarnations(app));
    let orphans = sweeper.find_orphaned(app.now(), &engine.id, &held);
    if orphans.is_empty() {
        return;
    }
    // The lease is looked at again right before the order leaves.
    let now: Timestamp = app.now();
    let Some(fencing) = lease.borrow().fencing(now, ORDER_FLIGHT) else { return };
    log::info!(engine:% = engine.id, attempts = orphans.len(); "freeing memory of nobody");
    let kind = OrderKind::FreeReservations { attempts: orphans };
    if let Err(e) = app.control.order(engine.address, Order { fencing, kind }).await {
        log::warn!(engine:% = engine.id; "the order to free memory failed: {e}");
    }
}

/// Reads the presence rows of the instances that hold memory.
async fn look_up(app: &Rc<App>, sweeper: &mut Sweeper, holders: &BTreeSet<Incarnation>) {
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

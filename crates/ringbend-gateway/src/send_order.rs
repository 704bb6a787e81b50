//! The order in which the waiting long prompts of a service are sent to engines.

use std::time::Duration;

use ringbend_types::{ServiceName, Timestamp};

use crate::engine::MAX_PREFILL_ENGINES;
use crate::fleet_view::FleetView;
use crate::load::WorkId;
use crate::priorities::{AGED_SHARE, Rank};
use crate::waiting_prompt::WaitingPrompt;

/// The overhead of each prompt beside its prefill: one pass that it waits for and one that it
/// shares.
const PASS_OVERHEAD: Duration = Duration::from_millis(60);

/// A waiting prompt in the order in which prompts are sent.
pub(crate) struct Queued<'a> {
    pub(crate) id: WorkId,
    pub(crate) waiting: &'a WaitingPrompt,
    /// The time in which all engines together read it.
    shared_time: Duration,
    /// The time in which it is read by itself.
    solo_time: Duration,
    /// Its rank, raised by the time that it has waited.
    rank: Rank,
    /// The position of its client account by recent use, the least first; zero without shares.
    account_position: usize,
}

impl<'a> Queued<'a> {
    fn new(view: FleetView<'a>, engines: usize, id: WorkId, waiting: &'a WaitingPrompt) -> Self {
        let part = |n: usize| waiting.read_time / u32::try_from(n.max(1)).unwrap_or(u32::MAX);
        Self {
            id,
            waiting,
            shared_time: part(engines),
            solo_time: part(engines.min(MAX_PREFILL_ENGINES)) + PASS_OVERHEAD,
            rank: waiting.rank(view.now, &view.priorities),
            account_position: 0,
        }
    }

    /// Whether it precedes all others, however late it is.
    fn is_aged(&self, now: Timestamp) -> bool {
        let WaitingPrompt { since, until, .. } = *self.waiting;
        now.since(since) > until.since(since).mul_f64(AGED_SHARE)
    }
}

/// The order in which the waiting prompts of a service are sent: first those that have waited for
/// long; then those that can all be on time together, by due time; then the rest by rank, and by
/// recent use of their client accounts among those of the same rank.
pub(crate) fn send_order<'a>(
    view: FleetView<'a>,
    service: &ServiceName,
    engines: usize,
    backlog: Duration,
) -> Vec<Queued<'a>> {
    let now = view.now;
    let all = view.load.waiting().filter(|(_, waiting)| waiting.service == *service);
    let mut all: Vec<_> =
        all.map(|(id, waiting)| Queued::new(view, engines, id, waiting)).collect();
    set_account_positions(view, &mut all);
    let (mut aged, mut due): (Vec<_>, Vec<_>) = all.into_iter().partition(|q| q.is_aged(now));
    aged.sort_by_key(|q| (q.waiting.since, q.id));
    due.sort_by_key(|q| (q.waiting.first_by, q.id));
    let begins = now + backlog + aged.iter().map(|q| q.shared_time).sum::<Duration>();
    let (on_time, mut late) = split_late(begins, due);
    late.sort_by_key(|q| (q.rank, q.account_position, q.waiting.since, q.id));
    aged.into_iter().chain(on_time).chain(late).collect()
}

fn set_account_positions(view: FleetView<'_>, queued: &mut [Queued<'_>]) {
    let Some(shares) = view.shares else { return };
    let order = shares.order(view.now, queued.iter().map(|q| q.waiting.account.as_ref()));
    for q in queued {
        let account = q.waiting.account.as_ref();
        q.account_position = order.iter().position(|a| *a == account).unwrap_or(order.len());
    }
}

/// Splits prompts, sorted by due time, into those that can all be on time if prefill begins at
/// `begins`, and the rest. If not all can, one is moved to the rest: the least urgent, and the
/// longest among those of the same rank, so that most are on time.
fn split_late<'a>(begins: Timestamp, due: Vec<Queued<'a>>) -> (Vec<Queued<'a>>, Vec<Queued<'a>>) {
    let mut done = begins;
    let (mut on_time, mut late): (Vec<Queued<'_>>, Vec<_>) = (Vec::new(), Vec::new());
    for q in due {
        let (id, rank, first_by, solo_time) = (q.id, q.rank, q.waiting.first_by, q.solo_time);
        // A prompt that is late in any case displaces none of a lower rank.
        let is_hopeless = begins + q.shared_time + solo_time > first_by;
        done = done + q.shared_time;
        on_time.push(q);
        while done + solo_time > first_by {
            let may_yield = |q: &Queued<'_>| !is_hopeless || q.rank <= rank;
            let candidates = on_time.iter().enumerate().filter(|(_, q)| may_yield(q));
            let first_to_yield = candidates.max_by_key(|(_, q)| (q.rank, q.shared_time, q.id));
            let Some(at) = first_to_yield.map(|(at, _)| at) else { break };
            let displaced = on_time.remove(at);
            let is_current = displaced.id == id;
            done = done - displaced.shared_time;
            late.push(displaced);
            if is_current {
                break;
            }
        }
    }
    (on_time, late)
}

//! When a long prompt may be sent to engines.
//!
//! Engines read the newest part of a prompt first, so a long prompt that is sent while others are
//! being read makes all of those later. Long prompts therefore wait at their instance until enough
//! engines have nothing to read. Each instance knows the long prompts that wait at the others and
//! puts them into the same order, so nobody has to be asked.

use std::time::Duration;

use ringbend_types::{ServiceName, Timestamp};

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::load::WorkId;
use crate::quiet::{MOST_ENGINES, reading_engines};
use crate::view::{View, room};
use crate::waiting::Waiting;
use crate::weights::PlacementWeights;

/// Whether a long prompt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It may be sent now.
    Now,
    /// It will be late whatever is done; one engine may read it when it has nothing else to read.
    Behind,
    /// Engines have room for it, and others that go first have not been sent.
    PassedOver,
    /// Too few engines have nothing to read; some will after this time.
    In(Duration),
    /// Its caller would leave before it could be read.
    TooLate,
}

/// How long room may stand unused before a prompt goes ahead of one that should go first: its
/// instance may have ended. Two trips between data centres and some for being busy.
const UNUSED: Duration = Duration::from_millis(30);

/// The part of a request's time after which it goes before all others, however late it is.
const AGED: f64 = 0.6;

/// When a prompt that waits for other instances to be heard is looked at again.
const STARTING_LOOK: Duration = Duration::from_millis(20);

/// What each prompt costs beside its reading: a pass that it waits for, and one that it shares.
const BETWEEN: Duration = Duration::from_millis(60);

/// A waiting prompt in the order in which they are sent.
struct Queued<'a> {
    id: WorkId,
    waiting: &'a Waiting,
    /// How long all engines together read it.
    shared: Duration,
    /// How long it takes by itself.
    alone: Duration,
    /// Whether it gave way.
    late: bool,
}

impl Queued<'_> {
    /// Whether it goes before all others, however late it is.
    fn is_aged(&self, now: Timestamp) -> bool {
        let Waiting { since, until, .. } = *self.waiting;
        now.since(since) > until.since(since).mul_f64(AGED)
    }
}

/// The order in which the prompts that wait for a service are sent: those that have waited for long;
/// then those that can all be on time together, the first due first; then the others.
fn order<'a>(
    view: View<'a>,
    service: &ServiceName,
    engines: usize,
    backlog: Duration,
) -> Vec<Queued<'a>> {
    let now = view.now;
    let queued = |(id, waiting): (WorkId, &'a Waiting)| {
        let part = |n: usize| waiting.read / u32::try_from(n.max(1)).unwrap_or(u32::MAX);
        let (shared, alone) = (part(engines), part(engines.min(MOST_ENGINES)) + BETWEEN);
        Queued { id, waiting, shared, alone, late: false }
    };
    let all = view.load.waiting().filter(|(_, waiting)| waiting.service == *service).map(queued);
    let (mut aged, mut due): (Vec<_>, Vec<_>) = all.partition(|q| q.is_aged(now));
    aged.sort_by_key(|q| (q.waiting.since, q.id));
    due.sort_by_key(|q| (q.waiting.first_by, q.id));
    let begins = now + backlog + aged.iter().map(|q| q.shared).sum::<Duration>();
    let (on_time, mut late) = part_late(begins, due);
    late.sort_by_key(|q| (q.waiting.since, q.id));
    aged.into_iter().chain(on_time).chain(late).collect()
}

/// Parts prompts, the first due first, into those that can all be on time if reading begins at
/// `begins`, and the others. Where not all can, the longest gives way, so that most are on time.
fn part_late<'a>(begins: Timestamp, due: Vec<Queued<'a>>) -> (Vec<Queued<'a>>, Vec<Queued<'a>>) {
    let mut done = begins;
    let (mut on_time, mut late): (Vec<Queued<'_>>, Vec<_>) = (Vec::new(), Vec::new());
    for q in due {
        let (id, first_by, alone) = (q.id, q.waiting.first_by, q.alone);
        done = done + q.shared;
        on_time.push(q);
        while done + alone > first_by {
            let longest = on_time.iter().enumerate().max_by_key(|(_, q)| (q.shared, q.id));
            let Some(longest) = longest.map(|(at, _)| at) else { break };
            let gives_way = on_time.remove(longest);
            let is_itself = gives_way.id == id;
            done = done - gives_way.shared;
            late.push(Queued { late: true, ..gives_way });
            if is_itself {
                break;
            }
        }
    }
    (on_time, late)
}

/// How many engines should read a prompt.
fn wanted(w: &PlacementWeights, read: Duration, engines: usize) -> usize {
    let parts = (read.as_secs_f64() * 1e3 / w.part_ms).ceil() as usize;
    parts.clamp(1, engines.clamp(1, MOST_ENGINES))
}

/// The fewest engines that must be open to long prompts before one is sent, of `all` engines.
///
/// A prompt of 600,000 tokens is 34 s of reading. Sent when short prompts had left it four engines,
/// it took each of them for 8.5 s; the next crowd of short prompts found them taken, and 130 callers
/// left in two seconds. So it waits until its parts are short, or the engines are nearly all open.
fn least_engines(w: &PlacementWeights, read: Duration, all: usize) -> usize {
    let parts = (read.as_secs_f64() * 1e3 / w.most_ms).ceil();
    parts.min((all as f64 * w.most_share).floor()).min(MOST_ENGINES as f64) as usize
}

/// How many of these engines may read one prompt.
fn most_engines(engines: usize) -> u32 {
    u32::try_from(engines.clamp(1, MOST_ENGINES)).unwrap_or(1)
}

/// Whether one engine has the memory and the time to read a prompt behind all else.
fn one_can_read(
    view: View<'_>,
    profile: &EngineProfile,
    reading: &[&Endpoint],
    waiting: &Waiting,
) -> bool {
    let read_ms = waiting.read.as_secs_f64() * 1e3;
    let in_time = read_ms <= view.weights.behind_ms && view.now + waiting.read < waiting.until;
    let can = |e: &&Endpoint| {
        let load = view.load.of(&e.id);
        !load.has_whole() && room(profile, load) >= waiting.memory_tokens
    };
    in_time && reading.iter().any(can)
}

/// Whether the prompt `id`, which waits, may be sent. `unused` is how long it has been passed over.
pub fn turn(
    view: View<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    id: WorkId,
    unused: Duration,
) -> Turn {
    if view.starting {
        return Turn::In(STARTING_LOOK);
    }
    let reading = reading_engines(view, profile, candidates);
    let engines = reading.len();
    let (w, now) = (view.weights, view.now);
    let free = Duration::from_secs_f64(w.free_ms / 1e3);
    let mut backlogs: Vec<Duration> =
        reading.iter().map(|e| view.load.of(&e.id).parts_backlog().saturating_sub(free)).collect();
    backlogs.sort();
    let backlog = backlogs.iter().sum::<Duration>() / u32::try_from(engines.max(1)).unwrap_or(1);
    let Some((_, own)) = view.load.waiting().find(|(other, _)| *other == id) else {
        return Turn::Now;
    };
    if now + own.read / most_engines(engines) > own.until {
        return Turn::TooLate;
    }
    let mut ahead = 0;
    for q in order(view, &own.service, engines, backlog) {
        if q.id != id {
            ahead += wanted(w, q.waiting.read, engines);
            continue;
        }
        if q.late && one_can_read(view, profile, &reading, own) {
            return Turn::Behind;
        }
        break;
    }
    if engines < least_engines(w, own.read, candidates.len()) {
        return Turn::In(own.read);
    }
    let own_wanted = wanted(w, own.read, engines);
    let in_order = backlogs.get(own_wanted + ahead - 1);
    match backlogs.get(own_wanted - 1) {
        None => Turn::Now,
        Some(own) if !own.is_zero() => Turn::In(*own),
        Some(_) if in_order.is_some_and(Duration::is_zero) || unused >= UNUSED => Turn::Now,
        Some(_) => Turn::PassedOver,
    }
}

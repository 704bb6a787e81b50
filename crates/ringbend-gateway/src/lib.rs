//! Decisions of the opaque path: requests and answers whose bodies are passed through unread.
//!
//! Routes by host and path, keys to accounts, endpoints from a watched list, placement on engines
//! and services, repeats within a shared budget, and the age of everything that decides. No I/O, no
//! clock and no thread: the driver passes the time in.

mod attempts;
mod backoffs;
mod budget;
mod candidate;
mod choice;
mod deferral;
mod directory;
mod drains;
mod engine;
mod events;
mod freshness;
mod gate;
mod job;
mod limits;
mod load;
mod outbox;
mod pace;
mod pause;
mod peers;
mod places;
mod quarantine;
mod quiet;
mod reader;
mod replica;
mod reservation;
mod schedulers;
mod second_run;
mod signals;
mod snapshot;
mod suspect_work;
mod trust;
mod turns;
mod view;
mod waiting;
mod weights;

pub use attempts::{Attempts, Next, SendEnd};
pub use backoffs::{BackoffState, Backoffs};
pub use budget::{BudgetBounds, RepeatBudget};
pub use choice::{Demand, Placement, Wish, is_long, place_on_engines, place_on_service, stake};
pub use directory::{Directory, Ended, Endpoint, EndpointChange, RETURN_TIME};
pub use drains::{Drain, Drains};
pub use engine::EngineProfile;
pub use events::{Event, EventCutter, EventId, EventTooLong};
pub use freshness::{Freshness, Proof};
pub use gate::{Admitted, Arrival, Denied, GateBounds, admit};
pub use job::Job;
pub use limits::{BadLimit, HeardLimit, LimitWord, Limits, NamedLimit, WordIn};
pub use load::{EndpointLoad, Held, LoadBook, Reader, Work, WorkId, Writer};
pub use outbox::Outbox;
pub use pace::{ASK_LIMITED_AGAIN, Pace, PaceAsks, overdue_after};
pub use pause::{LONGEST_REST, Pauses, asking_factor};
pub use peers::{Arbiter, HEARTBEAT, Heard, Holds, Part, Peers, SILENCE};
pub use places::{InLine, Places};
pub use quarantine::{EndedProcess, HELD_AT, Quarantine, SuspectState, Suspicion};
pub use reader::{MEMBER_READ_AGE_MS, READ_AGE_MS, Readers};
pub use replica::{Adopted, Replica};
pub use reservation::{HOLD, OrderAnswer, RENEW, Ticket, TicketId};
pub use schedulers::{Role, SCHEDULERS, Standing};
pub use second_run::second_run_at;
pub use signals::{Draining, EndpointSignals, MalformedSignal, Signal};
pub use snapshot::{
    Account, CallerLimits, ConfigVersion, Repeat, Route, RouteEntry, Service, Snapshot,
    SnapshotParts, Split,
};
pub use trust::{TrustBook, TrustEvent};
pub use turns::{Claim, Turn, turn};
pub use view::View;
pub use waiting::Waiting;
pub use weights::PlacementWeights;

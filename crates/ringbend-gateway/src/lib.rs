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

pub use attempts::{Attempts, NextStep, SendOutcome};
pub use backoffs::{BackoffState, Backoffs};
pub use budget::{RetryBudget, RetryBudgetBounds};
pub use choice::{
    Demand, Placement, PlacementGoal, is_long, place_on_engines, place_on_service, stake,
};
pub use directory::{Directory, EndedEndpoints, Endpoint, EndpointChange, OUTAGE_GRACE};
pub use drains::{Drain, Drains};
pub use engine::EngineProfile;
pub use events::{Event, EventId, EventSplitter, EventTooLong};
pub use freshness::{Freshness, Proof};
pub use gate::{AdmissionBounds, AdmissionRequest, Admitted, Denied, admit};
pub use job::Job;
pub use limits::{KnownLimit, LimitSignal, LimitSource, LimitUpdate, Limits, MalformedLimit};
pub use load::{DecodeTask, EndpointLoad, HelperMemory, LoadTracker, PrefillTask, Work, WorkId};
pub use outbox::Outbox;
pub use pace::{LIMITED_QUERY_INTERVAL, Pace, PaceQueries, overdue_after};
pub use pause::{MAX_SECONDARY_BACKOFF, StoreBackoff, fleet_backoff_factor};
pub use peers::{
    Arbiter, CopyVersions, HEARTBEAT_INTERVAL, PEER_TIMEOUT, PeerObservation, PeerStatus, Peers,
};
pub use places::{PermitWaiter, Permits};
pub use quarantine::{EndedProcess, Quarantine, STRIKES_TO_HOLD, SuspectState, Suspicion};
pub use reader::{MEMBER_READ_AGE_MS, READ_AGE_MS, StoreReaders};
pub use replica::{OfferResult, Replica};
pub use reservation::{
    RESERVATION_RENEWAL, RESERVATION_TTL, Reservation, ReservationId, ReservationReply,
};
pub use schedulers::{InstanceRank, Role, SCHEDULERS_PER_DATA_CENTRE};
pub use second_run::hedge_at;
pub use signals::{Draining, EndpointSignals, MalformedSignal, Signal};
pub use snapshot::{
    Account, CallerLimits, ConfigVersion, RepeatPolicy, Route, RouteEntry, Service, Snapshot,
    SnapshotParts, WeightedService,
};
pub use trust::{HealthEvent, HealthTracker};
pub use turns::{QueuedPrompt, Turn, decide_turn};
pub use view::FleetView;
pub use waiting::WaitingPrompt;
pub use weights::PlacementWeights;

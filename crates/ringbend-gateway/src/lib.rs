//! Routing and placement decisions for requests and responses whose bodies are forwarded unread.
//!
//! Covers routing by host and path, API keys and client accounts, the watched list of endpoints,
//! placement on engines and services, retries within a shared budget, and the age of the data
//! behind each decision. Does no I/O, reads no clock and starts no threads: the driver passes the
//! time in.

mod account_shares;
mod address_index;
mod admission;
mod attempts;
mod backoffs;
mod candidate;
mod carriers;
mod cold_endpoints;
mod cold_pacing;
mod copy_search;
mod deferral;
mod directory;
mod drains;
mod endpoint;
mod engine;
mod evacuations;
mod events;
mod fleet_view;
mod freshness;
mod health;
mod hedge;
mod job;
mod limits;
mod load;
mod membership;
mod outbox;
mod overload;
mod pace;
mod peers;
mod permits;
mod placement;
mod priorities;
mod quarantine;
mod quiet;
mod reachability;
mod regions;
mod replica;
mod reservation;
mod residual_load;
mod retry_budget;
mod schedulers;
mod send_order;
mod signals;
mod snapshot;
mod spread;
mod start_survey;
mod store_backoff;
mod store_outages;
mod store_pace;
mod store_readers;
mod suspect_work;
mod table_list;
mod turns;
mod waiting_prompt;
mod weights;

pub use account_shares::AccountShares;
pub use admission::{AdmissionBounds, AdmissionRequest, Admitted, Denied, admit};
pub use attempts::{Attempts, NextStep, SendOutcome};
pub use backoffs::{BackoffState, Backoffs};
pub use carriers::{Candidates, Carriers};
pub use cold_pacing::{ColdPacing, ColdProfile, ColdTolerance};
pub use copy_search::{CopySearch, CopySearchStep};
pub use directory::{Directory, EndedEndpoints, Endpoint, EndpointChange, OUTAGE_GRACE};
pub use drains::{Drain, Drains};
pub use engine::EngineProfile;
pub use evacuations::{EvacuationChange, Evacuations};
pub use events::{Event, EventId, EventSplitter, EventTooLong};
pub use fleet_view::FleetView;
pub use freshness::{Freshness, Proof};
pub use health::{HealthEvent, HealthTracker};
pub use hedge::hedge_at;
pub use job::Job;
pub use limits::{KnownLimit, LimitSignal, LimitSource, LimitUpdate, Limits, MalformedLimit};
pub use load::{DecodeTask, EndpointLoad, HelperMemory, LoadTracker, PrefillTask, Work, WorkId};
pub use membership::{
    Membership, MembershipStatus, RECOVERY_INTERVAL, RegisteredInstance, SplitChange,
};
pub use outbox::Outbox;
pub use overload::{
    Admission, Capacity, Decision, OverloadConfig, OverloadQueue, PlaceReason, WaitingRequest,
    begin_time, startable,
};
pub use pace::{LIMITED_QUERY_INTERVAL, Pace, PaceQueries, overdue_after};
pub use peers::{
    Arbiter, CopyVersions, HEARTBEAT_INTERVAL, PEER_TIMEOUT, PeerObservation, PeerStatus, Peers,
};
pub use permits::{PermitWaiter, Permits};
pub use placement::{
    Demand, MAX_TOKENS, Placement, PlacementGoal, is_long, place_on_engines, place_on_service,
    stake,
};
pub use priorities::{Priorities, Rank};
pub use quarantine::{
    Assessment, EndedProcess, MAX_SUSPECTS, Quarantine, STRIKES_TO_HOLD, SuspectState, Suspects,
    Suspicion,
};
pub use reachability::{PATH_CHECK_INTERVAL, Reachability};
pub use regions::{AllowedDataCentres, AllowedRegions, RegionMap};
pub use replica::{OfferResult, Replica};
pub use reservation::{
    RESERVATION_RENEWAL, RESERVATION_TTL, Reservation, ReservationId, ReservationReply,
};
pub use residual_load::{EngineUsage, ResidualLoad, UsageReport, fade_time};
pub use retry_budget::{RetryBudget, RetryBudgetBounds};
pub use schedulers::{InstanceRank, Role, SCHEDULERS_PER_DATA_CENTRE};
pub use signals::{Draining, EndpointSignals, MalformedSignal, Signal};
pub use snapshot::{
    Account, CallerLimits, ConfigVersion, RepeatPolicy, Route, RouteEntry, Service, Snapshot,
    SnapshotParts, WeightedService,
};
pub use spread::{SpreadOrder, SpreadSequence};
pub use start_survey::{StartSurvey, SurveyCounts};
pub use store_backoff::{MAX_SECONDARY_BACKOFF, StoreBackoff, fleet_backoff_factor};
pub use store_outages::{MIN_OUTAGE, OutageUpdate, StoreOutages};
pub use store_pace::{MAX_STORE_TIMEOUT, SLOW_CALL_INTERVAL, StorePace};
pub use store_readers::{StoreReaders, WatchedTable, read_age};
pub use table_list::{LIST_BOUNDS, ListBounds, ListError, ListPage, ListStep, TableList};
pub use turns::{QueuedPrompt, Turn, decide_turn};
pub use waiting_prompt::WaitingPrompt;
pub use weights::PlacementWeights;

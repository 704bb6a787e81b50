//! Measures the decision crates in virtual time: the policy before modelled engines, the sharing
//! of limits, and membership gossip. There is no network stack and no process model: events are
//! passed on after a latency, some are lost, and the same seed gives the same bytes.

mod compare;
mod gossip;
mod metrics;
mod plot;
mod policies;
mod scenario;
mod shares;
mod world;

pub use compare::{CompareConfig, CompareReport, PolicyReport, compare};
pub use gossip::{GossipConfig, GossipReport, measure_gossip};
pub use metrics::{BucketReport, RunReport};
pub use plot::{PlotError, plot};
pub use policies::{ParsePolicyError, PolicyKind};
pub use scenario::{Arrival, Fault, ParseScenarioError, Scenario, ScenarioName};
pub use shares::{ShareRun, ShareScenario, measure_shares};
pub use world::{CallerEnd, RequestRecord, World, WorldReport};

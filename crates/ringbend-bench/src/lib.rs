//! Discrete-event benchmarks of the decision crates: routing policies in front of modelled engines,
//! limit sharing, and membership gossip. They simulate time and model neither a network stack nor
//! processes: events are delivered after a latency, some are dropped, and the same seed gives a
//! byte-identical report.

mod compare;
mod gossip;
mod metrics;
mod plot;
mod policies;
mod routing;
mod scenario;
mod shares;

pub use compare::{CompareConfig, CompareReport, PolicyReport, compare};
pub use gossip::{GossipConfig, GossipReport, measure_gossip};
pub use metrics::{BucketReport, RunReport};
pub use plot::{PlotError, plot};
pub use policies::{ParsePolicyError, PolicyKind};
pub use routing::{CallerEnd, RequestRecord, RoutingReport, RoutingSimulation};
pub use scenario::{Arrival, Fault, ParseScenarioError, Scenario, ScenarioName};
pub use shares::{ShareRun, ShareScenario, measure_shares};

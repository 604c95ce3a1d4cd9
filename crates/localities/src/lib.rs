//! Zone failover: which zones a fleet evacuates and takes back into service, and the fraction of its traffic that each zone
//! gets. It owns the zone reports that replicas exchange, the rule by which a zone counts as lost, and the recovery ramp. It
//! reads no clock or socket and selects no server: the decision engine selects servers within the fractions.
//!
//! All results are functions of the members' newest reports: `report` encodes them, `evidence` counts what they say of a
//! zone, `verdict` orders verdicts, and `failover` applies all three over time. See `docs/zones-design.md` for the reasons.

#![warn(missing_docs)]

mod evidence;
mod failover;
mod report;
mod verdict;

pub use evidence::{Evidence, ObserverCounts};
pub use failover::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, ZoneFailover,
    ZoneStatus, ZoneTraffic,
};
pub use report::{MAX_REPORT_BYTES, ZoneHealth, ZoneObservation, ZoneReport, decode, encode, zone_id};
pub use verdict::{Verdict, ZoneStage, supersedes};

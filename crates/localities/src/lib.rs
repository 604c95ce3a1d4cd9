//! Zone failover: which zones a fleet evacuates and takes back into service, and the fraction of its traffic that each zone
//! gets. It owns what a copy reports of zones, the rule by which a zone counts as lost, and the recovery ramp. Nothing here
//! reads a clock or a socket, or selects a server: the decision engine selects within the fractions.
//!
//! Everything is a function of the members' newest reports: `report` has their bytes, `evidence` what they come to,
//! `verdict` the order of verdicts, and `failover` the course of time. `docs/zones-design.md` gives the reasons.

#![warn(missing_docs)]

mod evidence;
mod failover;
mod report;
mod verdict;

pub use evidence::{Evidence, Tally};
pub use failover::{
    FailoverConfig, Host, OperatorCommand, OwnObservation, PeerReport, RecoveryTimings, ZoneFailover,
    ZoneStatus, ZoneTraffic,
};
pub use report::{MAX_REPORT_BYTES, ZoneHealth, ZoneObservation, ZoneReport, decode, encode, zone_id};
pub use verdict::{Verdict, ZoneStage, supersedes};

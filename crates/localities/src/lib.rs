//! Which zones are left and taken back, by the fleet, and the share that each has. It owns what a copy says of zones, the
//! rule by which a zone is lost, and the steps by which it returns; it must never read a clock or a socket, nor pick a
//! server: the decisions draw within the shares that it hands them.
//!
//! Everything here is a function of what each member last said of itself: `words.rs` has its bytes, `rule.rs` what it comes
//! to, `localities.rs` the course of time. Why it is so stands in `docs/zones-design.md`.

mod evidence;
mod report;
mod verdict;
mod zone_failover;

pub use evidence::{Evidence, Tally};
pub use report::{MAX_REPORT_BYTES, ZoneHealth, ZoneObservation, ZoneReport, decode, encode, zone_id};
pub use verdict::{Verdict, ZoneStage, supersedes};
pub use zone_failover::{
    FailoverConfig, Host, OwnObservation, PeerReport, RecoveryTimings, ZoneFailover, ZoneStatus, ZoneTraffic,
};

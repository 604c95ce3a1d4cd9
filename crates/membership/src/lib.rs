//! Group membership: the detection of joins, failures and returns of replicas, and the messages that they exchange. The
//! protocol follows SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018);
//! `docs/fleet-design.md` describes the differences and their reasons. The crate reads no clock, socket or entropy source:
//! a host passes in the time, datagrams and a seed, so that the same code runs in the sidecar and in virtual time.

#![warn(missing_docs)]

mod budget;
mod digests;
mod fleet_size;
mod member;
mod member_table;
mod membership;
mod ordinals;
mod probes;
mod wire;

pub use budget::Budget;
pub use fleet_size::FleetSize;
pub use member::{Address, MAX_NAME_BYTES, Member, MemberState};
pub use membership::{Counters, Host, MemberConfig, Membership};
pub use wire::{MAGIC, MAX_MESSAGE_BYTES, MAX_PAYLOAD_BYTES, MessageError, as_newer_version, is_well_formed};

//! Group membership: which copies of a tier are alive, how they detect each other's joins, failures and returns, and the
//! messages that they exchange. Nothing here reads a clock, a socket or a source of randomness of its own: a host passes in
//! time, datagrams and a seed, so that the same code runs in the program and in virtual time.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018);
//! `docs/fleet-design.md` says where it departs from them, and why.

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

//! Who the copies of a tier are, now. It owns the view of the members, how they find out about each other's joins,
//! ends and returns, and the bytes that copies exchange; it must never read a clock, a socket or a seed of its own,
//! nor decide anything about a command.
//!
//! After SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018); where it departs from
//! them, and why, stands in `docs/fleet-design.md`.

mod budget;
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

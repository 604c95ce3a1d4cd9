//! Who the copies of a tier are, now. It owns the view of the members, how they find out about each other's joins,
//! ends and returns, and the bytes that copies exchange; it must never read a clock, a socket or a seed of its own,
//! nor decide anything about a command.
//!
//! After SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018); where it departs from
//! them, and why, stands in `docs/fleet-design.md`.

mod books;
mod budget;
mod counted;
mod membership;
mod places;
mod probes;
mod wire;
mod word;

pub use budget::Budget;
pub use counted::Counted;
pub use membership::{About, Host, Membership, Spent};
pub use wire::{MAGIC, MOST as MESSAGE_MOST, SAID_MOST, Unread, as_later, reads};
pub use word::{Address, Member, NAME_MOST, Standing};

//! Which zones are left and taken back, by the fleet, and the share that each has. It owns what a copy says of zones, the
//! rule by which a zone is lost, and the steps by which it returns; it must never read a clock or a socket, nor pick a
//! server: the decisions draw within the shares that it hands them.
//!
//! Everything here is a function of what each member last said of itself: `words.rs` has its bytes, `rule.rs` what it comes
//! to, `localities.rs` the course of time. Why it is so stands in `docs/zones-design.md`.

mod localities;
mod rule;
mod verdict;
mod words;

pub use localities::{About, Host, Localities, Own, Paces, Peer, Share, Standing};
pub use rule::{Evidence, Tally};
pub use verdict::{Stage, Verdict, newer};
pub use words::{Looks, MOST as WORD_MOST, Said, ZoneWord, read, write, zone_id};

//! What a membership does to the outside, and what it is told at its start.

use crate::budget::Budget;
use crate::member::{Address, Member};

/// What a membership does to the outside, and tells it.
pub trait Host {
    /// A datagram; it may be lost.
    fn send(&mut self, to: Address, bytes: &[u8]);
    fn joined(&mut self, _: &Member) {}
    /// Somebody did not reach it.
    fn suspected(&mut self, _: &Member) {}
    /// It was suspected, and has said that it is alive.
    fn refuted(&mut self, _: &Member) {}
    /// By agreement, or for this copy alone.
    fn died(&mut self, _: &Member, _agreed: bool) {}
    /// It was dead or had left, and is back.
    fn returned(&mut self, _: &Member) {}
    fn left(&mut self, _: &Member) {}
    /// Two members that are alive have one name.
    fn duplicate_name(&mut self, _: &Member, _: &Member) {}
    /// Others took this copy for dead, or its address for another's.
    fn presumed_dead(&mut self) {}
    /// Somebody can't be taken in: so many are known already.
    fn table_full(&mut self, _: usize) {}
}

/// What a copy says of itself at its start.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub address: Address,
    pub name: String,
    pub zone: String,
    /// Copies hear only those of their own fleet.
    pub fleet: String,
    /// The time of the process's start, as milliseconds since 1970.
    pub incarnation: u64,
    /// Where somebody of the fleet may be.
    pub seeds: Vec<Address>,
    pub budget: Budget,
    /// How many copies there are by configuration; it holds until membership has something to say.
    pub configured_members: f64,
}

/// What went out and what went for nothing, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub datagrams: u64,
    pub bytes: u64,
    /// Not sent, as the budget was spent.
    pub suppressed: u64,
    /// No messages, or of another fleet, or garbled.
    pub unrecognized: u64,
    /// Of a version that this one can't read.
    pub newer_version: u64,
}

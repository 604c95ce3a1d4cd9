//! The interface between the protocol and its host: configuration, the `Host` trait and counters.

use crate::budget::Budget;
use crate::member::{Address, Member};

/// Sends the protocol's datagrams and receives its events.
pub trait Host {
    /// Sends a datagram, which may be lost.
    fn send(&mut self, to: Address, bytes: &[u8]);
    /// Called when an unknown member joins.
    fn joined(&mut self, _member: &Member) {}
    /// Called when a member becomes suspect, as some member received no ack from it.
    fn suspected(&mut self, _member: &Member) {}
    /// Called when a suspect member refutes the suspicion.
    fn refuted(&mut self, _member: &Member) {}
    /// Called when a member is declared dead: by agreement of several members if `agreed`, otherwise by the local member
    /// alone.
    fn died(&mut self, _member: &Member, _agreed: bool) {}
    /// Called when a member that was dead or had left is alive again, or when another process took over its address.
    fn returned(&mut self, _member: &Member) {}
    /// Called when a member announces that it leaves.
    fn left(&mut self, _member: &Member) {}
    /// Called when a member joins under the name of another live member.
    fn duplicate_name(&mut self, _known: &Member, _joined: &Member) {}
    /// Called when other members declared the local one dead, or know a later incarnation at its address.
    fn presumed_dead(&mut self) {}
    /// Called when the member table is full, each time the number of rejected members reaches a power of two.
    fn table_full(&mut self, _rejected: usize) {}
}

/// Configuration of the local member and its fleet.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The address at which other members reach this one.
    pub address: Address,
    /// The member's name, as shown to operators.
    pub name: String,
    /// The zone in which the member runs.
    pub zone: String,
    /// The fleet's name; members accept messages only from members of the same fleet.
    pub fleet: String,
    /// The start time of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Addresses to contact in order to join the fleet; not all of them need to be members.
    pub seeds: Vec<Address>,
    /// The limits on what this member sends.
    pub budget: Budget,
    /// The configured fleet size, which applies until another member is seen.
    pub configured_members: f64,
}

/// Message counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The number of datagrams sent.
    pub datagrams: u64,
    /// The number of bytes in the datagrams sent.
    pub bytes: u64,
    /// The number of messages not sent because the send budget was exhausted.
    pub suppressed: u64,
    /// The number of datagrams received that were damaged, implausible, from another fleet, or not messages at all.
    pub unrecognized: u64,
    /// The number of messages received that require a newer protocol version.
    pub newer_version: u64,
}

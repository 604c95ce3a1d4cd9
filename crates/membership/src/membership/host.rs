//! The boundary of the protocol: its configuration, the host that it acts through, and its counters.

use crate::budget::Budget;
use crate::member::{Address, Member};

/// What the protocol acts through: it sends datagrams and reports events.
pub trait Host {
    /// Sends a datagram, which may be lost.
    fn send(&mut self, to: Address, bytes: &[u8]);
    /// A member joined.
    fn joined(&mut self, _member: &Member) {}
    /// Somebody got no ack from a member.
    fn suspected(&mut self, _member: &Member) {}
    /// A suspect member refuted the suspicion.
    fn refuted(&mut self, _member: &Member) {}
    /// A member died: by agreement of several members, or in the view of this one alone.
    fn died(&mut self, _member: &Member, _agreed: bool) {}
    /// A member that was dead or had left is alive, or another process took over its address.
    fn returned(&mut self, _member: &Member) {}
    /// A member left on its own.
    fn left(&mut self, _member: &Member) {}
    /// Two live members have the same name.
    fn duplicate_name(&mut self, _one: &Member, _other: &Member) {}
    /// Others declared this member dead, or know a later incarnation at its address.
    fn presumed_dead(&mut self) {}
    /// The member table is full: so many members have been rejected. Reported at each power of two.
    fn table_full(&mut self, _rejected: usize) {}
}

/// The local member and its fleet, as configured.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Where others reach this member.
    pub address: Address,
    /// The name that operators see.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Members exchange messages only within a fleet of the same name.
    pub fleet: String,
    /// The start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Addresses at which some member may be.
    pub seeds: Vec<Address>,
    /// What this member may send.
    pub budget: Budget,
    /// The configured size of the fleet, which holds until another member is heard.
    pub configured_members: f64,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes of the datagrams sent.
    pub bytes: u64,
    /// Messages not sent because the budget was spent.
    pub suppressed: u64,
    /// Datagrams received that were damaged, of another fleet, or no messages.
    pub unrecognized: u64,
    /// Messages received that require a newer protocol version.
    pub newer_version: u64,
}

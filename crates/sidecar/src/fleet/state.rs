//! The state of the fleet's thread, on which tasks of other threads operate.

use super::socket_host::SocketHost;
use super::zone_failover::FleetZones;
use landingspread_membership::Membership;
use std::time::Duration;

/// The membership, the zone failover and the counters of the fleet's thread.
pub(super) struct FleetState {
    pub membership: Membership<SocketHost>,
    /// `None` if zone failover is off.
    pub zones: Option<FleetZones>,
    pub received: ReceivedCounters,
}

/// Counters of received datagrams, including those that could not be decoded.
#[derive(Clone, Copy, Default)]
pub(super) struct ReceivedCounters {
    pub datagrams: u64,
    pub bytes: u64,
}

impl FleetState {
    /// Counts a datagram and passes it to the protocol.
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) {
        self.received.datagrams += 1;
        self.received.bytes += datagram.len() as u64;
        self.membership.receive(now, datagram);
    }
}

//! The state of the fleet's thread.

use super::socket_host::SocketHost;
use super::zone_failover::FleetZones;
use landingspread_membership::Membership;
use std::time::Duration;

/// All state of the fleet's thread.
pub(super) struct FleetState {
    pub membership: Membership<SocketHost>,
    /// `None` where zone failover is off.
    pub zones: Option<FleetZones>,
    pub received: ReceivedCounters,
}

/// Datagrams received, whether they could be decoded or not.
#[derive(Clone, Copy, Default)]
pub(super) struct ReceivedCounters {
    pub datagrams: u64,
    pub bytes: u64,
}

impl FleetState {
    /// Counts a datagram and hands it to the protocol.
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) {
        self.received.datagrams += 1;
        self.received.bytes += datagram.len() as u64;
        self.membership.receive(now, datagram);
    }
}

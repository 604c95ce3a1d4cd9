//! The membership protocol's host in this process.

use landingspread_membership::{Address, Host, Member};
use std::net::UdpSocket;

/// Sends the membership protocol's datagrams on a UDP socket and logs its events.
pub struct SocketHost {
    socket: Option<UdpSocket>,
}

impl SocketHost {
    /// Creates a host that sends on `socket`; without a socket it drops all datagrams.
    pub fn new(socket: Option<UdpSocket>) -> SocketHost {
        SocketHost { socket }
    }
}

impl Host for SocketHost {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        // The protocol tolerates loss, so a datagram that cannot be sent immediately is dropped.
        if let Some(socket) = &self.socket {
            let _ = socket.send_to(bytes, to);
        }
    }

    fn joined(&mut self, member: &Member) {
        let (address, zone, incarnation) = (member.address(), member.zone(), member.incarnation());
        tracing::info!(member = member.name(), %address, zone, incarnation, "fleet: member joined");
    }

    fn suspected(&mut self, member: &Member) {
        let address = member.address();
        tracing::info!(member = member.name(), %address, "fleet: member is suspect");
    }

    fn refuted(&mut self, member: &Member) {
        let (address, epoch) = (member.address(), member.affirmed_epoch());
        tracing::info!(member = member.name(), %address, epoch, "fleet: member refuted the suspicion");
    }

    fn died(&mut self, member: &Member, agreed: bool) {
        let address = member.address();
        tracing::warn!(member = member.name(), %address, zone = member.zone(), agreed, "fleet: member is dead");
    }

    fn returned(&mut self, member: &Member) {
        let (address, incarnation) = (member.address(), member.incarnation());
        tracing::info!(member = member.name(), %address, incarnation, "fleet: member returned");
    }

    fn left(&mut self, member: &Member) {
        let address = member.address();
        tracing::info!(member = member.name(), %address, "fleet: member left");
    }

    fn duplicate_name(&mut self, known: &Member, joined: &Member) {
        let (first, second) = (known.address(), joined.address());
        tracing::warn!(name = known.name(), %first, %second, "fleet: two members have the same name");
    }

    fn presumed_dead(&mut self) {
        tracing::warn!("fleet: other members considered this one dead");
    }

    fn table_full(&mut self, rejected: usize) {
        tracing::warn!(rejected, "fleet: the member table is full");
    }
}

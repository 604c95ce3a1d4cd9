//! The membership's host in this process: it sends on a UDP socket and logs events.

use landingspread_membership::{Address, Host, Member};
use std::net::UdpSocket;

/// Sends the membership's datagrams, and logs what becomes of the members.
pub struct SocketHost {
    socket: Option<UdpSocket>,
}

impl SocketHost {
    /// Without a socket nothing is sent.
    pub fn new(socket: Option<UdpSocket>) -> SocketHost {
        SocketHost { socket }
    }
}

impl Host for SocketHost {
    fn send(&mut self, to: Address, bytes: &[u8]) {
        // The protocol tolerates loss: what cannot be sent at once is dropped.
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

    fn duplicate_name(&mut self, one: &Member, other: &Member) {
        let (first, second) = (one.address(), other.address());
        tracing::warn!(name = one.name(), %first, %second, "fleet: two members have the same name");
    }

    fn presumed_dead(&mut self) {
        tracing::warn!("fleet: other members considered this one dead");
    }

    fn table_full(&mut self, rejected: usize) {
        tracing::warn!(rejected, "fleet: the member table is full");
    }
}

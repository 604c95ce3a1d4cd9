//! Peer messages: datagrams between the decision engines of a tier's replicas. Lost datagrams are not sent again. This
//! module owns the socket and does not interpret messages.

use super::owner::{Event, EventQueue};
use super::socket;
use async_channel::Sender;
use async_io::Async;
use landingspread_decisions::peer_messages::MAX_MESSAGE_BYTES as MAX_PEER_MESSAGE_BYTES;
use landingspread_membership::{MAGIC, MAX_MESSAGE_BYTES as MAX_FLEET_MESSAGE_BYTES};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Peer messages are dropped while this many events or more wait for the decision engine.
const MAX_QUEUED_EVENTS: usize = 256;

/// The socket for peer messages.
pub struct Peers {
    /// The addresses of all replicas by ordinal, this replica's included.
    addresses: Vec<SocketAddr>,
    ordinal: usize,
    socket: Async<UdpSocket>,
    dropped: Cell<u64>,
    /// Receives the fleet's datagrams that arrive on this socket; `None` where the fleet does not use it.
    fleet: Option<Sender<Vec<u8>>>,
}

impl Peers {
    /// Binds this replica's address; `None` where no peers are configured.
    pub fn bind(
        addresses: &[SocketAddr],
        ordinal: u32,
        fleet: Option<Sender<Vec<u8>>>,
    ) -> io::Result<Option<Rc<Peers>>> {
        let ordinal = ordinal as usize;
        let Some(own) = addresses.get(ordinal) else { return Ok(None) };
        let socket = Async::<UdpSocket>::bind(*own)?;
        let addresses = addresses.to_vec();
        Ok(Some(Rc::new(Peers { addresses, ordinal, socket, dropped: Cell::new(0), fleet })))
    }

    /// A second handle to the socket, through which the fleet sends.
    pub fn try_clone_socket(&self) -> io::Result<UdpSocket> {
        self.socket.get_ref().try_clone()
    }

    /// Sends a message to one peer, or to all peers if `peer` is `None`. A datagram that cannot be sent at once is
    /// dropped.
    pub fn send(&self, peer: Option<u32>, message: &[u8]) {
        for (number, address) in self.addresses.iter().enumerate() {
            let addressed = peer.is_none_or(|peer| peer as usize == number);
            if addressed && number != self.ordinal {
                let _ = self.socket.get_ref().send_to(message, *address);
            }
        }
    }

    /// Receives datagrams; never returns. Oversized datagrams and datagrams of unknown senders are dropped.
    pub async fn receive(self: Rc<Self>, queue: EventQueue) {
        let mut buffer = [0; MAX_FLEET_MESSAGE_BYTES + 1];
        loop {
            let Ok((length, from)) = socket::receive_from(&self.socket, &mut buffer).await else { continue };
            let datagram = &buffer[..length];
            match &self.fleet {
                // If the fleet's thread is behind, the datagram is dropped: the fleet tolerates lost datagrams.
                Some(fleet) if datagram.first() == Some(&MAGIC) => drop(fleet.try_send(datagram.to_vec())),
                _ => self.receive_message(datagram, from, &queue),
            }
        }
    }

    fn receive_message(&self, datagram: &[u8], from: SocketAddr, queue: &EventQueue) {
        let peer = self.addresses.iter().position(|address| *address == from);
        let acceptable = datagram.len() <= MAX_PEER_MESSAGE_BYTES && queue.waiting() < MAX_QUEUED_EVENTS;
        match peer {
            Some(peer) if acceptable => queue.push(Event::PeerMessage(peer as u32, datagram.into())),
            _ => self.count_dropped(from, datagram.len()),
        }
    }

    /// Counts a dropped datagram. Logs the count at powers of two only, so that a flood of datagrams does not flood the
    /// log.
    fn count_dropped(&self, from: SocketAddr, length: usize) {
        self.dropped.set(self.dropped.get() + 1);
        let dropped = self.dropped.get();
        if dropped.is_power_of_two() {
            tracing::warn!(dropped, %from, length, "peer datagrams dropped: unknown sender, too long, or queue full");
        }
    }
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;

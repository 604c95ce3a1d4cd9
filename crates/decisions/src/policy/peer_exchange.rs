//! What replicas tell each other: outcomes by server and class, idle connections that broke, and request rates. Messages
//! are unreliable; all decisions stand without them.

use super::Policy;
use crate::host::Host;
use crate::peer_messages::{self, IgnoredMessages, PeerMessageHandler};
use crate::state::server_set::Slot;
use std::time::Duration;

/// So many peers are told of this replica's request rate at a time.
const RATE_RECIPIENTS: usize = 4;

impl<H: Host> Policy<H> {
    /// A message came from a peer.
    pub fn peer_message_received(&mut self, now: Duration, _peer: u32, message: &[u8]) {
        self.now = now;
        let ignored = peer_messages::read(message, self);
        self.peers.ignored.add(ignored);
    }

    /// How much of what peers sent was in vain so far.
    pub fn ignored_messages(&self) -> IgnoredMessages {
        self.peers.ignored
    }

    /// Sends the events that were gathered to all peers, within the budget.
    pub(super) fn send_peer_messages(&mut self) {
        if let Some(message) = self.peers.take_message(self.settings.replicas) {
            self.host.send_to_peers(None, &message);
        }
    }

    /// Tells a few peers of this replica's request rate.
    pub(super) fn send_request_rate(&mut self) {
        let replicas = self.settings.replicas as u32;
        if !self.settings.capabilities.peer_messages || replicas <= 1 {
            return;
        }
        let message = peer_messages::request_rate_message(self.request_rate());
        for _ in 0..RATE_RECIPIENTS {
            let offset = 1 + (self.random.next() * f64::from(replicas - 1)) as u32;
            let peer = (self.settings.ordinal + offset) % replicas;
            self.host.send_to_peers(Some(peer), &message);
        }
    }

    /// A server answered a request of this class or failed it. Peers are told too, where they may: each replica alone
    /// sees too little of a class at a server.
    pub(super) fn report_class_outcome(&mut self, slot: Slot, class: usize, answered: bool) {
        if self.settings.capabilities.peer_messages {
            let server = self.servers[slot].short_name();
            self.peers.outbox.class_outcome(server, class, answered);
        }
        self.count_class_outcome(slot, class, answered);
    }
}

impl<H: Host> PeerMessageHandler for Policy<H> {
    fn idle_connection_broke(&mut self, idle: Duration) {
        self.idle_connections.count_break(self.now, idle);
    }

    fn class_outcome(&mut self, server: u32, class: usize, answered: bool) -> bool {
        let slot = self.servers.by_short_name(server);
        if let Some(slot) = slot {
            self.count_class_outcome(slot, class, answered);
        }
        slot.is_some()
    }

    fn peer_request_rate(&mut self, per_second: f64) {
        self.peers.take_rate(per_second);
    }
}

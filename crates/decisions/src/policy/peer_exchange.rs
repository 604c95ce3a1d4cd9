//! The exchange with peers: outcomes by server and class, broken idle connections, and request rates. Messages may be
//! lost; no decision depends on them.

use super::Policy;
use crate::host::Host;
use crate::peer_messages::{self, IgnoredMessages, PeerMessageHandler};
use crate::state::server_set::Slot;
use std::time::Duration;

/// Number of peers that receive this replica's request rate at a time.
const RATE_RECIPIENTS: usize = 4;

impl<H: Host> Policy<H> {
    /// Handles a message from a peer.
    pub fn peer_message_received(&mut self, now: Duration, _peer: u32, message: &[u8]) {
        self.now = now;
        let ignored = peer_messages::read(message, self);
        self.peers.ignored.add(ignored);
    }

    /// Counts of the messages and events from peers that were ignored since the start.
    pub fn ignored_messages(&self) -> IgnoredMessages {
        self.peers.ignored
    }

    /// Sends the collected events to all peers, within the budget for messages.
    pub(super) fn send_peer_messages(&mut self) {
        if let Some(message) = self.peers.take_message(self.settings.replicas) {
            self.host.send_to_peers(None, &message);
        }
    }

    /// Sends this replica's request rate to a few random peers.
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

    /// Counts an answer or a failure of this class, and shares it with the peers if allowed: one replica alone sees too
    /// few requests of a class at each server.
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
        self.peers.record_peer_rate(per_second);
    }
}

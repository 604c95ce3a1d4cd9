//! What this replica still has to tell its peers, what they told, and the budget for messages.

use crate::peer_messages::{IgnoredMessages, MAX_MESSAGE_BYTES, Outbox};
use crate::settings::Costs;

/// So many points of the goal may go into messages per request.
const MAX_COST_PER_REQUEST: f64 = 0.005;
/// The length that each message counts as at the least.
const MIN_COUNTED_BYTES: usize = 16;
/// The messages that are saved up at the most.
const MAX_SAVED_MESSAGES: f64 = 3.0;
/// How quickly the usual request rate follows what peers tell.
const USUAL_RATE_GAIN: f64 = 0.03;

/// The exchange with peers.
#[derive(Debug, Default)]
pub struct PeerExchange {
    /// Events that wait for the next message.
    pub outbox: Outbox,
    /// What peers sent in vain.
    pub ignored: IgnoredMessages,
    /// The request rate of the usual replica, per second, by what peers told.
    pub usual_rate: Option<f64>,
    /// What may still be sent, in full messages delivered to one peer.
    saved: f64,
}

impl PeerExchange {
    /// A request arrived.
    pub fn add_request(&mut self, costs: &Costs) {
        self.saved += MAX_COST_PER_REQUEST / costs.peer_message.max(MAX_COST_PER_REQUEST);
    }

    /// The message to all peers, if there is one and the budget allows it.
    pub fn take_message(&mut self, replicas: f64) -> Option<Vec<u8>> {
        let bytes = self.outbox.byte_len().max(MIN_COUNTED_BYTES);
        let cost = replicas * bytes as f64 / MAX_MESSAGE_BYTES as f64;
        self.saved = self.saved.min(MAX_SAVED_MESSAGES * cost);
        if self.saved < cost {
            return None;
        }
        let message = self.outbox.take()?;
        self.saved -= cost;
        Some(message)
    }

    /// A peer told its request rate.
    pub fn take_rate(&mut self, per_second: f64) {
        let usual = self.usual_rate.get_or_insert(per_second);
        *usual += USUAL_RATE_GAIN * (per_second - *usual);
    }
}

//! Events for the peers, the peers' request rates, and the budget for messages.

use crate::peer_messages::{IgnoredMessages, MAX_MESSAGE_BYTES, Outbox};
use crate::settings::Costs;

/// Maximum cost of messages per request, in points of the objective.
const MAX_COST_PER_REQUEST: f64 = 0.005;
/// Minimum length that a message counts as in the budget.
const MIN_COUNTED_BYTES: usize = 16;
/// Maximum budget that is saved, in messages to all peers.
const MAX_SAVED_MESSAGES: f64 = 3.0;
/// Weight of a peer's request rate in the moving average.
const MEAN_RATE_GAIN: f64 = 0.03;

/// The state of the exchange with the peers.
#[derive(Debug, Default)]
pub struct PeerExchange {
    /// Events for the next message.
    pub outbox: Outbox,
    /// Counts of messages and events from peers that were ignored.
    pub ignored: IgnoredMessages,
    /// Mean request rate of a replica, in requests per second, as reported by peers.
    pub mean_rate: Option<f64>,
    /// Budget that is left, in messages of full length to one peer.
    saved: f64,
}

impl PeerExchange {
    /// Adds the budget of a request that arrived.
    pub fn add_request(&mut self, costs: &Costs) {
        self.saved += MAX_COST_PER_REQUEST / costs.peer_message.max(MAX_COST_PER_REQUEST);
    }

    /// Takes the message to all peers, if there are events and the budget allows it.
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

    /// Adds a peer's request rate to the moving average.
    pub fn record_peer_rate(&mut self, per_second: f64) {
        let mean = self.mean_rate.get_or_insert(per_second);
        *mean += MEAN_RATE_GAIN * (per_second - *mean);
    }
}

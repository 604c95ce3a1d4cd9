//! What a fleet's membership says of the copies, taken in. It only notes figures: each part is reckoned from them when the
//! servers are next chosen.

use crate::host::{Host, ReplicaView};
use crate::policy::Policy;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// How many copies there are by now. What is configured holds until this is first called.
    pub fn replicas_changed(&mut self, now: Duration, copies: &ReplicaView) {
        self.now = now;
        let count = if copies.count.is_finite() { copies.count.max(1.0) } else { self.terms.replicas };
        self.terms.replicas = count;
        self.terms.max_live_replicas = copies.max_alive.max(count);
        self.terms.ordinal = copies.ordinal.unwrap_or(self.terms.ordinal);
        self.seen.usual_traffic = copies.mean_request_rate.or(self.seen.usual_traffic);
    }
}

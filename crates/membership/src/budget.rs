//! The send budget: a token bucket that limits the datagrams and bytes per second that a member sends, independently of
//! the fleet size. Part of the bucket is reserved for probes and acks.

use std::time::Duration;

/// The send rate limits of one member, which do not grow with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Maximum number of datagrams per second.
    pub datagrams_per_s: u32,
    /// Maximum number of bytes in these datagrams per second.
    pub bytes_per_s: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { datagrams_per_s: 150, bytes_per_s: 96 << 10 }
    }
}

/// The bucket's capacity, in seconds of the budget.
const BURST_SECONDS: f64 = 0.5;
/// The fraction of a full bucket reserved for probes and acks: a member that cannot send acks appears dead.
const PROBE_RESERVE_FRACTION: f64 = 0.3;

/// A token bucket for datagrams and bytes.
#[derive(Debug)]
pub struct SendBudget {
    limits: Budget,
    datagrams: f64,
    bytes: f64,
    refilled_at: Duration,
}

impl SendBudget {
    /// Creates a full bucket.
    pub fn new(limits: Budget, now: Duration) -> SendBudget {
        let (datagrams, bytes) = (f64::from(limits.datagrams_per_s), f64::from(limits.bytes_per_s));
        SendBudget {
            limits,
            datagrams: datagrams * BURST_SECONDS,
            bytes: bytes * BURST_SECONDS,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Duration) {
        let span = now.saturating_sub(self.refilled_at).as_secs_f64();
        let (datagrams, bytes) = (f64::from(self.limits.datagrams_per_s), f64::from(self.limits.bytes_per_s));
        self.datagrams = (self.datagrams + span * datagrams).min(datagrams * BURST_SECONDS);
        self.bytes = (self.bytes + span * bytes).min(bytes * BURST_SECONDS);
        self.refilled_at = now;
    }

    /// Takes the tokens for one datagram of `bytes`. Returns `false`, and takes none, if the budget does not allow it now.
    pub fn try_spend(&mut self, now: Duration, bytes: usize) -> bool {
        self.refill(now);
        let affordable = self.datagrams >= 1.0 && self.bytes >= bytes as f64;
        if affordable {
            self.datagrams -= 1.0;
            self.bytes -= bytes as f64;
        }
        affordable
    }

    /// The number of gossip bytes that may be sent without using the reserve for probes and acks.
    pub fn gossip_allowance(&mut self, now: Duration) -> usize {
        self.refill(now);
        let reserve = f64::from(self.limits.bytes_per_s) * BURST_SECONDS * PROBE_RESERVE_FRACTION;
        (self.bytes - reserve).max(0.0) as usize
    }

    /// Whether a datagram that is neither a probe nor an ack may be sent without using the reserve.
    pub fn can_spare_datagram(&mut self, now: Duration) -> bool {
        self.refill(now);
        let reserve = f64::from(self.limits.datagrams_per_s) * BURST_SECONDS * PROBE_RESERVE_FRACTION;
        self.datagrams - 1.0 >= reserve
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;

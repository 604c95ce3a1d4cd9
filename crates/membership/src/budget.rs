//! The send budget: how many datagrams and bytes a second a member may send, whatever the size of the fleet. A token
//! bucket, part of which is reserved for probes and acks.

use std::time::Duration;

/// What one member may send. It does not grow with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Datagrams a second.
    pub datagrams_per_s: u32,
    /// Bytes of datagrams a second.
    pub bytes_per_s: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { datagrams_per_s: 150, bytes_per_s: 96 << 10 }
    }
}

/// The bucket holds the budget of so many seconds.
const BURST_SECONDS: f64 = 0.5;
/// The part of a full bucket that gossip must leave to probes and acks: a member that cannot ack looks dead.
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
    /// A full bucket.
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

    /// Takes what one datagram of so many bytes costs; `false` where it must not be sent now.
    pub fn try_spend(&mut self, now: Duration, bytes: usize) -> bool {
        self.refill(now);
        let affordable = self.datagrams >= 1.0 && self.bytes >= bytes as f64;
        if affordable {
            self.datagrams -= 1.0;
            self.bytes -= bytes as f64;
        }
        affordable
    }

    /// How many bytes of gossip may be sent without touching the reserve for probes and acks.
    pub fn gossip_allowance(&mut self, now: Duration) -> usize {
        self.refill(now);
        let reserve = f64::from(self.limits.bytes_per_s) * BURST_SECONDS * PROBE_RESERVE_FRACTION;
        (self.bytes - reserve).max(0.0) as usize
    }

    /// Whether a datagram may be sent that is neither a probe nor an ack.
    pub fn can_spare_datagram(&mut self, now: Duration) -> bool {
        self.refill(now);
        let reserve = f64::from(self.limits.datagrams_per_s) * BURST_SECONDS * PROBE_RESERVE_FRACTION;
        self.datagrams - 1.0 >= reserve
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;

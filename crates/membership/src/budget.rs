//! How much a copy may send: so many datagrams and bytes a second, whatever the size of the fleet.

use std::time::Duration;

/// What one copy may send. It does not grow with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    pub datagrams_per_s: u32,
    pub bytes_per_s: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { datagrams_per_s: 150, bytes_per_s: 96 << 10 }
    }
}

/// So much of a second may be saved up.
const BURST_SECONDS: f64 = 0.5;
/// News leave this part to probes and their answers.
const PROBE_RESERVE_FRACTION: f64 = 0.3;

#[derive(Debug)]
pub struct SendBudget {
    limits: Budget,
    datagrams: f64,
    bytes: f64,
    at: Duration,
}

impl SendBudget {
    pub fn new(limits: Budget, now: Duration) -> SendBudget {
        let (datagrams, bytes) = (f64::from(limits.datagrams_per_s), f64::from(limits.bytes_per_s));
        SendBudget { limits, datagrams: datagrams * BURST_SECONDS, bytes: bytes * BURST_SECONDS, at: now }
    }

    fn refill(&mut self, now: Duration) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        let (datagrams, bytes) = (f64::from(self.limits.datagrams_per_s), f64::from(self.limits.bytes_per_s));
        self.datagrams = (self.datagrams + span * datagrams).min(datagrams * BURST_SECONDS);
        self.bytes = (self.bytes + span * bytes).min(bytes * BURST_SECONDS);
        self.at = now;
    }

    /// Pays for a message of so many bytes, or says that it can't be sent now.
    pub fn try_spend(&mut self, now: Duration, bytes: usize) -> bool {
        self.refill(now);
        let may = self.datagrams >= 1.0 && self.bytes >= bytes as f64;
        if may {
            (self.datagrams, self.bytes) = (self.datagrams - 1.0, self.bytes - bytes as f64);
        }
        may
    }

    /// How many bytes may go into news: what is kept for probes and their answers is not among them.
    pub fn gossip_allowance(&mut self, now: Duration) -> usize {
        self.refill(now);
        (self.bytes - f64::from(self.limits.bytes_per_s) * BURST_SECONDS * PROBE_RESERVE_FRACTION).max(0.0)
            as usize
    }

    /// Whether a datagram may go that is neither a probe nor an answer to one.
    pub fn can_spare_datagram(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.datagrams - 1.0
            >= f64::from(self.limits.datagrams_per_s) * BURST_SECONDS * PROBE_RESERVE_FRACTION
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn news_leave_their_part_to_probes_and_all_stays_within_the_budget() {
        let limits = Budget { datagrams_per_s: 20, bytes_per_s: 4000 };
        let mut send_budget = SendBudget::new(limits, Duration::ZERO);
        while send_budget.can_spare_datagram(Duration::ZERO)
            && send_budget.gossip_allowance(Duration::ZERO) >= 200
        {
            assert!(send_budget.try_spend(Duration::ZERO, 200));
        }
        assert!(send_budget.try_spend(Duration::ZERO, 100), "a probe still goes");
        let (mut sent, mut bytes) = (0, 0);
        for at in 0..10_000 {
            if send_budget.try_spend(Duration::from_millis(at), 100) {
                (sent, bytes) = (sent + 1, bytes + 100);
            }
        }
        assert!(sent <= 20 * 10 + 10 && bytes <= 4000 * 10 + 2000, "{sent} {bytes}");
        assert!(sent >= 190);
    }
}

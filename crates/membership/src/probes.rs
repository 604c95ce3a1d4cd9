//! Probes in flight: whom this member has asked for an ack, when it asks again, asks others to probe too (SWIM's indirect
//! probe), and gives up. It sends through a `ProbeSender` and decides nothing about the members.

use crate::member::Address;
use std::time::Duration;

/// Past this number the oldest probe is dropped without a result.
const MAX_PENDING_PROBES: usize = 64;
/// A ping without an ack is sent again this often.
const PROBE_RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Others are asked to probe after this time without an ack.
const INDIRECT_PROBE_DELAY: Duration = Duration::from_millis(100);
/// A probe has failed after this time without an ack.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Round trips up to this need no longer timeouts.
const FAST_ROUND_TRIP: Duration = Duration::from_millis(80);
/// By how much slow round trips extend the timeouts at most.
const MAX_LATENCY_FACTOR: u32 = 4;

/// Who asked this member for an indirect probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The member that gets the ack or nack.
    pub address: Address,
    /// The number of its own probe.
    pub probe_number: u32,
}

/// One probe in flight.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The member that should ack.
    pub target: Address,
    /// This member's number of the probe.
    pub number: u32,
    started_at: Duration,
    resend_at: Duration,
    indirect_sent: bool,
    /// On whose behalf, for an indirect probe.
    pub requester: Option<Requester>,
}

/// All probes in flight.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    pending: Vec<Probe>,
    last_number: u32,
    /// A moving average of the time from the first ping to the ack.
    round_trip: Duration,
}

/// Sends the messages of probes.
pub trait ProbeSender {
    /// Sends a ping to the target.
    fn send_ping(&mut self, target: Address, number: u32);
    /// Asks others to probe the target.
    fn send_indirect(&mut self, target: Address, number: u32);
}

impl ProbeTracker {
    /// The number of a new probe; `None` where one of the same target and requester is in flight.
    pub fn start(&mut self, target: Address, now: Duration, requester: Option<Requester>) -> Option<u32> {
        let duplicate = |probe: &Probe| probe.target == target && probe.requester == requester;
        if self.pending.iter().any(duplicate) {
            return None;
        }
        if self.pending.len() >= MAX_PENDING_PROBES {
            self.pending.remove(0);
        }
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        let resend_at = now + PROBE_RESEND_INTERVAL;
        self.pending.push(Probe {
            target,
            number,
            started_at: now,
            resend_at,
            indirect_sent: false,
            requester,
        });
        Some(number)
    }

    /// Ends the probe that this ack belongs to, if there is one.
    pub fn acknowledge(&mut self, number: u32, target: Address, now: Duration) -> Option<Probe> {
        let matches = |probe: &Probe| probe.number == number && probe.target == target;
        let index = self.pending.iter().position(matches)?;
        let probe = self.pending.remove(index);
        self.round_trip = (self.round_trip * 7 + now.saturating_sub(probe.started_at)) / 8;
        Some(probe)
    }

    /// By how much timeouts are to be extended on slow paths: acks of indirect probes take two round trips.
    pub fn latency_factor(&self) -> u32 {
        ((self.round_trip.as_millis() / FAST_ROUND_TRIP.as_millis()) as u32).min(MAX_LATENCY_FACTOR)
    }

    /// Sends pings again and asks others to probe, where that is due. `timeout_factor` multiplies the delay of indirect probes.
    pub fn send_due(&mut self, now: Duration, timeout_factor: u32, sender: &mut impl ProbeSender) {
        for probe in &mut self.pending {
            if probe.resend_at <= now {
                probe.resend_at = now + PROBE_RESEND_INTERVAL;
                sender.send_ping(probe.target, probe.number);
            }
            let indirect_at = probe.started_at + INDIRECT_PROBE_DELAY * timeout_factor;
            let due = probe.requester.is_none() && indirect_at <= now;
            if due && !std::mem::replace(&mut probe.indirect_sent, true) {
                sender.send_indirect(probe.target, probe.number);
            }
        }
    }

    /// Removes the probes that have failed. `timeout_factor` multiplies the timeout.
    pub fn take_expired(&mut self, now: Duration, timeout_factor: u32) -> Vec<Probe> {
        let expired = |probe: &Probe| probe.started_at + PROBE_TIMEOUT * timeout_factor <= now;
        let (failed, pending) = std::mem::take(&mut self.pending).into_iter().partition(expired);
        self.pending = pending;
        failed
    }

    /// Extends probes that were started by `before` by the time for which this process was paused: acks may have come
    /// meanwhile without being read.
    pub fn exclude_pause(&mut self, before: Duration, pause: Duration) {
        for probe in self.pending.iter_mut().filter(|probe| probe.started_at <= before) {
            probe.started_at += pause;
            probe.resend_at += pause;
        }
    }
}

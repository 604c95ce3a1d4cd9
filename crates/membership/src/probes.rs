//! Probes in flight: when a ping is sent again, when indirect probes are requested (SWIM's ping-req), and when a probe has
//! failed. Messages are sent through a `ProbeSender`; the caller decides what a failed probe means for the member.

use crate::member::Address;
use std::time::Duration;

/// Maximum number of probes in flight; starting another one drops the oldest without a result.
const MAX_PENDING_PROBES: usize = 64;
/// How often a ping without an ack is sent again.
const PROBE_RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// The time without an ack after which other members are asked for indirect probes.
const INDIRECT_PROBE_DELAY: Duration = Duration::from_millis(100);
/// The time without an ack after which a probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Average round-trip times below this do not extend timeouts; each multiple of it adds 1 to the timeout factor.
const FAST_ROUND_TRIP: Duration = Duration::from_millis(80);
/// Maximum that slow round trips add to the timeout factor.
const MAX_LATENCY_FACTOR: u32 = 4;

/// The member that asked this one for an indirect probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The requester's address, to which the ack or nack is sent.
    pub address: Address,
    /// The requester's number of the probe.
    pub probe_number: u32,
}

/// A probe in flight.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The member that should ack.
    pub target: Address,
    /// This member's number of the probe.
    pub number: u32,
    started_at: Duration,
    resend_at: Duration,
    indirect_sent: bool,
    /// For an indirect probe, the member that asked for it.
    pub requester: Option<Requester>,
}

/// The probes in flight, and the average round-trip time.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    pending: Vec<Probe>,
    last_number: u32,
    /// A moving average of the time from the first ping to the ack.
    round_trip: Duration,
}

/// Sends pings and requests for indirect probes.
pub trait ProbeSender {
    /// Sends a ping of probe `number` to the target.
    fn send_ping(&mut self, target: Address, number: u32);
    /// Asks other members to probe the target for probe `number`.
    fn send_indirect(&mut self, target: Address, number: u32);
}

impl ProbeTracker {
    /// Starts a probe and returns its number; `None` if a probe of the same target for the same requester is in flight.
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

    /// Ends and returns the probe that this ack belongs to, if it is still in flight.
    pub fn acknowledge(&mut self, number: u32, target: Address, now: Duration) -> Option<Probe> {
        let matches = |probe: &Probe| probe.number == number && probe.target == target;
        let index = self.pending.iter().position(matches)?;
        let probe = self.pending.remove(index);
        self.round_trip = (self.round_trip * 7 + now.saturating_sub(probe.started_at)) / 8;
        Some(probe)
    }

    /// The amount that slow round trips add to the timeout factor, as the ack of an indirect probe takes two round trips.
    pub fn latency_factor(&self) -> u32 {
        ((self.round_trip.as_millis() / FAST_ROUND_TRIP.as_millis()) as u32).min(MAX_LATENCY_FACTOR)
    }

    /// Sends due pings again and requests due indirect probes. `timeout_factor` multiplies the delay of indirect probes.
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

    /// Removes and returns the probes that have failed. `timeout_factor` multiplies the timeout.
    pub fn take_expired(&mut self, now: Duration, timeout_factor: u32) -> Vec<Probe> {
        let expired = |probe: &Probe| probe.started_at + PROBE_TIMEOUT * timeout_factor <= now;
        let (failed, pending) = std::mem::take(&mut self.pending).into_iter().partition(expired);
        self.pending = pending;
        failed
    }

    /// Shifts probes started up to `before` by `pause`, during which this process did not run: acks may have arrived that
    /// were not read yet.
    pub fn exclude_pause(&mut self, before: Duration, pause: Duration) {
        for probe in self.pending.iter_mut().filter(|probe| probe.started_at <= before) {
            probe.started_at += pause;
            probe.resend_at += pause;
        }
    }
}

//! Who has been asked whether they are there, and by when they should have answered. It owns the times of a probe; it
//! must never send anything.

use crate::member::Address;
use std::time::Duration;

/// Probes under way at most; past that the oldest is given up unheard.
const MAX_PENDING_PROBES: usize = 64;
/// A probe is said again this often.
const PROBE_RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Others are asked after this time, and all is given up after that.
const INDIRECT_PROBE_DELAY: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Answers that take less than this are no reason for patience.
const FAST_ROUND_TRIP: Duration = Duration::from_millis(80);
const MAX_LATENCY_FACTOR: u32 = 4;

#[derive(Clone, Debug)]
pub struct Probe {
    pub target: Address,
    pub number: u32,
    started_at: Duration,
    resend_at: Duration,
    /// Whether others have been asked to look too.
    indirect_sent: bool,
    /// On whose behalf, and under which of its numbers.
    pub requester: Option<(Address, u32)>,
}

#[derive(Debug, Default)]
pub struct ProbeTracker {
    pending: Vec<Probe>,
    last_number: u32,
    /// From a first asking to its answer, of late.
    round_trip: Duration,
}

/// What is to be done for probes now, one method for each.
pub trait ProbeSender {
    fn send_ping(&mut self, target: Address, number: u32);
    fn send_indirect(&mut self, target: Address, number: u32);
}

impl ProbeTracker {
    /// The number of a new probe; none where one of that target is under way already.
    pub fn start(
        &mut self,
        target: Address,
        now: Duration,
        requester: Option<(Address, u32)>,
    ) -> Option<u32> {
        let twice = |probe: &Probe| probe.target == target && probe.requester == requester;
        if self.pending.iter().any(twice) {
            return None;
        }
        if self.pending.len() >= MAX_PENDING_PROBES {
            self.pending.remove(0);
        }
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.pending.push(Probe {
            target,
            number,
            started_at: now,
            resend_at: now + PROBE_RESEND_INTERVAL,
            indirect_sent: false,
            requester,
        });
        Some(number)
    }

    /// The probe that this answers, which is over by it.
    pub fn acknowledge(&mut self, number: u32, target: Address, now: Duration) -> Option<Probe> {
        let mine = |probe: &Probe| probe.number == number && probe.target == target;
        let at = self.pending.iter().position(mine)?;
        let probe = self.pending.remove(at);
        self.round_trip = (self.round_trip * 7 + now.saturating_sub(probe.started_at)) / 8;
        Some(probe)
    }

    /// How many times as patient to be as on paths that take no time: others' answers come by two of them.
    pub fn latency_factor(&self) -> u32 {
        ((self.round_trip.as_millis() / FAST_ROUND_TRIP.as_millis()) as u32).min(MAX_LATENCY_FACTOR)
    }

    /// Says again what was not answered yet. A copy in doubt of itself is more patient.
    pub fn send_due(&mut self, now: Duration, patience: u32, prober: &mut impl ProbeSender) {
        for probe in &mut self.pending {
            if probe.resend_at <= now {
                probe.resend_at = now + PROBE_RESEND_INTERVAL;
                prober.send_ping(probe.target, probe.number);
            }
            let ask_at = probe.started_at + INDIRECT_PROBE_DELAY * patience;
            if probe.requester.is_none()
                && ask_at <= now
                && !std::mem::replace(&mut probe.indirect_sent, true)
            {
                prober.send_indirect(probe.target, probe.number);
            }
        }
    }

    /// Those that nobody has answered in time.
    pub fn take_expired(&mut self, now: Duration, patience: u32) -> Vec<Probe> {
        let late = |probe: &Probe| probe.started_at + PROBE_TIMEOUT * patience <= now;
        let (over, on) = std::mem::take(&mut self.pending).into_iter().partition(late);
        self.pending = on;
        over
    }

    /// Time in which this copy was held up counts against nobody who was asked before.
    pub fn exclude_pause(&mut self, before: Duration, pause: Duration) {
        for probe in self.pending.iter_mut().filter(|probe| probe.started_at <= before) {
            (probe.started_at, probe.resend_at) = (probe.started_at + pause, probe.resend_at + pause);
        }
    }
}

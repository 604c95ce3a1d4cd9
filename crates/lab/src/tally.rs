//! What a run is measured by: final answers, utility, latencies, marks and loads, second by second.

use crate::referee::FinalOutcome;
use hdrhistogram::Histogram;
use landingspread_decisions::host::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Servers whose load is kept one by one; the rest is in the mean.
const SERVERS_MOST: usize = 48;
const MARKS_MOST: usize = 2_000;

/// One second of a run. Utility is counted when a command first comes, what it earns when it is answered.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Second {
    pub offered: f64,
    pub earned: f64,
    #[serde(rename = "came")]
    pub arrived: u32,
    pub answered: u32,
    pub declined: u32,
    pub terminated: u32,
    pub left: u32,
    pub lost: u32,
    /// Milliseconds; half and 99 of 100 were answered as quickly.
    pub p50: f64,
    pub p99: f64,
    /// Mean commands in a server for each of its cores.
    pub load: f64,
    /// The same for single servers, in order of their numbers.
    pub loads: Vec<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct EjectionNote {
    pub at: f64,
    #[serde(rename = "copy")]
    pub replica: usize,
    /// The copy's own words: `mark s3`, `return s3`.
    #[serde(rename = "note")]
    pub text: String,
}

/// Relays to one tier, of commands that came to the first tier past the settling time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct TierAttempts {
    /// First relays: one for each call that was sent on at all.
    pub first: u64,
    /// Further ones, by how the one before ended: it never ran.
    pub after_never_ran: u64,
    /// It failed or broke, or there was no answer by its time.
    pub after_failed: u64,
    /// The copy itself called it off.
    pub after_cancelled: u64,
}

impl TierAttempts {
    pub fn total(&self) -> u64 {
        self.first + self.after_never_ran + self.after_failed + self.after_cancelled
    }
}

/// What a run came to, without the settling time at its start.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Totals {
    /// Earned utility as a share of the offered.
    #[serde(rename = "kept")]
    pub utility_fraction: f64,
    #[serde(rename = "came")]
    pub arrived: u64,
    pub answered: u64,
    #[serde(rename = "in_goal")]
    pub within_objective: u64,
    pub declined: u64,
    pub terminated: u64,
    pub left: u64,
    pub lost: u64,
    #[serde(rename = "relays")]
    pub attempts: u64,
    /// Relays for each command.
    #[serde(rename = "relays_each")]
    pub attempts_per_request: f64,
    /// Milliseconds from a command's coming to its answer.
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    /// Commands that clients had no copy for, or the world no room.
    #[serde(rename = "unheard")]
    pub not_accepted: u64,
    /// Relays to servers that could not be reached, and when the last of them was sent, in seconds since the start.
    #[serde(default)]
    #[serde(rename = "vain")]
    pub unreachable_attempts: u64,
    #[serde(default)]
    #[serde(rename = "vain_last")]
    pub last_unreachable_at: f64,
    pub tenants: Vec<f64>,
    /// In order of the tiers.
    #[serde(default)]
    pub tiers: Vec<TierAttempts>,
}

impl Totals {
    /// Relays to the last tier over the commands that clients wanted: 1 where nothing is repeated or given up.
    pub fn attempt_amplification(&self) -> f64 {
        self.tiers.last().map_or(0, TierAttempts::total) as f64 / self.arrived.max(1) as f64
    }
}

fn histogram() -> Histogram<u64> {
    // Microseconds up to an hour; two digits are what a plot shows.
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("bounds and digits are within what it takes")
}

pub struct Statistics {
    settle: Duration,
    seconds: Vec<Second>,
    within: Histogram<u64>,
    all: Histogram<u64>,
    totals: Totals,
    offered: f64,
    earned: f64,
    by_tenant: Vec<(f64, f64)>,
    marks: Vec<EjectionNote>,
    filled: usize,
}

fn ms(histogram: &Histogram<u64>, share: f64) -> f64 {
    histogram.value_at_quantile(share) as f64 / 1000.0
}

impl Statistics {
    pub fn new(settle: Duration, tenants: usize, tiers: usize) -> Statistics {
        Statistics {
            settle,
            seconds: Vec::new(),
            within: histogram(),
            all: histogram(),
            totals: Totals { tiers: vec![TierAttempts::default(); tiers], ..Totals::default() },
            offered: 0.0,
            earned: 0.0,
            by_tenant: vec![(0.0, 0.0); tenants],
            marks: Vec::new(),
            filled: 0,
        }
    }

    fn second(&mut self, now: Duration) -> &mut Second {
        let at = now.as_secs() as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        &mut self.seconds[at]
    }

    /// `counted` is whether its first coming lies past the settling time.
    pub fn record_arrival(&mut self, now: Duration, utility: f64, tenant: usize) {
        let second = self.second(now);
        second.offered += utility;
        second.arrived += 1;
        if now >= self.settle {
            self.totals.arrived += 1;
            self.offered += utility;
            self.by_tenant[tenant].0 += utility;
        }
    }

    pub fn record_utility(&mut self, now: Duration, since: Duration, utility: f64, tenant: usize) {
        self.second(now).earned += utility;
        if since >= self.settle {
            self.earned += utility;
            self.totals.within_objective += u64::from(utility > 0.0);
            self.by_tenant[tenant].1 += utility;
        }
    }

    pub fn record_final_outcome(&mut self, now: Duration, since: Duration, word: FinalOutcome) {
        let counted = u64::from(since >= self.settle);
        let second = self.second(now);
        let of_second = match word {
            FinalOutcome::Answered => &mut second.answered,
            FinalOutcome::Declined => &mut second.declined,
            FinalOutcome::Terminated => &mut second.terminated,
            FinalOutcome::Left => &mut second.left,
            FinalOutcome::Lost => &mut second.lost,
        };
        *of_second += 1;
        let of_all = match word {
            FinalOutcome::Answered => &mut self.totals.answered,
            FinalOutcome::Declined => &mut self.totals.declined,
            FinalOutcome::Terminated => &mut self.totals.terminated,
            FinalOutcome::Left => &mut self.totals.left,
            FinalOutcome::Lost => &mut self.totals.lost,
        };
        *of_all += counted;
        if word == FinalOutcome::Answered {
            let took = now.saturating_sub(since).as_micros() as u64;
            self.within.saturating_record(took.max(1));
            if counted > 0 {
                self.all.saturating_record(took.max(1));
            }
        }
    }

    /// `vain`: its server can't be reached from there.
    pub fn record_attempt(&mut self, now: Duration, vain: bool) {
        self.totals.attempts += u64::from(now >= self.settle);
        if vain && now >= self.settle {
            self.totals.unreachable_attempts += 1;
            self.totals.last_unreachable_at = now.as_secs_f64();
        }
    }

    /// `since` is when its command came to the first tier; `before` how the relay before it ended, if there was one.
    pub fn record_tier_attempt(&mut self, tier: usize, since: Duration, before: Option<Option<Outcome>>) {
        let Some(of_tier) = self.totals.tiers.get_mut(tier).filter(|_| since >= self.settle) else { return };
        match before {
            None => of_tier.first += 1,
            Some(Some(Outcome::Cancelled)) => of_tier.after_cancelled += 1,
            Some(Some(outcome)) if outcome.never_ran() => of_tier.after_never_ran += 1,
            Some(_) => of_tier.after_failed += 1,
        }
    }

    pub fn record_not_accepted(&mut self, now: Duration) {
        self.totals.not_accepted += u64::from(now >= self.settle);
    }

    pub fn record_note(&mut self, now: Duration, copy: usize, note: &str) {
        if self.marks.len() < MARKS_MOST && (note.starts_with("mark") || note.starts_with("return")) {
            self.marks.push(EjectionNote { at: now.as_secs_f64(), replica: copy, text: note.into() });
        }
    }

    /// Ends a second. `loads` are the servers' commands for each core.
    pub fn end_second(&mut self, now: Duration, loads: &[f64]) {
        let (p50, p99) = (ms(&self.within, 0.5), ms(&self.within, 0.99));
        self.within.reset();
        let at = self.filled;
        self.filled += 1;
        self.second(now);
        let second = &mut self.seconds[at];
        (second.p50, second.p99) = (p50, p99);
        second.load = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        second.loads = loads.iter().take(SERVERS_MOST).copied().collect();
    }

    /// The second that was ended last.
    pub fn last_second(&self) -> Option<&Second> {
        self.seconds.get(self.filled.checked_sub(1)?)
    }

    pub fn finish(mut self) -> (Totals, Vec<Second>, Vec<EjectionNote>) {
        let part = |(offered, earned): &(f64, f64)| if *offered > 0.0 { earned / offered } else { 1.0 };
        let whole = (self.offered, self.earned);
        self.totals.utility_fraction = part(&whole);
        self.totals.tenants = self.by_tenant.iter().map(part).collect();
        self.totals.attempts_per_request = self.totals.attempts as f64 / self.totals.arrived.max(1) as f64;
        self.totals.p50 = ms(&self.all, 0.5);
        self.totals.p90 = ms(&self.all, 0.9);
        self.totals.p99 = ms(&self.all, 0.99);
        self.totals.p999 = ms(&self.all, 0.999);
        self.seconds.truncate(self.filled);
        (self.totals, self.seconds, self.marks)
    }
}

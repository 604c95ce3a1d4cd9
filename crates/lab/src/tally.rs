//! The statistics of a run, in total and by second: final outcomes, utility, latencies, ejections and server loads.

use crate::referee::FinalOutcome;
use hdrhistogram::Histogram;
use landingspread_decisions::host::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bound on the servers whose load is kept individually; the mean includes all servers.
const MAX_SERVER_LOADS: usize = 48;
/// Bound on the notes that a run keeps.
const MAX_EJECTION_NOTES: usize = 2_000;

/// One second of a run. Offered utility counts at the arrival of an operation, earned utility at the answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Second {
    /// Utility offered by operations that arrived in this second.
    pub offered: f64,
    /// Utility earned by answers in this second.
    pub earned: f64,
    /// Number of operations that arrived.
    #[serde(rename = "came")]
    pub arrived: u32,
    /// Number of answered requests.
    pub answered: u32,
    /// Number of requests that a replica rejected, with retries by the client being safe.
    pub declined: u32,
    /// Number of requests that ended with an error that does not say whether a retry is safe.
    pub terminated: u32,
    /// Number of requests whose client disconnected first.
    pub left: u32,
    /// Number of requests without a final answer.
    pub lost: u32,
    /// Median and 99th percentile of the latency of the answers, in milliseconds.
    pub p50: f64,
    /// 99th percentile of the latency of the answers, in milliseconds.
    pub p99: f64,
    /// Requests at a server divided by its cores, as the mean over all servers.
    pub load: f64,
    /// The load of each server, in order of their numbers, for at most `MAX_SERVER_LOADS` servers.
    pub loads: Vec<f64>,
}

/// A log line of a replica about the ejection or return of a server, or about its verdict on a zone.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct EjectionNote {
    /// Seconds since the start.
    pub at: f64,
    /// Number of the replica.
    #[serde(rename = "copy")]
    pub replica: usize,
    /// The replica's log line, such as `mark s3`, `return s3` or `mark zone b left`.
    #[serde(rename = "note")]
    pub text: String,
}

/// Attempts at one tier, for requests that arrived at the first tier after the settling time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct TierAttempts {
    /// First attempts: one for each request that was sent to a server.
    pub first: u64,
    /// Retries after an attempt that never ran.
    pub after_never_ran: u64,
    /// Retries after an attempt that failed, broke off, timed out or was still open.
    pub after_failed: u64,
    /// Retries after an attempt that the replica cancelled.
    pub after_cancelled: u64,
}

impl TierAttempts {
    /// All attempts at the tier.
    pub fn total(&self) -> u64 {
        self.first + self.after_never_ran + self.after_failed + self.after_cancelled
    }
}

/// Totals of a run, without the settling time at its start.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Totals {
    /// Earned utility as a fraction of the offered utility.
    #[serde(rename = "kept")]
    pub utility_fraction: f64,
    /// Number of operations that arrived.
    #[serde(rename = "came")]
    pub arrived: u64,
    /// Number of answered requests.
    pub answered: u64,
    /// Number of requests that earned utility.
    #[serde(rename = "in_goal")]
    pub within_objective: u64,
    /// Number of requests that a replica rejected, with retries by the client being safe.
    pub declined: u64,
    /// Number of requests that ended with an error that does not say whether a retry is safe.
    pub terminated: u64,
    /// Number of requests whose client disconnected first.
    pub left: u64,
    /// Number of requests without a final answer.
    pub lost: u64,
    /// Number of attempts.
    #[serde(rename = "relays")]
    pub attempts: u64,
    /// Attempts divided by arrived operations.
    #[serde(rename = "relays_each")]
    pub attempts_per_request: f64,
    /// Percentiles of the latency from the arrival of a request to its answer, in milliseconds.
    pub p50: f64,
    /// 90th percentile of the latency, in milliseconds.
    pub p90: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999: f64,
    /// Requests that were refused because no replica ran or the bound on open requests was reached.
    #[serde(rename = "unheard")]
    pub not_accepted: u64,
    /// Attempts at servers that were down or unreachable, and the time of the last one in seconds since the start.
    #[serde(default, rename = "vain")]
    pub unreachable_attempts: u64,
    /// Time of the last attempt at an unreachable server, in seconds since the start; 0 without one.
    #[serde(default, rename = "vain_last")]
    pub last_unreachable_at: f64,
    /// Earned utility as a fraction of the offered utility, by tenant; 1 for a tenant that offered none.
    pub tenants: Vec<f64>,
    /// Attempts at each tier, in order of the tiers.
    #[serde(default)]
    pub tiers: Vec<TierAttempts>,
}

impl Totals {
    /// Attempts at the last tier divided by operations of clients: 1 without retries and failures.
    pub fn attempt_amplification(&self) -> f64 {
        self.tiers.last().map_or(0, TierAttempts::total) as f64 / self.arrived.max(1) as f64
    }
}

fn histogram() -> Histogram<u64> {
    // Microseconds up to an hour, with two significant digits, which suffices for plots.
    Histogram::new_with_bounds(1, 3_600_000_000, 2)
        .expect("the bounds and the count of digits are valid for a histogram")
}

/// Collects the statistics of one run.
pub struct Statistics {
    settle: Duration,
    seconds: Vec<Second>,
    second_latencies: Histogram<u64>,
    total_latencies: Histogram<u64>,
    totals: Totals,
    offered: f64,
    earned: f64,
    utility_by_tenant: Vec<(f64, f64)>,
    ejections: Vec<EjectionNote>,
    ended_seconds: usize,
}

fn quantile_ms(histogram: &Histogram<u64>, share: f64) -> f64 {
    histogram.value_at_quantile(share) as f64 / 1000.0
}

impl Statistics {
    /// Creates empty statistics. Totals leave out what arrives before `settle`.
    pub fn new(settle: Duration, tenants: usize, tiers: usize) -> Statistics {
        Statistics {
            settle,
            seconds: Vec::new(),
            second_latencies: histogram(),
            total_latencies: histogram(),
            totals: Totals { tiers: vec![TierAttempts::default(); tiers], ..Totals::default() },
            offered: 0.0,
            earned: 0.0,
            utility_by_tenant: vec![(0.0, 0.0); tenants],
            ejections: Vec::new(),
            ended_seconds: 0,
        }
    }

    fn second_at(&mut self, now: Duration) -> &mut Second {
        let at = now.as_secs() as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        &mut self.seconds[at]
    }

    /// Records the first arrival of an operation with the utility that it offers.
    pub fn record_arrival(&mut self, now: Duration, utility: f64, tenant: usize) {
        let second_at = self.second_at(now);
        second_at.offered += utility;
        second_at.arrived += 1;
        if now >= self.settle {
            self.totals.arrived += 1;
            self.offered += utility;
            self.utility_by_tenant[tenant].0 += utility;
        }
    }

    /// Records the utility that a request earned, with the time of its arrival.
    pub fn record_utility(&mut self, now: Duration, arrived_at: Duration, utility: f64, tenant: usize) {
        self.second_at(now).earned += utility;
        if arrived_at >= self.settle {
            self.earned += utility;
            self.totals.within_objective += u64::from(utility > 0.0);
            self.utility_by_tenant[tenant].1 += utility;
        }
    }

    /// Records the final outcome of a request, with the time of its arrival.
    pub fn record_final_outcome(&mut self, now: Duration, arrived_at: Duration, final_outcome: FinalOutcome) {
        let counted = u64::from(arrived_at >= self.settle);
        let second_at = self.second_at(now);
        let second_count = match final_outcome {
            FinalOutcome::Answered => &mut second_at.answered,
            FinalOutcome::Declined => &mut second_at.declined,
            FinalOutcome::Terminated => &mut second_at.terminated,
            FinalOutcome::Left => &mut second_at.left,
            FinalOutcome::Lost => &mut second_at.lost,
        };
        *second_count += 1;
        let total_count = match final_outcome {
            FinalOutcome::Answered => &mut self.totals.answered,
            FinalOutcome::Declined => &mut self.totals.declined,
            FinalOutcome::Terminated => &mut self.totals.terminated,
            FinalOutcome::Left => &mut self.totals.left,
            FinalOutcome::Lost => &mut self.totals.lost,
        };
        *total_count += counted;
        if final_outcome == FinalOutcome::Answered {
            let latency = now.saturating_sub(arrived_at).as_micros() as u64;
            self.second_latencies.saturating_record(latency.max(1));
            if counted > 0 {
                self.total_latencies.saturating_record(latency.max(1));
            }
        }
    }

    /// Records an attempt; `server_unreachable` says that the replica can't reach its server.
    pub fn record_attempt(&mut self, now: Duration, server_unreachable: bool) {
        self.totals.attempts += u64::from(now >= self.settle);
        if server_unreachable && now >= self.settle {
            self.totals.unreachable_attempts += 1;
            self.totals.last_unreachable_at = now.as_secs_f64();
        }
    }

    /// Records an attempt at a tier. `arrived_at` is the arrival of its request at the first tier; `previous_outcome` is
    /// the outcome of the previous attempt, with an inner `None` if that one is still open.
    pub fn record_tier_attempt(
        &mut self,
        tier: usize,
        arrived_at: Duration,
        previous_outcome: Option<Option<Outcome>>,
    ) {
        let Some(of_tier) = self.totals.tiers.get_mut(tier).filter(|_| arrived_at >= self.settle) else {
            return;
        };
        match previous_outcome {
            None => of_tier.first += 1,
            Some(Some(Outcome::Cancelled)) => of_tier.after_cancelled += 1,
            Some(Some(outcome)) if outcome.never_ran() => of_tier.after_never_ran += 1,
            Some(_) => of_tier.after_failed += 1,
        }
    }

    /// Records a request that was refused before a replica saw it.
    pub fn record_not_accepted(&mut self, now: Duration) {
        self.totals.not_accepted += u64::from(now >= self.settle);
    }

    /// Records a log line if it reports an ejection, a return or a zone verdict, up to `MAX_EJECTION_NOTES` lines.
    pub fn record_note(&mut self, now: Duration, replica: usize, text: &str) {
        if self.ejections.len() < MAX_EJECTION_NOTES
            && (text.starts_with("mark") || text.starts_with("return"))
        {
            self.ejections.push(EjectionNote { at: now.as_secs_f64(), replica, text: text.into() });
        }
    }

    /// Closes a second. `loads` has, for each server, its requests divided by its cores.
    pub fn end_second(&mut self, now: Duration, loads: &[f64]) {
        let (p50, p99) =
            (quantile_ms(&self.second_latencies, 0.5), quantile_ms(&self.second_latencies, 0.99));
        self.second_latencies.reset();
        let at = self.ended_seconds;
        self.ended_seconds += 1;
        self.second_at(now);
        let second_at = &mut self.seconds[at];
        (second_at.p50, second_at.p99) = (p50, p99);
        second_at.load = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        second_at.loads = loads.iter().take(MAX_SERVER_LOADS).copied().collect();
    }

    /// The second that was closed last.
    pub fn last_second(&self) -> Option<&Second> {
        self.seconds.get(self.ended_seconds.checked_sub(1)?)
    }

    /// Returns the totals, the closed seconds and the notes on ejections.
    pub fn finish(mut self) -> (Totals, Vec<Second>, Vec<EjectionNote>) {
        let part = |(offered, earned): &(f64, f64)| if *offered > 0.0 { earned / offered } else { 1.0 };
        let whole = (self.offered, self.earned);
        self.totals.utility_fraction = part(&whole);
        self.totals.tenants = self.utility_by_tenant.iter().map(part).collect();
        self.totals.attempts_per_request = self.totals.attempts as f64 / self.totals.arrived.max(1) as f64;
        self.totals.p50 = quantile_ms(&self.total_latencies, 0.5);
        self.totals.p90 = quantile_ms(&self.total_latencies, 0.9);
        self.totals.p99 = quantile_ms(&self.total_latencies, 0.99);
        self.totals.p999 = quantile_ms(&self.total_latencies, 0.999);
        self.seconds.truncate(self.ended_seconds);
        (self.totals, self.seconds, self.ejections)
    }
}

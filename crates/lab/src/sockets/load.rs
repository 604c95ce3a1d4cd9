//! The load generator by itself: sends to any addresses, at a rate or as fast as it gets responses, and reports
//! latencies from the scheduled send.

use super::callers::{ClientPlan, ClientRequestClass, CompletedRequest, RequestRate, run};
use crate::plan::RetrySafety;
use crate::referee::FinalOutcome;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A load: its target addresses, request class, connections, rate and duration.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses that the clients send to.
    pub targets: Vec<SocketAddr>,
    /// Name of the request class; its requests are idempotent.
    pub request_class: String,
    /// Number of client connections.
    pub connections: usize,
    /// Requests per second; at 0, each connection sends its next request as soon as one is answered.
    pub rate: f64,
    /// Time limit of a request.
    pub time_limit: Duration,
    /// Requests scheduled before this time are not counted.
    pub warmup: Duration,
    /// Counted time after the warm-up.
    pub duration: Duration,
    /// Seed of the clients' random choices and part of the request ids.
    pub seed: u64,
}

/// Counts and latencies of a load. Latencies are in milliseconds, from the scheduled send to the last byte.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResults {
    /// Number of client connections.
    pub connections: usize,
    /// Counted time in seconds.
    pub seconds: f64,
    /// Number of answered requests.
    pub answered: u64,
    /// Number of requests rejected with the assurance that a retry is safe.
    pub declined: u64,
    /// Number of requests that ended with an error that does not say whether a retry is safe.
    pub terminated: u64,
    /// Number of requests without a final answer.
    pub lost: u64,
    /// Answered requests per second of the counted time.
    pub answered_per_s: f64,
    /// Median latency of the answers.
    pub p50: f64,
    /// 90th percentile of the latency.
    pub p90: f64,
    /// 99th percentile of the latency.
    pub p99: f64,
    /// 99.9th percentile of the latency.
    pub p999: f64,
    /// Maximum latency of an answer.
    #[serde(rename = "most")]
    pub max: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds and the number of digits are valid")
}

/// Results of one client thread.
struct ThreadResults<'a> {
    results: LoadResults,
    latencies: Histogram<u64>,
    all: &'a Mutex<(LoadResults, Histogram<u64>)>,
}

impl ThreadResults<'_> {
    fn count(&mut self, completed: &CompletedRequest) {
        match completed.outcome {
            FinalOutcome::Answered => self.results.answered += 1,
            FinalOutcome::Declined => self.results.declined += 1,
            FinalOutcome::Terminated => self.results.terminated += 1,
            FinalOutcome::Left | FinalOutcome::Lost => self.results.lost += 1,
        }
        if completed.outcome == FinalOutcome::Answered {
            let latency_us = completed.ended.saturating_sub(completed.intended).as_micros() as u64;
            self.latencies.saturating_record(latency_us.max(1));
        }
    }
}

impl Drop for ThreadResults<'_> {
    /// Adds the results of the thread to those of all threads when it ends.
    fn drop(&mut self) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.0.answered += self.results.answered;
        all.0.declined += self.results.declined;
        all.0.terminated += self.results.terminated;
        all.0.lost += self.results.lost;
        // This cannot fail: both histograms have the same bounds.
        let _ = all.1.add(&self.latencies);
    }
}

/// Generates the load and returns its results.
pub fn load(plan: &LoadPlan) -> LoadResults {
    let client_class = ClientRequestClass {
        name: plan.request_class.clone(),
        retry_safety: RetrySafety::Idempotent,
        share: 1.0,
        time_limit: plan.time_limit,
    };
    let client_plan = ClientPlan {
        targets: plan.targets.clone(),
        request_classes: vec![client_class],
        tenants: vec![("lab".into(), 1.0)],
        connections: plan.connections,
        duration: plan.warmup + plan.duration,
        seed: plan.seed,
        id_prefix: format!("l{}-", plan.seed),
        retry_non_idempotent: true,
    };
    let all = Mutex::new((LoadResults::default(), histogram()));
    let observer = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
        let mut thread_results =
            ThreadResults { results: LoadResults::default(), latencies: histogram(), all: &all };
        Box::new(move |completed: &CompletedRequest| {
            if completed.intended >= plan.warmup {
                thread_results.count(completed);
            }
        })
    };
    run(&client_plan, &RequestRate::new(plan.rate), &AtomicBool::new(false), Instant::now(), &observer);
    let (mut results, latencies) = all.into_inner().unwrap_or_else(PoisonError::into_inner);
    let ms = |share: f64| latencies.value_at_quantile(share) as f64 / 1000.0;
    results.connections = plan.connections;
    results.seconds = plan.duration.as_secs_f64();
    results.answered_per_s = results.answered as f64 / results.seconds.max(1e-9);
    (results.p50, results.p90, results.p99, results.p999) = (ms(0.5), ms(0.9), ms(0.99), ms(0.999));
    results.max = latencies.max() as f64 / 1000.0;
    results
}

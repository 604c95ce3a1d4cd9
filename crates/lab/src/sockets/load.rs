//! The load generator by itself: against any address, at a rate or as fast as it is answered, with latencies from
//! the intended send.

use super::callers::{ClientPlan, ClientRequestClass, CompletedRequest, RequestRate, run};
use crate::plan::RetrySafety;
use crate::referee::FinalOutcome;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub targets: Vec<SocketAddr>,
    pub request_class: String,
    pub connections: usize,
    /// Commands a second; 0: as fast as they are answered.
    pub rate: f64,
    pub time_limit: Duration,
    /// What comes before this is not counted.
    pub warmup: Duration,
    pub duration: Duration,
    pub seed: u64,
}

/// Milliseconds, from the intended send to the last byte.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResults {
    pub connections: usize,
    pub seconds: f64,
    pub answered: u64,
    pub declined: u64,
    pub terminated: u64,
    pub lost: u64,
    pub answered_per_s: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds and digits are within what it takes")
}

struct Own<'a> {
    figures: LoadResults,
    latency: Histogram<u64>,
    all: &'a Mutex<(LoadResults, Histogram<u64>)>,
}

impl Own<'_> {
    fn count(&mut self, done: &CompletedRequest) {
        match done.outcome {
            FinalOutcome::Answered => self.figures.answered += 1,
            FinalOutcome::Declined => self.figures.declined += 1,
            FinalOutcome::Terminated => self.figures.terminated += 1,
            FinalOutcome::Left | FinalOutcome::Lost => self.figures.lost += 1,
        }
        if done.outcome == FinalOutcome::Answered {
            let took = done.ended.saturating_sub(done.intended).as_micros() as u64;
            self.latency.saturating_record(took.max(1));
        }
    }
}

impl Drop for Own<'_> {
    /// A thread's figures join the others when it ends.
    fn drop(&mut self) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.0.answered += self.figures.answered;
        all.0.declined += self.figures.declined;
        all.0.terminated += self.figures.terminated;
        all.0.lost += self.figures.lost;
        // Both have the same bounds.
        let _ = all.1.add(&self.latency);
    }
}

pub fn load(plan: &LoadPlan) -> LoadResults {
    let asking = ClientRequestClass {
        name: plan.request_class.clone(),
        retry_safety: RetrySafety::Idempotent,
        share: 1.0,
        time_limit: plan.time_limit,
    };
    let calls = ClientPlan {
        targets: plan.targets.clone(),
        request_classes: vec![asking],
        tenants: vec![("lab".into(), 1.0)],
        connections: plan.connections,
        duration: plan.warmup + plan.duration,
        seed: plan.seed,
        id_prefix: format!("l{}-", plan.seed),
        retry_non_idempotent: true,
    };
    let all = Mutex::new((LoadResults::default(), histogram()));
    let watch = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
        let mut own = Own { figures: LoadResults::default(), latency: histogram(), all: &all };
        Box::new(move |done: &CompletedRequest| {
            if done.intended >= plan.warmup {
                own.count(done);
            }
        })
    };
    run(&calls, &RequestRate::new(plan.rate), &AtomicBool::new(false), Instant::now(), &watch);
    let (mut figures, latency) = all.into_inner().unwrap_or_else(PoisonError::into_inner);
    let ms = |share: f64| latency.value_at_quantile(share) as f64 / 1000.0;
    figures.connections = plan.connections;
    figures.seconds = plan.duration.as_secs_f64();
    figures.answered_per_s = figures.answered as f64 / figures.seconds.max(1e-9);
    (figures.p50, figures.p90, figures.p99, figures.p999) = (ms(0.5), ms(0.9), ms(0.99), ms(0.999));
    figures.most = latency.max() as f64 / 1000.0;
    figures
}

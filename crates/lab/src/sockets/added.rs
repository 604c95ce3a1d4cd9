//! Measures the time that one sidecar adds to a request: the same clients send to servers that respond at once,
//! directly and through a sidecar in turn. Computes the statistics of the pairs, without judging them.

use super::bench::{SidecarBench, start_bench};
use super::callers::{ClientPlan, ClientRequestClass, CompletedRequest, RequestRate, run};
use crate::plan::RetrySafety;
use crate::referee::FinalOutcome;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Requests at the start of each run are not counted: connections are opened, and sleeping threads wake up.
const WARMUP: Duration = Duration::from_millis(500);
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// The measurement: its request rate, its runs and its processes.
pub struct AddedLatencyPlan {
    /// Requests per second.
    pub rate: f64,
    pub pairs: usize,
    /// Counted time of each run.
    pub run_duration: Duration,
    pub connections: usize,
    pub servers: usize,
}

/// Statistics of one run's requests. Latencies are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct RunStatistics {
    /// Number of answered requests.
    pub answered: usize,
    pub unanswered: usize,
    /// Quantiles of the latency from the send to the last byte.
    pub p50: f64,
    pub p99: f64,
    /// From the scheduled send, which includes the lateness of the client.
    pub p99_intended: f64,
    /// Processor time of the sidecar, in microseconds, and how often its threads went to sleep; 0 without a sidecar.
    pub cpu_us_per_request: f64,
    pub sleeps_per_request: f64,
}

/// A direct run, and one run through the sidecar of each compared build.
pub struct Pair {
    /// The run without a sidecar.
    pub direct: RunStatistics,
    /// The runs through a sidecar, one for each build.
    pub via_sidecar: Vec<RunStatistics>,
}

/// The smallest value that at least this share of the sorted values do not exceed; 0 if there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

#[derive(Default)]
struct LatencySamples {
    sent: Vec<f64>,
    intended: Vec<f64>,
    unanswered: usize,
}

fn measure_run(plan: &AddedLatencyPlan, targets: Vec<SocketAddr>, seed: u64) -> RunStatistics {
    let client_plan = ClientPlan {
        targets,
        request_classes: vec![ClientRequestClass {
            name: "view".into(),
            retry_safety: RetrySafety::Idempotent,
            share: 1.0,
            time_limit: TIME_LIMIT,
        }],
        tenants: vec![("lab".into(), 1.0)],
        connections: plan.connections,
        duration: WARMUP + plan.run_duration,
        seed,
        id_prefix: format!("a{seed}-"),
        retry_non_idempotent: true,
    };
    let samples = Mutex::new(LatencySamples::default());
    let observer = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
        Box::new(|completed: &CompletedRequest| {
            if completed.intended < WARMUP {
                return;
            }
            let ms = |from: Duration| completed.ended.saturating_sub(from).as_secs_f64() * 1e3;
            let mut samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
            if completed.outcome == FinalOutcome::Answered {
                samples.sent.push(ms(completed.sent));
                samples.intended.push(ms(completed.intended));
            } else {
                samples.unanswered += 1;
            }
        })
    };
    run(&client_plan, &RequestRate::new(plan.rate), &AtomicBool::new(false), Instant::now(), &observer);
    let mut samples = samples.into_inner().unwrap_or_else(PoisonError::into_inner);
    samples.sent.sort_by(f64::total_cmp);
    samples.intended.sort_by(f64::total_cmp);
    RunStatistics {
        answered: samples.sent.len(),
        unanswered: samples.unanswered,
        p50: quantile(&samples.sent, 0.5),
        p99: quantile(&samples.sent, 0.99),
        p99_intended: quantile(&samples.intended, 0.99),
        ..RunStatistics::default()
    }
}

/// Processor time that a process has used, in seconds, and how often its threads went to sleep.
fn process_usage(pid: u32) -> (f64, f64) {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    tasks.fold((0.0, 0.0), |(time, sleeps), task| {
        let text = |name: &str| fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let first_number =
            |text: &str| text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
        let status = text("status");
        let switches = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        let added = first_number(&text("schedstat")).unwrap_or(0.0) / 1e9;
        (time + added, sleeps + switches.and_then(first_number).unwrap_or(0.0))
    })
}

fn measure_via_sidecar(
    plan: &AddedLatencyPlan,
    bench: &mut SidecarBench,
    seed: u64,
) -> Result<RunStatistics, String> {
    let (pid, address) = (bench.sidecar.pid(), bench.sidecar.address);
    let before = process_usage(pid);
    let statistics = measure_run(plan, vec![address], seed);
    let after = process_usage(pid);
    bench.sidecar.check_running()?;
    // The usage includes the warm-up, in which the request rate is the same.
    let requests = plan.rate * (WARMUP + plan.run_duration).as_secs_f64();
    let (processor_us, sleeps) = ((after.0 - before.0) * 1e6 / requests, (after.1 - before.1) / requests);
    Ok(RunStatistics { cpu_us_per_request: processor_us, sleeps_per_request: sleeps, ..statistics })
}

/// Runs all pairs; the order within a pair rotates from pair to pair.
pub fn measure(plan: &AddedLatencyPlan, programs: &[PathBuf], dir: &Path) -> Result<Vec<Pair>, String> {
    let mut benches = Vec::new();
    for program in programs {
        benches.push(start_bench(program, dir, plan.servers)?);
    }
    let Some(first) = benches.first() else { return Err("there is no program to measure".into()) };
    let server_addresses: Vec<SocketAddr> =
        first.servers.servers.iter().map(|server| server.address).collect();
    let route_count = 1 + benches.len();
    let mut pairs = Vec::new();
    for number in 0..plan.pairs {
        let mut pair = Pair {
            direct: RunStatistics::default(),
            via_sidecar: vec![RunStatistics::default(); benches.len()],
        };
        for step in 0..route_count {
            let seed = (number * route_count + step + 1) as u64;
            match (number + step) % route_count {
                0 => pair.direct = measure_run(plan, server_addresses.clone(), seed),
                route => {
                    pair.via_sidecar[route - 1] = measure_via_sidecar(plan, &mut benches[route - 1], seed)?;
                }
            }
        }
        pairs.push(pair);
    }
    Ok(pairs)
}

/// Formats values as `median (minimum to maximum)`.
fn median_and_range(values: impl Iterator<Item = f64>) -> String {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let (minimum, maximum) = (quantile(&sorted, 0.0), quantile(&sorted, 1.0));
    format!("{:.3} ({minimum:.3} to {maximum:.3})", quantile(&sorted, 0.5))
}

/// A table with the median, minimum and maximum of each figure over the pairs.
pub fn render_table(plan: &AddedLatencyPlan, pairs: &[Pair]) -> String {
    let mut text = format!(
        "{} calls a second, {} connections, {} stand-ins, {} pairs of {} s; milliseconds from the send; load of the machine {}\n\n",
        plan.rate,
        plan.connections,
        plan.servers,
        pairs.len(),
        plan.run_duration.as_secs_f64(),
        fs::read_to_string("/proc/loadavg").unwrap_or_default().trim(),
    );
    text += "| calls | p50 | p99 | p99 from the intended send | added at p50 | added at p99 | not answered | processor time a call, us | sleeps a call |\n";
    text += "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let values = |route: usize, value_of: &dyn Fn(&RunStatistics) -> f64| -> Vec<f64> {
        let statistics = |pair: &Pair| {
            if route == 0 { value_of(&pair.direct) } else { value_of(&pair.via_sidecar[route - 1]) }
        };
        pairs.iter().map(statistics).collect()
    };
    let route_count = 1 + pairs.first().map_or(0, |pair| pair.via_sidecar.len());
    for route in 0..route_count {
        let name =
            ["straight", "through", "through the other build"].get(route).copied().unwrap_or("through");
        let summary =
            |value_of: &dyn Fn(&RunStatistics) -> f64| median_and_range(values(route, value_of).into_iter());
        let added = |value_of: &dyn Fn(&RunStatistics) -> f64| {
            median_and_range(
                values(route, value_of)
                    .into_iter()
                    .zip(values(0, value_of))
                    .map(|(with, without)| with - without),
            )
        };
        let failed: f64 = values(route, &|statistics| statistics.unanswered as f64).iter().sum();
        let _ = write!(
            text,
            "| {name} | {} | {} | {} |",
            summary(&|statistics| statistics.p50),
            summary(&|statistics| statistics.p99),
            summary(&|statistics| statistics.p99_intended),
        );
        if route == 0 {
            let _ = writeln!(text, " | | {failed} | | |");
        } else {
            let (p50, p99) = (added(&|statistics| statistics.p50), added(&|statistics| statistics.p99));
            let (processor, sleeps) = (
                summary(&|statistics| statistics.cpu_us_per_request),
                summary(&|statistics| statistics.sleeps_per_request),
            );
            let _ = writeln!(text, " {p50} | {p99} | {failed} | {processor} | {sleeps} |");
        }
    }
    text + "\n"
}

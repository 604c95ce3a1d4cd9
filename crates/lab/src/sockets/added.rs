//! How much time one sidecar adds to a call: the same callers speak straight to stand-ins that answer at once, and through
//! a sidecar before these, in turn. It owns the turns and how pairs become figures; it judges nothing.

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

/// What comes first in each turn is not counted: connections are opened, and who slept wakes up.
const SETTLE: Duration = Duration::from_millis(500);
const LIMIT: Duration = Duration::from_secs(2);

pub struct AddedLatencyPlan {
    /// Calls a second.
    pub rate: f64,
    pub pairs: usize,
    /// What is counted of a turn.
    pub run_duration: Duration,
    pub connections: usize,
    pub servers: usize,
}

/// One turn's calls. Milliseconds, by sorted calls.
#[derive(Clone, Debug, Default)]
pub struct RunStatistics {
    pub answered: usize,
    pub unanswered: usize,
    /// From the send to the last byte.
    pub p50: f64,
    pub p99: f64,
    /// From the intended send: with the caller's own lateness.
    pub p99_intended: f64,
    /// Processor time of the sidecar for each call, in microseconds, and how often it went to sleep for each.
    pub cpu_us_per_request: f64,
    pub sleeps_per_request: f64,
}

/// A pair, or three where two builds are held against each other: straight, and through each of them.
pub struct Pair {
    pub direct: RunStatistics,
    pub via_sidecar: Vec<RunStatistics>,
}

/// The value below which so large a share of the sorted figures lies; 0 where there is none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

#[derive(Default)]
struct LatencySamples {
    sent: Vec<f64>,
    intended: Vec<f64>,
    not_answered: usize,
}

fn turn(turns: &AddedLatencyPlan, targets: Vec<SocketAddr>, seed: u64) -> RunStatistics {
    let plan = ClientPlan {
        targets,
        request_classes: vec![ClientRequestClass {
            name: "view".into(),
            retry_safety: RetrySafety::Idempotent,
            share: 1.0,
            time_limit: LIMIT,
        }],
        tenants: vec![("lab".into(), 1.0)],
        connections: turns.connections,
        duration: SETTLE + turns.run_duration,
        seed,
        id_prefix: format!("a{seed}-"),
        retry_non_idempotent: true,
    };
    let seen = Mutex::new(LatencySamples::default());
    let watch = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
        Box::new(|done: &CompletedRequest| {
            if done.intended < SETTLE {
                return;
            }
            let ms = |from: Duration| done.ended.saturating_sub(from).as_secs_f64() * 1e3;
            let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            if done.outcome == FinalOutcome::Answered {
                seen.sent.push(ms(done.sent));
                seen.intended.push(ms(done.intended));
            } else {
                seen.not_answered += 1;
            }
        })
    };
    run(&plan, &RequestRate::new(turns.rate), &AtomicBool::new(false), Instant::now(), &watch);
    let mut seen = seen.into_inner().unwrap_or_else(PoisonError::into_inner);
    seen.sent.sort_by(f64::total_cmp);
    seen.intended.sort_by(f64::total_cmp);
    RunStatistics {
        answered: seen.sent.len(),
        unanswered: seen.not_answered,
        p50: quantile(&seen.sent, 0.5),
        p99: quantile(&seen.sent, 0.99),
        p99_intended: quantile(&seen.intended, 0.99),
        ..RunStatistics::default()
    }
}

/// What a process has used by now: seconds of processor time, and how often a thread of it went to sleep.
fn used(pid: u32) -> (f64, f64) {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    tasks.fold((0.0, 0.0), |(time, sleeps), task| {
        let text = |name: &str| fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let first = |text: &str| text.split_whitespace().next().and_then(|word| word.parse::<f64>().ok());
        let status = text("status");
        let switches = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        let more = first(&text("schedstat")).unwrap_or(0.0) / 1e9;
        (time + more, sleeps + switches.and_then(first).unwrap_or(0.0))
    })
}

fn through(turns: &AddedLatencyPlan, rig: &mut SidecarBench, seed: u64) -> Result<RunStatistics, String> {
    let (pid, address) = (rig.sidecar.pid(), rig.sidecar.address);
    let before = used(pid);
    let turn = turn(turns, vec![address], seed);
    let after = used(pid);
    rig.sidecar.check_running()?;
    // The settling time's calls are in it too, at the same rate.
    let calls = turns.rate * (SETTLE + turns.run_duration).as_secs_f64();
    let (processor_us, sleeps) = ((after.0 - before.0) * 1e6 / calls, (after.1 - before.1) / calls);
    Ok(RunStatistics { cpu_us_per_request: processor_us, sleeps_per_request: sleeps, ..turn })
}

/// Plays all pairs; who goes first changes from pair to pair.
pub fn measure(turns: &AddedLatencyPlan, programs: &[PathBuf], dir: &Path) -> Result<Vec<Pair>, String> {
    let mut rigs = Vec::new();
    for program in programs {
        rigs.push(start_bench(program, dir, turns.servers)?);
    }
    let Some(first) = rigs.first() else { return Err("there is no program to measure".into()) };
    let straight_to: Vec<SocketAddr> = first.servers.servers.iter().map(|server| server.address).collect();
    let ways = 1 + rigs.len();
    let mut pairs = Vec::new();
    for number in 0..turns.pairs {
        let mut pair = Pair {
            direct: RunStatistics::default(),
            via_sidecar: vec![RunStatistics::default(); rigs.len()],
        };
        for step in 0..ways {
            let seed = (number * ways + step + 1) as u64;
            match (number + step) % ways {
                0 => pair.direct = turn(turns, straight_to.clone(), seed),
                way => pair.via_sidecar[way - 1] = through(turns, &mut rigs[way - 1], seed)?,
            }
        }
        pairs.push(pair);
    }
    Ok(pairs)
}

/// `median (least to most)`.
fn spread(figures: impl Iterator<Item = f64>) -> String {
    let mut all: Vec<f64> = figures.collect();
    all.sort_by(f64::total_cmp);
    let (least, most) = (quantile(&all, 0.0), quantile(&all, 1.0));
    format!("{:.3} ({least:.3} to {most:.3})", quantile(&all, 0.5))
}

/// A table: each figure's median over the pairs, with the least and the most.
pub fn render_table(turns: &AddedLatencyPlan, pairs: &[Pair]) -> String {
    let mut text = format!(
        "{} calls a second, {} connections, {} stand-ins, {} pairs of {} s; milliseconds from the send; load of the machine {}\n\n",
        turns.rate,
        turns.connections,
        turns.servers,
        pairs.len(),
        turns.run_duration.as_secs_f64(),
        fs::read_to_string("/proc/loadavg").unwrap_or_default().trim(),
    );
    text += "| calls | p50 | p99 | p99 from the intended send | added at p50 | added at p99 | not answered | processor time a call, us | sleeps a call |\n";
    text += "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    let of = |way: usize, figure: &dyn Fn(&RunStatistics) -> f64| -> Vec<f64> {
        let turn =
            |pair: &Pair| if way == 0 { figure(&pair.direct) } else { figure(&pair.via_sidecar[way - 1]) };
        pairs.iter().map(turn).collect()
    };
    let ways = 1 + pairs.first().map_or(0, |pair| pair.via_sidecar.len());
    for way in 0..ways {
        let name = ["straight", "through", "through the other build"].get(way).copied().unwrap_or("through");
        let told = |figure: &dyn Fn(&RunStatistics) -> f64| spread(of(way, figure).into_iter());
        let more = |figure: &dyn Fn(&RunStatistics) -> f64| {
            spread(of(way, figure).into_iter().zip(of(0, figure)).map(|(with, without)| with - without))
        };
        let failed: f64 = of(way, &|turn| turn.unanswered as f64).iter().sum();
        let _ = write!(
            text,
            "| {name} | {} | {} | {} |",
            told(&|turn| turn.p50),
            told(&|turn| turn.p99),
            told(&|turn| turn.p99_intended),
        );
        if way == 0 {
            let _ = writeln!(text, " | | {failed} | | |");
        } else {
            let (p50, p99) = (more(&|turn| turn.p50), more(&|turn| turn.p99));
            let (processor, sleeps) =
                (told(&|turn| turn.cpu_us_per_request), told(&|turn| turn.sleeps_per_request));
            let _ = writeln!(text, " {p50} | {p99} | {failed} | {processor} | {sleeps} |");
        }
    }
    text + "\n"
}

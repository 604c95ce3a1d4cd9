//! A run at one size: its processes, their configuration, and the bounds on both. A run that would exceed the
//! bounds starts nothing.

use super::process::{ProcessUsage, memory_mb, process_usage};
use super::results::Figure;
use crate::sockets::{
    Entry, HelperProcess, LoadPlan, Peer, Sidecar, WatchServer, bench, bind_loopback, load,
};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Zones that are assigned round-robin; all sidecars of a process without clients are in one zone.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Replicas that each replica contacts to join its fleet.
const SEEDS: usize = 3;
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks of the membership.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of stand-in servers.
const SERVERS: usize = 4;
/// Fraction of time in which a process of clientless sidecars may run or wait for a processor; beyond it the
/// process falls behind.
const MAX_BUSY_FRACTION: f64 = 0.9;
/// Memory per process, in MB, rounded up like the next two from runs of 30 to 1,000 replicas.
const MB_PROCESS: f64 = 6.0;
/// Memory per replica, in MB.
const MB_REPLICA: f64 = 0.15;
/// Memory per member or endpoint that a replica knows, in MB.
const MB_MEMBER: f64 = 0.0005;
/// Memory of the lab's own process, in MB.
const MB_LAB: f64 = 16.0;
/// Replica numbers in the range of one run. A replica's number determines its address, so concurrent runs use
/// different ranges.
const NUMBERS_PER_RUN: u32 = 8_192;
const CONCURRENT_RUNS: u32 = 31;
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Bounds on the resources of a run.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub processes: usize,
    pub memory_mb: f64,
}

/// Size and parameters of a run.
#[derive(Clone, Debug)]
pub struct RunSize {
    /// Number of replicas, including the measured ones.
    pub replicas: usize,
    /// Replicas per fleet; 0 for a single fleet.
    pub fleet_size: usize,
    /// Entries of the list.
    pub endpoints: usize,
    /// List changes per second.
    pub changes_per_s: f64,
    /// Number of full sidecar processes, which are measured; the second half of them carries load.
    pub measured: usize,
    /// Requests per second at each sidecar that carries load.
    pub requests_per_s: f64,
    /// Clientless sidecars per process; 0 derives it from the size.
    pub clientless_per_process: usize,
    /// Time between the convergence of the membership and the start of the measurement.
    pub settle: Duration,
    /// Duration of the measurement.
    pub duration: Duration,
    /// Limit for all members to know each other.
    pub join_timeout: Duration,
    /// Whether the clientless sidecars of a zone are killed and started again together after the measurement.
    pub lose_zone: bool,
    pub bounds: Bounds,
}

/// Resources that a run needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirements {
    pub processes: usize,
    pub memory_mb: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    pub figures: Vec<Figure>,
    /// Why the figures are invalid, if they are.
    pub invalid: Option<String>,
    /// Highest number of processes.
    pub processes: usize,
    /// Highest memory of all processes together, in MB.
    pub memory_mb: f64,
    /// Latency of requests through the measured sidecars in milliseconds, at p50 and p99, and the number of
    /// requests without an answer.
    pub calls: Option<(f64, f64, u64)>,
    /// Seconds from the start until the measured sidecars knew the full membership.
    pub join_s: f64,
    /// Seconds from the loss of a zone until the measured sidecars knew the remaining membership.
    pub zone_loss_s: Option<f64>,
    /// Seconds from the return of the zone until the measured sidecars knew the full membership.
    pub zone_return_s: Option<f64>,
}

impl RunSize {
    fn sidecars_per_process(&self) -> usize {
        let clientless = self.replicas.saturating_sub(self.measured);
        if self.clientless_per_process > 0 {
            self.clientless_per_process
        } else {
            clientless.div_ceil(9).clamp(10, 100)
        }
    }

    fn fleet(&self) -> usize {
        if self.fleet_size == 0 { self.replicas } else { self.fleet_size }
    }
}

/// Computes the resources that a run needs, without starting anything.
///
/// # Errors
/// Sizes that contradict each other, or requirements that exceed the bounds.
pub fn requirements(size: &RunSize) -> Result<Requirements, String> {
    let clientless = size.replicas.checked_sub(size.measured).filter(|count| *count > 0 && size.measured > 0);
    let Some(clientless) = clientless else {
        return Err(format!(
            "{} copies, {} of them measured: expected at least one of each kind",
            size.replicas, size.measured
        ));
    };
    if size.replicas as u32 > NUMBERS_PER_RUN || !size.replicas.is_multiple_of(size.fleet()) {
        return Err(format!(
            "{} copies in fleets of {}: expected whole fleets, of {NUMBERS_PER_RUN} copies at most",
            size.replicas,
            size.fleet()
        ));
    }
    let processes = clientless.div_ceil(size.sidecars_per_process()) + size.measured + 1;
    let members = size.fleet() as f64 * MB_MEMBER + size.endpoints as f64 * MB_MEMBER;
    let replicas = size.replicas as f64 * (MB_REPLICA + members);
    let requirements =
        Requirements { processes, memory_mb: MB_LAB + processes as f64 * MB_PROCESS + replicas };
    let Bounds { processes, memory_mb } = size.bounds;
    if requirements.processes > processes || requirements.memory_mb > memory_mb {
        return Err(format!(
            "{} copies would need {} processes and some {:.0} MB; the bounds are {processes} and {memory_mb:.0} MB",
            size.replicas, requirements.processes, requirements.memory_mb
        ));
    }
    Ok(requirements)
}

/// One process of clientless sidecars.
struct Group {
    /// Arguments of the process.
    arguments: Vec<String>,
    count: usize,
    log: std::path::PathBuf,
    zone: usize,
    helper: Option<HelperProcess>,
}

/// A full sidecar process that is measured.
struct MeasuredSidecar {
    sidecar: Sidecar,
    console: SocketAddr,
    carries_load: bool,
}

/// Counters of a measured sidecar at one moment.
#[derive(Clone, Copy, Default)]
struct Counters {
    usage: ProcessUsage,
    datagrams_out: f64,
    bytes_out: f64,
    datagrams_in: f64,
    bytes_in: f64,
    live: usize,
}

fn fleet_status(console: SocketAddr) -> Option<Value> {
    let mut peer = Peer::new(TcpStream::connect_timeout(&console, QUERY_TIMEOUT).ok()?);
    peer.set_read_timeout(Some(QUERY_TIMEOUT));
    peer.write(b"GET /fleet HTTP/1.1\r\nHost: lab\r\nAccept: application/json\r\n\r\n").ok()?;
    let response = peer.read_response().ok().filter(|response| response.status() == Some(200))?;
    serde_json::from_slice(&response.body).ok()
}

impl MeasuredSidecar {
    fn live(&self) -> Option<usize> {
        fleet_status(self.console)?.get("live")?.as_u64().map(|live| live as usize)
    }

    fn counters(&self) -> Result<Counters, String> {
        let usage = process_usage(self.sidecar.pid(), "fleet");
        let status = fleet_status(self.console).ok_or("the console of a measured sidecar does not answer")?;
        let counter = |key: &str| status.get(key).and_then(Value::as_f64).unwrap_or(0.0);
        Ok(Counters {
            usage,
            datagrams_out: counter("sent_datagrams"),
            bytes_out: counter("sent_bytes"),
            datagrams_in: counter("heard_datagrams"),
            bytes_in: counter("heard_bytes"),
            live: counter("live") as usize,
        })
    }
}

/// Configuration of a sidecar. The program replaces the placeholders for each clientless sidecar.
const TEMPLATE: &str = "\
name = \"h{n}\"
listen = \"{listen}\"
{console}
copies = 6
zones = [\"a\", \"b\", \"c\"]
zone = \"{zone}\"
{learnt}
[discovery]
address = \"{discovery}\"
[fleet]
name = \"f{fleet}\"
listen = \"{at}:7946\"
seeds = [{seeds}]
[localities]
[[verbs]]
name = \"view\"
repeats = \"pure\"
goal = \"400ms\"
limit = \"1s\"
";

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from_be_bytes([127, 251, 0, 0]) + number as u32)
}

struct Rig<'a> {
    size: &'a RunSize,
    program: &'a Path,
    dir: &'a Path,
    base: usize,
    watches: WatchServer,
    groups: Vec<Group>,
    measured: Vec<MeasuredSidecar>,
    peak: Requirements,
}

fn error_text(error: std::io::Error) -> String {
    error.to_string()
}

/// Runs one size once.
///
/// # Errors
/// Requirements beyond the bounds, a process that does not start or ends by itself, or membership that does not
/// converge.
pub fn run(size: &RunSize, program: &Path, dir: &Path) -> Result<RunResult, String> {
    requirements(size)?;
    let servers = bench::start_servers(SERVERS)?;
    let watches = WatchServer::start().map_err(error_text)?;
    let entries: Vec<Entry> = (0..size.endpoints.max(1))
        .map(|index| Entry {
            id: format!("s{index:05}"),
            address: servers.servers[index % SERVERS].address,
            zone: ZONES[index % ZONES.len()].into(),
            cell: 0,
            state: "ready",
            weight: 1.0,
            started: None,
        })
        .collect();
    watches.publish_all(&entries);
    // Two runs of one process may be concurrent, as in tests.
    let run_number =
        std::process::id().wrapping_add(RUN_COUNT.fetch_add(1, Ordering::Relaxed)) % CONCURRENT_RUNS;
    let base = (run_number * NUMBERS_PER_RUN) as usize;
    let peak = Requirements { processes: 0, memory_mb: 0.0 };
    let mut rig = Rig { size, program, dir, base, watches, groups: Vec::new(), measured: Vec::new(), peak };
    let started_at = Instant::now();
    rig.start_clientless()?;
    rig.start_measured()?;
    let mut result =
        RunResult { join_s: rig.wait_for_members(size.fleet(), started_at)?, ..RunResult::default() };
    thread::sleep(size.settle);
    rig.measure(&entries, &mut result)?;
    if size.lose_zone && result.invalid.is_none() {
        rig.lose_a_zone(&mut result)?;
    }
    (result.processes, result.memory_mb) = (rig.peak.processes, rig.peak.memory_mb);
    Ok(result)
}

impl Rig<'_> {
    fn configuration(&self, values: &[(&str, String)]) -> String {
        values
            .iter()
            .fold(TEMPLATE.to_string(), |text, (placeholder, value)| text.replace(placeholder, value))
    }

    fn start_clientless(&mut self) -> Result<(), String> {
        let size = self.size;
        let learnt = self.dir.join("h{n}.learnt");
        let template = self.configuration(&[
            ("{listen}", "127.0.0.1:1".into()),
            ("{console}", String::new()),
            ("{learnt}", format!("learnt = {:?}", learnt.display().to_string())),
            ("{discovery}", self.watches.address.to_string()),
        ]);
        let path = self.dir.join("hollow.toml");
        std::fs::write(&path, template).map_err(error_text)?;
        let (clientless, each) = (size.replicas - size.measured, size.sidecars_per_process());
        for (number, first) in (0..clientless).step_by(each).enumerate() {
            let zone = number % ZONES.len();
            let count = each.min(clientless - first);
            let arguments: Vec<String> = format!(
                "hollow {} --first {} --count {count} --base {} --fleet-size {} --zones {}",
                path.display(),
                self.base + first,
                self.base,
                size.fleet_size,
                ZONES[zone]
            )
            .split(' ')
            .map(str::to_string)
            .collect();
            let log = self.dir.join(format!("hollow{number}.log"));
            let helper = HelperProcess::start(self.program, &arguments, &log).map_err(error_text)?;
            self.groups.push(Group { arguments, count, log, zone, helper: Some(helper) });
        }
        Ok(())
    }

    fn start_measured(&mut self) -> Result<(), String> {
        let size = self.size;
        for index in 0..size.measured {
            let number = size.replicas - size.measured + index;
            let fleet = number / size.fleet();
            let first = self.base + fleet * size.fleet();
            let seeds: Vec<String> = (first..first + size.fleet().min(SEEDS))
                .map(|seed| format!("\"{}:7946\"", address(seed)))
                .collect();
            let free_address =
                || bind_loopback().and_then(|listener| listener.local_addr()).map_err(error_text);
            let (listen, console) = (free_address()?, free_address()?);
            let text = self.configuration(&[
                ("{listen}", listen.to_string()),
                ("{console}", format!("console = \"{console}\"")),
                ("{learnt}", String::new()),
                ("{discovery}", self.watches.address.to_string()),
                ("{n}", number.to_string()),
                ("{zone}", ZONES[index % ZONES.len()].into()),
                ("{fleet}", fleet.to_string()),
                ("{at}", address(self.base + number).to_string()),
                ("{seeds}", seeds.join(", ")),
            ]);
            let name = format!("real{index}.toml");
            let sidecar = Sidecar::launch(self.program, self.dir, &name, &text, listen)?;
            self.measured.push(MeasuredSidecar {
                sidecar,
                console,
                carries_load: index * 2 >= size.measured && size.requests_per_s > 0.0,
            });
        }
        self.measured.iter_mut().try_for_each(|measured| measured.sidecar.wait_ready())
    }

    /// Records the number of processes and their memory.
    ///
    /// # Errors
    /// A bound is exceeded.
    fn check_bounds(&mut self) -> Result<(), String> {
        let own = std::process::id();
        let helpers = self.groups.iter().filter_map(|group| group.helper.as_ref()).map(HelperProcess::pid);
        let pids: Vec<u32> =
            helpers.chain(self.measured.iter().map(|measured| measured.sidecar.pid())).chain([own]).collect();
        let memory_mb = pids.iter().map(|pid| memory_mb(*pid)).sum::<f64>();
        self.peak.processes = self.peak.processes.max(pids.len());
        self.peak.memory_mb = self.peak.memory_mb.max(memory_mb);
        let Bounds { processes, memory_mb: max_memory_mb } = self.size.bounds;
        if pids.len() > processes || memory_mb > max_memory_mb {
            return Err(format!(
                "stopped: {} processes use {memory_mb:.0} MB; the bounds are {processes} and {max_memory_mb:.0} MB",
                pids.len()
            ));
        }
        Ok(())
    }

    fn check_running(&mut self) -> Result<(), String> {
        for group in &mut self.groups {
            if group.helper.as_mut().is_some_and(HelperProcess::has_exited) {
                let log = std::fs::read_to_string(&group.log).unwrap_or_default();
                return Err(format!("a process of clientless sidecars has ended\n{log}"));
            }
        }
        self.measured.iter_mut().try_for_each(|measured| measured.sidecar.check_running())
    }

    /// Waits until every measured sidecar counts `count` members; returns the seconds since `since`.
    fn wait_for_members(&mut self, count: usize, since: Instant) -> Result<f64, String> {
        loop {
            self.check_running()?;
            let live: Vec<Option<usize>> = self.measured.iter().map(MeasuredSidecar::live).collect();
            if live.iter().all(|live| *live == Some(count)) {
                return Ok(since.elapsed().as_secs_f64());
            }
            if since.elapsed() > self.size.join_timeout {
                return Err(format!(
                    "measured sidecars count {live:?} members, expected {count}, after {:?}",
                    since.elapsed()
                ));
            }
            self.check_bounds()?;
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn measure(&mut self, entries: &[Entry], result: &mut RunResult) -> Result<(), String> {
        let size = self.size;
        let targets: Vec<SocketAddr> = self
            .measured
            .iter()
            .filter(|measured| measured.carries_load)
            .map(|measured| measured.sidecar.address)
            .collect();
        let requests_per_s = size.requests_per_s * targets.len() as f64;
        let connections = 4 * targets.len();
        let plan = LoadPlan {
            targets,
            request_class: "view".into(),
            connections,
            rate: requests_per_s,
            time_limit: Duration::from_secs(1),
            warmup: Duration::from_millis(500),
            duration: size.duration,
            seed: 1,
        };
        self.check_bounds()?;
        let stopped = AtomicBool::new(false);
        let (watches, duration) = (&self.watches, size.duration);
        let (measured, groups) = (&self.measured, &self.groups);
        let outcome = thread::scope(|scope| -> Result<_, String> {
            let load_thread = (requests_per_s > 0.0).then(|| scope.spawn(|| load(&plan)));
            if size.changes_per_s > 0.0 {
                scope.spawn(|| change_weights(watches, entries, size.changes_per_s, &stopped));
            }
            thread::sleep(Duration::from_millis(500));
            let group_usage = |groups: &[Group]| -> Vec<ProcessUsage> {
                let pids = groups.iter().filter_map(|group| group.helper.as_ref()).map(HelperProcess::pid);
                pids.map(|pid| process_usage(pid, "")).collect()
            };
            let all_counters =
                || measured.iter().map(MeasuredSidecar::counters).collect::<Result<Vec<Counters>, String>>();
            let before = (all_counters(), watches.counts(), group_usage(groups), Instant::now());
            thread::sleep(duration.saturating_sub(Duration::from_millis(500)));
            let (first, source, group, started_at) = before;
            let (seconds, second) = (started_at.elapsed().as_secs_f64(), all_counters());
            let (source_after, group_after) = (watches.counts(), group_usage(groups));
            stopped.store(true, Ordering::Relaxed);
            let calls = load_thread.and_then(|thread| thread.join().ok());
            Ok((first?, second?, source, source_after, group, group_after, seconds, calls))
        })?;
        let (first, second, source, source_after, group, group_after, seconds, calls) = outcome;
        self.check_bounds()?;
        self.check_running()?;
        let busy = group.iter().zip(&group_after).map(|(before, after)| {
            let occupied = |usage: &ProcessUsage| (usage.cpu + usage.queued).as_secs_f64();
            (occupied(after) - occupied(before)) / seconds
        });
        let busy = busy.fold(0.0, f64::max);
        let count = size.fleet();
        if busy > MAX_BUSY_FRACTION {
            result.invalid = Some(format!(
                "a process of clientless sidecars ran or waited for a processor {busy:.2} of the time"
            ));
        } else if first.iter().chain(&second).any(|counters| counters.live != count) {
            result.invalid = Some("a measured sidecar did not count all members".into());
        }
        result.calls =
            calls.map(|calls| (calls.p50, calls.p99, calls.declined + calls.terminated + calls.lost));
        let add = &mut |role: &str, figure: &str, unit: &str, value: f64| {
            result.figures.push(Figure {
                role: role.into(),
                figure: figure.into(),
                unit: unit.into(),
                value,
            });
        };
        let pairs: Vec<(Counters, Counters, &MeasuredSidecar)> = first
            .into_iter()
            .zip(second)
            .zip(&self.measured)
            .map(|((a, b), measured)| (a, b, measured))
            .collect();
        // Sidecars without load show the cost of the control side, the others what load adds.
        let mean = |carries_load: bool, figure: &dyn Fn(&Counters, &Counters) -> f64| {
            let values: Vec<f64> = pairs
                .iter()
                .filter(|pair| pair.2.carries_load == carries_load)
                .map(|(a, b, _)| figure(a, b))
                .collect();
            (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
        };
        let cpu =
            |a: &Counters, b: &Counters| (b.usage.cpu.saturating_sub(a.usage.cpu)).as_secs_f64() / seconds;
        let fleet_cpu = |a: &Counters, b: &Counters| {
            b.usage.named_threads_cpu.saturating_sub(a.usage.named_threads_cpu).as_secs_f64() / seconds
        };
        let wake_ups =
            |a: &Counters, b: &Counters| b.usage.wake_ups.saturating_sub(a.usage.wake_ups) as f64 / seconds;
        let idle = mean(false, &cpu).unwrap_or(0.0);
        add("sidecar", "cpu", "cores", idle);
        add("sidecar", "wake_ups", "wake-ups/s", mean(false, &wake_ups).unwrap_or(0.0));
        let idle_memory: Vec<f64> = pairs
            .iter()
            .filter(|pair| !pair.2.carries_load)
            .map(|pair| memory_mb(pair.2.sidecar.pid()))
            .collect();
        let memory = idle_memory.iter().sum::<f64>() / idle_memory.len().max(1) as f64;
        add("sidecar", "memory", "MB", memory);
        if let Some(with_load) = mean(true, &cpu) {
            add("sidecar", "calls_cpu", "cores", (with_load - idle).max(0.0));
        }
        let fleet: [(&str, &str, SidecarFigure); 5] = [
            ("cpu", "cores", &fleet_cpu),
            ("messages_out", "messages/s", &|a, b| (b.datagrams_out - a.datagrams_out) / seconds),
            ("messages_in", "messages/s", &|a, b| (b.datagrams_in - a.datagrams_in) / seconds),
            ("bytes_out", "bytes/s", &|a, b| (b.bytes_out - a.bytes_out) / seconds),
            ("bytes_in", "bytes/s", &|a, b| (b.bytes_in - a.bytes_in) / seconds),
        ];
        let replicas = size.replicas as f64;
        let per_s = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        let calls = per_s(source.requests, source_after.requests);
        let answers = per_s(source.responses, source_after.responses);
        let (bytes_in, bytes_out) =
            (per_s(source.bytes_in, source_after.bytes_in), per_s(source.bytes_out, source_after.bytes_out));
        // The list source sends what sidecars receive, and receives what they send.
        let on_watch = [0.0, calls, answers, bytes_in, bytes_out].map(|all| all / replicas);
        for ((figure, unit, fleet_figure), watch) in fleet.into_iter().zip(on_watch) {
            let value = mean(false, fleet_figure).unwrap_or(0.0);
            add("fleet", figure, unit, value);
            if figure != "cpu" {
                add("sidecar", figure, unit, value + watch);
            }
        }
        add("discovery", "messages_out", "messages/s", answers);
        add("discovery", "bytes_out", "bytes/s", bytes_out);
        add("discovery", "cpu", "cores", per_s(source.cpu_ns, source_after.cpu_ns) / 1e9);
        add("discovery", "open_watches", "watches", source_after.open_connections as f64);
        add("discovery", "list_bytes", "bytes", self.watches.list_bytes() as f64);
        Ok(())
    }

    /// Kills the clientless sidecars of a zone and then starts them again together.
    fn lose_a_zone(&mut self, result: &mut RunResult) -> Result<(), String> {
        let lost_zone = ZONES.len() - 1;
        if self.size.fleet_size != 0 {
            return Err("a zone can be lost only in a run with a single fleet".into());
        }
        let before = self.size.fleet();
        let mut killed = 0;
        for group in self.groups.iter_mut().filter(|group| group.zone == lost_zone) {
            group.helper = None;
            killed += group.count;
        }
        result.zone_loss_s = Some(self.wait_for_members(before - killed, Instant::now())?);
        let (source, started_at) = (self.watches.counts(), Instant::now());
        for group in self.groups.iter_mut().filter(|group| group.zone == lost_zone) {
            group.helper =
                Some(HelperProcess::start(self.program, &group.arguments, &group.log).map_err(error_text)?);
        }
        result.zone_return_s = Some(self.wait_for_members(before, started_at)?);
        let source_after = self.watches.counts();
        let add = |role: &str, figure: &str, unit: &str, value: f64| Figure {
            role: role.into(),
            figure: figure.into(),
            unit: unit.into(),
            value,
        };
        let each = |all: u64| all as f64 / killed.max(1) as f64;
        result.figures.push(add("fleet", "death_known", "s", result.zone_loss_s.unwrap_or(0.0)));
        result.figures.push(add("fleet", "back_known", "s", result.zone_return_s.unwrap_or(0.0)));
        let (bytes, cpu) = (source_after.bytes_out - source.bytes_out, source_after.cpu_ns - source.cpu_ns);
        result.figures.push(add("discovery", "herd_bytes_each", "bytes", each(bytes)));
        result.figures.push(add("discovery", "herd_cpu_us_each", "us", each(cpu) / 1e3));
        Ok(())
    }
}

/// A figure of a measured sidecar, from its counters at two moments.
type SidecarFigure<'a> = &'a dyn Fn(&Counters, &Counters) -> f64;

/// Changes the weight of one entry after another, up and down, at a given rate.
fn change_weights(watches: &WatchServer, entries: &[Entry], per_s: f64, stopped: &AtomicBool) {
    let (started_at, mut done) = (Instant::now(), 0_usize);
    while !stopped.load(Ordering::Relaxed) {
        let due = (started_at.elapsed().as_secs_f64() * per_s) as usize;
        for number in done..due {
            let weight = if (number / entries.len()).is_multiple_of(2) { 2.0 } else { 1.0 };
            watches.publish(&Entry { weight, ..entries[number % entries.len()].clone() });
        }
        done = due;
        thread::sleep(Duration::from_millis(5));
    }
}

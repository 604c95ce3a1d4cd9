//! Runs a fault plan on real processes. Every path between two replicas, and between a replica and a server,
//! leads through a proxy of the lab; clients and list sources are local to each replica.
//!
//! Uses threads and blocking calls, as `sockets` does, so that the measured processes and the lab share no
//! runtime.

mod conns;
mod copy;
mod words;

use super::plan::{Fault, FaultKind, FleetPlan};
use super::views::{ProcessState, ReplicaSet, ViewChecker, ViewDeadlines, ViewResults, ViewSnapshot};
use super::weather::{NetworkFaults, Node, PathEffects};
use super::zones::{ZoneChecker, ZoneLoss, ZoneResults, ZoneSnapshot, ZoneView};
use crate::cold::ColdPeaks;
use crate::plan::{RetrySafety, WorkDistribution};
use crate::referee::{Breach, FinalOutcome};
use crate::sockets::callers::{
    ClientPlan, ClientRequestClass, CompletedRequest, RequestRate, run as run_callers,
};
use crate::sockets::{
    OverloadLimit, RuleChecker, ServedRequestClass, ServedRequestClasses, ServerConfig,
    ServerGroup as Servers,
};
use copy::ReplicaProcess;
use rustix::process::Signal;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};
use words::DatagramProxies;

/// Interval of the control loop.
const CONTROL_INTERVAL: Duration = Duration::from_millis(10);
/// Default interval between snapshots of all views.
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);
/// Bound on client connections.
const MAX_CONNECTIONS: f64 = 512.0;
/// Time in each period in which a starved replica runs.
const STARVED_RUN_TIME: Duration = Duration::from_millis(10);
const STARVED_PAUSE: Duration = Duration::from_millis(90);
/// Seconds after a disturbance of a replica's process during which its lost requests don't count as rule
/// violations.
const DISTURBANCE_S: f64 = 0.5;

/// Network faults of the run, shared by all proxies.
#[derive(Clone)]
pub struct SharedFaults(Arc<RwLock<NetworkFaults>>);

impl SharedFaults {
    fn with<T>(&self, apply: impl FnOnce(&mut NetworkFaults) -> T) -> T {
        apply(&mut self.0.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Combined effect of the active faults on the path between two nodes.
    pub fn path_effects(&self, from: Node, to: Node) -> PathEffects {
        self.0.read().unwrap_or_else(PoisonError::into_inner).path_effects(from, to)
    }
}

/// Parameters of a run that are not part of the plan.
pub struct RunOptions<'a> {
    /// Seed of network faults, clients and servers.
    pub seed: u64,
    /// Sidecar program under test.
    pub program: &'a Path,
    /// Program that faults with `old_build` start; if none, the program that ran before.
    pub old_program: Option<&'a Path>,
    /// Directory for configuration and log files.
    pub dir: &'a Path,
    /// Whether the replicas' configuration has a `[fleet]` table.
    pub with_fleet: bool,
    /// Whether replicas evacuate zones as a fleet, if the plan enables it.
    pub with_localities: bool,
    /// Interval between snapshots of all views; each query costs the replicas processor time.
    pub snapshot_interval: Duration,
}

/// Requests that were due in one second, by outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondCounts {
    /// All requests that were due.
    #[serde(rename = "came")]
    pub offered: u32,
    /// Answered requests.
    pub answered: u32,
    /// Requests that a replica rejected, with retries by the client being safe.
    pub declined: u32,
    /// Requests that ended with an error that does not say whether a retry is safe.
    pub terminated: u32,
    /// Requests without a final answer, including those whose client disconnected.
    pub lost: u32,
}

/// State of all replicas at one snapshot, for the report's lanes.
#[derive(Clone, Debug, Serialize)]
pub struct ViewSample {
    pub at: f64,
    #[serde(rename = "truth")]
    pub states: Vec<ProcessState>,
    /// Number of members that each replica counts and number of errors in its view; `None` if it could not be
    /// queried.
    pub counts: Vec<Option<(usize, usize)>>,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunResults {
    #[serde(rename = "figures")]
    pub views: ViewResults,
    pub zones: ZoneResults,
    /// At each snapshot, by zone: the zone's share, averaged over the replicas that could be queried.
    #[serde(rename = "shares")]
    pub zone_shares: Vec<(f64, Vec<f64>)>,
    pub seconds: Vec<SecondCounts>,
    #[serde(rename = "seen")]
    pub samples: Vec<ViewSample>,
    /// Number of violations of each rule.
    #[serde(rename = "broken_rules")]
    pub rule_violations: [u64; 4],
    /// Peaks of the work offered to cold servers by all replicas together.
    #[serde(rename = "cold")]
    pub cold_peaks: ColdPeaks,
    /// Descriptions of rule violations.
    pub breaches: Vec<String>,
    /// Fraction of the requests that were answered within their goal.
    #[serde(rename = "kept")]
    pub within_goal: f64,
    /// Datagrams between replicas, per replica and second.
    #[serde(rename = "datagrams")]
    pub datagrams_per_s: f64,
    /// Processor time of the replicas' current processes, in microseconds per request, from /proc with a
    /// resolution of 10 ms. Meaningful only if no process was restarted.
    #[serde(rename = "cpu_us")]
    pub cpu_us_per_request: f64,
}

/// A run in progress.
struct Rig<'a> {
    plan: &'a FleetPlan,
    options: &'a RunOptions<'a>,
    network: SharedFaults,
    datagram_proxies: DatagramProxies,
    sent_log: conns::SentLog,
    zone_checker: ZoneChecker<'a>,
    pace: Arc<RequestRate>,
    /// Zones that operators evacuated, each with the replica that received the command.
    operator_evacuations: Vec<(usize, usize)>,
    replicas: Vec<ReplicaProcess>,
    servers: Servers,
    ledger: Arc<RuleChecker>,
    stopped: Arc<AtomicBool>,
    proxy_addresses: Vec<SocketAddr>,
    started_at: Instant,
    view_checker: ViewChecker,
    starved: Arc<Mutex<Vec<usize>>>,
    pids: Arc<Mutex<Vec<u32>>>,
    partitions: Vec<usize>,
    begun_faults: Vec<usize>,
    ended_faults: Vec<usize>,
    samples: Vec<ViewSample>,
    zone_shares: Vec<(f64, Vec<f64>)>,
    /// Time until which each replica counts as disturbed, in seconds.
    disturbed: Arc<Mutex<BTreeMap<SocketAddr, f64>>>,
}

fn error_text(error: std::io::Error) -> String {
    error.to_string()
}

/// Locks a mutex even if a thread that held it has panicked.
fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the plan. `show` is called with a progress line each second.
pub fn run(plan: &FleetPlan, options: &RunOptions, show: &mut dyn FnMut(&str)) -> Result<RunResults, String> {
    let mut rig = Rig::build(plan, options)?;
    let results = rig.run(show);
    rig.shut_down();
    results
}

fn request_classes(plan: &FleetPlan) -> ServedRequestClasses {
    let request_class = |name: &str, retry_safety: RetrySafety| ServedRequestClass {
        name: name.into(),
        retry_safety,
        mean_work: plan.work,
        work_distribution: WorkDistribution::Exponential,
        downstream_calls: 0,
    };
    let classes = [
        request_class("view", RetrySafety::Idempotent),
        request_class("hold", RetrySafety::KeyedEverywhere),
        request_class("confirm", RetrySafety::NonIdempotent),
    ];
    Arc::new(classes.into())
}

impl<'a> Rig<'a> {
    fn build(plan: &'a FleetPlan, options: &'a RunOptions<'a>) -> Result<Rig<'a>, String> {
        let started_at = Instant::now();
        let network = SharedFaults(Arc::new(RwLock::new(NetworkFaults::new(plan, options.seed))));
        let ledger = Arc::new(RuleChecker::new(started_at));
        let stopped = Arc::new(AtomicBool::new(false));
        let datagram_proxies =
            DatagramProxies::start(plan.processes, &network, options.seed).map_err(error_text)?;
        let mut servers = Servers::empty();
        for index in 0..plan.servers {
            let make = ServerConfig {
                name: format!("s{index}"),
                cores: plan.cores,
                queue_limit: 64,
                speed: 1.0,
                initial_fraction: 0.3,
                warmup: copy::WARM_AFTER,
                overload_limit: Some(OverloadLimit {
                    multiple: 3.0,
                    window: Duration::from_secs(2),
                    min_requests: 8,
                }),
                drain_grace: Duration::from_secs(3),
                reports_load: false,
                next_tier: None,
                seed: options.seed,
            };
            servers.add(make, request_classes(plan), ledger.clone()).map_err(error_text)?;
        }
        let server_addresses: Vec<SocketAddr> = servers.servers.iter().map(|server| server.address).collect();
        let sent_log = conns::SentLog::default();
        let mut proxy_addresses = Vec::new();
        let mut replicas = Vec::new();
        for number in 0..plan.processes {
            let proxy = |(server, address): (usize, &SocketAddr)| {
                conns::start_proxy(number, server, *address, &network, &stopped, &sent_log)
            };
            let own_proxies: Vec<SocketAddr> = server_addresses
                .iter()
                .enumerate()
                .map(proxy)
                .collect::<std::io::Result<_>>()
                .map_err(error_text)?;
            replicas.push(ReplicaProcess::start(plan, options, number, &own_proxies, &datagram_proxies)?);
            proxy_addresses.extend(own_proxies);
        }
        replicas.iter_mut().try_for_each(|replica| replica.sidecar.wait_ready())?;
        let deadlines = ViewDeadlines {
            death: Duration::from_secs_f64(plan.death_within),
            other_change: Duration::from_secs_f64(plan.agree_within),
            partition: Duration::from_secs_f64(plan.cut_within),
        };
        let (starved, pids) = (Arc::<Mutex<Vec<usize>>>::default(), Arc::<Mutex<Vec<u32>>>::default());
        Ok(Rig {
            plan,
            options,
            network,
            datagram_proxies,
            sent_log,
            zone_checker: ZoneChecker::new(plan),
            pace: Arc::new(RequestRate::new(plan.rate_per_replica * plan.processes as f64)),
            operator_evacuations: Vec::new(),
            replicas,
            servers,
            ledger,
            stopped,
            proxy_addresses,
            started_at,
            view_checker: ViewChecker::new(deadlines),
            starved,
            pids,
            partitions: vec![0; plan.processes],
            begun_faults: Vec::new(),
            ended_faults: Vec::new(),
            samples: Vec::new(),
            zone_shares: Vec::new(),
            disturbed: Arc::default(),
        })
    }

    fn call_plan(&self) -> ClientPlan {
        let asking = |doing: &ServedRequestClass| ClientRequestClass {
            name: doing.name.clone(),
            retry_safety: doing.retry_safety,
            share: if doing.retry_safety == RetrySafety::Idempotent { 0.5 } else { 0.25 },
            time_limit: copy::LIMIT,
        };
        let rate = self.plan.rate_per_replica * self.plan.processes as f64;
        let min_connections = 2.0 * self.plan.processes as f64;
        let load_factor =
            |number: usize| if number.is_multiple_of(4) { self.plan.hot_replica_factor } else { 1 };
        let addresses = self.replicas.iter().map(|replica| replica.sidecar.address).enumerate();
        let targets: Vec<SocketAddr> =
            addresses.flat_map(|(number, address)| vec![address; load_factor(number)]).collect();
        // Each connection starts with the next target, so there are at least twice as many as targets.
        let min_connections = min_connections.max(2.0 * targets.len() as f64);
        ClientPlan {
            targets,
            request_classes: request_classes(self.plan).iter().map(asking).collect(),
            tenants: vec![("acme".into(), 1.0)],
            connections: (rate * copy::LIMIT.as_secs_f64()).clamp(min_connections, MAX_CONNECTIONS) as usize,
            duration: Duration::from_secs_f64(self.plan.seconds),
            seed: self.options.seed,
            id_prefix: "c".into(),
            retry_non_idempotent: false,
        }
    }

    fn run(&mut self, show: &mut dyn FnMut(&str)) -> Result<RunResults, String> {
        let call_plan = self.call_plan();
        let pace = self.pace.clone();
        let stop = AtomicBool::new(false);
        let seconds = Mutex::new(Vec::<SecondCounts>::new());
        let within_goal = Mutex::new((0u64, 0u64));
        let (ledger, disturbed) = (self.ledger.clone(), self.disturbed.clone());
        let repeats: Vec<RetrySafety> =
            request_classes(self.plan).iter().map(|doing| doing.retry_safety).collect();
        self.started_at = Instant::now();
        let started_at = self.started_at;
        let record = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
            let (seconds, ledger, disturbed, repeats, within_goal) =
                (&seconds, &ledger, &disturbed, &repeats, &within_goal);
            Box::new(move |done: &CompletedRequest| {
                record_outcome(seconds, ledger, disturbed, repeats, within_goal, done);
            })
        };
        let starver = self.start_starver();
        let cpu_before = self.cpu_seconds();
        let outcome = thread::scope(|scope| {
            let callers = scope.spawn(|| run_callers(&call_plan, &pace, &stop, started_at, &record));
            let driven = self.drive(show, &seconds);
            stop.store(true, Ordering::Relaxed);
            let joined = callers.join().map_err(|_| "a client thread panicked".to_string());
            driven.and(joined)
        });
        self.stopped.store(true, Ordering::Relaxed);
        let _ = starver.join();
        outcome?;
        let (breaches, rule_violations) = self.ledger.results();
        let view_checker = std::mem::replace(
            &mut self.view_checker,
            ViewChecker::new(ViewDeadlines {
                death: CONTROL_INTERVAL,
                other_change: CONTROL_INTERVAL,
                partition: CONTROL_INTERVAL,
            }),
        );
        let (answered, offered) = *locked(&within_goal);
        let cpu = (self.cpu_seconds() - cpu_before).max(0.0);
        let zone_checker = std::mem::replace(&mut self.zone_checker, ZoneChecker::new(self.plan));
        let datagrams = self.datagram_proxies.received.load(Ordering::Relaxed) as f64;
        Ok(RunResults {
            views: view_checker.finish(),
            zones: zone_checker.finish(&self.sent_log.since(self.started_at)),
            zone_shares: std::mem::take(&mut self.zone_shares),
            seconds: locked(&seconds).clone(),
            samples: std::mem::take(&mut self.samples),
            rule_violations,
            cold_peaks: self.cold_peaks(),
            breaches: breaches.iter().map(Breach::to_string).collect(),
            within_goal: answered as f64 / offered.max(1) as f64,
            datagrams_per_s: datagrams / self.plan.seconds / self.plan.processes as f64,
            cpu_us_per_request: cpu * 1e6 / offered.max(1) as f64,
        })
    }

    /// Processor time of the replicas' current processes, in seconds.
    fn cpu_seconds(&self) -> f64 {
        self.replicas.iter().filter_map(|replica| process_cpu_seconds(replica.sidecar.pid())).sum()
    }

    fn cold_peaks(&self) -> ColdPeaks {
        let mut peaks = ColdPeaks::default();
        self.servers.servers.iter().for_each(|server| peaks.merge(&server.cold_peaks()));
        peaks
    }

    /// The control loop: starts and ends faults, takes snapshots, and shows progress.
    fn drive(
        &mut self,
        show: &mut dyn FnMut(&str),
        seconds: &Mutex<Vec<SecondCounts>>,
    ) -> Result<(), String> {
        let length = self.plan.seconds;
        let (mut snapshot_at, mut second) = (Duration::ZERO, 1);
        loop {
            let now = self.started_at.elapsed();
            if now.as_secs_f64() >= length {
                return Ok(());
            }
            self.update_faults(now.as_secs_f64())?;
            if snapshot_at <= now {
                snapshot_at = now + self.options.snapshot_interval;
                self.snapshot_views(now.as_secs_f64());
                if self.plan.localities {
                    self.snapshot_zones(now.as_secs_f64());
                }
            }
            if now.as_secs() >= second {
                second = now.as_secs() + 1;
                show(&self.progress_line(now.as_secs() as usize, seconds));
                self.replicas.iter_mut().try_for_each(ReplicaProcess::check_running)?;
            }
            thread::sleep(CONTROL_INTERVAL);
        }
    }

    fn progress_line(&self, second: usize, seconds: &Mutex<Vec<SecondCounts>>) -> String {
        let seconds = locked(seconds);
        let SecondCounts { offered, answered, declined, lost, .. } =
            seconds.get(second.saturating_sub(1)).cloned().unwrap_or_default();
        let wrong_views = self.samples.last().map_or(0, |sample| {
            sample.counts.iter().filter(|count| count.is_some_and(|(_, errors)| errors > 0)).count()
        });
        let active = self.network.with(|network| network.active().to_vec());
        let labels: Vec<String> = active.iter().map(|fault| self.plan.faults[*fault].label()).collect();
        format!(
            "{second:3} s  came {offered:4}  answered {answered:4}  declined {declined:3}  lost {lost:2}  \
             views that err {wrong_views:2}  {}",
            labels.join("; ")
        )
    }

    fn update_faults(&mut self, now: f64) -> Result<(), String> {
        let plan = self.plan;
        for (number, fault) in plan.faults.iter().enumerate() {
            if !self.begun_faults.contains(&number) && now >= fault.at {
                self.begun_faults.push(number);
                self.begin_fault(number, fault)?;
            }
            let has_ended = now >= fault.at + fault.duration;
            if self.begun_faults.contains(&number) && !self.ended_faults.contains(&number) && has_ended {
                self.ended_faults.push(number);
                self.end_fault(number, fault)?;
            }
        }
        Ok(())
    }

    fn affected_replicas(&self, number: usize) -> Vec<usize> {
        self.network.with(|network| network.affected_replicas(number))
    }

    /// Marks a replica as disturbed until a time in seconds.
    fn disturb(&self, replica: usize, until: f64) {
        let mut disturbed = locked(&self.disturbed);
        let known = disturbed.entry(self.replicas[replica].sidecar.address).or_default();
        *known = known.max(until);
    }

    fn begin_fault(&mut self, number: usize, fault: &Fault) -> Result<(), String> {
        let until = fault.at + fault.duration + DISTURBANCE_S;
        self.partitions = self.network.with(|network| {
            network.begin(number);
            network.partitions()
        });
        self.update_servers(fault, true);
        self.set_surge(fault, fault.factor.unwrap_or(1.0));
        if fault.kind == FaultKind::Leave {
            return self.send_zone_command(fault, true);
        }
        if !fault.affects_processes() {
            return Ok(());
        }
        for replica in self.affected_replicas(number) {
            self.disturb(replica, until);
            let process = &mut self.replicas[replica];
            match fault.kind {
                FaultKind::Kill => process.kill(),
                FaultKind::Term => process.terminate(),
                FaultKind::Stop => process.pause(),
                _ => locked(&self.starved).push(replica),
            }
        }
        self.update_starved_pids();
        Ok(())
    }

    fn end_fault(&mut self, number: usize, fault: &Fault) -> Result<(), String> {
        self.partitions = self.network.with(|network| {
            network.end(number);
            network.partitions()
        });
        self.update_servers(fault, false);
        self.set_surge(fault, 1.0);
        if fault.kind == FaultKind::Leave {
            return self.send_zone_command(fault, false);
        }
        if !fault.affects_processes() {
            return Ok(());
        }
        let build = if fault.old_build { self.options.old_program } else { Some(self.options.program) };
        for replica in self.affected_replicas(number) {
            let process = &mut self.replicas[replica];
            match fault.kind {
                FaultKind::Kill | FaultKind::Term => process.restart(build)?,
                FaultKind::Stop => process.resume(),
                _ => {
                    let mut starved = locked(&self.starved);
                    if let Some(at) = starved.iter().position(|known| *known == replica) {
                        starved.swap_remove(at);
                    }
                    process.sidecar.signal(Signal::CONT);
                }
            }
        }
        self.update_starved_pids();
        Ok(())
    }

    /// Sets the clients' rate for a surge.
    fn set_surge(&self, fault: &Fault, factor: f64) {
        if fault.kind == FaultKind::Surge {
            self.pace.set(self.plan.rate_per_replica * self.plan.processes as f64 * factor);
        }
    }

    /// Applies a fault on servers, or ends it.
    fn update_servers(&self, fault: &Fault, begins: bool) {
        for server in (0..self.plan.servers).filter(|server| fault.affects_server(*server, &self.plan.zones))
        {
            match (fault.kind, begins) {
                (FaultKind::Crash, true) => self.stop_server(server),
                (FaultKind::Crash, false) | (FaultKind::Start, true) => self.start_server(server),
                (FaultKind::Slow, _) => {
                    let slowdown = fault.factor.filter(|_| begins).unwrap_or(1.0);
                    self.servers.servers[server].update_state(|state| state.slowdown = slowdown);
                }
                _ => {}
            }
        }
    }

    /// Sends the command to the first running replica of the fault's group, or of all replicas.
    fn send_zone_command(&mut self, fault: &Fault, leave: bool) -> Result<(), String> {
        let zone = self.plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref()).unwrap_or(0);
        let is_running = |replica: &usize| {
            self.replicas.get(*replica).is_some_and(|replica| replica.state == ProcessState::Runs)
        };
        let named = fault.replicas.iter().copied().find(is_running);
        let replica = named.or_else(|| (0..self.replicas.len()).find(is_running)).unwrap_or(0);
        if !self.replicas[replica].send_zone_command(&self.plan.zones[zone], leave) {
            return Err(format!(
                "c{replica} rejected the operator command on zone {}",
                self.plan.zones[zone]
            ));
        }
        self.operator_evacuations.retain(|(known, _)| *known != zone);
        if leave {
            self.operator_evacuations.push((zone, replica));
        }
        Ok(())
    }

    /// Whether and why each replica must not use each zone, by replica and zone.
    fn zone_losses(&self) -> Vec<Vec<ZoneLoss>> {
        let zones = self.plan.zones.len();
        let down: Vec<bool> = self.servers.servers.iter().map(|server| server.state().down).collect();
        let cut = |replica: usize, server: usize| {
            let (replica, server) = (Node::Replica(replica), Node::Server(server));
            self.network.path_effects(replica, server).cut || self.network.path_effects(server, replica).cut
        };
        let loss = |replica: usize, zone: usize| {
            let mut servers = (0..self.plan.servers).filter(|server| server % zones == zone).peekable();
            let has_servers = servers.peek().is_some();
            let command = self.operator_evacuations.iter().find(|(known, _)| *known == zone);
            match () {
                () if has_servers && servers.all(|server| down[server] || cut(replica, server)) => {
                    ZoneLoss::Unreachable
                }
                () if command
                    .is_some_and(|(_, receiver)| self.partitions[*receiver] == self.partitions[replica]) =>
                {
                    ZoneLoss::Evacuated
                }
                () => ZoneLoss::Usable,
            }
        };
        (0..self.replicas.len()).map(|replica| (0..zones).map(|zone| loss(replica, zone)).collect()).collect()
    }

    fn snapshot_zones(&mut self, now: f64) {
        let views: Vec<Option<Vec<ZoneView>>> =
            self.replicas.iter().map(ReplicaProcess::zone_views).collect();
        let reported: Vec<&Vec<ZoneView>> = views.iter().flatten().collect();
        let mean_share = |zone: usize| {
            reported.iter().map(|view| view[zone].share).sum::<f64>() / reported.len().max(1) as f64
        };
        self.zone_shares.push((now, (0..self.plan.zones.len()).map(mean_share).collect()));
        let runs = self.replicas.iter().map(|replica| replica.state == ProcessState::Runs).collect();
        let snapshot = ZoneSnapshot { at: now, runs, losses: self.zone_losses(), views };
        self.zone_checker.observe(&snapshot);
    }

    fn stop_server(&self, server: usize) {
        self.servers.servers[server].update_state(|state| state.down = true);
    }

    /// Starts a server with cold caches and updates every list.
    fn start_server(&self, server: usize) {
        self.servers.servers[server].update_state(|state| {
            (state.down, state.cold_since) = (false, Some(Instant::now()));
        });
        self.replicas.iter().for_each(|replica| replica.announce_started(server));
    }

    fn update_starved_pids(&self) {
        let starved = locked(&self.starved);
        *locked(&self.pids) = starved
            .iter()
            .filter(|replica| self.replicas[**replica].state == ProcessState::Runs)
            .map(|replica| self.replicas[*replica].sidecar.pid())
            .collect();
    }

    /// Starts a thread that gives starved replicas a tenth of the processor time until the run is over.
    fn start_starver(&self) -> thread::JoinHandle<()> {
        let (pids, stopped) = (self.pids.clone(), self.stopped.clone());
        let signal_all = move |signal: Signal| {
            for pid in locked(&pids).iter() {
                if let Some(pid) = rustix::process::Pid::from_raw(*pid as i32) {
                    let _ = rustix::process::kill_process(pid, signal);
                }
            }
        };
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                signal_all(Signal::STOP);
                thread::sleep(STARVED_PAUSE);
                signal_all(Signal::CONT);
                thread::sleep(STARVED_RUN_TIME);
            }
        })
    }

    fn snapshot_views(&mut self, now: f64) {
        let addresses = &self.datagram_proxies.advertised_addresses;
        let replica_of: BTreeMap<String, usize> =
            addresses.iter().enumerate().map(|(replica, address)| (address.to_string(), replica)).collect();
        let views: Vec<Option<ReplicaSet>> = self
            .replicas
            .iter()
            .enumerate()
            .map(|(number, replica)| {
                let addresses = replica.live_members()?;
                Some(ReplicaSet::new(
                    addresses.iter().filter_map(|address| replica_of.get(address).copied()).chain([number]),
                ))
            })
            .collect();
        let (is_too_lossy, is_degraded, has_one_way_cut) = self
            .network
            .with(|network| (network.is_too_lossy(), network.is_degraded(), network.has_one_way_cut()));
        let states: Vec<ProcessState> = self.replicas.iter().map(|replica| replica.state).collect();
        let partitions = self.partitions.clone();
        let snapshot = ViewSnapshot {
            at: now,
            states: states.clone(),
            partitions,
            views,
            is_too_lossy,
            is_degraded,
            has_one_way_cut,
        };
        let errors = self.view_checker.observe(&snapshot);
        let counts = snapshot.views.iter().zip(errors);
        let counts = counts.map(|(view, errors)| view.as_ref().map(|view| (view.len(), errors))).collect();
        self.samples.push(ViewSample { at: now, states, counts });
    }

    fn shut_down(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.replicas.clear();
        self.proxy_addresses.iter().for_each(|address| conns::unblock_listener(*address));
    }
}

/// Counts a finished request and reports it to the ledger.
fn record_outcome(
    seconds: &Mutex<Vec<SecondCounts>>,
    ledger: &RuleChecker,
    disturbed: &Mutex<BTreeMap<SocketAddr, f64>>,
    repeats: &[RetrySafety],
    within_goal: &Mutex<(u64, u64)>,
    done: &CompletedRequest,
) {
    let latency = done.ended.saturating_sub(done.intended);
    {
        let mut seconds = locked(seconds);
        let at = done.intended.as_secs() as usize;
        if seconds.len() <= at {
            seconds.resize(at + 1, SecondCounts::default());
        }
        let second = &mut seconds[at];
        second.offered += 1;
        match done.outcome {
            FinalOutcome::Answered => second.answered += 1,
            FinalOutcome::Declined => second.declined += 1,
            FinalOutcome::Terminated => second.terminated += 1,
            _ => second.lost += 1,
        }
    }
    {
        let mut within_goal = locked(within_goal);
        within_goal.1 += 1;
        within_goal.0 += u64::from(done.outcome == FinalOutcome::Answered && latency <= copy::GOAL);
    }
    if done.outcome == FinalOutcome::Declined {
        ledger.request_declined(done.request_id, repeats[done.request_class]);
    }
    let until = locked(disturbed).get(&done.target).copied().unwrap_or(f64::NEG_INFINITY);
    if let Some(why) = done.lost_reason.filter(|_| done.intended.as_secs_f64() > until) {
        ledger.missing_response(done.request_id, why);
    }
}

fn process_cpu_seconds(pid: u32) -> Option<f64> {
    /// Linux reports processor time in /proc in hundredths of a second on every machine.
    const TICKS_PER_S: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name before the parenthesis may contain blanks.
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_S)
}

/// Creates an empty directory for a run's files.
pub fn run_dir(name: &str) -> Result<PathBuf, String> {
    crate::sockets::run_dir(&format!("fleet-{name}"))
}

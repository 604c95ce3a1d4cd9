//! Runs a scenario on real sockets: its tiers as test servers, its replicas as `landingspread` processes, its clients
//! as threads, and its faults at their times. Unlike in virtual time, not every queue is visible: the rules are checked
//! as far as servers and clients can see.

use super::callers::{ClientPlan, ClientRequestClass, CompletedRequest, RequestRate, run};
use super::child::Sidecar;
use super::discovery::{Discovery, DiscoveryFault, Entry};
use super::ejection_log::ejection_note;
use super::fleet::{ServedRequestClass, ServedRequestClasses, Server, ServerConfig, ServerGroup};
use super::ledger::RuleChecker;
use super::ports::unused_address_v4;
use super::settings::{SidecarParameters, sidecar_config};
use crate::plan::{Fault, FaultKind, Scenario, to_duration};
use crate::referee::FinalOutcome;
use crate::report::RunReport;
use crate::tally::Statistics;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Interval at which faults, lists and logs are processed.
const CONTROL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_CONNECTIONS: f64 = 512.0;

/// One second of a running scenario, for display.
pub struct SecondSummary<'a> {
    /// Number of the second, from 0 on.
    pub second: usize,
    /// Statistics of this second.
    pub statistics: &'a crate::tally::Second,
    /// Name, state and requests per core of each server.
    pub servers: Vec<(String, &'static str, f64)>,
    /// Labels of the active faults.
    pub faults: Vec<String>,
}

struct Tier {
    server_group: ServerGroup,
    discovery: Arc<Discovery>,
    sidecars: Vec<Sidecar>,
    request_classes: ServedRequestClasses,
}

/// The processes and servers of a scenario while it runs.
pub struct TestEnvironment {
    plan: Scenario,
    tiers: Vec<Tier>,
    rule_checker: Arc<RuleChecker>,
    began: Instant,
    /// Entries that discovery has yet to publish: when, for which tier, and the entry.
    pending_entries: Vec<(Duration, usize, Entry)>,
    /// Faults in effect, by number.
    active_faults: Vec<usize>,
    ended_faults: Vec<usize>,
    /// When stopped replicas start again, and their numbers.
    stopped_replicas: Vec<(Duration, usize)>,
    /// When a repeating fault has its next step, its number, and the number of the step.
    fault_steps: Vec<(Duration, usize, u32)>,
    /// When drained servers go down, with their tier and number.
    removals: Vec<(Duration, usize, usize)>,
    seed: u64,
}

/// Runs a scenario with real processes. `show` is called with the summary of each second.
pub fn run_scenario(
    plan: &Scenario,
    seed: u64,
    program: &Path,
    dir: &Path,
    show: &mut dyn FnMut(&SecondSummary),
) -> Result<RunReport, String> {
    if let Some(fault) = plan.first_virtual_time_only_fault() {
        return Err(format!("{} is available in virtual time only", fault.label()));
    }
    let mut environment = TestEnvironment::build(plan, seed, program, dir)?;
    let report = environment.run(show)?;
    environment.stop();
    Ok(report)
}

fn served_request_classes(plan: &Scenario, tier: usize) -> ServedRequestClasses {
    let last = tier + 1 >= plan.tiers.len();
    let served_class = |class: &crate::plan::RequestClass| ServedRequestClass {
        name: class.name.clone(),
        retry_safety: class.retry_safety,
        mean_work: class.mean_work(tier),
        work_distribution: class.work_distribution,
        downstream_calls: if last { 0 } else { class.downstream_calls },
    };
    Arc::new(plan.request_classes.iter().map(served_class).collect())
}

fn io_message(error: std::io::Error) -> String {
    error.to_string()
}

impl TestEnvironment {
    fn build(plan: &Scenario, seed: u64, program: &Path, dir: &Path) -> Result<TestEnvironment, String> {
        let began = Instant::now();
        let mut environment = TestEnvironment {
            plan: plan.clone(),
            tiers: Vec::new(),
            rule_checker: Arc::new(RuleChecker::new(began)),
            began,
            pending_entries: Vec::new(),
            active_faults: Vec::new(),
            ended_faults: Vec::new(),
            stopped_replicas: Vec::new(),
            fault_steps: Vec::new(),
            removals: Vec::new(),
            seed,
        };
        // Starts with the last tier: the servers of each tier call the next one through its sidecars.
        let mut next_sidecars: Vec<Sidecar> = Vec::new();
        for tier in (0..plan.tiers.len()).rev() {
            let discovery = Discovery::start().map_err(io_message)?;
            let mut tier_state = Tier {
                server_group: ServerGroup::empty(),
                discovery,
                sidecars: Vec::new(),
                request_classes: served_request_classes(plan, tier),
            };
            for index in 0..plan.tiers[tier].servers {
                let address =
                    (!next_sidecars.is_empty()).then(|| next_sidecars[index % next_sidecars.len()].address);
                environment.add_server(&mut tier_state, tier, index, address)?;
            }
            if let Some(next) = environment.tiers.first_mut() {
                next.sidecars = std::mem::take(&mut next_sidecars);
            }
            next_sidecars = environment.start_replicas(&tier_state, tier, program, dir)?;
            environment.tiers.insert(0, tier_state);
        }
        if let Some(first) = environment.tiers.first_mut() {
            first.sidecars = next_sidecars;
        }
        Ok(environment)
    }

    fn add_server(
        &self,
        tier: &mut Tier,
        number: usize,
        index: usize,
        next_tier: super::fleet::NextTier,
    ) -> Result<Arc<Server>, String> {
        let plan = &self.plan.tiers[number];
        let config = ServerConfig {
            name: format!("t{number}s{index}"),
            cores: plan.cores,
            queue_limit: plan.queue_limit,
            speed: plan.speeds[index % plan.speeds.len()],
            initial_fraction: plan.cold_start.initial_fraction,
            warmup: to_duration(plan.cold_start.warmup),
            overload_limit: None,
            drain_grace: to_duration(self.plan.rules.removal_grace)
                + to_duration(self.plan.discovery.delay)
                + Duration::from_millis(100),
            reports_load: plan.load_reports != crate::plan::ReportedLoad::None,
            next_tier,
            seed: self.seed,
        };
        let server = tier
            .server_group
            .add(config, tier.request_classes.clone(), self.rule_checker.clone())
            .map_err(io_message)?;
        tier.discovery.publish(self.entry(number, index, &server, "ready", None));
        Ok(server)
    }

    /// The entry of a server in the endpoint list.
    fn entry(
        &self,
        tier: usize,
        index: usize,
        server: &Server,
        state: &'static str,
        started: Option<SystemTime>,
    ) -> Entry {
        let zones = self.plan.zones.len();
        Entry {
            id: server.config.name.clone(),
            address: server.address,
            zone: self.plan.zones[index % zones].clone(),
            cell: (index / zones) as u32 % self.plan.tiers[tier].cells,
            state,
            weight: if self.plan.tiers[tier].lists_weights { server.config.speed } else { 1.0 },
            started,
        }
    }

    fn start_replicas(
        &self,
        tier: &Tier,
        number: usize,
        program: &Path,
        dir: &Path,
    ) -> Result<Vec<Sidecar>, String> {
        let replicas = self.plan.front.replicas;
        let start_replica = |ordinal: usize| {
            let name = format!("t{number}n{ordinal}");
            let listen = unused_address_v4().into();
            let parameters = SidecarParameters {
                name: &name,
                listen,
                discovery: tier.discovery.address,
                initial_endpoints: tier.discovery.snapshot(),
                tier: number,
                replicas,
                ordinal,
                zone: ordinal % self.plan.zones.len(),
                seed: self.seed + ordinal as u64,
                sockets: 1024,
                memory_mb: 192,
            };
            Sidecar::start(program, dir, &name, &sidecar_config(&self.plan, &parameters))
        };
        (0..replicas).map(start_replica).collect()
    }

    fn client_plan(&self) -> ClientPlan {
        let limit = self.plan.request_classes.iter().map(|class| class.time_limit).fold(0.0, f64::max);
        let client_class = |class: &crate::plan::RequestClass| ClientRequestClass {
            name: class.name.clone(),
            retry_safety: class.retry_safety,
            share: class.share,
            time_limit: to_duration(class.time_limit),
        };
        ClientPlan {
            targets: self.tiers[0].sidecars.iter().map(|sidecar| sidecar.address).collect(),
            request_classes: self.plan.request_classes.iter().map(client_class).collect(),
            tenants: self.plan.tenants.iter().map(|tenant| (tenant.name.clone(), tenant.share)).collect(),
            connections: (self.plan.load.rate * limit).clamp(8.0, MAX_CONNECTIONS) as usize,
            duration: to_duration(self.plan.seconds),
            seed: self.seed,
            id_prefix: "c".into(),
            retry_non_idempotent: true,
        }
    }

    fn run(&mut self, show: &mut dyn FnMut(&SecondSummary)) -> Result<RunReport, String> {
        let client_plan = self.client_plan();
        let statistics =
            Mutex::new(Statistics::new(to_duration(self.plan.settle), self.plan.tenants.len(), 0));
        let (rate, stop) = (RequestRate::new(self.plan.load.rate), AtomicBool::new(false));
        // Requests that a killed replica held are lost by the fault: they do not break a rule.
        let strict = !self
            .plan
            .faults
            .iter()
            .any(|f| matches!(f.kind, FaultKind::ReplicasRestarted | FaultKind::ZoneLost));
        let (rule_checker, plan) = (self.rule_checker.clone(), self.plan.clone());
        self.began = Instant::now();
        let began = self.began;
        let observer = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
            let (statistics, rule_checker, plan) = (&statistics, &rule_checker, &plan);
            Box::new(move |completed: &CompletedRequest| {
                let mut statistics = statistics.lock().unwrap_or_else(PoisonError::into_inner);
                record_request(&mut statistics, rule_checker, plan, completed, strict);
            })
        };
        let finished = thread::scope(|scope| {
            let clients = scope.spawn(|| run(&client_plan, &rate, &stop, began, &observer));
            let finished = self.run_until_end(&statistics, &rate, show);
            stop.store(true, Ordering::Relaxed);
            let joined = clients.join().map_err(|_| "a client thread panicked".to_string());
            finished.and(joined)
        });
        finished?;
        let (breaches, counts) = self.rule_checker.results();
        let statistics = statistics.into_inner().unwrap_or_else(PoisonError::into_inner);
        let (mut totals, seconds, ejections) = statistics.finish();
        // The servers count the requests of the whole run, including the settling time.
        let received = |server: &Arc<Server>| server.received_requests.load(Ordering::Relaxed);
        totals.attempts = self.tiers[0].server_group.servers.iter().map(received).sum();
        let arrived: u64 = seconds.iter().map(|second| u64::from(second.arrived)).sum();
        totals.attempts_per_request = totals.attempts as f64 / arrived.max(1) as f64;
        Ok(RunReport {
            name: "landingspread on sockets".into(),
            totals,
            seconds,
            ejections,
            breach_counts: counts,
            breaches: breaches.iter().map(ToString::to_string).collect(),
        })
    }

    fn run_until_end(
        &mut self,
        statistics: &Mutex<Statistics>,
        rate: &RequestRate,
        show: &mut dyn FnMut(&SecondSummary),
    ) -> Result<(), String> {
        let length = to_duration(self.plan.seconds);
        let mut second = 0;
        while self.began.elapsed() < length {
            thread::sleep(CONTROL_INTERVAL);
            let now = self.began.elapsed();
            self.update_faults(now, rate)?;
            self.publish_due_entries(now);
            self.restart_replicas(now)?;
            for tier in &mut self.tiers {
                let replicas = tier.sidecars.iter_mut().enumerate();
                let mut statistics = statistics.lock().unwrap_or_else(PoisonError::into_inner);
                for (replica, sidecar) in replicas {
                    for line in sidecar.new_log_lines() {
                        record_ejection(&mut statistics, now, replica, &line);
                    }
                }
            }
            if now.as_secs() as usize > second {
                let loads = self.loads();
                let mut statistics = statistics.lock().unwrap_or_else(PoisonError::into_inner);
                statistics.end_second(now, &loads);
                if let Some(last_second) = statistics.last_second() {
                    show(&SecondSummary {
                        second,
                        statistics: last_second,
                        servers: self.server_states(),
                        faults: self.fault_labels(),
                    });
                }
                second += 1;
                drop(statistics);
                self.check_running()?;
            }
        }
        Ok(())
    }

    fn check_running(&mut self) -> Result<(), String> {
        let stopped_replicas: Vec<usize> =
            self.stopped_replicas.iter().map(|(_, replica)| *replica).collect();
        for (tier, tier_state) in self.tiers.iter_mut().enumerate() {
            for (replica, sidecar) in tier_state.sidecars.iter_mut().enumerate() {
                if tier > 0 || !stopped_replicas.contains(&replica) {
                    sidecar.check_running()?;
                }
            }
        }
        Ok(())
    }

    fn loads(&self) -> Vec<f64> {
        self.tiers
            .iter()
            .flat_map(|tier| tier.server_group.servers.iter().map(|server| server.load()))
            .collect()
    }

    fn server_states(&self) -> Vec<(String, &'static str, f64)> {
        let server_state = |server: &Arc<Server>| {
            let state = server.state();
            let label = match state {
                _ if state.down => "down",
                _ if state.silent => "silent",
                _ if state.paused => "paused",
                _ if state.draining_since.is_some() => "drains",
                _ if state.error_fraction > 0.0 => "errors",
                _ if state.slowdown > 1.0 => "slow",
                _ => "up",
            };
            (server.config.name.clone(), label, server.load())
        };
        self.tiers.iter().flat_map(|tier| tier.server_group.servers.iter().map(server_state)).collect()
    }

    fn fault_labels(&self) -> Vec<String> {
        self.active_faults.iter().map(|number| self.plan.faults[*number].label()).collect()
    }

    fn update_faults(&mut self, now: Duration, rate: &RequestRate) -> Result<(), String> {
        for (number, fault) in self.plan.clone().faults.iter().enumerate() {
            let begun = self.active_faults.contains(&number) || self.ended_faults.contains(&number);
            if !begun && now >= to_duration(fault.at) {
                self.active_faults.push(number);
                self.begin_fault(number, fault, now)?;
                self.apply_faults();
            }
            if self.active_faults.contains(&number) && now >= to_duration(fault.at + fault.duration) {
                self.active_faults.retain(|active| *active != number);
                self.ended_faults.push(number);
                self.end_fault(fault, now);
                self.apply_faults();
            }
        }
        let due: Vec<(usize, u32)> = self
            .fault_steps
            .iter()
            .filter(|(at, _, _)| *at <= now)
            .map(|(_, number, step)| (*number, *step))
            .collect();
        self.fault_steps.retain(|(at, _, _)| *at > now);
        due.into_iter().for_each(|(number, step)| self.run_fault_step(number, step, now));
        let gone: Vec<(usize, usize)> = self
            .removals
            .iter()
            .filter(|(at, _, _)| *at <= now)
            .map(|(_, tier, index)| (*tier, *index))
            .collect();
        self.removals.retain(|(at, _, _)| *at > now);
        for (tier, index) in gone {
            self.tiers[tier].server_group.servers[index].update_state(|state| state.down = true);
            self.schedule_entry(tier, index, "gone", None, now);
        }
        let surges = self.active_faults.iter().map(|number| &self.plan.faults[*number]);
        let factor: f64 = surges.filter(|f| f.kind == FaultKind::Surge).filter_map(|f| f.factor).product();
        rate.set(self.plan.load.rate * factor);
        Ok(())
    }

    fn affected_servers(&self, fault: &Fault) -> Vec<Arc<Server>> {
        let servers = &self.tiers[fault.tier].server_group.servers;
        fault.servers.iter().filter_map(|index| servers.get(*index).cloned()).collect()
    }

    /// Schedules a change of a server's entry for the time when discovery publishes it.
    fn schedule_entry(
        &mut self,
        tier: usize,
        index: usize,
        state: &'static str,
        started: Option<SystemTime>,
        now: Duration,
    ) {
        let active_faults = self.active_faults.iter().map(|number| &self.plan.faults[*number]);
        let added_delay: f64 = active_faults
            .filter(|fault| fault.kind == FaultKind::ListLate && fault.tier == tier)
            .filter_map(|fault| fault.seconds)
            .sum();
        let server = self.tiers[tier].server_group.servers[index].clone();
        let mut entry = self.entry(tier, index, &server, state, started);
        if started.is_none()
            && let Some(listed) = self.tiers[tier].discovery.entry(&entry.id)
        {
            entry.started = listed.started;
        }
        self.pending_entries.push((now + to_duration(self.plan.discovery.delay + added_delay), tier, entry));
    }

    fn publish_due_entries(&mut self, now: Duration) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.pending_entries.drain(..).partition(|(at, _, _)| *at <= now);
        self.pending_entries = later;
        for (_, tier, entry) in due {
            self.tiers[tier].discovery.publish(entry);
        }
    }

    /// Sets the state of each server and discovery from all active faults, as faults overlap.
    fn apply_faults(&mut self) {
        let faults: Vec<Fault> =
            self.active_faults.iter().map(|number| self.plan.faults[*number].clone()).collect();
        for (tier, tier_state) in self.tiers.iter().enumerate() {
            for (index, server) in tier_state.server_group.servers.iter().enumerate() {
                let affects_server = |fault: &&Fault| fault.tier == tier && fault.servers.contains(&index);
                let server_fault = |kind: FaultKind| {
                    faults.iter().filter(affects_server).find(move |fault| fault.kind == kind)
                };
                let tier_fault = |kind: FaultKind| {
                    faults.iter().find(move |fault| fault.kind == kind && fault.tier == tier)
                };
                let slow = server_fault(FaultKind::Slow).and_then(|fault| fault.factor).unwrap_or(1.0);
                let shared =
                    tier_fault(FaultKind::SharedSlowness).and_then(|fault| fault.factor).unwrap_or(1.0);
                server.update_state(|state| {
                    state.slowdown = slow * shared;
                    state.error_fraction =
                        server_fault(FaultKind::Errors).and_then(|fault| fault.share).unwrap_or(0.0);
                    state.error_class =
                        server_fault(FaultKind::Errors).and_then(|fault| fault.request_class.clone());
                    state.heavy_factor =
                        tier_fault(FaultKind::Heavy).and_then(|fault| fault.factor).unwrap_or(1.0);
                    state.heavy_fraction =
                        tier_fault(FaultKind::Heavy).map_or(0.0, |fault| fault.share.unwrap_or(1.0));
                    state.paused = server_fault(FaultKind::Pause).is_some();
                    state.false_load =
                        server_fault(FaultKind::FalseLoadReports).and_then(|fault| fault.false_load);
                });
            }
        }
        for (tier, tier_state) in self.tiers.iter().enumerate() {
            let has = |kind: FaultKind| faults.iter().any(|fault| fault.kind == kind && fault.tier == tier);
            let discovery_fault = match () {
                () if has(FaultKind::ListDown) => DiscoveryFault::Down,
                () if has(FaultKind::ListEmpty) => DiscoveryFault::Empty,
                () if has(FaultKind::ListStale) => DiscoveryFault::Stale,
                () => DiscoveryFault::None,
            };
            tier_state.discovery.set_fault_if_changed(discovery_fault);
        }
    }

    fn begin_fault(&mut self, number: usize, fault: &Fault, now: Duration) -> Result<(), String> {
        let removal_delay = to_duration(self.plan.discovery.removal_delay);
        match fault.kind {
            FaultKind::Crash | FaultKind::Vanish => {
                for (server, index) in self.affected_servers(fault).into_iter().zip(&fault.servers) {
                    server.update_state(|state| match fault.kind {
                        FaultKind::Crash => state.down = true,
                        _ => state.silent = true,
                    });
                    // Discovery does not notice an absence that is shorter than its removal delay.
                    if fault.duration > self.plan.discovery.removal_delay {
                        self.schedule_entry(fault.tier, *index, "gone", None, now + removal_delay);
                    }
                }
            }
            FaultKind::HalfOpen => {
                let mark_half_open =
                    |state: &mut super::fleet::ServerState| state.half_open_before = Some(Instant::now());
                self.affected_servers(fault).iter().for_each(|server| server.update_state(mark_half_open));
            }
            FaultKind::Grow => self.add_new_servers(fault, now)?,
            FaultKind::Shrink => {
                for (server, index) in self.affected_servers(fault).into_iter().zip(&fault.servers) {
                    self.schedule_entry(fault.tier, *index, "draining", None, now);
                    server.update_state(|state| state.draining_since = Some(Instant::now()));
                    self.removals.push((
                        now + to_duration(self.plan.discovery.drain_time),
                        fault.tier,
                        *index,
                    ));
                }
            }
            FaultKind::ListFlapping | FaultKind::ReplicasRestarted => self.fault_steps.push((now, number, 0)),
            FaultKind::ZoneLost => self.lose_zone(fault, now),
            _ => {}
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: &Fault, now: Duration) {
        match fault.kind {
            FaultKind::Crash | FaultKind::Vanish => {
                fault.servers.iter().for_each(|index| self.start_server(fault.tier, *index, now));
            }
            FaultKind::ListFlapping => {
                fault
                    .servers
                    .iter()
                    .for_each(|index| self.schedule_entry(fault.tier, *index, "ready", None, now));
            }
            FaultKind::ZoneLost => {
                for tier in 0..self.tiers.len() {
                    for index in self.servers_in_zone(tier, fault) {
                        self.start_server(tier, index, now);
                    }
                }
            }
            _ => {}
        }
    }

    /// Starts a server again; it is cold, as a new process.
    fn start_server(&mut self, tier: usize, index: usize, now: Duration) {
        let server = self.tiers[tier].server_group.servers[index].clone();
        server.update_state(|state| {
            (state.down, state.silent, state.cold_since) = (false, false, Some(Instant::now()));
        });
        // Scheduled entries about the previous process are outdated.
        let name = server.config.name.clone();
        self.pending_entries.retain(|(_, _, entry)| entry.id != name);
        self.schedule_entry(tier, index, "ready", Some(SystemTime::now()), now);
    }

    fn add_new_servers(&mut self, fault: &Fault, now: Duration) -> Result<(), String> {
        for _ in 0..fault.count.unwrap_or(0) {
            let index = self.tiers[fault.tier].server_group.servers.len();
            let next_tier = self.tiers.get(fault.tier + 1).and_then(|next| {
                (!next.sidecars.is_empty()).then(|| next.sidecars[index % next.sidecars.len()].address)
            });
            let mut tier = self.tiers.remove(fault.tier);
            let added = self.add_server(&mut tier, fault.tier, index, next_tier);
            self.tiers.insert(fault.tier, tier);
            added?.update_state(|state| state.cold_since = Some(Instant::now()));
            self.schedule_entry(fault.tier, index, "ready", Some(SystemTime::now()), now);
        }
        Ok(())
    }

    fn servers_in_zone(&self, tier: usize, fault: &Fault) -> Vec<usize> {
        let zone = self.plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref());
        let count = self.tiers[tier].server_group.servers.len();
        (0..count).filter(|index| Some(index % self.plan.zones.len()) == zone).collect()
    }

    fn lose_zone(&mut self, fault: &Fault, now: Duration) {
        for tier in 0..self.tiers.len() {
            for index in self.servers_in_zone(tier, fault) {
                self.tiers[tier].server_group.servers[index].update_state(|state| state.silent = true);
                self.schedule_entry(
                    tier,
                    index,
                    "gone",
                    None,
                    now + to_duration(self.plan.discovery.removal_delay),
                );
            }
        }
        let zone = self.plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref());
        for replica in 0..self.tiers[0].sidecars.len() {
            if Some(replica % self.plan.zones.len()) == zone {
                self.tiers[0].sidecars[replica].kill();
                self.stopped_replicas.push((to_duration(fault.at + fault.duration), replica));
            }
        }
    }

    fn run_fault_step(&mut self, number: usize, step: u32, now: Duration) {
        let fault = self.plan.faults[number].clone();
        let every = to_duration(fault.seconds.unwrap_or(1.0));
        match fault.kind {
            FaultKind::ListFlapping if self.active_faults.contains(&number) => {
                let state = if step.is_multiple_of(2) { "draining" } else { "ready" };
                fault
                    .servers
                    .iter()
                    .for_each(|index| self.schedule_entry(fault.tier, *index, state, None, now));
            }
            FaultKind::ReplicasRestarted if (step as usize) < self.plan.affected_replicas(&fault) => {
                self.tiers[0].sidecars[step as usize].kill();
                self.stopped_replicas.push((now + Duration::from_secs(1), step as usize));
            }
            _ => return,
        }
        self.fault_steps.push((now + every, number, step + 1));
    }

    fn restart_replicas(&mut self, now: Duration) -> Result<(), String> {
        let due: Vec<usize> =
            self.stopped_replicas.iter().filter(|(at, _)| *at <= now).map(|(_, replica)| *replica).collect();
        self.stopped_replicas.retain(|(at, _)| *at > now);
        due.into_iter().try_for_each(|replica| self.tiers[0].sidecars[replica].restart())
    }

    fn stop(&mut self) {
        self.tiers.iter_mut().for_each(|tier| {
            tier.sidecars.clear();
            tier.discovery.stop();
        });
    }
}

/// Records a finished request in the statistics and with the rule checker. Lost requests break a rule if `strict`.
fn record_request(
    statistics: &mut Statistics,
    rule_checker: &RuleChecker,
    plan: &Scenario,
    completed: &CompletedRequest,
    strict: bool,
) {
    let class = &plan.request_classes[completed.request_class];
    statistics.record_arrival(completed.intended, class.utility, completed.tenant);
    statistics.record_final_outcome(completed.ended, completed.intended, completed.outcome);
    let latency = completed.ended.saturating_sub(completed.intended).as_secs_f64();
    if completed.outcome == FinalOutcome::Answered {
        let earned = if latency <= class.latency_objective { class.utility } else { class.late_utility };
        statistics.record_utility(completed.ended, completed.intended, earned, completed.tenant);
    }
    if completed.outcome == FinalOutcome::Declined {
        rule_checker.request_declined(completed.request_id, class.retry_safety);
    }
    if let Some(why) = completed.lost_reason.filter(|_| strict) {
        rule_checker.missing_response(completed.request_id, why);
    }
}

/// Records an ejection or return that a log line of a sidecar reports.
fn record_ejection(statistics: &mut Statistics, now: Duration, replica: usize, line: &str) {
    if let Some(note) = ejection_note(line) {
        statistics.record_note(now, replica, &note);
    }
}

/// Creates a directory for a run's files in the system's directory for temporary files.
pub fn run_dir(name: &str) -> Result<PathBuf, String> {
    let dir = std::env::temp_dir().join(format!("landingspread-lab-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|error| format!("{}: {error}", dir.display()))?;
    Ok(dir)
}

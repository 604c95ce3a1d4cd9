//! A scenario on real sockets: its tiers as stand-in servers, its copies as `landingspread` processes, its clients
//! as callers, its faults at their times. What the emulated world knows of every queue can't be seen here: the
//! rules are checked as far as stand-ins see them.

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

const TICK: Duration = Duration::from_millis(50);
const CONNECTIONS_MOST: f64 = 512.0;

/// One second of a running scene, for whoever shows it.
pub struct SecondSummary<'a> {
    pub second: usize,
    /// This second's figures.
    pub statistics: &'a crate::tally::Second,
    pub servers: Vec<(String, &'static str, f64)>,
    pub faults: Vec<String>,
}

struct Tier {
    fleet: ServerGroup,
    discovery: Arc<Discovery>,
    sidecars: Vec<Sidecar>,
    verbs: ServedRequestClasses,
}

pub struct TestEnvironment {
    plan: Scenario,
    tiers: Vec<Tier>,
    ledger: Arc<RuleChecker>,
    began: Instant,
    /// Words of the list source that are still to come: when, of which tier, what.
    words: Vec<(Duration, usize, Entry)>,
    active: Vec<usize>,
    ended: Vec<usize>,
    /// Copies that are away, and when they start again.
    away: Vec<(Duration, usize)>,
    steps: Vec<(Duration, usize, u32)>,
    leaving: Vec<(Duration, usize, usize)>,
    seed: u64,
}

/// Plays a scenario with real processes. `show` hears of each second.
pub fn run_scenario(
    plan: &Scenario,
    seed: u64,
    program: &Path,
    dir: &Path,
    show: &mut dyn FnMut(&SecondSummary),
) -> Result<RunReport, String> {
    if let Some(fault) = plan.first_virtual_time_only_fault() {
        return Err(format!("{} can be played in virtual time only", fault.label()));
    }
    let mut scene = TestEnvironment::build(plan, seed, program, dir)?;
    let line = scene.run(show)?;
    scene.end();
    Ok(line)
}

fn doing(plan: &Scenario, tier: usize) -> ServedRequestClasses {
    let last = tier + 1 >= plan.tiers.len();
    let one = |verb: &crate::plan::RequestClass| ServedRequestClass {
        name: verb.name.clone(),
        retry_safety: verb.retry_safety,
        mean_work: verb.mean_work(tier),
        work_distribution: verb.work_distribution,
        downstream_calls: if last { 0 } else { verb.downstream_calls },
    };
    Arc::new(plan.request_classes.iter().map(one).collect())
}

fn io_told(wrong: std::io::Error) -> String {
    wrong.to_string()
}

impl TestEnvironment {
    fn build(plan: &Scenario, seed: u64, program: &Path, dir: &Path) -> Result<TestEnvironment, String> {
        let began = Instant::now();
        let mut scene = TestEnvironment {
            plan: plan.clone(),
            tiers: Vec::new(),
            ledger: Arc::new(RuleChecker::new(began)),
            began,
            words: Vec::new(),
            active: Vec::new(),
            ended: Vec::new(),
            away: Vec::new(),
            steps: Vec::new(),
            leaving: Vec::new(),
            seed,
        };
        // The last tier first: those before it call it by its sidecars.
        let mut behind: Vec<Sidecar> = Vec::new();
        for tier in (0..plan.tiers.len()).rev() {
            let discovery = Discovery::start().map_err(io_told)?;
            let mut built = Tier {
                fleet: ServerGroup::empty(),
                discovery,
                sidecars: Vec::new(),
                verbs: doing(plan, tier),
            };
            for place in 0..plan.tiers[tier].servers {
                let address = (!behind.is_empty()).then(|| behind[place % behind.len()].address);
                scene.add_server(&mut built, tier, place, address)?;
            }
            if let Some(next) = scene.tiers.first_mut() {
                next.sidecars = std::mem::take(&mut behind);
            }
            behind = scene.start_copies(&built, tier, program, dir)?;
            scene.tiers.insert(0, built);
        }
        if let Some(first) = scene.tiers.first_mut() {
            first.sidecars = behind;
        }
        Ok(scene)
    }

    fn add_server(
        &self,
        tier: &mut Tier,
        number: usize,
        place: usize,
        behind: super::fleet::NextTier,
    ) -> Result<Arc<Server>, String> {
        let plan = &self.plan.tiers[number];
        let make = ServerConfig {
            name: format!("t{number}s{place}"),
            cores: plan.cores,
            queue_limit: plan.queue_limit,
            speed: plan.speeds[place % plan.speeds.len()],
            initial_fraction: plan.cold_start.initial_fraction,
            warmup: to_duration(plan.cold_start.warmup),
            overload_limit: None,
            drain_grace: to_duration(self.plan.rules.removal_grace)
                + to_duration(self.plan.discovery.delay)
                + Duration::from_millis(100),
            reports_load: plan.load_reports != crate::plan::ReportedLoad::None,
            next_tier: behind,
            seed: self.seed,
        };
        let server = tier.fleet.add(make, tier.verbs.clone(), self.ledger.clone()).map_err(io_told)?;
        tier.discovery.publish(self.entry(number, place, &server, "ready", None));
        Ok(server)
    }

    fn entry(
        &self,
        tier: usize,
        place: usize,
        server: &Server,
        state: &'static str,
        started: Option<SystemTime>,
    ) -> Entry {
        let zones = self.plan.zones.len();
        Entry {
            id: server.config.name.clone(),
            address: server.address,
            zone: self.plan.zones[place % zones].clone(),
            cell: (place / zones) as u32 % self.plan.tiers[tier].cells,
            state,
            weight: if self.plan.tiers[tier].lists_weights { server.config.speed } else { 1.0 },
            started,
        }
    }

    fn start_copies(
        &self,
        tier: &Tier,
        number: usize,
        program: &Path,
        dir: &Path,
    ) -> Result<Vec<Sidecar>, String> {
        let copies = self.plan.front.replicas;
        let one = |ordinal: usize| {
            let name = format!("t{number}n{ordinal}");
            let listen = unused_address_v4().into();
            let told = SidecarParameters {
                name: &name,
                listen,
                discovery: tier.discovery.address,
                initial_endpoints: tier.discovery.snapshot(),
                tier: number,
                replicas: copies,
                ordinal,
                zone: ordinal % self.plan.zones.len(),
                seed: self.seed + ordinal as u64,
                sockets: 1024,
                memory_mb: 192,
            };
            Sidecar::start(program, dir, &name, &sidecar_config(&self.plan, &told))
        };
        (0..copies).map(one).collect()
    }

    fn call_plan(&self) -> ClientPlan {
        let limit = self.plan.request_classes.iter().map(|verb| verb.time_limit).fold(0.0, f64::max);
        let asking = |verb: &crate::plan::RequestClass| ClientRequestClass {
            name: verb.name.clone(),
            retry_safety: verb.retry_safety,
            share: verb.share,
            time_limit: to_duration(verb.time_limit),
        };
        ClientPlan {
            targets: self.tiers[0].sidecars.iter().map(|sidecar| sidecar.address).collect(),
            request_classes: self.plan.request_classes.iter().map(asking).collect(),
            tenants: self.plan.tenants.iter().map(|tenant| (tenant.name.clone(), tenant.share)).collect(),
            connections: (self.plan.load.rate * limit).clamp(8.0, CONNECTIONS_MOST) as usize,
            duration: to_duration(self.plan.seconds),
            seed: self.seed,
            id_prefix: "c".into(),
            retry_non_idempotent: true,
        }
    }

    fn run(&mut self, show: &mut dyn FnMut(&SecondSummary)) -> Result<RunReport, String> {
        let calls = self.call_plan();
        let tally = Mutex::new(Statistics::new(to_duration(self.plan.settle), self.plan.tenants.len(), 0));
        let (pace, stop) = (RequestRate::new(self.plan.load.rate), AtomicBool::new(false));
        // Where copies die, what they held is lost: no decision of theirs.
        let strict = !self
            .plan
            .faults
            .iter()
            .any(|f| matches!(f.kind, FaultKind::ReplicasRestarted | FaultKind::ZoneLost));
        let (ledger, plan) = (self.ledger.clone(), self.plan.clone());
        self.began = Instant::now();
        let began = self.began;
        let watch = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
            let (tally, ledger, plan) = (&tally, &ledger, &plan);
            Box::new(move |done: &CompletedRequest| {
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                note(&mut tally, ledger, plan, done, strict);
            })
        };
        let driven = thread::scope(|scope| {
            let callers = scope.spawn(|| run(&calls, &pace, &stop, began, &watch));
            let driven = self.drive(&tally, &pace, show);
            stop.store(true, Ordering::Relaxed);
            let joined = callers.join().map_err(|_| "a caller's thread has panicked".to_string());
            driven.and(joined)
        });
        driven?;
        let (breaches, counts) = self.ledger.results();
        let tally = tally.into_inner().unwrap_or_else(PoisonError::into_inner);
        let (mut totals, seconds, marks) = tally.finish();
        // Stand-ins count what came to them over the whole run, the settling time included.
        let taken = |server: &Arc<Server>| server.received_requests.load(Ordering::Relaxed);
        totals.attempts = self.tiers[0].fleet.servers.iter().map(taken).sum();
        let came: u64 = seconds.iter().map(|second| u64::from(second.arrived)).sum();
        totals.attempts_per_request = totals.attempts as f64 / came.max(1) as f64;
        Ok(RunReport {
            name: "landingspread on sockets".into(),
            totals,
            seconds,
            ejections: marks,
            breach_counts: counts,
            breaches: breaches.iter().map(ToString::to_string).collect(),
        })
    }

    fn drive(
        &mut self,
        tally: &Mutex<Statistics>,
        pace: &RequestRate,
        show: &mut dyn FnMut(&SecondSummary),
    ) -> Result<(), String> {
        let length = to_duration(self.plan.seconds);
        let mut second = 0;
        while self.began.elapsed() < length {
            thread::sleep(TICK);
            let now = self.began.elapsed();
            self.faults(now, pace)?;
            self.say_words(now);
            self.restart_copies(now)?;
            for tier in &mut self.tiers {
                let copies = tier.sidecars.iter_mut().enumerate();
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                for (copy, sidecar) in copies {
                    for line in sidecar.new_log_lines() {
                        note_mark(&mut tally, now, copy, &line);
                    }
                }
            }
            if now.as_secs() as usize > second {
                let loads = self.loads();
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                tally.end_second(now, &loads);
                if let Some(of) = tally.last_second() {
                    show(&SecondSummary {
                        second,
                        statistics: of,
                        servers: self.standing(),
                        faults: self.fault_names(),
                    });
                }
                second += 1;
                drop(tally);
                self.must_run()?;
            }
        }
        Ok(())
    }

    fn must_run(&mut self) -> Result<(), String> {
        let away: Vec<usize> = self.away.iter().map(|(_, copy)| *copy).collect();
        for (tier, built) in self.tiers.iter_mut().enumerate() {
            for (copy, sidecar) in built.sidecars.iter_mut().enumerate() {
                if tier > 0 || !away.contains(&copy) {
                    sidecar.check_running()?;
                }
            }
        }
        Ok(())
    }

    fn loads(&self) -> Vec<f64> {
        self.tiers.iter().flat_map(|tier| tier.fleet.servers.iter().map(|server| server.load())).collect()
    }

    fn standing(&self) -> Vec<(String, &'static str, f64)> {
        let one = |server: &Arc<Server>| {
            let serving = server.state();
            let standing = match serving {
                _ if serving.down => "down",
                _ if serving.silent => "silent",
                _ if serving.paused => "paused",
                _ if serving.draining_since.is_some() => "drains",
                _ if serving.error_fraction > 0.0 => "errors",
                _ if serving.slowdown > 1.0 => "slow",
                _ => "up",
            };
            (server.config.name.clone(), standing, server.load())
        };
        self.tiers.iter().flat_map(|tier| tier.fleet.servers.iter().map(one)).collect()
    }

    fn fault_names(&self) -> Vec<String> {
        self.active.iter().map(|number| self.plan.faults[*number].label()).collect()
    }

    fn faults(&mut self, now: Duration, pace: &RequestRate) -> Result<(), String> {
        for (number, fault) in self.plan.clone().faults.iter().enumerate() {
            let begun = self.active.contains(&number) || self.ended.contains(&number);
            if !begun && now >= to_duration(fault.at) {
                self.active.push(number);
                self.begin(number, fault, now)?;
                self.settle();
            }
            if self.active.contains(&number) && now >= to_duration(fault.at + fault.duration) {
                self.active.retain(|active| *active != number);
                self.ended.push(number);
                self.finish(fault, now);
                self.settle();
            }
        }
        let due: Vec<(usize, u32)> = self
            .steps
            .iter()
            .filter(|(at, _, _)| *at <= now)
            .map(|(_, number, step)| (*number, *step))
            .collect();
        self.steps.retain(|(at, _, _)| *at > now);
        due.into_iter().for_each(|(number, step)| self.step(number, step, now));
        let gone: Vec<(usize, usize)> = self
            .leaving
            .iter()
            .filter(|(at, _, _)| *at <= now)
            .map(|(_, tier, place)| (*tier, *place))
            .collect();
        self.leaving.retain(|(at, _, _)| *at > now);
        for (tier, place) in gone {
            self.tiers[tier].fleet.servers[place].update_state(|serving| serving.down = true);
            self.tell(tier, place, "gone", None, now);
        }
        let surges = self.active.iter().map(|number| &self.plan.faults[*number]);
        let factor: f64 = surges.filter(|f| f.kind == FaultKind::Surge).filter_map(|f| f.factor).product();
        pace.set(self.plan.load.rate * factor);
        Ok(())
    }

    fn struck(&self, fault: &Fault) -> Vec<Arc<Server>> {
        let servers = &self.tiers[fault.tier].fleet.servers;
        fault.servers.iter().filter_map(|place| servers.get(*place).cloned()).collect()
    }

    /// Queues what the list says of a server, for when the source tells it.
    fn tell(
        &mut self,
        tier: usize,
        place: usize,
        state: &'static str,
        started: Option<SystemTime>,
        now: Duration,
    ) {
        let late = self.active.iter().map(|number| &self.plan.faults[*number]);
        let late: f64 = late
            .filter(|fault| fault.kind == FaultKind::ListLate && fault.tier == tier)
            .filter_map(|fault| fault.seconds)
            .sum();
        let server = self.tiers[tier].fleet.servers[place].clone();
        let mut entry = self.entry(tier, place, &server, state, started);
        if started.is_none()
            && let Some(known) = self.tiers[tier].discovery.entry(&entry.id)
        {
            entry.started = known.started;
        }
        self.words.push((now + to_duration(self.plan.discovery.delay + late), tier, entry));
    }

    fn say_words(&mut self, now: Duration) {
        let (due, later): (Vec<_>, Vec<_>) = self.words.drain(..).partition(|(at, _, _)| *at <= now);
        self.words = later;
        for (_, tier, entry) in due {
            self.tiers[tier].discovery.publish(entry);
        }
    }

    /// Makes each server do what the active faults say: those overlap, so it is reckoned anew.
    fn settle(&mut self) {
        let faults: Vec<Fault> = self.active.iter().map(|number| self.plan.faults[*number].clone()).collect();
        for (tier, built) in self.tiers.iter().enumerate() {
            for (place, server) in built.fleet.servers.iter().enumerate() {
                let mine = |fault: &&Fault| fault.tier == tier && fault.servers.contains(&place);
                let of = |kind: FaultKind| faults.iter().filter(mine).find(move |fault| fault.kind == kind);
                let all = |kind: FaultKind| {
                    faults.iter().find(move |fault| fault.kind == kind && fault.tier == tier)
                };
                let slow = of(FaultKind::Slow).and_then(|fault| fault.factor).unwrap_or(1.0);
                let shared = all(FaultKind::SharedSlowness).and_then(|fault| fault.factor).unwrap_or(1.0);
                server.update_state(|serving| {
                    serving.slowdown = slow * shared;
                    serving.error_fraction =
                        of(FaultKind::Errors).and_then(|fault| fault.share).unwrap_or(0.0);
                    serving.error_class = of(FaultKind::Errors).and_then(|fault| fault.request_class.clone());
                    serving.heavy_factor =
                        all(FaultKind::Heavy).and_then(|fault| fault.factor).unwrap_or(1.0);
                    serving.heavy_fraction =
                        all(FaultKind::Heavy).map_or(0.0, |fault| fault.share.unwrap_or(1.0));
                    serving.paused = of(FaultKind::Pause).is_some();
                    serving.false_load = of(FaultKind::FalseLoadReports).and_then(|fault| fault.false_load);
                });
            }
        }
        for (tier, built) in self.tiers.iter().enumerate() {
            let has = |kind: FaultKind| faults.iter().any(|fault| fault.kind == kind && fault.tier == tier);
            let trouble = match () {
                () if has(FaultKind::ListDown) => DiscoveryFault::Down,
                () if has(FaultKind::ListEmpty) => DiscoveryFault::Empty,
                () if has(FaultKind::ListStale) => DiscoveryFault::Stale,
                () => DiscoveryFault::None,
            };
            built.discovery.set_fault_if_changed(trouble);
        }
    }

    fn begin(&mut self, number: usize, fault: &Fault, now: Duration) -> Result<(), String> {
        let notice = to_duration(self.plan.discovery.removal_delay);
        match fault.kind {
            FaultKind::Crash | FaultKind::Vanish => {
                for (server, place) in self.struck(fault).into_iter().zip(&fault.servers) {
                    server.update_state(|serving| match fault.kind {
                        FaultKind::Crash => serving.down = true,
                        _ => serving.silent = true,
                    });
                    // A short absence is over before the list notices it.
                    if fault.duration > self.plan.discovery.removal_delay {
                        self.tell(fault.tier, *place, "gone", None, now + notice);
                    }
                }
            }
            FaultKind::HalfOpen => {
                let forget =
                    |serving: &mut super::fleet::ServerState| serving.half_open_before = Some(Instant::now());
                self.struck(fault).iter().for_each(|server| server.update_state(forget));
            }
            FaultKind::Grow => self.grow(fault, now)?,
            FaultKind::Shrink => {
                for (server, place) in self.struck(fault).into_iter().zip(&fault.servers) {
                    self.tell(fault.tier, *place, "draining", None, now);
                    server.update_state(|serving| serving.draining_since = Some(Instant::now()));
                    self.leaving.push((
                        now + to_duration(self.plan.discovery.drain_time),
                        fault.tier,
                        *place,
                    ));
                }
            }
            FaultKind::ListFlapping | FaultKind::ReplicasRestarted => self.steps.push((now, number, 0)),
            FaultKind::ZoneLost => self.lose_zone(fault, now),
            _ => {}
        }
        Ok(())
    }

    fn finish(&mut self, fault: &Fault, now: Duration) {
        match fault.kind {
            FaultKind::Crash | FaultKind::Vanish => {
                fault.servers.iter().for_each(|place| self.start_server(fault.tier, *place, now));
            }
            FaultKind::ListFlapping => {
                fault.servers.iter().for_each(|place| self.tell(fault.tier, *place, "ready", None, now));
            }
            FaultKind::ZoneLost => {
                for tier in 0..self.tiers.len() {
                    for place in self.places_in(tier, fault) {
                        self.start_server(tier, place, now);
                    }
                }
            }
            _ => {}
        }
    }

    /// It comes back cold, as a process that has just started.
    fn start_server(&mut self, tier: usize, place: usize, now: Duration) {
        let server = self.tiers[tier].fleet.servers[place].clone();
        server.update_state(|serving| {
            (serving.down, serving.silent, serving.cold_since) = (false, false, Some(Instant::now()));
        });
        // What it said of its end is overtaken.
        let name = server.config.name.clone();
        self.words.retain(|(_, _, entry)| entry.id != name);
        self.tell(tier, place, "ready", Some(SystemTime::now()), now);
    }

    fn grow(&mut self, fault: &Fault, now: Duration) -> Result<(), String> {
        for _ in 0..fault.count.unwrap_or(0) {
            let place = self.tiers[fault.tier].fleet.servers.len();
            let behind = self.tiers.get(fault.tier + 1).and_then(|next| {
                (!next.sidecars.is_empty()).then(|| next.sidecars[place % next.sidecars.len()].address)
            });
            let mut tier = self.tiers.remove(fault.tier);
            let added = self.add_server(&mut tier, fault.tier, place, behind);
            self.tiers.insert(fault.tier, tier);
            added?.update_state(|serving| serving.cold_since = Some(Instant::now()));
            self.tell(fault.tier, place, "ready", Some(SystemTime::now()), now);
        }
        Ok(())
    }

    fn places_in(&self, tier: usize, fault: &Fault) -> Vec<usize> {
        let zone = self.plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref());
        let count = self.tiers[tier].fleet.servers.len();
        (0..count).filter(|place| Some(place % self.plan.zones.len()) == zone).collect()
    }

    fn lose_zone(&mut self, fault: &Fault, now: Duration) {
        for tier in 0..self.tiers.len() {
            for place in self.places_in(tier, fault) {
                self.tiers[tier].fleet.servers[place].update_state(|serving| serving.silent = true);
                self.tell(tier, place, "gone", None, now + to_duration(self.plan.discovery.removal_delay));
            }
        }
        let zone = self.plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref());
        for copy in 0..self.tiers[0].sidecars.len() {
            if Some(copy % self.plan.zones.len()) == zone {
                self.tiers[0].sidecars[copy].kill();
                self.away.push((to_duration(fault.at + fault.duration), copy));
            }
        }
    }

    fn step(&mut self, number: usize, step: u32, now: Duration) {
        let fault = self.plan.faults[number].clone();
        let every = to_duration(fault.seconds.unwrap_or(1.0));
        match fault.kind {
            FaultKind::ListFlapping if self.active.contains(&number) => {
                let state = if step.is_multiple_of(2) { "draining" } else { "ready" };
                fault.servers.iter().for_each(|place| self.tell(fault.tier, *place, state, None, now));
            }
            FaultKind::ReplicasRestarted if (step as usize) < self.plan.affected_replicas(&fault) => {
                self.tiers[0].sidecars[step as usize].kill();
                self.away.push((now + Duration::from_secs(1), step as usize));
            }
            _ => return,
        }
        self.steps.push((now + every, number, step + 1));
    }

    fn restart_copies(&mut self, now: Duration) -> Result<(), String> {
        let due: Vec<usize> = self.away.iter().filter(|(at, _)| *at <= now).map(|(_, copy)| *copy).collect();
        self.away.retain(|(at, _)| *at > now);
        due.into_iter().try_for_each(|copy| self.tiers[0].sidecars[copy].restart())
    }

    fn end(&mut self) {
        self.tiers.iter_mut().for_each(|tier| {
            tier.sidecars.clear();
            tier.discovery.stop();
        });
    }
}

fn note(
    tally: &mut Statistics,
    ledger: &RuleChecker,
    plan: &Scenario,
    done: &CompletedRequest,
    strict: bool,
) {
    let verb = &plan.request_classes[done.request_class];
    tally.record_arrival(done.intended, verb.utility, done.tenant);
    tally.record_final_outcome(done.ended, done.intended, done.outcome);
    let took = done.ended.saturating_sub(done.intended).as_secs_f64();
    if done.outcome == FinalOutcome::Answered {
        let earned = if took <= verb.latency_objective { verb.utility } else { verb.late_utility };
        tally.record_utility(done.ended, done.intended, earned, done.tenant);
    }
    if done.outcome == FinalOutcome::Declined {
        ledger.request_declined(done.request_id, verb.retry_safety);
    }
    if let Some(why) = done.lost_reason.filter(|_| strict) {
        ledger.missing_response(done.request_id, why);
    }
}

/// Notes the ejections and returns in the sidecars' logs.
fn note_mark(tally: &mut Statistics, now: Duration, copy: usize, line: &str) {
    if let Some(note) = ejection_note(line) {
        tally.record_note(now, copy, &note);
    }
}

/// A folder for a run's files, made anew.
pub fn run_dir(name: &str) -> Result<PathBuf, String> {
    let dir = std::env::temp_dir().join(format!("landingspread-lab-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|wrong| format!("{}: {wrong}", dir.display()))?;
    Ok(dir)
}

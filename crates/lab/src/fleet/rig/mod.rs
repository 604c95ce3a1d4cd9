//! A plan of faults round real processes. Every path between two copies, and between a copy and a server, leads through
//! the lab; callers and list sources stand beside each copy. It owns the processes, the order of the run, and what was seen.
//!
//! Threads and blocking calls, as in `sockets`: what is measured must not share its run-time with what measures.

mod conns;
mod copy;
mod words;

use super::plan::{Fault, FleetPlan, Kind};
use super::views::{Allowed, Figures, Judge, Look, Set, Truth};
use super::weather::{Fate, Party, Weather};
use super::zones::{self, Lost};
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
use copy::Copy;
use rustix::process::Signal;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};
use words::Words;

const TICK: Duration = Duration::from_millis(10);
/// How often views are asked for, where nothing else is wanted.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
const CONNECTIONS_MOST: f64 = 512.0;
/// A starved copy runs for the first part of each turn.
const STARVED_RUNS: Duration = Duration::from_millis(10);
const STARVED_WAITS: Duration = Duration::from_millis(90);
/// For so long after a copy was disturbed, what it loses is not its decisions' fault.
const DISTURBED: f64 = 0.5;

/// What lies between any two parties now.
#[derive(Clone)]
pub struct Sky(Arc<RwLock<Weather>>);

impl Sky {
    fn with<T>(&self, what: impl FnOnce(&mut Weather) -> T) -> T {
        what(&mut self.0.write().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn fate(&self, from: Party, to: Party) -> Fate {
        self.0.read().unwrap_or_else(PoisonError::into_inner).fate(from, to)
    }
}

/// What a run needs beside its plan.
pub struct Ways<'a> {
    pub seed: u64,
    pub program: &'a Path,
    /// The build that faults with `old_build` start; the same where none is given.
    pub old: Option<&'a Path>,
    pub dir: &'a Path,
    /// Whether copies have the `[fleet]` part at all.
    pub with_fleet: bool,
    /// Whether they leave zones as a fleet, where the plan says so.
    pub with_localities: bool,
    /// How often all views are asked for: each asking costs the copies some time.
    pub look_every: Duration,
}

/// One second of the service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    pub came: u32,
    pub answered: u32,
    pub declined: u32,
    pub terminated: u32,
    pub lost: u32,
}

/// How a copy was at one look, for its lane on the page.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    pub at: f64,
    pub truth: Vec<Truth>,
    /// How many each counts, and in how many it errs; none where it could not be asked.
    pub counts: Vec<Option<(usize, usize)>>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Played {
    pub figures: Figures,
    pub zones: zones::Figures,
    /// At each look, by zone: its share as the copies that could be asked hold it, on average.
    pub shares: Vec<(f64, Vec<f64>)>,
    pub seconds: Vec<Second>,
    pub seen: Vec<Seen>,
    pub broken_rules: [u64; 4],
    /// What cold servers were brought by all copies together.
    pub cold: ColdPeaks,
    pub breaches: Vec<String>,
    /// The share of the commands that were answered within their goal.
    pub kept: f64,
    /// Datagrams that copies sent each other, a copy and second.
    pub datagrams: f64,
    /// Processor time of the copies' processes as they are at the end, in microseconds for each command that came; as
    /// /proc tells it, by the hundredth of a second. It says something where none was restarted.
    pub cpu_us: f64,
}

struct Rig<'a> {
    plan: &'a FleetPlan,
    ways: &'a Ways<'a>,
    sky: Sky,
    words: Words,
    sent: conns::Sent,
    zones: zones::Judge<'a>,
    pace: Arc<RequestRate>,
    /// Zones that operators took out of use, and the copy that they told.
    said: Vec<(usize, usize)>,
    copies: Vec<Copy>,
    servers: Servers,
    ledger: Arc<RuleChecker>,
    over: Arc<AtomicBool>,
    paths: Vec<SocketAddr>,
    began: Instant,
    judge: Judge,
    starved: Arc<Mutex<Vec<usize>>>,
    pids: Arc<Mutex<Vec<u32>>>,
    parts: Vec<usize>,
    started: Vec<usize>,
    ended: Vec<usize>,
    seen: Vec<Seen>,
    shares: Vec<(f64, Vec<f64>)>,
    /// Until when each copy counts as disturbed.
    disturbed: Arc<Mutex<BTreeMap<SocketAddr, f64>>>,
}

fn told(wrong: std::io::Error) -> String {
    wrong.to_string()
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays the plan; `show` hears a line a second.
pub fn play(plan: &FleetPlan, ways: &Ways, show: &mut dyn FnMut(&str)) -> Result<Played, String> {
    let mut rig = Rig::build(plan, ways)?;
    let played = rig.run(show);
    rig.end();
    played
}

fn verbs(plan: &FleetPlan) -> ServedRequestClasses {
    let one = |name: &str, repeats: RetrySafety| ServedRequestClass {
        name: name.into(),
        retry_safety: repeats,
        mean_work: plan.work,
        work_distribution: WorkDistribution::Exponential,
        downstream_calls: 0,
    };
    let all = [
        one("view", RetrySafety::Idempotent),
        one("hold", RetrySafety::KeyedEverywhere),
        one("confirm", RetrySafety::NonIdempotent),
    ];
    Arc::new(all.into())
}

impl<'a> Rig<'a> {
    fn build(plan: &'a FleetPlan, ways: &'a Ways<'a>) -> Result<Rig<'a>, String> {
        let began = Instant::now();
        let sky = Sky(Arc::new(RwLock::new(Weather::new(plan, ways.seed))));
        let ledger = Arc::new(RuleChecker::new(began));
        let over = Arc::new(AtomicBool::new(false));
        let words = Words::start(plan.processes, &sky, ways.seed).map_err(told)?;
        let mut servers = Servers::empty();
        for place in 0..plan.servers {
            let make = ServerConfig {
                name: format!("s{place}"),
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
                seed: ways.seed,
            };
            servers.add(make, verbs(plan), ledger.clone()).map_err(told)?;
        }
        let behind: Vec<SocketAddr> = servers.servers.iter().map(|server| server.address).collect();
        let sent = conns::Sent::default();
        let mut paths = Vec::new();
        let mut copies = Vec::new();
        for number in 0..plan.processes {
            let led = |(server, behind): (usize, &SocketAddr)| {
                conns::path(number, server, *behind, &sky, &over, &sent)
            };
            let own: Vec<SocketAddr> =
                behind.iter().enumerate().map(led).collect::<std::io::Result<_>>().map_err(told)?;
            copies.push(Copy::start(plan, ways, number, &own, &words)?);
            paths.extend(own);
        }
        copies.iter_mut().try_for_each(|copy| copy.sidecar.wait_ready())?;
        let allowed = Allowed {
            death: Duration::from_secs_f64(plan.death_within),
            agree: Duration::from_secs_f64(plan.agree_within),
            cut: Duration::from_secs_f64(plan.cut_within),
        };
        let (starved, pids) = (Arc::<Mutex<Vec<usize>>>::default(), Arc::<Mutex<Vec<u32>>>::default());
        Ok(Rig {
            plan,
            ways,
            sky,
            words,
            sent,
            zones: zones::Judge::new(plan),
            pace: Arc::new(RequestRate::new(plan.rate_each * plan.processes as f64)),
            said: Vec::new(),
            copies,
            servers,
            ledger,
            over,
            paths,
            began,
            judge: Judge::new(allowed),
            starved,
            pids,
            parts: vec![0; plan.processes],
            started: Vec::new(),
            ended: Vec::new(),
            seen: Vec::new(),
            shares: Vec::new(),
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
        let rate = self.plan.rate_each * self.plan.processes as f64;
        let least = 2.0 * self.plan.processes as f64;
        let times = |number: usize| if number.is_multiple_of(4) { self.plan.uneven } else { 1 };
        let addresses = self.copies.iter().map(|copy| copy.sidecar.address).enumerate();
        let targets: Vec<SocketAddr> =
            addresses.flat_map(|(number, address)| vec![address; times(number)]).collect();
        // Each connection begins at the next target: as many of them as there are, or a multiple.
        let least = least.max(2.0 * targets.len() as f64);
        ClientPlan {
            targets,
            request_classes: verbs(self.plan).iter().map(asking).collect(),
            tenants: vec![("acme".into(), 1.0)],
            connections: (rate * copy::LIMIT.as_secs_f64()).clamp(least, CONNECTIONS_MOST) as usize,
            duration: Duration::from_secs_f64(self.plan.seconds),
            seed: self.ways.seed,
            id_prefix: "c".into(),
            retry_non_idempotent: false,
        }
    }

    fn run(&mut self, show: &mut dyn FnMut(&str)) -> Result<Played, String> {
        let calls = self.call_plan();
        let pace = self.pace.clone();
        let stop = AtomicBool::new(false);
        let seconds = Mutex::new(Vec::<Second>::new());
        let kept = Mutex::new((0u64, 0u64));
        let (ledger, disturbed) = (self.ledger.clone(), self.disturbed.clone());
        let repeats: Vec<RetrySafety> = verbs(self.plan).iter().map(|doing| doing.retry_safety).collect();
        self.began = Instant::now();
        let began = self.began;
        let watch = || -> Box<dyn FnMut(&CompletedRequest) + '_> {
            let (seconds, ledger, disturbed, repeats, kept) =
                (&seconds, &ledger, &disturbed, &repeats, &kept);
            Box::new(move |done: &CompletedRequest| note(seconds, ledger, disturbed, repeats, kept, done))
        };
        let starver = self.starve_turns();
        let cpu_before = self.cpu();
        let driven = thread::scope(|scope| {
            let callers = scope.spawn(|| run_callers(&calls, &pace, &stop, began, &watch));
            let driven = self.drive(show, &seconds);
            stop.store(true, Ordering::Relaxed);
            let joined = callers.join().map_err(|_| "a caller's thread has panicked".to_string());
            driven.and(joined)
        });
        self.over.store(true, Ordering::Relaxed);
        let _ = starver.join();
        driven?;
        let (breaches, broken_rules) = self.ledger.results();
        let judge =
            std::mem::replace(&mut self.judge, Judge::new(Allowed { death: TICK, agree: TICK, cut: TICK }));
        let (answered, came) = *locked(&kept);
        let cpu = (self.cpu() - cpu_before).max(0.0);
        let zones_judge = std::mem::replace(&mut self.zones, zones::Judge::new(self.plan));
        let sent = self.words.carried.load(Ordering::Relaxed) as f64;
        Ok(Played {
            figures: judge.close(),
            zones: zones_judge.close(&self.sent.since(self.began)),
            shares: std::mem::take(&mut self.shares),
            seconds: locked(&seconds).clone(),
            seen: std::mem::take(&mut self.seen),
            broken_rules,
            cold: self.cold_peaks(),
            breaches: breaches.iter().map(Breach::to_string).collect(),
            kept: answered as f64 / came.max(1) as f64,
            datagrams: sent / self.plan.seconds / self.plan.processes as f64,
            cpu_us: cpu * 1e6 / came.max(1) as f64,
        })
    }

    /// Seconds of processor time that the copies' processes have taken.
    fn cpu(&self) -> f64 {
        self.copies.iter().filter_map(|copy| cpu_of(copy.sidecar.pid())).sum()
    }

    fn cold_peaks(&self) -> ColdPeaks {
        let mut all = ColdPeaks::default();
        self.servers.servers.iter().for_each(|server| all.merge(&server.cold_peaks()));
        all
    }

    fn drive(&mut self, show: &mut dyn FnMut(&str), seconds: &Mutex<Vec<Second>>) -> Result<(), String> {
        let length = self.plan.seconds;
        let (mut look_at, mut second) = (Duration::ZERO, 1);
        loop {
            let now = self.began.elapsed();
            if now.as_secs_f64() >= length {
                return Ok(());
            }
            self.faults(now.as_secs_f64())?;
            if look_at <= now {
                look_at = now + self.ways.look_every;
                self.look(now.as_secs_f64());
                if self.plan.localities {
                    self.look_at_zones(now.as_secs_f64());
                }
            }
            if now.as_secs() >= second {
                second = now.as_secs() + 1;
                show(&self.line(now.as_secs() as usize, seconds));
                self.copies.iter_mut().try_for_each(Copy::must_run)?;
            }
            thread::sleep(TICK);
        }
    }

    fn line(&self, second: usize, seconds: &Mutex<Vec<Second>>) -> String {
        let seconds = locked(seconds);
        let Second { came, answered, declined, lost, .. } =
            seconds.get(second.saturating_sub(1)).cloned().unwrap_or_default();
        let errs = self.seen.last().map_or(0, |seen| {
            seen.counts.iter().filter(|count| count.is_some_and(|(_, errors)| errors > 0)).count()
        });
        let active = self.sky.with(|sky| sky.active().to_vec());
        let labels: Vec<String> = active.iter().map(|fault| self.plan.faults[*fault].label()).collect();
        format!(
            "{second:3} s  came {came:4}  answered {answered:4}  declined {declined:3}  lost {lost:2}  \
             views that err {errs:2}  {}",
            labels.join("; ")
        )
    }

    fn faults(&mut self, now: f64) -> Result<(), String> {
        let plan = self.plan;
        for (number, fault) in plan.faults.iter().enumerate() {
            if !self.started.contains(&number) && now >= fault.at {
                self.started.push(number);
                self.begin(number, fault)?;
            }
            let over = now >= fault.at + fault.lasts;
            if self.started.contains(&number) && !self.ended.contains(&number) && over {
                self.ended.push(number);
                self.finish(number, fault)?;
            }
        }
        Ok(())
    }

    fn struck(&self, number: usize) -> Vec<usize> {
        self.sky.with(|sky| sky.struck(number))
    }

    fn disturb(&self, copy: usize, until: f64) {
        let mut disturbed = locked(&self.disturbed);
        let known = disturbed.entry(self.copies[copy].sidecar.address).or_default();
        *known = known.max(until);
    }

    fn begin(&mut self, number: usize, fault: &Fault) -> Result<(), String> {
        let until = fault.at + fault.lasts + DISTURBED;
        self.parts = self.sky.with(|sky| {
            sky.begin(number);
            sky.parts()
        });
        self.strike_servers(fault, true);
        self.surge(fault, fault.factor.unwrap_or(1.0));
        if fault.kind == Kind::Leave {
            return self.say_zone(fault, true);
        }
        if !fault.of_processes() {
            return Ok(());
        }
        for copy in self.struck(number) {
            self.disturb(copy, until);
            let here = &mut self.copies[copy];
            match fault.kind {
                Kind::Kill => here.kill(),
                Kind::Term => here.term(),
                Kind::Stop => here.stop(),
                _ => locked(&self.starved).push(copy),
            }
        }
        self.note_pids();
        Ok(())
    }

    fn finish(&mut self, number: usize, fault: &Fault) -> Result<(), String> {
        self.parts = self.sky.with(|sky| {
            sky.end(number);
            sky.parts()
        });
        self.strike_servers(fault, false);
        self.surge(fault, 1.0);
        if fault.kind == Kind::Leave {
            return self.say_zone(fault, false);
        }
        if !fault.of_processes() {
            return Ok(());
        }
        let build = if fault.old_build { self.ways.old } else { Some(self.ways.program) };
        for copy in self.struck(number) {
            let here = &mut self.copies[copy];
            match fault.kind {
                Kind::Kill | Kind::Term => here.start_again(build)?,
                Kind::Stop => here.go_on(),
                _ => {
                    let mut starved = locked(&self.starved);
                    if let Some(at) = starved.iter().position(|known| *known == copy) {
                        starved.swap_remove(at);
                    }
                    here.sidecar.signal(Signal::CONT);
                }
            }
        }
        self.note_pids();
        Ok(())
    }

    fn surge(&self, fault: &Fault, factor: f64) {
        if fault.kind == Kind::Surge {
            self.pace.set(self.plan.rate_each * self.plan.processes as f64 * factor);
        }
    }

    fn strike_servers(&self, fault: &Fault, begins: bool) {
        for server in (0..self.plan.servers).filter(|server| fault.has_server(*server, &self.plan.zones)) {
            match (fault.kind, begins) {
                (Kind::Crash, true) => self.end_server(server),
                (Kind::Crash, false) | (Kind::Start, true) => self.start_server(server),
                (Kind::Slow, _) => {
                    let slow = fault.factor.filter(|_| begins).unwrap_or(1.0);
                    self.servers.servers[server].update_state(|serving| serving.slowdown = slow);
                }
                _ => {}
            }
        }
    }

    /// The first of the fault's copies that runs is told.
    fn say_zone(&mut self, fault: &Fault, leave: bool) -> Result<(), String> {
        let zone = self.plan.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref()).unwrap_or(0);
        let runs = |copy: &usize| self.copies.get(*copy).is_some_and(|copy| copy.truth == Truth::Runs);
        let named = fault.copies.iter().copied().find(runs);
        let copy = named.or_else(|| (0..self.copies.len()).find(runs)).unwrap_or(0);
        if !self.copies[copy].say_zone(&self.plan.zones[zone], leave) {
            return Err(format!("c{copy} says no to operators' word on zone {}", self.plan.zones[zone]));
        }
        self.said.retain(|(known, _)| *known != zone);
        if leave {
            self.said.push((zone, copy));
        }
        Ok(())
    }

    /// Whether a zone is lost to each copy, by copy and zone.
    fn lost(&self) -> Vec<Vec<Lost>> {
        let zones = self.plan.zones.len();
        let down: Vec<bool> = self.servers.servers.iter().map(|server| server.state().down).collect();
        let cut = |copy: usize, server: usize| {
            let (copy, server) = (Party::Copy(copy), Party::Server(server));
            self.sky.fate(copy, server).cut || self.sky.fate(server, copy).cut
        };
        let lost = |copy: usize, zone: usize| {
            let mut servers = (0..self.plan.servers).filter(|server| server % zones == zone).peekable();
            let any = servers.peek().is_some();
            let said = self.said.iter().find(|(known, _)| *known == zone);
            match () {
                () if any && servers.all(|server| down[server] || cut(copy, server)) => Lost::Away,
                () if said.is_some_and(|(_, told)| self.parts[*told] == self.parts[copy]) => Lost::Said,
                () => Lost::No,
            }
        };
        (0..self.copies.len()).map(|copy| (0..zones).map(|zone| lost(copy, zone)).collect()).collect()
    }

    fn look_at_zones(&mut self, now: f64) {
        let held: Vec<Option<Vec<zones::Held>>> = self.copies.iter().map(Copy::holds).collect();
        let asked: Vec<&Vec<zones::Held>> = held.iter().flatten().collect();
        let mean =
            |zone: usize| asked.iter().map(|held| held[zone].share).sum::<f64>() / asked.len().max(1) as f64;
        self.shares.push((now, (0..self.plan.zones.len()).map(mean).collect()));
        let runs = self.copies.iter().map(|copy| copy.truth == Truth::Runs).collect();
        let look = zones::Look { at: now, runs, lost: self.lost(), held };
        self.zones.look(&look);
    }

    fn end_server(&self, server: usize) {
        self.servers.servers[server].update_state(|serving| serving.down = true);
    }

    /// It starts with nothing in its caches, and every list says so.
    fn start_server(&self, server: usize) {
        self.servers.servers[server].update_state(|serving| {
            (serving.down, serving.cold_since) = (false, Some(Instant::now()));
        });
        self.copies.iter().for_each(|copy| copy.say_started(server));
    }

    fn note_pids(&self) {
        let starved = locked(&self.starved);
        *locked(&self.pids) = starved
            .iter()
            .filter(|copy| self.copies[**copy].truth == Truth::Runs)
            .map(|copy| self.copies[*copy].sidecar.pid())
            .collect();
    }

    /// Gives starved copies a tenth of their time, until the run is over.
    fn starve_turns(&self) -> thread::JoinHandle<()> {
        let (pids, over) = (self.pids.clone(), self.over.clone());
        let all = move |signal: Signal| {
            for pid in locked(&pids).iter() {
                if let Some(pid) = rustix::process::Pid::from_raw(*pid as i32) {
                    let _ = rustix::process::kill_process(pid, signal);
                }
            }
        };
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                all(Signal::STOP);
                thread::sleep(STARVED_WAITS);
                all(Signal::CONT);
                thread::sleep(STARVED_RUNS);
            }
        })
    }

    fn look(&mut self, now: f64) {
        let fronts = &self.words.fronts;
        let by_front: BTreeMap<String, usize> =
            fronts.iter().enumerate().map(|(copy, front)| (front.to_string(), copy)).collect();
        let views: Vec<Option<Set>> = self
            .copies
            .iter()
            .enumerate()
            .map(|(number, copy)| {
                let names = copy.counts()?;
                Some(Set::of(names.iter().filter_map(|name| by_front.get(name).copied()).chain([number])))
            })
            .collect();
        let (rough, spoilt, one_way) = self.sky.with(|sky| (sky.rough(), sky.spoilt(), sky.one_way()));
        let truth: Vec<Truth> = self.copies.iter().map(|copy| copy.truth).collect();
        let parts = self.parts.clone();
        let look = Look { at: now, truth: truth.clone(), parts, views, rough, spoilt, one_way };
        let errors = self.judge.look(&look);
        let counts = look.views.iter().zip(errors);
        let counts = counts.map(|(view, errors)| view.as_ref().map(|view| (view.len(), errors))).collect();
        self.seen.push(Seen { at: now, truth, counts });
    }

    fn end(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.copies.clear();
        self.paths.iter().for_each(|path| conns::wake(*path));
    }
}

fn note(
    seconds: &Mutex<Vec<Second>>,
    ledger: &RuleChecker,
    disturbed: &Mutex<BTreeMap<SocketAddr, f64>>,
    repeats: &[RetrySafety],
    kept: &Mutex<(u64, u64)>,
    done: &CompletedRequest,
) {
    let took = done.ended.saturating_sub(done.intended);
    {
        let mut seconds = locked(seconds);
        let at = done.intended.as_secs() as usize;
        if seconds.len() <= at {
            seconds.resize(at + 1, Second::default());
        }
        let second = &mut seconds[at];
        second.came += 1;
        match done.outcome {
            FinalOutcome::Answered => second.answered += 1,
            FinalOutcome::Declined => second.declined += 1,
            FinalOutcome::Terminated => second.terminated += 1,
            _ => second.lost += 1,
        }
    }
    {
        let mut kept = locked(kept);
        kept.1 += 1;
        kept.0 += u64::from(done.outcome == FinalOutcome::Answered && took <= copy::GOAL);
    }
    if done.outcome == FinalOutcome::Declined {
        ledger.request_declined(done.request_id, repeats[done.request_class]);
    }
    let until = locked(disturbed).get(&done.target).copied().unwrap_or(f64::NEG_INFINITY);
    if let Some(why) = done.lost_reason.filter(|_| done.intended.as_secs_f64() > until) {
        ledger.missing_response(done.request_id, why);
    }
}

fn cpu_of(pid: u32) -> Option<f64> {
    /// What Linux tells times in here, on every machine.
    const TICKS_PER_S: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name before may hold anything, blanks too.
    let (_, rest) = text.rsplit_once(')')?;
    let figures: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| figures.get(at)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_S)
}

/// A folder for a run's files, made anew.
pub fn run_dir(name: &str) -> Result<PathBuf, String> {
    crate::sockets::run_dir(&format!("fleet-{name}"))
}

//! Servers at work. Each is a queue with several cores and a bound (M/G/c/K where nothing is wrong), slow while it
//! is cold or jammed, and may call the next tier between its own work and its answer.
//!
//! A job's time is fixed when a core begins it: a server that becomes slow in between ends it as it began.

use super::dice::{exponential, work_multiple};
use super::ground::{Cmd, Ground, Job, Origin, Server, Standing};
use super::happening::{Happening, JobKey, Leg};
use crate::cold::OverloadBound;
use crate::plan::{FalseLoad, FaultKind, ReportedLoad, RetrySafety, to_duration};
use landingspread_decisions::host::{LoadReport, Outcome};
use rand::Rng;
use std::time::Duration;

/// What a dropped repeat, an error at once or a turned away command costs, as a share of the mean work.
const SMALL: f64 = 0.05;

impl Ground {
    /// The last byte of a relay comes to its server.
    pub fn reach(&mut self, leg: Leg) {
        let Some(cmd) = self.cmds.get(leg.cmd) else { return };
        let Some(relay) = cmd.relays.get(leg.relay as usize) else { return };
        let (copy, number, delay, fresh) = (cmd.copy, relay.server, relay.delay, relay.fresh);
        if relay.outcome == Some(Outcome::Cancelled) || !self.alive(copy) {
            return;
        }
        let server = &self.servers[number];
        let zone = self.copies[copy.copy].zone;
        let heard = server.standing != Standing::Silent && !self.cut(zone, server.zone);
        if !heard {
            if fresh {
                let dial = to_duration(self.plan.tiers[server.tier].connections.connect_timeout);
                self.put_in(dial, Happening::Ended(leg, Outcome::ConnectFailed, LoadReport::default()));
            }
            return;
        }
        if server.standing == Standing::Down || server.gone {
            self.put_in(delay, Happening::Ended(leg, Outcome::ConnectFailed, LoadReport::default()));
            return;
        }
        self.bring(number, leg);
        let tier = &self.plan.tiers[self.servers[number].tier];
        let server = &self.servers[number];
        if server.standing != Standing::Up {
            // It fell under this one.
            self.put_in(delay, Happening::Ended(leg, Outcome::Reset, LoadReport::default()));
        } else if server.jobs >= tier.queue_limit + tier.cores {
            let load = self.report(number);
            self.put_in(delay, Happening::Ended(leg, Outcome::Overloaded, load));
        } else {
            self.take_job(number, leg);
        }
    }

    /// Work of a command at a server, in seconds of a core at speed 1.
    fn work(&mut self, number: usize, leg: Leg) -> f64 {
        let (tier, verb, origin) = match self.cmds.get(leg.cmd) {
            Some(cmd) => (self.servers[number].tier, cmd.verb, cmd.origin),
            None => return 0.0,
        };
        let size = self.origins.get(origin).map_or(1.0, |origin| origin.size);
        self.plan.request_classes[verb].mean_work(tier) * size
    }

    /// The mean work of a command in a tier, over the verbs as clients send them.
    pub(super) fn mean_work(&self, tier: usize) -> f64 {
        let verbs = &self.plan.request_classes;
        let all: f64 = verbs.iter().map(|verb| verb.share).sum();
        verbs.iter().map(|verb| verb.share * verb.mean_work(tier)).sum::<f64>() / all.max(1e-9)
    }

    /// What comes to a cold server counts toward pushing it over, also what it turns away.
    fn bring(&mut self, number: usize, leg: Leg) {
        if self.warmth(number) >= 1.0 {
            return self.servers[number].brought.finish_process(&mut self.cold);
        }
        let work = self.work(number, leg);
        let (now, warmth) = (self.now, self.warmth(number));
        let mean = self.mean_work(self.servers[number].tier).max(1e-9);
        let server = &mut self.servers[number];
        let tier = &self.plan.tiers[server.tier];
        let window = to_duration(tier.cold_start.overload_window);
        let able = tier.cores as f64 * server.speed * warmth * tier.cold_start.overload_window;
        let name = server.id.clone();
        let budget = tier.cold_start.overload_multiple * able / mean;
        let bound = OverloadBound { window, budget, min_requests: tier.cold_start.min_requests as usize };
        if server.brought.record(&name, now, work / mean, bound) {
            let down = to_duration(tier.cold_start.restart_delay);
            let offered = server.brought.total() * mean;
            self.referee.cold_server_overloaded(now, &name, offered, able);
            self.strike_down(number, Standing::Down);
            let life = self.servers[number].life;
            self.put_in(down, Happening::ServerUp(number, life));
        }
    }

    /// A server's speed by its caches, as a share of its warm one.
    pub fn warmth(&self, number: usize) -> f64 {
        let server = &self.servers[number];
        let cold = &self.plan.tiers[server.tier].cold_start;
        let Some(from) = server.cold_from else { return 1.0 };
        let age = self.now.saturating_sub(from).as_secs_f64();
        (cold.initial_fraction + (1.0 - cold.initial_fraction) * age / cold.warmup.max(1e-3)).min(1.0)
    }

    fn take_job(&mut self, number: usize, leg: Leg) {
        let work = self.work(number, leg);
        let Some(cmd) = self.cmds.get_mut(leg.cmd) else { return };
        let relay = &mut cmd.relays[leg.relay as usize];
        self.serial += 1;
        let last_tier = self.servers[number].tier + 1 >= self.plan.tiers.len();
        let job = Job {
            serial: self.serial,
            server: number,
            leg,
            verb: cmd.verb,
            tenant: cmd.tenant,
            origin: cmd.origin,
            until: if self.plan.rules.propagates_deadline { relay.until } else { Duration::MAX },
            work: work
                + if relay.fresh { self.plan.tiers[self.servers[number].tier].connections.work } else { 0.0 },
            calls_left: if last_tier { 0 } else { self.plan.request_classes[cmd.verb].downstream_calls },
            called_off: false,
            started: false,
            errs: false,
            back: relay.delay,
        };
        cmd.jobs += 1;
        let slot = self.jobs.insert(job);
        let key = JobKey { slot, serial: self.serial };
        relay.job = Some(key);
        let server = &mut self.servers[number];
        server.queue.push_back(key);
        server.jobs += 1;
        self.jam(number);
        self.start_jobs(number);
    }

    fn jam(&mut self, number: usize) {
        let server = &mut self.servers[number];
        let tier = &self.plan.tiers[server.tier];
        let Some(jam) = &tier.congestion else { return };
        let crowd = server.jobs as f64 / tier.cores as f64;
        server.jammed = if server.jammed { crowd > jam.recovery } else { crowd >= jam.onset };
    }

    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key.slot).filter(|job| job.serial == key.serial)
    }

    pub(super) fn paused(&self, server: &Server) -> bool {
        self.faults().any(|fault| fault.kind == FaultKind::Pause && self.strikes(fault, server))
    }

    pub fn start_jobs(&mut self, number: usize) {
        let server = &self.servers[number];
        if server.standing != Standing::Up || server.queue.is_empty() || self.paused(server) {
            return;
        }
        let cores = self.plan.tiers[server.tier].cores;
        while self.servers[number].running < cores {
            let Some(key) = self.servers[number].queue.pop_front() else { break };
            self.servers[number].running += 1;
            let took = self.begin(number, key);
            self.put_in(took, Happening::Worked(key));
        }
    }

    /// A core begins a job: how long it is at it.
    fn begin(&mut self, number: usize, key: JobKey) -> Duration {
        let repeat = self.note_effect(number, key);
        let speed = self.speed(number);
        let errs = self.errs(number, key);
        let heavy = self.heavy(key);
        let Some(job) = self.jobs.get_mut(key.slot) else { return Duration::ZERO };
        (job.started, job.errs) = (true, errs && !repeat);
        let work = if repeat || errs { SMALL * job.work } else { job.work * heavy };
        if repeat || errs {
            job.calls_left = 0;
        }
        to_duration(work / speed)
    }

    pub(super) fn speed(&self, number: usize) -> f64 {
        let server = &self.servers[number];
        let slow = |fault: &&crate::plan::Fault| match fault.kind {
            FaultKind::Slow => self.strikes(fault, server),
            FaultKind::SharedSlowness => fault.tier == server.tier,
            _ => false,
        };
        let slow: f64 = self.faults().filter(slow).filter_map(|fault| fault.factor).product();
        let jam = self.plan.tiers[server.tier].congestion.as_ref().filter(|_| server.jammed);
        server.speed * self.warmth(number) * jam.map_or(1.0, |jam| jam.speed) / slow
    }

    fn of_verb(&self, fault: &crate::plan::Fault, verb: usize) -> bool {
        fault.request_class.as_ref().is_none_or(|name| self.plan.request_classes[verb].name == *name)
    }

    fn heavy(&mut self, key: JobKey) -> f64 {
        let Some(job) = self.job(key) else { return 1.0 };
        let (verb, tier) = (job.verb, self.servers[job.server].tier);
        let heavy = |fault: &&crate::plan::Fault| fault.kind == FaultKind::Heavy && fault.tier == tier;
        let struck: Vec<(f64, f64)> = self
            .faults()
            .filter(heavy)
            .filter(|fault| self.of_verb(fault, verb))
            .map(|fault| (fault.share.unwrap_or(1.0), fault.factor.unwrap_or(1.0)))
            .collect();
        let mut factor = 1.0;
        for (share, by) in struck {
            if self.dice.faults.random::<f64>() < share {
                factor *= by;
            }
        }
        factor
    }

    /// Whether the server fails this one at once.
    fn errs(&mut self, number: usize, key: JobKey) -> bool {
        let Some(verb) = self.job(key).map(|job| job.verb) else { return false };
        let server = &self.servers[number];
        let fails = |fault: &&crate::plan::Fault| {
            fault.kind == FaultKind::Errors && self.strikes(fault, server) && self.of_verb(fault, verb)
        };
        let share = self.faults().filter(fails).filter_map(|fault| fault.share).fold(0.0, f64::max);
        share > 0.0 && self.dice.faults.random::<f64>() < share
    }

    /// A job begins: it has its effect, unless the server's group remembers an earlier one and drops it.
    fn note_effect(&mut self, number: usize, key: JobKey) -> bool {
        let Some(job) = self.job(key) else { return false };
        let (cmd, origin, verb) = (job.leg.cmd, job.origin, job.verb);
        let here = self.servers[number].where_it_is(number);
        let (repeats, memory) =
            (self.repeats(verb), to_duration(self.plan.request_classes[verb].dedup_window));
        if repeats == RetrySafety::Idempotent {
            return false;
        }
        let now = self.now;
        let Some(origin) = self.origins.get_mut(origin) else { return false };
        let remembered = origin.ran.iter().any(|(place, at, _)| {
            let group = match repeats {
                RetrySafety::Idempotent | RetrySafety::NonIdempotent => false,
                RetrySafety::KeyedEverywhere => true,
                RetrySafety::KeyedInZone => place.zone == here.zone,
                RetrySafety::KeyedInCell => place.zone == here.zone && place.cell == here.cell,
            };
            group && now <= *at + memory
        });
        if remembered {
            return true;
        }
        let second = !origin.ran.is_empty();
        origin.ran.push((here, now, cmd));
        if second {
            let name = self.servers[number].id.clone();
            self.judge(cmd, |referee, facts| referee.duplicate_effect(now, facts, &name));
        }
        false
    }

    /// A core is done with its part of a job.
    pub fn worked(&mut self, key: JobKey) {
        let Some(job) = self.job(key) else { return };
        let number = job.server;
        if self.paused(&self.servers[number]) {
            // What a pause finds on a core ends with the pause.
            self.put_in(to_duration(0.01), Happening::Worked(key));
            return;
        }
        self.servers[number].running -= 1;
        let errs = self.job(key).is_some_and(|job| job.errs);
        self.go_on(key, !errs);
        self.start_jobs(number);
    }

    /// A call to the next tier has come to its end.
    pub fn call_ended(&mut self, key: JobKey, well: bool) {
        let leg = self.job(key).map(|job| job.leg).filter(|_| !well);
        let relay = leg.and_then(|leg| self.cmds.get_mut(leg.cmd)?.relays.get_mut(leg.relay as usize));
        relay.into_iter().for_each(|relay| relay.failed_below = true);
        self.go_on(key, well);
    }

    /// A job's next step after its own work or after a call: the next call, or its answer.
    fn go_on(&mut self, key: JobKey, well: bool) {
        let Some(job) = self.job(key) else { return };
        if job.called_off {
            self.drop_job(key);
        } else if !well || self.now >= job.until {
            self.answer(key, Outcome::Error);
        } else if job.calls_left == 0 {
            self.answer(key, Outcome::Ok);
        } else {
            self.call(key);
        }
    }

    /// A call to the next tier, a command of its own with what is left of the time.
    fn call(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key.slot) else { return };
        job.calls_left -= 1;
        let (verb, tenant, until, server, caller) =
            (job.verb, job.tenant, job.until, job.server, job.leg.cmd);
        let due = until.min(self.now + to_duration(self.plan.request_classes[verb].time_limit));
        let since = self.cmds.get(caller).map_or(self.now, |cmd| cmd.since);
        let Some(copy) = self.servers[server].copy.filter(|copy| self.copies[*copy].up) else {
            self.put_in(Duration::ZERO, Happening::CallEnded(key, false));
            return;
        };
        let size = work_multiple(self.plan.request_classes[verb].work_distribution, &mut self.dice.sizes);
        let zone = self.servers[server].zone;
        let origin = Origin { verb, tenant, zone, size, tries: 0, beyond: false, ran: Vec::new(), live: 1 };
        let origin = self.origins.add(origin);
        let copy = self.as_alive(copy);
        let number = self.cmds.add(Cmd {
            id: "".into(),
            copy,
            verb,
            tenant,
            came: self.now,
            since,
            due,
            origin,
            finished: None,
            relays: Vec::new(),
            jobs: 0,
            parent: Some(key),
        });
        self.put_in(Duration::ZERO, Happening::Come(number));
    }

    fn answer(&mut self, key: JobKey, outcome: Outcome) {
        let Some(job) = self.job(key) else { return };
        let (leg, number, back) = (job.leg, job.server, job.back);
        self.drop_job(key);
        let load = self.report(number);
        let zone = self.cmds.get(leg.cmd).map(|cmd| self.copies[cmd.copy.copy].zone);
        if zone.is_some_and(|zone| !self.cut(zone, self.servers[number].zone)) {
            self.put_in(back, Happening::Ended(leg, outcome, load));
        }
    }

    /// The job leaves its server.
    fn drop_job(&mut self, key: JobKey) {
        let Some(job) = self.job(key) else { return };
        let (number, cmd) = (job.server, job.leg.cmd);
        self.jobs.remove(key.slot);
        self.servers[number].jobs -= 1;
        if let Some(cmd) = self.cmds.get_mut(cmd) {
            cmd.jobs -= 1;
        }
        self.jam(number);
    }

    /// The server sees that a copy waits no longer: what has not begun never does, the rest ends at its next step.
    pub fn called_off(&mut self, leg: Leg) {
        let relay = self.cmds.get(leg.cmd).and_then(|cmd| cmd.relays.get(leg.relay as usize));
        let Some(key) = relay.and_then(|relay| relay.job) else { return };
        let Some(job) = self.jobs.get_mut(key.slot).filter(|job| job.serial == key.serial) else { return };
        job.called_off = true;
        let (number, waits) = (job.server, !job.started);
        let zone = self.cmds.get(leg.cmd).map_or(0, |cmd| self.copies[cmd.copy.copy].zone);
        if waits && !self.cut(zone, self.servers[number].zone) {
            self.servers[number].queue.retain(|other| *other != key);
            self.drop_job(key);
        }
    }

    /// All that the server holds is lost; copies hear of it where anything is heard.
    pub fn strike_down(&mut self, number: usize, standing: Standing) {
        let mine: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.server == number)
            .map(|(slot, job)| JobKey { slot, serial: job.serial })
            .collect();
        for key in mine {
            let Some(job) = self.job(key) else { continue };
            let (leg, back) = (job.leg, job.back);
            self.drop_job(key);
            if standing == Standing::Down {
                self.put_in(back, Happening::Ended(leg, Outcome::Reset, LoadReport::default()));
            }
        }
        let server = &mut self.servers[number];
        server.standing = standing;
        server.life += 1;
        server.running = 0;
        server.jammed = false;
        server.queue.clear();
        server.brought.finish_process(&mut self.cold);
        if let Some(copy) = server.copy {
            self.copy_dies(copy);
        }
        let notice = to_duration(self.plan.discovery.removal_delay);
        self.put_in(notice, Happening::ListHears(number));
    }

    /// A process starts, with nothing in its caches.
    pub fn start_server(&mut self, number: usize) {
        let server = &mut self.servers[number];
        server.standing = Standing::Up;
        (server.cold_from, server.up_since) = (Some(self.now), Some(self.now));
        let copy = server.copy;
        self.put_in(Duration::ZERO, Happening::ListHears(number));
        if let Some(copy) = copy {
            self.put_in(Duration::ZERO, Happening::CopyUp(copy));
        }
    }

    /// A server's word on its load, by the tier's plan and by what makes it lie.
    fn report(&mut self, number: usize) -> LoadReport {
        let (now, server) = (self.now, &self.servers[number]);
        let tier = &self.plan.tiers[server.tier];
        let lies = |fault: &&crate::plan::Fault| {
            fault.kind == FaultKind::FalseLoadReports && self.strikes(fault, server)
        };
        let lie = self.faults().find(lies).and_then(|fault| fault.false_load);
        let (at, queue, in_flight) = server.reported;
        let stands = now < at + to_duration(tier.report_interval) || lie == Some(FalseLoad::Frozen);
        let figures = match lie {
            Some(FalseLoad::Idle) => (0.0, 0.0),
            Some(FalseLoad::Busy) => (tier.queue_limit as f64, (tier.queue_limit + tier.cores) as f64),
            _ if stands => (queue, in_flight),
            _ => (server.queue.len() as f64, server.jobs as f64),
        };
        let kinds = tier.load_reports;
        if !stands && lie.is_none() {
            self.servers[number].reported = (now, figures.0, figures.1);
        }
        LoadReport {
            queued: matches!(kinds, ReportedLoad::Queue | ReportedLoad::Both).then_some(figures.0),
            in_flight: matches!(kinds, ReportedLoad::InFlight | ReportedLoad::Both).then_some(figures.1),
            ..LoadReport::default()
        }
    }

    /// What a check from a zone finds, and after how long. Checks see the process, not what it answers.
    pub fn check(&mut self, zone: u32, number: usize) -> (Duration, Outcome) {
        const PATIENCE: Duration = Duration::from_millis(500);
        let server = &self.servers[number];
        let other = server.zone;
        if server.standing == Standing::Silent || self.cut(zone, other) {
            return (
                to_duration(self.plan.tiers[server.tier].connections.connect_timeout),
                Outcome::ConnectFailed,
            );
        }
        if self.paused(server) {
            return (PATIENCE, Outcome::Timeout);
        }
        let refused = server.standing == Standing::Down || server.gone;
        let trip = self.delay(zone, other) * 2;
        let late = to_duration(0.001 * exponential(&mut self.dice.network));
        (trip + late, if refused { Outcome::ConnectFailed } else { Outcome::Ok })
    }
}

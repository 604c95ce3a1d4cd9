//! Servers: each is a bounded queue with several cores (M/G/c/K without faults), is slower while it is cold or
//! congested, and may call the next tier between its own work and its answer.
//!
//! The duration of a job is fixed when a core begins it: a later change of the speed does not affect it.

use super::dice::{exponential, work_multiple};
use super::ground::{Job, Operation, Request, Server, ServerStatus, SimulationState};
use super::happening::{AttemptKey, JobKey, SimEvent};
use crate::cold::OverloadBound;
use crate::plan::{FalseLoad, FaultKind, ReportedLoad, RetrySafety, to_duration};
use landingspread_decisions::host::{LoadReport, Outcome};
use rand::Rng;
use std::time::Duration;

/// Work of a deduplicated repeat or of an immediate error, as a fraction of the job's work.
const REDUCED_WORK_FRACTION: f64 = 0.05;

impl SimulationState {
    /// Handles the arrival of an attempt at its server.
    pub fn attempt_arrives(&mut self, attempt_key: AttemptKey) {
        let Some(request) = self.requests.get(attempt_key.request) else { return };
        let Some(attempt) = request.attempts.get(attempt_key.attempt as usize) else { return };
        let (process, number, delay, new_connection) =
            (request.process, attempt.server, attempt.delay, attempt.new_connection);
        if attempt.outcome == Some(Outcome::Cancelled) || !self.is_running(process) {
            return;
        }
        let server = &self.servers[number];
        let zone = self.replicas[process.replica].zone;
        let reachable = server.status != ServerStatus::Unreachable && !self.zones_are_cut(zone, server.zone);
        if !reachable {
            if new_connection {
                let dial = to_duration(self.plan.tiers[server.tier].connections.connect_timeout);
                self.schedule_in(
                    dial,
                    SimEvent::AttemptEnded(attempt_key, Outcome::ConnectFailed, LoadReport::default()),
                );
            }
            return;
        }
        if server.status == ServerStatus::Down || server.removed {
            self.schedule_in(
                delay,
                SimEvent::AttemptEnded(attempt_key, Outcome::ConnectFailed, LoadReport::default()),
            );
            return;
        }
        self.record_cold_work(number, attempt_key);
        let tier = &self.plan.tiers[self.servers[number].tier];
        let server = &self.servers[number];
        if server.status != ServerStatus::Up {
            // This attempt overloaded the cold server.
            self.schedule_in(
                delay,
                SimEvent::AttemptEnded(attempt_key, Outcome::Reset, LoadReport::default()),
            );
        } else if server.jobs >= tier.queue_limit + tier.cores {
            let load = self.load_report(number);
            self.schedule_in(delay, SimEvent::AttemptEnded(attempt_key, Outcome::Overloaded, load));
        } else {
            self.enqueue_job(number, attempt_key);
        }
    }

    /// Work of a request at a server, in seconds of a core at speed 1.
    fn work(&mut self, number: usize, attempt_key: AttemptKey) -> f64 {
        let (tier, class, operation) = match self.requests.get(attempt_key.request) {
            Some(request) => (self.servers[number].tier, request.class, request.operation),
            None => return 0.0,
        };
        let size = self.operations.get(operation).map_or(1.0, |operation| operation.work_multiple);
        self.plan.request_classes[class].mean_work(tier) * size
    }

    /// Mean work of a request in a tier, in seconds of a core at speed 1, weighted by the classes' shares.
    pub(super) fn mean_work(&self, tier: usize) -> f64 {
        let classes = &self.plan.request_classes;
        let total_share: f64 = classes.iter().map(|class| class.share).sum();
        classes.iter().map(|class| class.share * class.mean_work(tier)).sum::<f64>() / total_share.max(1e-9)
    }

    /// Counts work that arrives at a cold server toward its overload, including attempts that it will reject.
    fn record_cold_work(&mut self, number: usize, attempt_key: AttemptKey) {
        if self.warm_fraction(number) >= 1.0 {
            return self.servers[number].offered_work.finish_process(&mut self.cold_peaks);
        }
        let work = self.work(number, attempt_key);
        let (now, warm_fraction) = (self.now, self.warm_fraction(number));
        let mean_work = self.mean_work(self.servers[number].tier).max(1e-9);
        let server = &mut self.servers[number];
        let tier = &self.plan.tiers[server.tier];
        let overload_window = to_duration(tier.cold_start.overload_window);
        let capacity = tier.cores as f64 * server.speed * warm_fraction * tier.cold_start.overload_window;
        let name = server.id.clone();
        let budget = tier.cold_start.overload_multiple * capacity / mean_work;
        let bound = OverloadBound {
            window: overload_window,
            budget,
            min_requests: tier.cold_start.min_requests as usize,
        };
        if server.offered_work.record(&name, now, work / mean_work, bound) {
            let restart_delay = to_duration(tier.cold_start.restart_delay);
            let offered = server.offered_work.total() * mean_work;
            self.referee.cold_server_overloaded(now, &name, offered, capacity);
            self.take_down(number, ServerStatus::Down);
            let generation = self.servers[number].generation;
            self.schedule_in(restart_delay, SimEvent::ServerStarts(number, generation));
        }
    }

    /// The speed of a server that warms up, as a fraction of its warm speed.
    pub fn warm_fraction(&self, number: usize) -> f64 {
        let server = &self.servers[number];
        let cold_start = &self.plan.tiers[server.tier].cold_start;
        let Some(start) = server.warming_since else { return 1.0 };
        let age = self.now.saturating_sub(start).as_secs_f64();
        (cold_start.initial_fraction
            + (1.0 - cold_start.initial_fraction) * age / cold_start.warmup.max(1e-3))
        .min(1.0)
    }

    fn enqueue_job(&mut self, number: usize, attempt_key: AttemptKey) {
        let work = self.work(number, attempt_key);
        let Some(request) = self.requests.get_mut(attempt_key.request) else { return };
        let attempt = &mut request.attempts[attempt_key.attempt as usize];
        self.last_job_serial += 1;
        let last_tier = self.servers[number].tier + 1 >= self.plan.tiers.len();
        let job = Job {
            serial: self.last_job_serial,
            server: number,
            attempt_key,
            class: request.class,
            tenant: request.tenant,
            operation: request.operation,
            attempt_deadline: if self.plan.rules.propagates_deadline {
                attempt.attempt_deadline
            } else {
                Duration::MAX
            },
            work: work
                + if attempt.new_connection {
                    self.plan.tiers[self.servers[number].tier].connections.work
                } else {
                    0.0
                },
            calls_left: if last_tier { 0 } else { self.plan.request_classes[request.class].downstream_calls },
            cancelled: false,
            started: false,
            fails: false,
            return_delay: attempt.delay,
        };
        request.jobs += 1;
        let slot = self.jobs.insert(job);
        let key = JobKey { slot, serial: self.last_job_serial };
        attempt.job = Some(key);
        let server = &mut self.servers[number];
        server.queue.push_back(key);
        server.jobs += 1;
        self.update_congestion(number);
        self.start_jobs(number);
    }

    /// Updates whether a server is congested. The threshold for recovery is lower than the one for the onset.
    fn update_congestion(&mut self, number: usize) {
        let server = &mut self.servers[number];
        let tier = &self.plan.tiers[server.tier];
        let Some(congestion) = &tier.congestion else { return };
        let requests_per_core = server.jobs as f64 / tier.cores as f64;
        server.congested = if server.congested {
            requests_per_core > congestion.recovery
        } else {
            requests_per_core >= congestion.onset
        };
    }

    /// The job of a key, unless it has left its server.
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key.slot).filter(|job| job.serial == key.serial)
    }

    /// Whether a fault pauses the server.
    pub(super) fn is_paused(&self, server: &Server) -> bool {
        self.faults().any(|fault| fault.kind == FaultKind::Pause && self.affects(fault, server))
    }

    /// Begins waiting jobs on free cores.
    pub fn start_jobs(&mut self, number: usize) {
        let server = &self.servers[number];
        if server.status != ServerStatus::Up || server.queue.is_empty() || self.is_paused(server) {
            return;
        }
        let cores = self.plan.tiers[server.tier].cores;
        while self.servers[number].running < cores {
            let Some(key) = self.servers[number].queue.pop_front() else { break };
            self.servers[number].running += 1;
            let duration = self.begin_job(number, key);
            self.schedule_in(duration, SimEvent::CoreFinished(key));
        }
    }

    /// Begins a job on a core and returns how long it takes.
    fn begin_job(&mut self, number: usize, key: JobKey) -> Duration {
        let is_duplicate = self.record_effect(number, key);
        let speed = self.speed(number);
        let fails = self.should_fail(number, key);
        let work_factor = self.work_factor(key);
        let Some(job) = self.jobs.get_mut(key.slot) else { return Duration::ZERO };
        (job.started, job.fails) = (true, fails && !is_duplicate);
        let work =
            if is_duplicate || fails { REDUCED_WORK_FRACTION * job.work } else { job.work * work_factor };
        if is_duplicate || fails {
            job.calls_left = 0;
        }
        to_duration(work / speed)
    }

    /// The current speed of a server, by its hardware, warm-up, congestion and faults.
    pub(super) fn speed(&self, number: usize) -> f64 {
        let server = &self.servers[number];
        let slow = |fault: &&crate::plan::Fault| match fault.kind {
            FaultKind::Slow => self.affects(fault, server),
            FaultKind::SharedSlowness => fault.tier == server.tier,
            _ => false,
        };
        let slow: f64 = self.faults().filter(slow).filter_map(|fault| fault.factor).product();
        let congestion = self.plan.tiers[server.tier].congestion.as_ref().filter(|_| server.congested);
        server.speed * self.warm_fraction(number) * congestion.map_or(1.0, |congestion| congestion.speed)
            / slow
    }

    fn applies_to_class(&self, fault: &crate::plan::Fault, class: usize) -> bool {
        fault.request_class.as_ref().is_none_or(|name| self.plan.request_classes[class].name == *name)
    }

    /// Draws the factor by which faults multiply the work of a job.
    fn work_factor(&mut self, key: JobKey) -> f64 {
        let Some(job) = self.job(key) else { return 1.0 };
        let (class, tier) = (job.class, self.servers[job.server].tier);
        let is_heavy = |fault: &&crate::plan::Fault| fault.kind == FaultKind::Heavy && fault.tier == tier;
        let effects: Vec<(f64, f64)> = self
            .faults()
            .filter(is_heavy)
            .filter(|fault| self.applies_to_class(fault, class))
            .map(|fault| (fault.share.unwrap_or(1.0), fault.factor.unwrap_or(1.0)))
            .collect();
        let mut factor = 1.0;
        for (share, factor_of_fault) in effects {
            if self.rng.faults.random::<f64>() < share {
                factor *= factor_of_fault;
            }
        }
        factor
    }

    /// Whether the server fails this job at once.
    fn should_fail(&mut self, number: usize, key: JobKey) -> bool {
        let Some(class) = self.job(key).map(|job| job.class) else { return false };
        let server = &self.servers[number];
        let fails = |fault: &&crate::plan::Fault| {
            fault.kind == FaultKind::Errors
                && self.affects(fault, server)
                && self.applies_to_class(fault, class)
        };
        let share = self.faults().filter(fails).filter_map(|fault| fault.share).fold(0.0, f64::max);
        share > 0.0 && self.rng.faults.random::<f64>() < share
    }

    /// Records the effect of a job that begins. Returns true if an earlier execution is remembered in the deduplication
    /// scope, so that this one is dropped.
    fn record_effect(&mut self, number: usize, key: JobKey) -> bool {
        let Some(job) = self.job(key) else { return false };
        let (request, operation, class) = (job.attempt_key.request, job.operation, job.class);
        let location = self.servers[number].location(number);
        let (retry_safety, dedup_window) =
            (self.retry_safety(class), to_duration(self.plan.request_classes[class].dedup_window));
        if retry_safety == RetrySafety::Idempotent {
            return false;
        }
        let now = self.now;
        let Some(operation) = self.operations.get_mut(operation) else { return false };
        let is_duplicate = operation.executions.iter().any(|(previous, executed_at, _)| {
            let in_scope = match retry_safety {
                RetrySafety::Idempotent | RetrySafety::NonIdempotent => false,
                RetrySafety::KeyedEverywhere => true,
                RetrySafety::KeyedInZone => previous.zone == location.zone,
                RetrySafety::KeyedInCell => previous.zone == location.zone && previous.cell == location.cell,
            };
            in_scope && now <= *executed_at + dedup_window
        });
        if is_duplicate {
            return true;
        }
        let is_second = !operation.executions.is_empty();
        operation.executions.push((location, now, request));
        if is_second {
            let name = self.servers[number].id.clone();
            self.check_rules(request, |referee, facts| referee.duplicate_effect(now, facts, &name));
        }
        false
    }

    /// Handles the end of a job's own work on a core.
    pub fn core_finished(&mut self, key: JobKey) {
        let Some(job) = self.job(key) else { return };
        let number = job.server;
        if self.is_paused(&self.servers[number]) {
            // A running job can't end while its server is paused, so its end is checked again later.
            self.schedule_in(to_duration(0.01), SimEvent::CoreFinished(key));
            return;
        }
        self.servers[number].running -= 1;
        let fails = self.job(key).is_some_and(|job| job.fails);
        self.advance_job(key, !fails);
        self.start_jobs(number);
    }

    /// Handles the end of a job's call to the next tier.
    pub fn downstream_call_ended(&mut self, key: JobKey, succeeded: bool) {
        let attempt_key = self.job(key).map(|job| job.attempt_key).filter(|_| !succeeded);
        let attempt = attempt_key.and_then(|attempt_key| {
            self.requests.get_mut(attempt_key.request)?.attempts.get_mut(attempt_key.attempt as usize)
        });
        attempt.into_iter().for_each(|attempt| attempt.failed_downstream = true);
        self.advance_job(key, succeeded);
    }

    /// Continues a job after its own work or after a call: with the next call, or with its answer.
    fn advance_job(&mut self, key: JobKey, succeeded: bool) {
        let Some(job) = self.job(key) else { return };
        if job.cancelled {
            self.remove_job(key);
        } else if !succeeded || self.now >= job.attempt_deadline {
            self.send_answer(key, Outcome::Error);
        } else if job.calls_left == 0 {
            self.send_answer(key, Outcome::Ok);
        } else {
            self.call_next_tier(key);
        }
    }

    /// Calls the next tier with a new request, limited by the time that is left.
    fn call_next_tier(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key.slot) else { return };
        job.calls_left -= 1;
        let (class, tenant, attempt_deadline, server, caller) =
            (job.class, job.tenant, job.attempt_deadline, job.server, job.attempt_key.request);
        let deadline =
            attempt_deadline.min(self.now + to_duration(self.plan.request_classes[class].time_limit));
        let entered_at = self.requests.get(caller).map_or(self.now, |request| request.entered_at);
        let Some(replica) = self.servers[server].replica.filter(|replica| self.replicas[*replica].up) else {
            self.schedule_in(Duration::ZERO, SimEvent::DownstreamCallEnded(key, false));
            return;
        };
        let size = work_multiple(self.plan.request_classes[class].work_distribution, &mut self.rng.sizes);
        let zone = self.servers[server].zone;
        let operation = Operation {
            class,
            tenant,
            zone,
            work_multiple: size,
            retries: 0,
            over_quota: false,
            executions: Vec::new(),
            references: 1,
        };
        let operation = self.operations.insert(operation);
        let process = self.current_process(replica);
        let number = self.requests.insert(Request {
            id: "".into(),
            process,
            class,
            tenant,
            arrived_at: self.now,
            entered_at,
            deadline,
            operation,
            final_outcome: None,
            attempts: Vec::new(),
            jobs: 0,
            parent: Some(key),
        });
        self.schedule_in(Duration::ZERO, SimEvent::RequestArrived(number));
    }

    fn send_answer(&mut self, key: JobKey, outcome: Outcome) {
        let Some(job) = self.job(key) else { return };
        let (attempt_key, number, return_delay) = (job.attempt_key, job.server, job.return_delay);
        self.remove_job(key);
        let load = self.load_report(number);
        let zone =
            self.requests.get(attempt_key.request).map(|request| self.replicas[request.process.replica].zone);
        if zone.is_some_and(|zone| !self.zones_are_cut(zone, self.servers[number].zone)) {
            self.schedule_in(return_delay, SimEvent::AttemptEnded(attempt_key, outcome, load));
        }
    }

    /// Removes a job from its server.
    fn remove_job(&mut self, key: JobKey) {
        let Some(job) = self.job(key) else { return };
        let (number, request) = (job.server, job.attempt_key.request);
        self.jobs.remove(key.slot);
        self.servers[number].jobs -= 1;
        if let Some(request) = self.requests.get_mut(request) {
            request.jobs -= 1;
        }
        self.update_congestion(number);
    }

    /// Cancels the job of an attempt: a waiting job is removed, a started one ends at its next step.
    pub fn attempt_cancelled(&mut self, attempt_key: AttemptKey) {
        let attempt = self
            .requests
            .get(attempt_key.request)
            .and_then(|request| request.attempts.get(attempt_key.attempt as usize));
        let Some(key) = attempt.and_then(|attempt| attempt.job) else { return };
        let Some(job) = self.jobs.get_mut(key.slot).filter(|job| job.serial == key.serial) else { return };
        job.cancelled = true;
        let (number, is_waiting) = (job.server, !job.started);
        let zone = self
            .requests
            .get(attempt_key.request)
            .map_or(0, |request| self.replicas[request.process.replica].zone);
        if is_waiting && !self.zones_are_cut(zone, self.servers[number].zone) {
            self.servers[number].queue.retain(|queued_key| *queued_key != key);
            self.remove_job(key);
        }
    }

    /// Ends the process of a server. Its jobs are lost; replicas see resets, unless the server is unreachable.
    pub fn take_down(&mut self, number: usize, status: ServerStatus) {
        let own_jobs: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.server == number)
            .map(|(slot, job)| JobKey { slot, serial: job.serial })
            .collect();
        for key in own_jobs {
            let Some(job) = self.job(key) else { continue };
            let (attempt_key, return_delay) = (job.attempt_key, job.return_delay);
            self.remove_job(key);
            if status == ServerStatus::Down {
                self.schedule_in(
                    return_delay,
                    SimEvent::AttemptEnded(attempt_key, Outcome::Reset, LoadReport::default()),
                );
            }
        }
        let server = &mut self.servers[number];
        server.status = status;
        server.generation += 1;
        server.running = 0;
        server.congested = false;
        server.queue.clear();
        server.offered_work.finish_process(&mut self.cold_peaks);
        if let Some(replica) = server.replica {
            self.stop_replica(replica);
        }
        let removal_delay = to_duration(self.plan.discovery.removal_delay);
        self.schedule_in(removal_delay, SimEvent::ListSourceUpdated(number));
    }

    /// Starts a process of a server with empty caches.
    pub fn start_server(&mut self, number: usize) {
        let server = &mut self.servers[number];
        server.status = ServerStatus::Up;
        (server.warming_since, server.started_at) = (Some(self.now), Some(self.now));
        let replica = server.replica;
        self.schedule_in(Duration::ZERO, SimEvent::ListSourceUpdated(number));
        if let Some(replica) = replica {
            self.schedule_in(Duration::ZERO, SimEvent::ReplicaStarts(replica));
        }
    }

    /// The load report of a server, according to the tier's settings and to faults that falsify reports.
    fn load_report(&mut self, number: usize) -> LoadReport {
        let (now, server) = (self.now, &self.servers[number]);
        let tier = &self.plan.tiers[server.tier];
        let is_false_report = |fault: &&crate::plan::Fault| {
            fault.kind == FaultKind::FalseLoadReports && self.affects(fault, server)
        };
        let false_load = self.faults().find(is_false_report).and_then(|fault| fault.false_load);
        let (reported_at, queue, in_flight) = server.last_report;
        let unchanged =
            now < reported_at + to_duration(tier.report_interval) || false_load == Some(FalseLoad::Frozen);
        let figures = match false_load {
            Some(FalseLoad::Idle) => (0.0, 0.0),
            Some(FalseLoad::Busy) => (tier.queue_limit as f64, (tier.queue_limit + tier.cores) as f64),
            _ if unchanged => (queue, in_flight),
            _ => (server.queue.len() as f64, server.jobs as f64),
        };
        let reported_load = tier.load_reports;
        if !unchanged && false_load.is_none() {
            self.servers[number].last_report = (now, figures.0, figures.1);
        }
        LoadReport {
            queued: matches!(reported_load, ReportedLoad::Queue | ReportedLoad::Both).then_some(figures.0),
            in_flight: matches!(reported_load, ReportedLoad::InFlight | ReportedLoad::Both)
                .then_some(figures.1),
            ..LoadReport::default()
        }
    }

    /// The result of a health check from a zone and the time it takes. A check sees whether the process runs, not whether
    /// its answers are errors.
    pub fn health_check_result(&mut self, zone: u32, number: usize) -> (Duration, Outcome) {
        const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
        let server = &self.servers[number];
        let server_zone = server.zone;
        if server.status == ServerStatus::Unreachable || self.zones_are_cut(zone, server_zone) {
            return (
                to_duration(self.plan.tiers[server.tier].connections.connect_timeout),
                Outcome::ConnectFailed,
            );
        }
        if self.is_paused(server) {
            return (HEALTH_CHECK_TIMEOUT, Outcome::Timeout);
        }
        let refused = server.status == ServerStatus::Down || server.removed;
        let round_trip = self.sample_delay(zone, server_zone) * 2;
        let response_delay = to_duration(0.001 * exponential(&mut self.rng.network));
        (round_trip + response_delay, if refused { Outcome::ConnectFailed } else { Outcome::Ok })
    }
}

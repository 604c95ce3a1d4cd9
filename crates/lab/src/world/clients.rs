//! Clients: arrivals at a rate that does not depend on the answers (open loop), disconnects and retries. This module
//! also owns the effect of a final outcome on the client or on the calling server of the tier above.

use super::dice::{exponential, weighted_index, work_multiple};
use super::ground::{MAX_OPEN_REQUESTS, Operation, Request, SimulationState};
use super::happening::{AttemptKey, SimEvent};
use crate::plan::{FaultKind, RetrySafety, to_duration};
use crate::referee::FinalOutcome;
use landingspread_decisions::host::Outcome;
use rand::Rng;
use std::time::Duration;

impl SimulationState {
    /// Requests per second that clients send now, without retries.
    fn rate(&self) -> f64 {
        let surges =
            self.faults().filter(|fault| fault.kind == FaultKind::Surge).filter_map(|fault| fault.factor);
        self.plan.load.rate * surges.product::<f64>()
    }

    /// Schedules the next arrival and sends the current one. Poisson arrivals at the highest rate of the run are thinned
    /// to the current rate, so that a surge does not change the arrivals before it.
    pub fn client_arrival(&mut self) {
        let max_rate_now = self.max_rate();
        if max_rate_now <= 0.0 || self.now >= to_duration(self.plan.seconds) {
            return;
        }
        let gap = to_duration(exponential(&mut self.rng.arrivals) / max_rate_now);
        self.schedule_in(gap, SimEvent::ClientArrival);
        let arrival_rng = &mut self.rng.arrivals;
        let (thinning, zone, tenant, class) =
            (arrival_rng.random(), arrival_rng.random(), arrival_rng.random(), arrival_rng.random());
        if self.now.is_zero() || self.rate() / max_rate_now <= thinning {
            return;
        }
        let plan = self.plan.clone();
        let zones = &plan.front.zone_shares;
        let zone = match zones.is_empty() {
            true => weighted_index(plan.zones.iter().map(|_| 1.0), zone),
            false => weighted_index(zones.iter().copied(), zone),
        };
        let tenant = weighted_index(plan.tenants.iter().map(|tenant| tenant.share), tenant);
        let class = weighted_index(plan.request_classes.iter().map(|class| class.share), class);
        let size = work_multiple(plan.request_classes[class].work_distribution, &mut self.rng.arrivals);
        let over_quota = self.exceeds_quota(tenant);
        let operation = Operation {
            class,
            tenant,
            zone: zone as u32,
            work_multiple: size,
            retries: 0,
            over_quota,
            executions: Vec::new(),
            references: 1,
        };
        let utility = self.quota_weighted_utility(&operation, plan.request_classes[class].utility);
        self.statistics.record_arrival(self.now, utility, tenant);
        let operation = self.operations.insert(operation);
        self.send(operation);
    }

    /// The highest rate of the run, with all surges at once.
    fn max_rate(&self) -> f64 {
        let surge = |fault: &&crate::plan::Fault| fault.kind == FaultKind::Surge;
        let factors = self.plan.faults.iter().filter(surge).filter_map(|fault| fault.factor);
        self.plan.load.rate * factors.map(|factor| factor.max(1.0)).product::<f64>()
    }

    /// Counts an operation of a tenant and returns whether it exceeds the quota of the current second.
    fn exceeds_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self.plan.tenants[tenant].quota else { return false };
        let (second, count) = &mut self.quota_usage[tenant];
        if *second != self.now.as_secs() {
            (*second, *count) = (self.now.as_secs(), 0.0);
        }
        *count += 1.0;
        *count > quota
    }

    fn quota_weighted_utility(&self, operation: &Operation, full_utility: f64) -> f64 {
        full_utility * if operation.over_quota { self.plan.rules.over_quota_value } else { 1.0 }
    }

    /// Sends an operation as a new request, for the first time or as a retry.
    pub fn send(&mut self, number: u64) {
        let Some(operation) = self.operations.get(number) else { return };
        let (class, tenant, zone) = (operation.class, operation.tenant, operation.zone);
        let replica = self.choose_replica(zone).filter(|_| self.requests.len() < MAX_OPEN_REQUESTS);
        let Some(replica) = replica else {
            self.statistics.record_not_accepted(self.now);
            self.schedule_retry(number, true, None);
            self.release_operation(number);
            return;
        };
        let limit = to_duration(self.plan.request_classes[class].time_limit);
        let request = Request {
            id: "".into(),
            process: self.current_process(replica),
            class,
            tenant,
            arrived_at: self.now,
            entered_at: self.now,
            deadline: self.now + limit,
            operation: number,
            final_outcome: None,
            attempts: Vec::new(),
            jobs: 0,
            parent: None,
        };
        let request = self.requests.insert(request);
        self.schedule_in(Duration::ZERO, SimEvent::RequestArrived(request));
        if self.plan.load.disconnect_fraction > 0.0
            && self.rng.clients.random::<f64>() < self.plan.load.disconnect_fraction
        {
            let after = limit.mul_f64(self.rng.clients.random::<f64>());
            self.schedule_in(after, SimEvent::ClientDisconnected(request));
        }
    }

    /// Chooses a running replica of the client's zone, or of any zone if that zone has no running replica.
    fn choose_replica(&mut self, zone: u32) -> Option<usize> {
        let point: f64 = self.rng.clients.random();
        let count = self.plan.front.replicas;
        let traffic = &self.plan.front.traffic_shares;
        if !traffic.is_empty() {
            let is_eligible = |replica: usize, in_zone: bool| {
                let candidate = &self.replicas[replica];
                candidate.up && (!in_zone || candidate.zone == zone)
            };
            let in_zone = (0..count).any(|replica| is_eligible(replica, true));
            let share = |replica: usize| {
                if is_eligible(replica, in_zone) { traffic[replica % traffic.len()] } else { 0.0 }
            };
            let replica = weighted_index((0..count).map(share), point);
            return Some(replica).filter(|replica| is_eligible(*replica, in_zone));
        }
        let pick = |allowed: &dyn Fn(usize) -> bool| {
            let eligible =
                (0..count).filter(|replica| self.replicas[*replica].up && allowed(*replica)).count();
            let position = (point * eligible as f64) as usize;
            (0..count).filter(|replica| self.replicas[*replica].up && allowed(*replica)).nth(position)
        };
        pick(&|replica| self.replicas[replica].zone == zone).or_else(|| pick(&|_| true))
    }

    /// Gives a request its id at its replica. Returns false, and ends the request, if the replica's process has ended.
    pub fn admit_request(&mut self, number: u64) -> bool {
        let Some(request) = self.requests.get(number) else { return false };
        let (process, deadline) = (request.process, request.deadline);
        let slack = to_duration(self.plan.rules.deadline_slack);
        self.schedule(deadline + slack + Duration::from_nanos(1), SimEvent::DeadlinePassed(number));
        if !self.is_running(process) {
            self.finish(number, FinalOutcome::Lost, None);
            return false;
        }
        if let Some(request) = self.requests.get_mut(number) {
            request.id = format!("c{number}").into();
        }
        true
    }

    /// Ends a request with its final outcome: checks the rules, counts it, and notifies the calling job or the client.
    pub fn finish(&mut self, number: u64, final_outcome: FinalOutcome, retry_after: Option<Duration>) {
        let now = self.now;
        self.check_rules(number, |referee, facts| referee.request_finished(now, facts, final_outcome));
        let Some(request) = self.requests.get_mut(number) else { return };
        if request.final_outcome.is_some() {
            return;
        }
        request.final_outcome = Some(final_outcome);
        let (operation, parent, arrived_at, class) =
            (request.operation, request.parent, request.arrived_at, request.class);
        if let Some(key) = parent {
            self.schedule_in(
                Duration::ZERO,
                SimEvent::DownstreamCallEnded(key, final_outcome == FinalOutcome::Answered),
            );
            return;
        }
        self.statistics.record_final_outcome(now, arrived_at, final_outcome);
        match final_outcome {
            FinalOutcome::Answered => self.record_utility(operation, arrived_at),
            FinalOutcome::Declined => self.schedule_retry(operation, true, retry_after),
            FinalOutcome::Lost | FinalOutcome::Terminated => {
                self.schedule_retry(operation, self.retry_safety(class) == RetrySafety::Idempotent, None);
            }
            FinalOutcome::Left => {}
        }
    }

    fn record_utility(&mut self, number: u64, arrived_at: Duration) {
        let Some(operation) = self.operations.get(number) else { return };
        let class = &self.plan.request_classes[operation.class];
        let latency = self.now.saturating_sub(arrived_at).as_secs_f64();
        let full_utility =
            if latency <= class.latency_objective { class.utility } else { class.late_utility };
        let (utility, tenant) = (self.quota_weighted_utility(operation, full_utility), operation.tenant);
        self.statistics.record_utility(self.now, arrived_at, utility, tenant);
    }

    fn schedule_retry(&mut self, number: u64, safe_to_repeat: bool, retry_after: Option<Duration>) {
        let Some(operation) = self.operations.get_mut(number) else { return };
        let clients_stopped = self.now >= to_duration(self.plan.seconds);
        if !safe_to_repeat || clients_stopped || operation.retries >= self.plan.load.retries {
            return;
        }
        operation.retries += 1;
        operation.references += 1;
        let wait = match retry_after.filter(|_| self.plan.rules.max_retry_after > 0.0) {
            Some(delay) => delay.mul_f64(1.0 + 0.2 * self.rng.clients.random::<f64>()),
            None => to_duration(self.plan.load.backoff * exponential(&mut self.rng.clients)),
        };
        self.schedule_in(wait, SimEvent::ClientRetry(number));
    }

    /// Checks that a request has ended by its deadline, and removes it when nothing refers to it.
    pub fn request_deadline_passed(&mut self, number: u64) {
        let now = self.now;
        self.check_rules(number, |referee, facts| referee.deadline_passed(now, facts));
        if self.requests.get(number).is_some_and(|request| request.final_outcome.is_none()) {
            self.mark_unfinished_lost(number);
        }
        self.release_request(number);
    }

    /// Counts a request without a final outcome as lost; the referee has recorded the breach.
    fn mark_unfinished_lost(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(number) else { return };
        request.final_outcome = Some(FinalOutcome::Lost);
        let (parent, arrived_at) = (request.parent, request.arrived_at);
        match parent {
            Some(key) => self.schedule_in(Duration::ZERO, SimEvent::DownstreamCallEnded(key, false)),
            None => self.statistics.record_final_outcome(now, arrived_at, FinalOutcome::Lost),
        }
    }

    /// Removes a request, or checks again later if an attempt is open or a server still holds a job of it.
    fn release_request(&mut self, number: u64) {
        const RECHECK_DELAY: Duration = Duration::from_millis(500);
        let Some(request) = self.requests.get(number) else { return };
        let has_open_attempt = self.is_running(request.process)
            && request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        let (operation, jobs) = (request.operation, request.jobs);
        if has_open_attempt || jobs > 0 {
            self.schedule_in(RECHECK_DELAY, SimEvent::DeadlinePassed(number));
            return;
        }
        self.requests.remove(number);
        self.release_operation(operation);
    }

    /// Drops one reference to an operation and removes it with the last one.
    pub fn release_operation(&mut self, number: u64) {
        let Some(operation) = self.operations.get_mut(number) else { return };
        operation.references -= 1;
        if operation.references == 0 {
            self.operations.remove(number);
        }
    }

    /// Ends the process of a replica: its open requests are lost and the connections of its attempts close.
    pub fn stop_replica(&mut self, number: usize) {
        let ended_process = self.current_process(number);
        let replica = &mut self.replicas[number];
        if !replica.up {
            return;
        }
        (replica.up, replica.generation) = (false, replica.generation + 1);
        replica.idle_connections.clear();
        let own_requests: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.process == ended_process)
            .map(|(number, _)| number)
            .collect();
        for request in own_requests {
            self.cancel_attempts(request);
            if self.requests.get(request).is_some_and(|request| request.final_outcome.is_none()) {
                self.finish(request, FinalOutcome::Lost, None);
            }
        }
    }

    fn cancel_attempts(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(number) else { return };
        let mut cancelled = Vec::new();
        for (index, attempt) in (0u32..).zip(&mut request.attempts) {
            if attempt.outcome.is_none() {
                attempt.outcome = Some(Outcome::Cancelled);
                cancelled.push((AttemptKey { request: number, attempt: index }, attempt.delay));
            }
        }
        cancelled.into_iter().for_each(|(attempt_key, delay)| {
            self.schedule_in(delay, SimEvent::AttemptCancelled(attempt_key));
        });
    }
}

//! Admission: arrivals, the queue, and the rejection of requests that would hardly be answered in time.

use super::Policy;
use crate::host::{Host, Id, RequestArrival};
use crate::settings::{DedupScope, RetrySafety};
use crate::state::request::Request;
use std::time::Duration;

/// A new request is queued if its expected wait is at most this fraction of its slack, which is the time left minus
/// the expected latency.
pub(super) const MAX_WAIT_FRACTION: f64 = 0.25;
/// A request that is already queued may wait this many times as long as a new one.
const QUEUED_WAIT_FACTOR: f64 = 2.0;
/// A queued request is rejected if less time than this number of sweep intervals is left: the next sweep could be too
/// late.
const SWEEPS_BEFORE_DEADLINE: f64 = 2.0;
/// An attempt is not started if less time than this fraction of the expected latency is left.
const MIN_TIME_LEFT_FRACTION: f64 = 0.5;
/// A class's shortfall multiplies its rank by 1 plus the shortfall times this value times the objective's weight of the
/// worst class.
const WORST_CLASS_WEIGHT: f64 = 20.0;
/// Lower bound of the fraction of answered requests, by which the shortfall is divided.
const MIN_ANSWERED_FRACTION: f64 = 0.1;
/// Lower bound of the latency by which ranks are divided, in seconds.
const MIN_LATENCY_SECONDS: f64 = 0.01;
/// Upper bound of Retry-After as a fraction of the latency objective: a later answer could not earn anything.
const RETRY_AFTER_OBJECTIVE_FRACTION: f64 = 0.3;

impl<H: Host> Policy<H> {
    /// Records an arrival and adds the request to the queue. Returns `false` if the settings have no such class.
    pub(super) fn admit(&mut self, arrival: &RequestArrival) -> bool {
        let Some(class) = self.settings.classes.get(arrival.class) else { return false };
        let useful_until = if arrival.body_incomplete {
            arrival.deadline
        } else {
            class.useful_until(self.now, arrival.deadline)
        };
        self.classes[arrival.class].arrivals.add(self.now, 1.0);
        self.retry_budget.add_request();
        self.peers.add_request(&self.settings.costs);
        let request = Request {
            class: arrival.class,
            useful_until,
            body_pending: arrival.body_incomplete,
            body_streamed: arrival.body_incomplete,
            over_quota: self.is_over_quota(arrival.tenant),
            relative_cost: self.classes[arrival.class].relative_cost(arrival.declared_work),
            ..Request::default()
        };
        self.requests.insert(arrival.id.clone(), request);
        self.queue.push(arrival.id.clone());
        true
    }

    /// Whether the request counts as beyond its tenant's quota. Requests are chosen at random, in proportion to the
    /// excess traffic, and rank lower because they earn little.
    fn is_over_quota(&mut self, tenant: usize) -> bool {
        let replicas = self.settings.replicas / self.traffic_ratio();
        let tenant = self.tenants.get_mut(tenant).zip(self.settings.quotas.get(tenant));
        let Some((rate, quota)) = tenant.filter(|_| self.settings.tier == 0) else { return false };
        rate.add(self.now, 1.0);
        let demand = rate.per_second(self.now) * replicas;
        let quota = *quota;
        demand > quota && self.random.next() > quota / demand
    }

    /// Seconds in which an answer still earns something. A request with an incomplete body has its whole latency
    /// objective left.
    pub(super) fn seconds_left(&self, request: &Request) -> f64 {
        let objective = self.settings.classes.get(request.class).map(|class| class.latency_objective);
        let objective = objective.filter(|_| request.body_pending);
        objective.unwrap_or(request.useful_until.saturating_sub(self.now)).as_secs_f64()
    }

    /// Mean latency of a class, in seconds; 0 while unknown.
    pub(super) fn mean_latency(&self, class: usize) -> f64 {
        self.classes.get(class).and_then(|class| class.latency.mean()).unwrap_or(0.0)
    }

    /// Expected latency of the request by its class and its declared work, in seconds.
    pub(super) fn expected_latency(&self, request: &Request) -> f64 {
        self.mean_latency(request.class) * request.relative_cost
    }

    /// Rank of a request: its value per second of the capacity that it takes, raised if its class falls short.
    pub(super) fn rank(&self, request: &Request) -> f64 {
        let Some(class) = self.settings.classes.get(request.class) else { return 0.0 };
        let answered = self.classes[request.class].answered_fraction(self.now);
        let shortfall = 1.0 / answered.clamp(MIN_ANSWERED_FRACTION, 1.0) - 1.0;
        let urgency = 1.0 + WORST_CLASS_WEIGHT * self.settings.objective.worst_class * shortfall;
        let latency = self.mean_latency(request.class).max(MIN_LATENCY_SECONDS);
        let cost = if self.settings.value_by_work { 1.0 } else { latency };
        let quota_factor = if request.over_quota { self.settings.over_quota_value } else { 1.0 };
        class.value * urgency * quota_factor / cost
    }

    /// Tries to send the queued requests, highest rank first.
    pub(super) fn dispatch_queued(&mut self) {
        let rank = |id: &Id| Some((self.rank(self.requests.get(id)?), id.clone()));
        let mut ranked: Vec<(f64, Id)> = self.queue.iter().filter_map(rank).collect();
        ranked.sort_by(|first, second| second.0.total_cmp(&first.0));
        self.queue.clear();
        for (_, id) in ranked {
            if !self.try_dispatch(&id) {
                self.queue.push(id);
            }
        }
    }

    /// Sends the request if a server can take it now. Returns whether it was sent.
    pub(super) fn try_dispatch(&mut self, id: &Id) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let too_late = self.seconds_left(request) < MIN_TIME_LEFT_FRACTION * self.expected_latency(request);
        if too_late || self.awaits_checks(request) {
            return false;
        }
        let Some(slot) = self.select_checked_server(id) else { return false };
        self.send_attempt(id, slot);
        true
    }

    /// Rejects queued requests that would hardly be answered in time: an immediate rejection costs the client less than
    /// a futile wait.
    pub(super) fn shed_queued(&mut self, new_request: Option<&Id>) {
        let completion_rate = self.completion_rate();
        let mut requests_ahead = 0.0;
        // Operators excluded the last server, so none will be ready before the deadlines.
        let no_server = self.servers.ready_count() == 0 && self.overrides.any_excluded();
        let deadline_margin = SWEEPS_BEFORE_DEADLINE * self.sweeps.interval().as_secs_f64();
        for id in self.queue.clone() {
            let Some(request) = self.requests.get(&id) else { continue };
            let seconds_left = self.seconds_left(request);
            let is_expiring = seconds_left <= deadline_margin;
            if self.awaits_checks(request) && !is_expiring {
                continue;
            }
            let is_new = new_request == Some(&id);
            let fraction = if is_new { MAX_WAIT_FRACTION } else { QUEUED_WAIT_FACTOR * MAX_WAIT_FRACTION };
            let max_wait = fraction * (seconds_left - self.expected_latency(request));
            if is_expiring || no_server || (requests_ahead + 1.0) / completion_rate > max_wait {
                self.queue.retain(|queued| *queued != id);
                self.reject(&id);
            } else {
                requests_ahead += 1.0;
            }
        }
    }

    /// Ends a request without an answer: as rejected, with Retry-After if allowed, where a repeat does no harm;
    /// otherwise as failed.
    pub(super) fn reject(&mut self, id: &Id) {
        let Some(request) = self.requests.get(id).filter(|request| !request.finished) else { return };
        let repeatable = matches!(
            self.retry_safety(request),
            RetrySafety::Idempotent | RetrySafety::IdempotencyKeyed(DedupScope::All)
        );
        if repeatable || !request.may_have_run() {
            let objective = self
                .settings
                .classes
                .get(request.class)
                .map_or(Duration::ZERO, |class| class.latency_objective);
            let max_useful_wait = objective.mul_f64(RETRY_AFTER_OBJECTIVE_FRACTION);
            let retry_after = self
                .settings
                .capabilities
                .max_retry_after
                .map(|max_retry_after| max_retry_after.min(max_useful_wait));
            self.host.reject(id, retry_after);
        } else {
            self.host.fail(id);
        }
        self.close_request(id);
    }
}

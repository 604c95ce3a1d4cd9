//! Admission: arrivals, the queue, and what is rejected because it would not be answered in time.

use super::Policy;
use crate::host::{Host, Id, RequestArrival};
use crate::settings::{DedupScope, RetrySafety};
use crate::state::request::Request;
use std::time::Duration;

/// A new request is queued when its expected wait is at most this fraction of the time that it can spare; one that
/// waits already may take twice as much.
pub(super) const MAX_WAIT_FRACTION: f64 = 0.25;
const QUEUED_WAIT_FACTOR: f64 = 2.0;
/// A queued request is rejected when less time than so many sweeps is left: the next could come too late.
const SWEEPS_BEFORE_DEADLINE: f64 = 2.0;
/// An attempt is not worth starting with less time left than this fraction of the usual latency.
const MIN_TIME_LEFT_FRACTION: f64 = 0.5;
/// How strongly requests rank higher whose class falls short, for each point that the goal gives the worst class.
const WORST_CLASS_WEIGHT: f64 = 20.0;
/// The least fraction of answered requests that is divided by.
const MIN_ANSWERED_FRACTION: f64 = 0.1;
/// The least latency that ranks are divided by, in seconds.
const MIN_LATENCY_SECONDS: f64 = 0.01;
/// Rejected clients come back after this fraction of the goal: later, nothing could be earned any more.
const RETRY_AFTER_GOAL_FRACTION: f64 = 0.3;

impl<H: Host> Policy<H> {
    /// Records an arrival and puts it in the queue. `false`: no setting names its class.
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
            over_quota: self.is_over_quota(arrival.tenant),
            relative_cost: self.classes[arrival.class].relative_cost(arrival.declared_work),
            ..Request::default()
        };
        self.requests.insert(arrival.id.clone(), request);
        self.queue.push(arrival.id.clone());
        true
    }

    /// Traffic past a tenant's quota earns little: that part of it, by chance, ranks lower.
    fn is_over_quota(&mut self, tenant: usize) -> bool {
        let replicas = self.settings.replicas / self.traffic_ratio();
        let known = self.tenants.get_mut(tenant).zip(self.settings.quotas.get(tenant));
        let Some((rate, quota)) = known.filter(|_| self.settings.tier == 0) else { return false };
        rate.add(self.now, 1.0);
        let demand = rate.per_second(self.now) * replicas;
        let quota = *quota;
        demand > quota && self.random.next() > quota / demand
    }

    /// Seconds in which an answer still earns something. Until its body is complete a request has its whole goal.
    pub(super) fn seconds_left(&self, request: &Request) -> f64 {
        let goal = self.settings.classes.get(request.class).map(|class| class.latency_objective);
        let goal = goal.filter(|_| request.body_pending);
        goal.unwrap_or(request.useful_until.saturating_sub(self.now)).as_secs_f64()
    }

    /// The mean latency of a class, in seconds; 0 while unknown.
    pub(super) fn usual_latency(&self, class: usize) -> f64 {
        self.classes.get(class).and_then(|class| class.latency.mean()).unwrap_or(0.0)
    }

    /// The latency that a request of this stated cost usually has, in seconds.
    pub(super) fn expected_latency(&self, request: &Request) -> f64 {
        self.usual_latency(request.class) * request.relative_cost
    }

    /// What a request earns for each second that it keeps a place, more where its class falls short.
    pub(super) fn rank(&self, request: &Request) -> f64 {
        let Some(class) = self.settings.classes.get(request.class) else { return 0.0 };
        let answered = self.classes[request.class].answered_fraction(self.now);
        let shortfall = 1.0 / answered.clamp(MIN_ANSWERED_FRACTION, 1.0) - 1.0;
        let urgency = 1.0 + WORST_CLASS_WEIGHT * self.settings.objective.worst_class * shortfall;
        let latency = self.usual_latency(request.class).max(MIN_LATENCY_SECONDS);
        let cost = if self.settings.value_by_work { 1.0 } else { latency };
        let quota_factor = if request.over_quota { self.settings.over_quota_value } else { 1.0 };
        class.value * urgency * quota_factor / cost
    }

    /// Tries to send what is queued, the highest rank first.
    pub(super) fn dispatch_queued(&mut self) {
        let rank = |id: &Id| Some((self.rank(self.requests.get(id)?), id.clone()));
        let mut ranked: Vec<(f64, Id)> = self.queue.iter().filter_map(rank).collect();
        ranked.sort_by(|one, other| other.0.total_cmp(&one.0));
        self.queue.clear();
        for (_, id) in ranked {
            if !self.try_dispatch(&id) {
                self.queue.push(id);
            }
        }
    }

    /// Sends the request if a server can take it now.
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

    /// Rejects at once what would hardly be answered in time: waiting in vain costs more than a quick refusal.
    pub(super) fn shed_queued(&mut self, newcomer: Option<&Id>) {
        let turnover = self.turnover();
        let mut ahead = 0.0;
        // Operators took out the last server: it will not be back in time.
        let no_server = self.servers.ready_count() == 0 && self.overrides.any();
        let deadline_margin = SWEEPS_BEFORE_DEADLINE * self.sweeps.interval().as_secs_f64();
        for id in self.queue.clone() {
            let Some(request) = self.requests.get(&id) else { continue };
            let seconds_left = self.seconds_left(request);
            let ends = seconds_left <= deadline_margin;
            if self.awaits_checks(request) && !ends {
                continue;
            }
            let is_new = newcomer == Some(&id);
            let fraction = if is_new { MAX_WAIT_FRACTION } else { QUEUED_WAIT_FACTOR * MAX_WAIT_FRACTION };
            let max_wait = fraction * (seconds_left - self.expected_latency(request));
            if ends || no_server || (ahead + 1.0) / turnover > max_wait {
                self.queue.retain(|queued| *queued != id);
                self.reject(&id);
            } else {
                ahead += 1.0;
            }
        }
    }

    /// Gives the request its final answer: rejected, with Retry-After where that is allowed, if sending it again does
    /// no harm; else terminated.
    pub(super) fn reject(&mut self, id: &Id) {
        let Some(request) = self.requests.get(id).filter(|request| !request.finished) else { return };
        let repeatable = matches!(
            self.retry_safety(request),
            RetrySafety::Idempotent | RetrySafety::IdempotencyKeyed(DedupScope::All)
        );
        if repeatable || !request.may_have_run() {
            let goal = self
                .settings
                .classes
                .get(request.class)
                .map_or(Duration::ZERO, |class| class.latency_objective);
            let useful = goal.mul_f64(RETRY_AFTER_GOAL_FRACTION);
            let retry_after = self.settings.capabilities.max_retry_after.map(|most| most.min(useful));
            self.host.reject(id, retry_after);
        } else {
            self.host.fail(id);
        }
        self.close_request(id);
    }
}

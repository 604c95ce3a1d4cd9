//! Outlier ejection: a server with consecutive failures gets no requests until health checks or half-open trials
//! succeed. Where replicas share outcomes, a server may be ejected for one request class alone.

use super::Policy;
use crate::host::{Event, Host, Outcome};
use crate::settings::RetrySafety;
use crate::state::request::Request;
use crate::state::server_set::{Ejection, Server, Slot};
use std::time::Duration;

/// Consecutive failures that eject a server. The number is low because longer runs are rare in the little traffic of a
/// lower tier.
const FAILURES_TO_EJECT: u32 = 4;
/// Maximum fraction of the ready servers that is ejected. If more of them fail, the cause is overload or a shared
/// dependency, and the remaining servers could not carry the traffic.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Consecutive successful health checks or trials that end an ejection.
const SUCCESSES_TO_RETURN: u32 = 2;
/// Health checks or attempts that could not reach a server, by `Server::unreachable_checks`, from which it is ejected.
const UNREACHABLE_CHECKS_TO_EJECT: u32 = 2;
/// Maximum fraction of the ready servers that is ejected for one class.
const MAX_CLASS_EJECTED_FRACTION: f64 = 0.75;
/// Points for each failure where replicas share outcomes. `FAILURES_TO_EJECT` times as many points eject a server.
const SHARED_FAILURE_POINTS: u32 = 2;
/// Time before the next trial request of the class to a server that is ejected for it.
const CLASS_TRIAL_AFTER: Duration = Duration::from_secs(5);
/// After that time the replicas take turns, at this mean interval, in seconds.
const CLASS_TRIAL_INTERVAL_SECONDS: f64 = 0.3;
/// Time between health checks of an ejected server.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time until the next half-open trial, where health checks are not allowed.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

impl<H: Host> Policy<H> {
    fn eject(&mut self, slot: Slot) {
        let ready = self.servers_in_use() as f64;
        let available = self.servers.available_count() as f64;
        if ready - available + 1.0 > ready * MAX_EJECTED_FRACTION {
            return;
        }
        self.servers.eject(slot, self.new_ejection(slot));
        self.host.log(&Event::Ejected(self.servers[slot].id.clone()));
    }

    /// A new ejection. In a drained zone its next trial is not due until the fleet assigns one to this replica.
    pub(super) fn new_ejection(&self, slot: Slot) -> Ejection {
        let interval = if self.settings.capabilities.health_checks { CHECK_INTERVAL } else { TRIAL_INTERVAL };
        let drained = self.zones.is_drained(self.servers[slot].zone);
        Ejection::new(if drained { Duration::MAX } else { self.now + interval })
    }

    /// Restarts the ejection of a server that failed again.
    pub(super) fn restart_ejection(&mut self, slot: Slot) {
        self.servers.eject(slot, self.new_ejection(slot));
    }

    /// Records the start of an attempt at an ejected server: it is the only trial in flight, and a trial of the class
    /// delays the next one.
    pub(super) fn begin_trial(&mut self, slot: Slot, class: usize) {
        let server = &mut self.servers[slot];
        if let Some(ejection) = server.ejection_mut() {
            ejection.trial_in_flight = true;
        }
        if let Some(ejection) = server.classes.get_mut(class).and_then(|health| health.ejection.as_mut()) {
            ejection.next_trial = self.now + CLASS_TRIAL_AFTER;
        }
    }

    /// Whether the request may be the half-open trial of an ejected server.
    pub(super) fn may_be_trial(&self, request: &Request, ejection: &Ejection) -> bool {
        let trial_due = !ejection.trial_in_flight && ejection.next_trial <= self.now;
        !self.settings.capabilities.health_checks
            && trial_due
            && self.retry_safety(request) == RetrySafety::Idempotent
    }

    /// Whether the request may not be sent to the server because of an ejection for its class.
    pub(super) fn is_class_ejected(&self, request: &Request, server: &Server) -> bool {
        server.class_ejection(request.class).is_some_and(|ejection| ejection.next_trial > self.now)
    }

    /// Records a failed attempt.
    pub(super) fn record_failure(
        &mut self,
        slot: Slot,
        class: usize,
        outcome: Outcome,
        already_counted: bool,
    ) {
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled) {
            return;
        }
        self.decrease_limit_on_failure(slot, outcome);
        // With checks before selection, the load that the server reported explains a timeout.
        let explained_by_load = outcome == Outcome::Timeout && self.check_budget.is_used();
        if outcome == Outcome::ConnectFailed && self.settings.capabilities.peer_messages {
            self.record_unreachable(slot);
        } else if !already_counted && !explained_by_load {
            self.report_class_outcome(slot, class, false);
        }
    }

    /// Records that a health check or an attempt could not reach the server.
    pub(super) fn record_unreachable(&mut self, slot: Slot) {
        let server = &mut self.servers[slot];
        server.unreachable_at = Some(self.now);
        server.unreachable_checks += 1;
        server.last_used = None;
        if server.unreachable_checks >= UNREACHABLE_CHECKS_TO_EJECT && server.ejection().is_none() {
            self.eject(slot);
        }
    }

    /// Records that the server answered a request or a health check.
    pub(super) fn count_success(&mut self, slot: Slot) {
        let now = self.now;
        let drained = self.zones.is_drained(self.servers[slot].zone);
        if drained && self.servers[slot].ejection().is_some() {
            // The fleet receives this answer as an observation and decides whether to use the zone again.
            return self.restart_ejection(slot);
        }
        let interval = if self.settings.capabilities.health_checks { CHECK_INTERVAL } else { Duration::ZERO };
        let Some(ejection) = self.servers[slot].ejection_mut() else { return };
        ejection.successes += 1;
        ejection.trial_in_flight = false;
        ejection.next_trial = now + interval;
        if ejection.successes >= SUCCESSES_TO_RETURN {
            self.restart_server(slot, now);
            self.host.log(&Event::Returned(self.servers[slot].id.clone()));
        }
    }

    /// Whether the server has recent failures of the class or is ejected for it.
    pub(super) fn is_failing_class(&self, slot: Slot, class: usize) -> bool {
        let health = self.servers[slot].classes.get(class);
        health.is_some_and(|health| health.consecutive_failures > 0 || health.ejection.is_some())
    }

    /// Counts an answer or a failure of this class, observed here or by a peer. Failures are counted by class, so that
    /// answers of one class do not hide failures of another.
    pub(super) fn count_class_outcome(&mut self, slot: Slot, class: usize, answered: bool) {
        if answered {
            self.count_class_answer(slot, class);
        } else {
            self.count_class_failure(slot, class);
        }
    }

    fn count_class_failure(&mut self, slot: Slot, class: usize) {
        if self.servers[slot].ejection().is_some() {
            return self.restart_ejection(slot);
        }
        let shared = self.settings.capabilities.peer_messages;
        let Some(health) = self.servers[slot].classes.get_mut(class) else { return };
        health.consecutive_failures += if shared { SHARED_FAILURE_POINTS } else { 1 };
        let failures = health.consecutive_failures;
        if !shared && failures >= FAILURES_TO_EJECT {
            self.eject(slot);
        } else if failures >= SHARED_FAILURE_POINTS * FAILURES_TO_EJECT && self.fails_only_class(slot, class)
        {
            self.eject_for_class(slot, class);
        }
    }

    /// Whether the server fails this class and another class has few failures, or there is only one class.
    /// A server that is slow for all classes alike has a long queue and does not fail requests.
    fn fails_only_class(&self, slot: Slot, class: usize) -> bool {
        let classes = &self.servers[slot].classes;
        let others = classes.iter().enumerate().filter(|(other, _)| *other != class);
        let min_failures = others.map(|(_, health)| health.consecutive_failures).min();
        classes.len() == 1 || min_failures < Some(FAILURES_TO_EJECT)
    }

    /// Ejects the server for this class alone, up to a maximum fraction of the ready servers. If it were ejected for all
    /// classes, the remaining servers could not carry the traffic.
    fn eject_for_class(&mut self, slot: Slot, class: usize) {
        let ejected = self.servers.class_ejected_count(class) as f64;
        let already_ejected = self.servers[slot].class_ejection(class).is_some();
        if !already_ejected && ejected + 1.0 > MAX_CLASS_EJECTED_FRACTION * self.servers.ready_count() as f64
        {
            return;
        }
        let turn_delay_seconds = self.random.next() * CLASS_TRIAL_INTERVAL_SECONDS * self.replicas_per_server;
        let next_trial = self.now + CLASS_TRIAL_AFTER + Duration::from_secs_f64(turn_delay_seconds);
        self.servers[slot].classes[class].ejection = Some(Ejection::new(next_trial));
    }

    fn count_class_answer(&mut self, slot: Slot, class: usize) {
        let shared = self.settings.capabilities.peer_messages;
        let Some(health) = self.servers[slot].classes.get_mut(class) else { return };
        // Random losses occur between answers: with the outcomes of many replicas, one answer cancels half a failure.
        health.consecutive_failures = if shared { health.consecutive_failures.saturating_sub(1) } else { 0 };
        let Some(ejection) = &mut health.ejection else { return };
        ejection.successes += 1;
        if ejection.successes >= SUCCESSES_TO_RETURN {
            health.ejection = None;
            health.consecutive_failures = 0;
        }
    }
}

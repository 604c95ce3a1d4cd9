//! Outlier ejection: a server with failures in a row gets no requests until health checks or half-open trials are
//! answered. Where replicas share what they see, a server is ejected for one request class alone.

use super::Policy;
use crate::host::{Event, Host, Outcome};
use crate::settings::RetrySafety;
use crate::state::request::Request;
use crate::state::server_set::{Ejection, Server, Slot};
use std::time::Duration;

/// Failures in a row that eject a server: few, as in the little traffic of a lower tier many never come together.
const FAILURES_TO_EJECT: u32 = 4;
/// When more of the ready servers fail, the cause is load or something shared, and the rest could not carry all.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Health checks or trials in a row that end an ejection.
const SUCCESSES_TO_RETURN: u32 = 2;
/// Health checks in a row that cannot reach a server and eject it.
const UNREACHABLE_CHECKS_TO_EJECT: u32 = 2;
/// The largest fraction of the servers that is ejected for one class.
const MAX_CLASS_EJECTED_FRACTION: f64 = 0.75;
/// Where replicas share what they see, a failure counts this many points, and `FAILURES_TO_EJECT` times as many eject.
const SHARED_FAILURE_POINTS: u32 = 2;
/// A server that is ejected for a class gets no trial request of the class for so long.
const CLASS_TRIAL_AFTER: Duration = Duration::from_secs(5);
/// Then replicas take turns, on average so many seconds apart.
const CLASS_TRIAL_INTERVAL_SECONDS: f64 = 0.3;
/// The time between health checks of an ejected server.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time before the next half-open trial, where health checks are not allowed.
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

    /// In a drained zone a server is checked only when this replica has the turn.
    pub(super) fn new_ejection(&self, slot: Slot) -> Ejection {
        let interval = if self.settings.capabilities.health_checks { CHECK_INTERVAL } else { TRIAL_INTERVAL };
        let drained = self.zones.is_drained(self.servers[slot].zone);
        Ejection::new(if drained { Duration::MAX } else { self.now + interval })
    }

    /// An ejected server failed again.
    pub(super) fn restart_ejection(&mut self, slot: Slot) {
        self.servers.eject(slot, self.new_ejection(slot));
    }

    /// An attempt to the server begins: the only trial, if the server is ejected.
    pub(super) fn begin_trial(&mut self, slot: Slot, class: usize) {
        let server = &mut self.servers[slot];
        if let Some(ejection) = server.ejection_mut() {
            ejection.trial_in_flight = true;
        }
        if let Some(ejection) = server.classes.get_mut(class).and_then(|health| health.ejection.as_mut()) {
            ejection.next_trial = self.now + CLASS_TRIAL_AFTER;
        }
    }

    /// Whether this request may be the trial of an ejected server.
    pub(super) fn may_be_trial(&self, request: &Request, ejection: &Ejection) -> bool {
        let trial_due = !ejection.trial_in_flight && ejection.next_trial <= self.now;
        !self.settings.capabilities.health_checks
            && trial_due
            && self.retry_safety(request) == RetrySafety::Idempotent
    }

    /// Whether the server's ejection for the request's class keeps the request from it.
    pub(super) fn is_class_ejected(&self, request: &Request, server: &Server) -> bool {
        server.class_ejection(request.class).is_some_and(|ejection| ejection.next_trial > self.now)
    }

    /// An attempt failed.
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
        self.decrease_limit_by(slot, outcome);
        // Of a time-out after a check: by what it held, the server could not have answered yet.
        let explained = outcome == Outcome::Timeout && self.check_budget.is_used();
        if outcome == Outcome::ConnectFailed && self.settings.capabilities.peer_messages {
            self.record_unreachable(slot);
        } else if !already_counted && !explained {
            self.report_class_outcome(slot, class, false);
        }
    }

    /// A health check could not reach the server.
    pub(super) fn record_unreachable(&mut self, slot: Slot) {
        let server = &mut self.servers[slot];
        server.unreachable_at = Some(self.now);
        server.unreachable_checks += 1;
        server.last_used = None;
        if server.unreachable_checks >= UNREACHABLE_CHECKS_TO_EJECT && server.ejection().is_none() {
            self.eject(slot);
        }
    }

    /// The server answered a request or a health check.
    pub(super) fn count_success(&mut self, slot: Slot) {
        let now = self.now;
        let drained = self.zones.is_drained(self.servers[slot].zone);
        if drained && self.servers[slot].ejection().is_some() {
            // The fleet is told that the server answers, and uses the zone again or not.
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

    /// Whether failures of the class are held against the server.
    pub(super) fn is_failing_class(&self, slot: Slot, class: usize) -> bool {
        let health = self.servers[slot].classes.get(class);
        health.is_some_and(|health| health.consecutive_failures > 0 || health.ejection.is_some())
    }

    /// A server answered a request of this class or failed it, here or at a peer. Failures are counted by class: what
    /// a server answers of one class must not hide that it fails another.
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
        } else if failures >= SHARED_FAILURE_POINTS * FAILURES_TO_EJECT && self.fails_class_alone(slot, class)
        {
            self.eject_for_class(slot, class);
        }
    }

    /// A server that is slow for all classes alike shows as queued requests, and loses none.
    fn fails_class_alone(&self, slot: Slot, class: usize) -> bool {
        let classes = &self.servers[slot].classes;
        let others = classes.iter().enumerate().filter(|(other, _)| *other != class);
        let least_failures = others.map(|(_, health)| health.consecutive_failures).min();
        classes.len() == 1 || least_failures < Some(FAILURES_TO_EJECT)
    }

    /// For this class alone: without servers that fail one class and serve the others, the rest could not carry all.
    fn eject_for_class(&mut self, slot: Slot, class: usize) {
        let ejected = self.servers.class_ejected_count(class) as f64;
        let is_known = self.servers[slot].class_ejection(class).is_some();
        if !is_known && ejected + 1.0 > MAX_CLASS_EJECTED_FRACTION * self.servers.ready_count() as f64 {
            return;
        }
        let turn_seconds = self.random.next() * CLASS_TRIAL_INTERVAL_SECONDS * self.replicas_per_server;
        let next_trial = self.now + CLASS_TRIAL_AFTER + Duration::from_secs_f64(turn_seconds);
        self.servers[slot].classes[class].ejection = Some(Ejection::new(next_trial));
    }

    fn count_class_answer(&mut self, slot: Slot, class: usize) {
        let shared = self.settings.capabilities.peer_messages;
        let Some(health) = self.servers[slot].classes.get_mut(class) else { return };
        // Losses by chance come between answers: of what many replicas tell, an answer makes good half a failure.
        health.consecutive_failures = if shared { health.consecutive_failures.saturating_sub(1) } else { 0 };
        let Some(ejection) = &mut health.ejection else { return };
        ejection.successes += 1;
        if ejection.successes >= SUCCESSES_TO_RETURN {
            health.ejection = None;
            health.consecutive_failures = 0;
        }
    }
}

//! Further attempts: after one that failed, and beside or in place of one that is overdue.

use super::Policy;
use crate::host::{Host, Id};
use crate::settings::RetrySafety;
use crate::state::request::{AttemptState, Request};
use crate::state::server_set::Slot;
use std::time::Duration;

/// The price of a further attempt when the request may have run, in the retry budget's requests.
const RETRY_PRICE: f64 = 1.0;
/// A hedged request is not worth sending with less time left than so many times the expected latency.
const HEDGE_TIME_FACTOR: f64 = 1.5;
/// An attempt is overdue at this many times the time in which this fraction of the class is answered.
const OVERDUE_FACTOR: f64 = 4.0;
const OVERDUE_QUANTILE: f64 = 0.9;
/// Where the server's load was checked, it is overdue at this many times what it would take by that.
const OVERDUE_SERVICE_FACTOR: f64 = 2.5;
/// Answers before the service time is believed.
const MIN_SERVICE_TIMES: u32 = 8;

/// An attempt that has become overdue. The order of the fields is the order in which several are handled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Overdue {
    request: Id,
    class: usize,
    slot: Slot,
    number: u32,
}

impl<H: Host> Policy<H> {
    /// What the request's class says of repeats.
    pub(super) fn retry_safety(&self, request: &Request) -> RetrySafety {
        self.settings
            .classes
            .get(request.class)
            .map_or(RetrySafety::NonIdempotent, |class| class.retry_safety)
    }

    /// Whether the request may be sent to a server of this zone and cell, after the attempts that it had.
    pub(super) fn may_attempt(&self, request: &Request, zone: u32, cell: u32) -> bool {
        let is_over = request.finished || request.streaming || request.not_replayable;
        if is_over || request.useful_until <= self.now {
            return false;
        }
        let max_attempts = self.settings.capabilities.max_attempts as usize;
        let may_be_parallel = self.settings.capabilities.hedging;
        if request.attempts.len() >= max_attempts || (!may_be_parallel && request.in_flight() > 0) {
            return false;
        }
        match self.retry_safety(request) {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => !request.may_have_run(),
            RetrySafety::IdempotencyKeyed(scope) => {
                let memory = self
                    .settings
                    .classes
                    .get(request.class)
                    .map_or(Duration::ZERO, |class| class.dedup_window);
                let mut ran = request.attempts.iter().filter(|a| a.state != AttemptState::NeverRan);
                ran.all(|attempt| {
                    scope.covers((attempt.zone, attempt.cell), (zone, cell))
                        && self.now + self.settings.timer_resolution < attempt.sent_at + memory
                })
            }
        }
    }

    /// After an attempt: the request is closed, waits for another attempt that is in flight, is retried, or rejected.
    pub(super) fn continue_request(&mut self, id: &Id) {
        let Some(request) = self.requests.get(id) else { return };
        if request.finished {
            self.queue.retain(|queued| queued != id);
            self.close_request(id);
        } else if request.in_flight() == 0 {
            self.retry(id);
        }
    }

    fn retry(&mut self, id: &Id) {
        let Some(request) = self.requests.get(id) else { return };
        let price = if request.may_have_run() { RETRY_PRICE } else { 0.0 };
        let has_time = self.seconds_left(request) > self.expected_latency(request);
        let checks_first = self.check_budget.is_used();
        let may_retry = has_time && self.retry_budget.allows(price);
        if !may_retry || (!checks_first && !self.try_dispatch(id)) {
            return self.reject(id);
        }
        self.retry_budget.spend(price);
        if checks_first && !self.check_before_selection(id) {
            self.reject(id);
        } else if checks_first {
            self.queue.push(id.clone());
        }
    }

    /// Attempts that are in flight far longer than usual count as failures, or what answers nothing would keep its
    /// share of the requests.
    pub(super) fn detect_overdue_attempts(&mut self) {
        let mut overdue = self.take_overdue_attempts();
        overdue.sort();
        for attempt in overdue {
            self.servers[attempt.slot].overdue += 1;
            self.report_class_outcome(attempt.slot, attempt.class, false);
            self.hedge_or_replace(&attempt.request, attempt.number);
        }
    }

    /// Marks attempts that have become overdue, and forgets those that are over.
    fn take_overdue_attempts(&mut self) -> Vec<Overdue> {
        let mut overdue = Vec::new();
        let service_time = self.service_time.exact_mean();
        let service_time = service_time
            .filter(|_| self.check_budget.is_used() && self.service_time.total >= MIN_SERVICE_TIMES);
        let own_delay = self.sweeps.own_delay();
        for (class, statistics) in self.classes.iter_mut().enumerate() {
            let usual = statistics.latency.quantile(OVERDUE_QUANTILE);
            statistics.watched.retain(|watched| {
                let request = self.requests.get_mut(&watched.request).filter(|request| !request.streaming);
                let Some(request) = request else { return false };
                let attempt = request.attempts.get_mut(watched.number as usize);
                // A later request may have the id of one that is over.
                let attempt = attempt.filter(|attempt| {
                    attempt.state == AttemptState::InFlight && attempt.sent_at == watched.sent_at
                });
                let Some(attempt) = attempt else { return false };
                // A replica that was itself held up has not read the answers that came meanwhile.
                let seconds = self.now.saturating_sub(watched.sent_at + own_delay).as_secs_f64();
                let limit_seconds = match (attempt.queued_ahead, service_time) {
                    (Some(ahead), Some(service_time)) => {
                        Some(OVERDUE_SERVICE_FACTOR * service_time * (request.relative_cost + ahead))
                    }
                    _ => usual.map(|usual| OVERDUE_FACTOR * usual),
                };
                attempt.overdue = limit_seconds.is_some_and(|limit| seconds > limit);
                if attempt.overdue {
                    let (request, slot) = (watched.request.clone(), attempt.slot);
                    overdue.push(Overdue { request, class, slot, number: watched.number });
                }
                !attempt.overdue
            });
        }
        overdue
    }

    /// An overdue request is tried elsewhere: beside the overdue attempt where two may be in flight, else after it is
    /// cancelled and reported as over.
    fn hedge_or_replace(&mut self, id: &Id, overdue_attempt: u32) {
        let Some(request) = self.requests.get(id) else { return };
        let has_time = self.seconds_left(request) >= HEDGE_TIME_FACTOR * self.expected_latency(request);
        if request.finished || !self.retry_budget.allows(RETRY_PRICE) || !has_time {
            return;
        }
        if self.settings.capabilities.hedging {
            if request.in_flight() == 1 && self.try_dispatch(id) {
                self.retry_budget.spend(RETRY_PRICE);
            }
            return;
        }
        let idempotent = self.retry_safety(request) == RetrySafety::Idempotent;
        if self.settings.capabilities.cancellation && idempotent && self.has_other_server(request) {
            self.host.cancel_attempt(id, overdue_attempt);
        }
    }

    /// Whether the window has an available server that the request was not sent to.
    fn has_other_server(&self, request: &Request) -> bool {
        let mut window = self.servers.window().iter().map(|slot| &self.servers[*slot]);
        window.any(|server| server.ejection().is_none() && !request.was_sent_to(&server.id))
    }
}

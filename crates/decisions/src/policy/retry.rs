//! Further attempts: retries after a failure, and hedges or replacements of overdue attempts.

use super::Policy;
use crate::host::{Host, Id};
use crate::settings::RetrySafety;
use crate::state::request::{AttemptState, Request};
use crate::state::server_set::Slot;
use std::time::Duration;

/// Price of a further attempt of a request that may have run, in credits of the retry budget.
const RETRY_PRICE: f64 = 1.0;
/// A hedge is not sent if less time than this multiple of the expected latency is left.
const HEDGE_TIME_FACTOR: f64 = 1.5;
/// An attempt is overdue at this multiple of the latency quantile `OVERDUE_QUANTILE` of its class.
const OVERDUE_FACTOR: f64 = 4.0;
const OVERDUE_QUANTILE: f64 = 0.9;
/// If the server's load was checked, an attempt is overdue at this multiple of the time that this load requires.
const OVERDUE_SERVICE_FACTOR: f64 = 2.5;
/// Minimum number of answers before the mean service time is used.
const MIN_SERVICE_TIMES: u32 = 8;

/// An attempt that has become overdue. The order of the fields is the order in which attempts are handled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OverdueAttempt {
    request: Id,
    class: usize,
    slot: Slot,
    number: u32,
}

impl<H: Host> Policy<H> {
    /// The retry safety of the request's class.
    pub(super) fn retry_safety(&self, request: &Request) -> RetrySafety {
        self.settings
            .classes
            .get(request.class)
            .map_or(RetrySafety::NonIdempotent, |class| class.retry_safety)
    }

    /// Whether the request may be sent to a server of this zone and cell, given its earlier attempts.
    pub(super) fn may_attempt(&self, request: &Request, zone: u32, cell: u32) -> bool {
        let is_closed = request.finished || request.streaming || request.not_replayable;
        if is_closed || request.useful_until <= self.now {
            return false;
        }
        let max_attempts = self.settings.capabilities.max_attempts as usize;
        let overlaps = request.in_flight() > 0;
        if request.attempts.len() >= max_attempts || (overlaps && !self.may_hedge(request)) {
            return false;
        }
        match self.retry_safety(request) {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => !request.may_have_run(),
            RetrySafety::IdempotencyKeyed(scope) => {
                let dedup_window = self
                    .settings
                    .classes
                    .get(request.class)
                    .map_or(Duration::ZERO, |class| class.dedup_window);
                let mut possible_runs =
                    request.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan);
                possible_runs.all(|attempt| {
                    scope.covers((attempt.zone, attempt.cell), (zone, cell))
                        && self.now + self.settings.timer_resolution < attempt.sent_at + dedup_window
                })
            }
        }
    }

    /// Whether a second attempt may start while one is in flight. Two attempts would share the parts of a streamed body,
    /// so that neither server would get all of it.
    fn may_hedge(&self, request: &Request) -> bool {
        self.settings.capabilities.hedging && !request.body_streamed
    }

    /// Continues a request after an attempt: closes it, waits for another attempt in flight, retries it, or rejects it.
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

    /// Counts attempts that are in flight far longer than usual as failures. Otherwise a server that never answers
    /// would keep its share of the requests.
    pub(super) fn detect_overdue_attempts(&mut self) {
        let mut overdue = self.mark_overdue_attempts();
        overdue.sort();
        for attempt in overdue {
            self.servers[attempt.slot].overdue += 1;
            self.report_class_outcome(attempt.slot, attempt.class, false);
            self.hedge_or_replace(&attempt.request, attempt.number);
        }
    }

    /// Marks overdue attempts, and stops watching those that have ended.
    fn mark_overdue_attempts(&mut self) -> Vec<OverdueAttempt> {
        let mut overdue = Vec::new();
        let service_time = self.service_time.exact_mean();
        let service_time = service_time
            .filter(|_| self.check_budget.is_used() && self.service_time.total >= MIN_SERVICE_TIMES);
        let own_delay = self.sweeps.own_delay();
        for (class, statistics) in self.classes.iter_mut().enumerate() {
            let high_latency = statistics.latency.quantile(OVERDUE_QUANTILE);
            statistics.watched.retain(|watched| {
                let request = self.requests.get_mut(&watched.request).filter(|request| !request.streaming);
                let Some(request) = request else { return false };
                let attempt = request.attempts.get_mut(watched.number as usize);
                // The id of a closed request may be used again.
                let attempt = attempt.filter(|attempt| {
                    attempt.state == AttemptState::InFlight && attempt.sent_at == watched.sent_at
                });
                let Some(attempt) = attempt else { return false };
                // A replica that was delayed itself has not yet read the answers that arrived in the meantime.
                let waited_seconds = self.now.saturating_sub(watched.sent_at + own_delay).as_secs_f64();
                let limit_seconds = match (attempt.queued_ahead, service_time) {
                    (Some(queued_ahead), Some(service_time)) => {
                        Some(OVERDUE_SERVICE_FACTOR * service_time * (request.relative_cost + queued_ahead))
                    }
                    _ => high_latency.map(|seconds| OVERDUE_FACTOR * seconds),
                };
                attempt.overdue = limit_seconds.is_some_and(|limit| waited_seconds > limit);
                if attempt.overdue {
                    let (request, slot) = (watched.request.clone(), attempt.slot);
                    overdue.push(OverdueAttempt { request, class, slot, number: watched.number });
                }
                !attempt.overdue
            });
        }
        overdue
    }

    /// Tries an overdue request on another server: in parallel to the overdue attempt if hedging is allowed, otherwise
    /// after that attempt is cancelled and has ended.
    fn hedge_or_replace(&mut self, id: &Id, overdue_attempt: u32) {
        let Some(request) = self.requests.get(id) else { return };
        let has_time = self.seconds_left(request) >= HEDGE_TIME_FACTOR * self.expected_latency(request);
        if request.finished || !self.retry_budget.allows(RETRY_PRICE) || !has_time {
            return;
        }
        if self.settings.capabilities.hedging {
            if request.in_flight() == 1 && self.may_hedge(request) && self.try_dispatch(id) {
                self.retry_budget.spend(RETRY_PRICE);
            }
            return;
        }
        let idempotent = self.retry_safety(request) == RetrySafety::Idempotent;
        if self.settings.capabilities.cancellation && idempotent && self.has_other_server(request) {
            self.host.cancel_attempt(id, overdue_attempt);
        }
    }

    /// Whether the window has an available server without an attempt of the request.
    fn has_other_server(&self, request: &Request) -> bool {
        let mut window = self.servers.window().iter().map(|slot| &self.servers[*slot]);
        window.any(|server| server.ejection().is_none() && !request.was_sent_to(&server.id))
    }
}

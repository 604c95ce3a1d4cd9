//! Selection of a server: which servers are eligible for a request, and a random choice by weight.

use super::Policy;
use super::concurrency_limits::INITIAL_LIMIT;
use super::outlier_ejection::CHECK_INTERVAL;
use super::preselection::{CHECKED_REPORT_MAX_AGE, IDLE_LOAD};
use crate::host::{Host, Id};
use crate::settings::{DedupScope, RetrySafety};
use crate::state::random::weighted_choice;
use crate::state::request::{AttemptState, Request};
use crate::state::server_set::{Server, Slot};

/// Exponent with which weights fall with load and slowness.
const WEIGHT_EXPONENT: i32 = 4;
/// Exponent with which weights fall with the time to an answer, if reports were fetched for this selection. It is
/// higher because such reports are hardly outdated.
const CHECKED_WEIGHT_EXPONENT: i32 = 12;
/// Lower bound of the time to an answer in weights, in seconds.
const MIN_ESTIMATE_SECONDS: f64 = 1e-6;
/// Weights of servers in other zones are multiplied by exp(-`ZONE_CROSSING_WEIGHT` * price of an attempt there).
const ZONE_CROSSING_WEIGHT: f64 = 60.0;
/// A server is eligible if the request would be answered within this fraction of the time left, or within all of it if
/// the server is idle.
const DEADLINE_FRACTION: f64 = 0.75;
/// Minimum share of a server's limit, in attempts: every replica may have one attempt in flight there.
const MIN_LIMIT_SHARE: f64 = 1.0;
/// The exponent of sizes is `WEIGHT_EXPONENT` for one replica per server and approaches 1 as more replicas share a
/// server. A larger offset slows this down.
const SHARING_OFFSET: f64 = 3.0;

impl<H: Host> Policy<H> {
    /// Selects a server for the request by a random draw, if any is eligible.
    pub(super) fn select_server(&mut self, id: &Id) -> Option<Slot> {
        self.add_slow_start_credits();
        self.update_mean_in_flight();
        let draw = self.random.next();
        let request = self.requests.get(id)?;
        if self.is_at_capacity(request) {
            return None;
        }
        let dedup_cell = self.dedup_cell(request);
        let exponent = self.size_exponent();
        let cell_servers = dedup_cell.map(|(zone, cell)| self.servers.cell_servers(zone, cell, exponent));
        self.weigh_servers(id, cell_servers.as_deref());
        // Drawn by weight alone, a reinstated server would stay unused for long at a replica with few requests.
        let reinstated =
            self.weights.iter().find(|(slot, _)| self.servers[*slot].min_credits_per_second > 0.0);
        reinstated.map(|(slot, _)| *slot).or_else(|| weighted_choice(&self.weights, draw))
    }

    /// The cell whose servers alone deduplicate the request, if the request may have run there.
    fn dedup_cell(&self, request: &Request) -> Option<(u32, u32)> {
        if self.retry_safety(request) != RetrySafety::IdempotencyKeyed(DedupScope::Cell) {
            return None;
        }
        let mut attempts = request.attempts.iter();
        let first = attempts.find(|attempt| attempt.state != AttemptState::NeverRan);
        first.map(|attempt| (attempt.zone, attempt.cell))
    }

    /// Fills `weights` with the eligible servers of `restricted_to`, if given, or else of the request's candidates or
    /// the window.
    fn weigh_servers(&mut self, id: &Id, restricted_to: Option<&[Slot]>) {
        let mut weights = std::mem::take(&mut self.weights);
        weights.clear();
        if let Some(request) = self.requests.get(id) {
            let has_candidates = !request.candidates.is_empty();
            let candidates = if has_candidates { &request.candidates } else { self.servers.window() };
            let all_ejected = self.servers.available_count() == 0;
            let mean_report = self.servers.mean_load_report();
            let any_checked = self.check_budget.is_used()
                && candidates.iter().any(|slot| self.has_checked_report(&self.servers[*slot]));
            for slot in restricted_to.unwrap_or(candidates) {
                let server = &self.servers[*slot];
                let is_comparable = !any_checked || self.has_checked_report(server);
                if is_comparable && self.is_eligible(request, server, all_ejected) {
                    weights.push((*slot, self.weight(request, server, mean_report)));
                }
            }
        }
        self.weights = weights;
    }

    /// Whether the server may get the request now. Ejections are ignored if all servers are ejected.
    pub(super) fn is_eligible(&self, request: &Request, server: &Server, all_ejected: bool) -> bool {
        let in_slow_start = server.slow_start_from().is_some();
        let is_selectable = server.in_window() || !in_slow_start;
        let has_credit = !in_slow_start || server.slow_start_credit >= 1.0;
        if !server.ready()
            || !is_selectable
            || !has_credit
            || request.was_sent_to(&server.id)
            || self.is_class_ejected(request, server)
            || !self.may_attempt(request, server.zone, server.cell)
        {
            return false;
        }
        if let Some(ejection) = server.ejection().filter(|_| !all_ejected) {
            return self.may_be_trial(request, ejection);
        }
        if server.unreachable_at.is_some_and(|at| self.now < at + CHECK_INTERVAL) {
            return false;
        }
        if self.check_budget.is_used() {
            return self.answers_in_time(request, server);
        }
        self.reports_spare_capacity() == Some(true) || self.is_below_limit(server)
    }

    fn is_below_limit(&self, server: &Server) -> bool {
        let own_share = server.concurrency_limit / self.replicas_per_server;
        f64::from(server.in_flight()) < own_share.max(MIN_LIMIT_SHARE)
    }

    fn answers_in_time(&self, request: &Request, server: &Server) -> bool {
        let Some(seconds) = self.estimated_seconds(request, server) else { return true };
        let is_idle = server.recent_load(self.now, CHECKED_REPORT_MAX_AGE) < Some(IDLE_LOAD);
        let fraction = if is_idle { 1.0 } else { DEADLINE_FRACTION };
        seconds <= fraction * self.seconds_left(request)
    }

    /// Estimated seconds to an answer from the server's load report; `None` without a recent report.
    fn estimated_seconds(&self, request: &Request, server: &Server) -> Option<f64> {
        let load = server.recent_load(self.now, CHECKED_REPORT_MAX_AGE)?;
        let objective = self
            .settings
            .classes
            .get(request.class)
            .map_or(0.0, |class| class.latency_objective.as_secs_f64());
        let service_time = self.service_time.exact_mean().unwrap_or(objective / INITIAL_LIMIT);
        let fraction = server.slow_start_fraction(&self.settings.slow_start, self.now);
        let slowness = server.slowness.max(1.0) / fraction;
        Some(service_time * slowness * (load + request.relative_cost))
    }

    fn weight(&self, request: &Request, server: &Server, mean_report: f64) -> f64 {
        let is_local = server.zone == self.settings.zone;
        let crossing_price = if is_local { 0.0 } else { self.settings.costs.cross_zone };
        let zone_factor = (-crossing_price * ZONE_CROSSING_WEIGHT).exp() * self.zones.weight_factor(server);
        if let Some(seconds) = self.estimated_seconds(request, server) {
            return zone_factor * seconds.max(MIN_ESTIMATE_SECONDS).powi(-CHECKED_WEIGHT_EXPONENT);
        }
        let speed = 1.0 / server.slowness;
        let size = server.relative_size * speed;
        let load = self.estimated_load(server, mean_report);
        let size_factor = server.size_weight * speed.powi(WEIGHT_EXPONENT);
        let fraction = server.slow_start_fraction(&self.settings.slow_start, self.now);
        zone_factor * fraction * size_factor / (1.0 + load / size).powi(WEIGHT_EXPONENT)
    }

    /// Exponent of server sizes in weights. If all replicas prefer the large servers, a replica that sees a small part
    /// of the traffic cannot correct the overload. The smaller that part, the closer the exponent is to 1, which makes
    /// weights proportional to sizes.
    pub(super) fn size_exponent(&self) -> f64 {
        let excess = f64::from(WEIGHT_EXPONENT - 1);
        1.0 + excess * (1.0 + SHARING_OFFSET) / (SHARING_OFFSET + self.replicas_per_server)
    }
}

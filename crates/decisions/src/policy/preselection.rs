//! Health checks before selection: where health checks alone report load, a request waits for fresh reports of a few
//! servers. From its own traffic, one of hundreds of replicas would learn too little of each server.

use super::Policy;
use crate::host::{Host, Id, LoadReport, Outcome};
use crate::state::request::Request;
use crate::state::server_set::{Server, Slot};
use std::time::Duration;

/// Servers that are checked in the first round. If none of them is idle, further rounds check more, within the budget.
const FIRST_ROUND_CHECKS: usize = 2;
/// Maximum number of rounds for one attempt.
const MAX_ROUNDS: u32 = 3;
/// A server with a report of this age or younger is not checked again.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(4);
/// Maximum time for which a request waits for the checks of one round.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(10);
/// Maximum age of a report that was fetched for selection.
pub(super) const CHECKED_REPORT_MAX_AGE: Duration = Duration::from_millis(34);
/// A server with fewer requests than this is idle: if it is selected, no further round is made.
pub(super) const IDLE_LOAD: f64 = 1.0;

impl<H: Host> Policy<H> {
    /// Selects a server. Makes further rounds of checks as long as the selected server is not idle.
    pub(super) fn select_checked_server(&mut self, id: &Id) -> Option<Slot> {
        let mut selected = self.select_server(id);
        while !self.is_idle_selection(selected) && self.check_before_selection(id) {
            if self.requests.get(id).is_some_and(|request| self.awaits_checks(request)) {
                return None;
            }
            selected = self.select_server(id);
        }
        selected
    }

    fn is_idle_selection(&self, selected: Option<Slot>) -> bool {
        let load = selected.and_then(|slot| self.servers[slot].recent_load(self.now, CHECKED_REPORT_MAX_AGE));
        load.is_some_and(|load| load < IDLE_LOAD)
    }

    /// Whether the server's report is recent enough for an estimate of the time to an answer.
    pub(super) fn has_checked_report(&self, server: &Server) -> bool {
        server.recent_load(self.now, CHECKED_REPORT_MAX_AGE).is_some()
    }

    /// Starts a round of checks for the request. Returns whether it found new candidates.
    pub(super) fn check_before_selection(&mut self, id: &Id) -> bool {
        let may_check = |request: &&Request| self.check_budget.is_used() && request.check_rounds < MAX_ROUNDS;
        let Some(request) = self.requests.get(id).filter(may_check) else { return false };
        let is_first = request.check_rounds == 0;
        let candidates = self.new_candidates(id, is_first);
        let stale = |slot: &Slot| {
            let report = self.servers[*slot].load_report();
            report.is_none_or(|report| report.at + FRESH_REPORT_AGE < self.now)
        };
        let to_check: Vec<Slot> = candidates.iter().copied().filter(stale).collect();
        for slot in &to_check {
            if self.start_health_check(*slot) {
                self.check_budget.spend();
            }
        }
        let Some(request) = self.requests.get_mut(id) else { return false };
        let found_any = !candidates.is_empty();
        request.candidates.extend(candidates);
        request.pending_checks = to_check;
        request.checks_deadline = self.now + MAX_CHECK_WAIT;
        request.check_rounds += 1;
        found_any
    }

    /// Randomly chosen eligible servers that are not yet candidates; servers with an open connection come first.
    fn new_candidates(&mut self, id: &Id, is_first_round: bool) -> Vec<Slot> {
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let window = self.servers.window().iter().copied();
        let unchecked = window.filter(|slot| !request.candidates.contains(slot));
        let mut candidates: Vec<Slot> =
            unchecked.filter(|slot| self.is_eligible(request, &self.servers[*slot], false)).collect();
        let max_checks = if is_first_round { FIRST_ROUND_CHECKS } else { self.check_budget.per_request() };
        let count = max_checks.min(self.check_budget.available()).min(candidates.len());
        self.random.shuffle(&mut candidates);
        let idle_timeout = self.settings.idle_connection_timeout;
        candidates.sort_by_key(|slot| !self.servers[*slot].has_connection(self.now, idle_timeout));
        candidates.truncate(count);
        candidates
    }

    /// Whether the request still waits for health checks.
    pub(super) fn awaits_checks(&self, request: &Request) -> bool {
        !request.pending_checks.is_empty() && self.now < request.checks_deadline
    }

    /// Records a health check, for which requests no longer wait.
    pub(super) fn record_preselection_check(&mut self, slot: Slot, outcome: Outcome, load: LoadReport) {
        if outcome == Outcome::Ok {
            let server = &mut self.servers[slot];
            server.unreachable_at = None;
            server.unreachable_checks = 0;
            self.record_load_report(slot, load);
        } else {
            self.record_unreachable(slot);
        }
        for id in &self.queue {
            if let Some(request) = self.requests.get_mut(id) {
                request.pending_checks.retain(|pending| *pending != slot);
            }
        }
        self.dispatch_queued();
        self.shed_queued(None);
    }
}

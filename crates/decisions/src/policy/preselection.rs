//! Health checks before selection: where checks alone tell how much servers hold, a request waits for fresh reports of
//! a few servers. One of hundreds of replicas learns too little of any server otherwise.

use super::Policy;
use crate::host::{Host, Id, LoadReport, Outcome};
use crate::state::request::Request;
use crate::state::server_set::{Server, Slot};
use std::time::Duration;

/// So many servers are checked in the first round; if each holds something, more, while the budget lasts.
const FIRST_ROUND_CHECKS: usize = 2;
/// The most rounds for one attempt.
const MAX_ROUNDS: u32 = 3;
/// A server with so fresh a report is not checked again.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(4);
/// A request waits no longer than this for the checks of one round.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(10);
/// The age up to which a report that was fetched for selection counts.
pub(super) const CHECKED_REPORT_MAX_AGE: Duration = Duration::from_millis(34);
/// A server that holds less than this is idle: if it is selected, no further round is made.
pub(super) const IDLE_LOAD: f64 = 1.0;

impl<H: Host> Policy<H> {
    /// Selects a server, and makes further rounds of checks while the best holds something.
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

    /// Whether the server's report is fresh enough for the estimate of the time to an answer.
    pub(super) fn has_checked_report(&self, server: &Server) -> bool {
        server.recent_load(self.now, CHECKED_REPORT_MAX_AGE).is_some()
    }

    /// Begins a round of checks for the request. Returns whether there are new candidates.
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
        let found = !candidates.is_empty();
        request.candidates.extend(candidates);
        request.pending_checks = to_check;
        request.checks_until = self.now + MAX_CHECK_WAIT;
        request.check_rounds += 1;
        found
    }

    /// Eligible servers that are no candidates yet, by chance; those with an open connection first.
    fn new_candidates(&mut self, id: &Id, is_first_round: bool) -> Vec<Slot> {
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let window = self.servers.window().iter().copied();
        let new = window.filter(|slot| !request.candidates.contains(slot));
        let mut candidates: Vec<Slot> =
            new.filter(|slot| self.is_eligible(request, &self.servers[*slot], false)).collect();
        let most = if is_first_round { FIRST_ROUND_CHECKS } else { self.check_budget.per_request() };
        let wanted = most.min(self.check_budget.available()).min(candidates.len());
        self.random.shuffle(&mut candidates);
        let kept_for = self.settings.idle_connection_timeout;
        candidates.sort_by_key(|slot| !self.servers[*slot].has_connection(self.now, kept_for));
        candidates.truncate(wanted);
        candidates
    }

    /// Whether the request still waits for checks.
    pub(super) fn awaits_checks(&self, request: &Request) -> bool {
        !request.pending_checks.is_empty() && self.now < request.checks_until
    }

    /// A check is over: requests no longer wait for it.
    pub(super) fn take_preselection_check(&mut self, slot: Slot, outcome: Outcome, load: LoadReport) {
        if outcome == Outcome::Ok {
            let server = &mut self.servers[slot];
            server.unreachable_at = None;
            server.unreachable_checks = 0;
            self.take_load_report(slot, load);
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

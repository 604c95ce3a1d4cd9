//! Health checks of ejected servers, and the outcomes of all health checks.

use super::Policy;
use crate::host::{Host, Id, LoadReport, Outcome};
use crate::state::server_set::Slot;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// Handles the outcome of a health check. Its load report is recorded only if each selection fetches its own
    /// reports: elsewhere checks are rare, and the report would be used long after it is outdated.
    pub fn health_check_ended(&mut self, now: Duration, outcome: Outcome, id: &Id, load: LoadReport) {
        self.now = now;
        let Some(slot) = self.servers.slot(id) else { return };
        self.servers[slot].check_in_flight = false;
        self.zones.check_ended(self.servers[slot].zone, now, outcome);
        if self.check_budget.is_used() {
            self.record_preselection_check(slot, outcome, load);
        }
        if outcome == Outcome::Ok {
            self.count_success(slot);
        } else if self.servers[slot].ejection().is_some() {
            self.restart_ejection(slot);
        }
    }

    /// Starts the due health checks of ejected servers.
    pub(super) fn make_due_health_checks(&mut self) {
        if !self.settings.capabilities.health_checks {
            return;
        }
        for slot in self.servers.ejected().collect::<Vec<_>>() {
            let server = &self.servers[slot];
            let due = server.ejection().is_some_and(|ejection| ejection.next_trial <= self.now);
            if due && server.ready() {
                self.start_health_check(slot);
            }
        }
    }

    /// Starts a health check of the server unless one is in flight. Returns whether it was started.
    pub(super) fn start_health_check(&mut self, slot: Slot) -> bool {
        let server = &mut self.servers[slot];
        let in_flight = std::mem::replace(&mut server.check_in_flight, true);
        if !in_flight {
            self.host.check_health(&server.id);
        }
        !in_flight
    }

    /// When the next health check of an ejected server is due.
    pub(super) fn next_health_check(&self) -> Option<Duration> {
        if !self.settings.capabilities.health_checks {
            return None;
        }
        let ejected = self.servers.ejected();
        let ejections = ejected.filter_map(|slot| self.servers[slot].ejection());
        ejections.map(|ejection| ejection.next_trial).min()
    }
}

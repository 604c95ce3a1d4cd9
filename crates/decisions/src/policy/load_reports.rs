//! Load reports, which come with answers and with health checks.

use super::Policy;
use crate::host::{Host, LoadReport};
use crate::state::server_set::{Server, Slot};

/// The weight of a load report against the mean of all falls by e in this time.
const REPORT_DECAY_SECONDS: f64 = 1.0;

impl<H: Host> Policy<H> {
    /// Takes in a load report. For a check before selection all requests that the server holds count, else those that
    /// wait there, if it says so.
    pub(super) fn take_load_report(&mut self, slot: Slot, load: LoadReport) {
        let requests =
            if self.check_budget.is_used() { load.in_flight } else { load.queued.or(load.in_flight) };
        self.servers.take_report(slot, load.utilization, requests, self.now);
    }

    /// The requests that the server is taken to hold: its last report, which fades into the mean of all, and what this
    /// replica knows better.
    pub(super) fn estimated_load(&self, server: &Server, mean_report: f64) -> f64 {
        let own = f64::from(server.in_flight()) * self.replicas_per_server;
        let reported = match server.load_report() {
            Some(report) => {
                let age_seconds = self.now.saturating_sub(report.at).as_secs_f64();
                let load = report.load + server.sent_since_report * self.replicas_per_server;
                mean_report + (load - mean_report) * (-age_seconds / REPORT_DECAY_SECONDS).exp()
            }
            None => mean_report + own,
        };
        // A report that hides this replica's own, or whose server is silent, must not fade to an even share.
        reported.max(own) + f64::from(server.overdue) * self.replicas_per_server
    }
}

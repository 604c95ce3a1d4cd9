//! Load reports, which arrive with answers and with health checks.

use super::Policy;
use crate::host::{Host, LoadReport};
use crate::state::server_set::{Server, Slot};

/// Time in which the deviation of a load report from the mean of all reports falls by a factor of e, in seconds.
const REPORT_DECAY_SECONDS: f64 = 1.0;

impl<H: Host> Policy<H> {
    /// Records a load report. If servers are checked before selection, its requests in flight count; otherwise its
    /// queued requests, or its requests in flight if the queue is not reported.
    pub(super) fn record_load_report(&mut self, slot: Slot, load: LoadReport) {
        let requests =
            if self.check_budget.is_used() { load.in_flight } else { load.queued.or(load.in_flight) };
        self.servers.record_report(slot, load.utilization, requests, self.now);
    }

    /// Estimated number of requests at the server: its last report, which decays to the mean of all reports, but at
    /// least this replica's own attempts in flight, scaled to all replicas. Overdue attempts count in addition.
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
        // The own attempts are a lower bound, because the report may not include them, and the report of a server that
        // no longer answers must not decay to an average load.
        reported.max(own) + f64::from(server.overdue) * self.replicas_per_server
    }
}

//! Server statistics that a successor process takes over.

use super::Policy;
use crate::host::{Host, Id};
use crate::state::server_set::{Ejection, Server};
use crate::statistics::ServerStatistics;
use std::time::Duration;

/// Number of answers that the slowness from a snapshot counts as.
const SNAPSHOT_ANSWERS: u32 = 8;

impl<H: Host> Policy<H> {
    /// Statistics of the ready servers.
    pub fn server_statistics(&self) -> Vec<ServerStatistics> {
        let statistics_of = |server: &Server| ServerStatistics {
            server: server.id.clone(),
            started_at: server.started_at,
            slowness: server.slowness,
            ejected: server.ejection().is_some(),
        };
        self.servers.ready_servers().map(statistics_of).collect()
    }

    /// Restores the statistics of server processes that still run. An ejected server is checked at once. If most
    /// servers were ejected, the cause was not in the servers, and no ejection is restored.
    pub fn restore_statistics(&mut self, now: Duration, snapshot: &[ServerStatistics]) {
        let ejected = snapshot.iter().filter(|statistics| statistics.ejected).count();
        let majority_ejected = 2 * ejected > snapshot.len();
        for statistics in snapshot {
            let Some(slot) = self.servers.slot(&statistics.server) else { continue };
            let server = &mut self.servers[slot];
            let is_unobserved = server.ready() && server.relative_latency.total == 0;
            let is_same_process = server.started_at == statistics.started_at;
            if !is_unobserved
                || !is_same_process
                || !statistics.slowness.is_finite()
                || statistics.slowness <= 0.0
            {
                continue;
            }
            for _ in 0..SNAPSHOT_ANSWERS {
                server.record_latency(statistics.slowness);
            }
            if statistics.ejected && !majority_ejected && server.ejection().is_none() {
                self.servers.eject(slot, Ejection::new(now));
            }
        }
    }

    /// Ids of servers that any list has named, including removed ones; the oldest are dropped beyond a maximum number.
    pub fn known_servers(&self) -> impl Iterator<Item = &Id> {
        self.overrides.known_ids()
    }

    /// Adds a server that a list named to an earlier process, so that operators may still refer to it.
    pub fn restore_known_server(&mut self, server: &Id) {
        self.overrides.remember(server);
    }
}

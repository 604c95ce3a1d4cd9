//! What a replica's successor takes over.

use super::Policy;
use crate::host::{Host, Id};
use crate::state::server_set::{Ejection, Server};
use crate::statistics::ServerStatistics;
use std::time::Duration;

/// Answers that a slowness from a snapshot counts for.
const SNAPSHOT_ANSWERS: u32 = 8;

impl<H: Host> Policy<H> {
    /// What was learned of the ready servers.
    pub fn server_statistics(&self) -> Vec<ServerStatistics> {
        let of_server = |server: &Server| ServerStatistics {
            server: server.id.clone(),
            started_at: server.started_at,
            slowness: server.slowness,
            ejected: server.ejection().is_some(),
        };
        self.servers.ready_servers().map(of_server).collect()
    }

    /// Takes over what was learned of processes that still run. An ejected server is checked at once; where most were
    /// ejected the cause was no server, and none is.
    pub fn restore_statistics(&mut self, now: Duration, learnt: &[ServerStatistics]) {
        let ejected = learnt.iter().filter(|one| one.ejected).count();
        let most_ejected = 2 * ejected > learnt.len();
        for one in learnt {
            let Some(slot) = self.servers.slot(&one.server) else { continue };
            let server = &mut self.servers[slot];
            let is_untouched = server.ready() && server.relative_latency.total == 0;
            let is_same_process = server.started_at == one.started_at;
            if !is_untouched || !is_same_process || !one.slowness.is_finite() || one.slowness <= 0.0 {
                continue;
            }
            for _ in 0..SNAPSHOT_ANSWERS {
                server.record_latency(one.slowness);
            }
            if one.ejected && !most_ejected && server.ejection().is_none() {
                self.servers.eject(slot, Ejection::new(now));
            }
        }
    }

    /// The ids of servers that lists have named, gone ones too, up to a bound.
    pub fn known_servers(&self) -> impl Iterator<Item = &Id> {
        self.overrides.named()
    }

    /// Lists named the server to an earlier process: operators may name it still.
    pub fn restore_known_server(&mut self, server: &Id) {
        self.overrides.name(server);
    }
}

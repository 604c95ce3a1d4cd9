//! What of a copy's figures goes over to the one that takes its place. It means the same under other settings: how slow
//! a server's process is against the others, and whether it is marked. Bounds, runs, times by verb, traffic and reports
//! go by the settings or by the moment, and start afresh.

use crate::fleet::Mark;
use crate::host::{Host, Id};
use crate::peer_messages::IgnoredMessages;
use crate::policy::Policy;
use std::time::Duration;

/// Of one server's process.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatistics {
    pub server: Id,
    pub started_at: Option<Duration>,
    pub slowness: f64,
    pub ejected: bool,
}

/// Answers that a slowness known from before counts for.
const COUNTS_FOR: u32 = 8;

impl<H: Host> Policy<H> {
    pub fn server_statistics(&self) -> Vec<ServerStatistics> {
        let of = |server: &crate::fleet::Server| ServerStatistics {
            server: server.id.clone(),
            started_at: server.up_since,
            slowness: server.slowness,
            ejected: server.mark().is_some(),
        };
        self.fleet.ready_ones().map(of).collect()
    }

    /// What of peers' words went for nothing so far.
    pub fn ignored_messages(&self) -> IgnoredMessages {
        self.seen.unheard
    }

    /// The ids that lists have told of, gone ones too, up to a bound.
    pub fn known_servers(&self) -> impl Iterator<Item = &Id> {
        self.overrides.named()
    }

    /// Lists told an earlier process of it: operators may name it still.
    pub fn restore_known_server(&mut self, server: &Id) {
        self.overrides.name(server);
    }

    /// Takes over what was learnt of the processes that still run. A marked server is checked at once; where most were
    /// marked the cause was no server, and none is.
    pub fn restore_statistics(&mut self, now: Duration, learnt: &[ServerStatistics]) {
        let marked = learnt.iter().filter(|one| one.ejected).count();
        for one in learnt {
            let Some(slot) = self.fleet.slot(&one.server) else { continue };
            let server = &mut self.fleet[slot];
            let same = server.ready() && server.up_since == one.started_at && server.pace.total == 0;
            if !same || !one.slowness.is_finite() || one.slowness <= 0.0 {
                continue;
            }
            (0..COUNTS_FOR).for_each(|_| server.learn(one.slowness));
            if one.ejected && 2 * marked <= learnt.len() && server.mark().is_none() {
                self.fleet.set_mark(slot, Mark { passes: 0, next: now, trying: false });
            }
        }
    }
}

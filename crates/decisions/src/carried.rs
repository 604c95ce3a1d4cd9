//! What of a copy's figures goes over to the one that takes its place. It means the same under other settings: how slow
//! a server's process is against the others, and whether it is marked. Bounds, runs, times by verb, traffic and reports
//! go by the settings or by the moment, and start afresh.

use crate::fleet::Mark;
use crate::host::{Host, Id};
use crate::policy::Policy;
use crate::words::Unheard;
use std::time::Duration;

/// Of one server's process.
#[derive(Clone, Debug, PartialEq)]
pub struct Learnt {
    pub server: Id,
    pub up_since: Option<Duration>,
    pub slowness: f64,
    pub marked: bool,
}

/// Answers that a slowness known from before counts for.
const COUNTS_FOR: u32 = 8;

impl<H: Host> Policy<H> {
    pub fn learnt(&self) -> Vec<Learnt> {
        let of = |server: &crate::fleet::Server| Learnt {
            server: server.id.clone(),
            up_since: server.up_since,
            slowness: server.slowness,
            marked: server.mark().is_some(),
        };
        self.fleet.ready_ones().map(of).collect()
    }

    /// What of peers' words went for nothing so far.
    pub fn unheard(&self) -> Unheard {
        self.seen.unheard
    }

    /// The ids that lists have told of, gone ones too, up to a bound.
    pub fn named(&self) -> impl Iterator<Item = &Id> {
        self.overrides.named()
    }

    /// Lists told an earlier process of it: operators may name it still.
    pub fn named_before(&mut self, server: &Id) {
        self.overrides.name(server);
    }

    /// Takes over what was learnt of the processes that still run. A marked server is checked at once; where most were
    /// marked the cause was no server, and none is.
    pub fn recall(&mut self, now: Duration, learnt: &[Learnt]) {
        let marked = learnt.iter().filter(|one| one.marked).count();
        for one in learnt {
            let Some(slot) = self.fleet.slot(&one.server) else { continue };
            let server = &mut self.fleet[slot];
            let same = server.ready() && server.up_since == one.up_since && server.pace.total == 0;
            if !same || !one.slowness.is_finite() || one.slowness <= 0.0 {
                continue;
            }
            (0..COUNTS_FOR).for_each(|_| server.learn(one.slowness));
            if one.marked && 2 * marked <= learnt.len() && server.mark().is_none() {
                self.fleet.set_mark(slot, Mark { passes: 0, next: now, trying: false });
            }
        }
    }
}

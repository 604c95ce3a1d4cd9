//! The soak: a few dozen real sidecar processes on loopback under load, with servers, clients, discovery and signals that
//! misbehave, two or three at a time, by a seed. What the stand-ins on both sides saw is judged by the rules that
//! sidecars must keep whatever happens; the processes' own counts of violated invariants are read from their logs.
//!
//! `plan` draws the troubles, `processes` and `server` and `client` carry them out, `record` is what was seen, and
//! `judge` says which rules were broken.

mod client;
mod judge;
mod plan;
mod processes;
mod record;
mod server;

pub use judge::{Rule, Verdict, Violation};
pub use plan::{Plan, Trouble, TroubleKind};

use crate::sockets::{Discovery, run_dir};
use client::Clients;
use processes::Processes;
use record::Records;
use server::Servers;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Troubles begin no later than this before the end of a run, so that their outcome can be seen.
const SETTLE: Duration = Duration::from_secs(5);
/// How often the run looks at its schedule and its processes.
const STEP: Duration = Duration::from_millis(10);

/// Plays one seed for this long on this program and judges it. An error is the rig's own: nothing was judged.
pub fn play(plan: &Plan, program: &Path) -> Result<Verdict, String> {
    let told = |wrong: io::Error| format!("the rig: {wrong}");
    let dir = run_dir(&format!("soak-{}", plan.seed))?;
    let records = Arc::new(Records::new());
    let discoveries = [Discovery::start().map_err(told)?, Discovery::start().map_err(told)?];
    let servers = Servers::start(plan, &discoveries, &records).map_err(told)?;
    let processes = Processes::start(plan, program, &dir, &discoveries, &records)?;
    let clients = Clients::start(plan, &processes.addresses(), &records);
    let mut run = Run { plan, records: &records, discoveries: &discoveries, servers, processes };
    let played = run.play();
    clients.stop();
    let crashes = run.processes.finish();
    played?;
    let verdict = judge::judge(plan, &records.close(), crashes);
    discoveries.iter().for_each(|discovery| discovery.end());
    if verdict.violations.is_empty() {
        // A run that held leaves nothing behind.
        let _ = std::fs::remove_dir_all(&dir);
    }
    Ok(verdict)
}

/// A run under way.
struct Run<'a> {
    plan: &'a Plan,
    records: &'a Records,
    discoveries: &'a [Arc<Discovery>; 2],
    servers: Servers,
    processes: Processes,
}

impl Run<'_> {
    fn play(&mut self) -> Result<(), String> {
        let mut due: Vec<&Trouble> = self.plan.troubles.iter().collect();
        due.sort_by_key(|trouble| std::cmp::Reverse(trouble.at));
        let mut over: Vec<(Duration, &Trouble)> = Vec::new();
        while self.records.now() < self.plan.length {
            let now = self.records.now();
            while due.last().is_some_and(|trouble| trouble.at <= now) {
                if let Some(trouble) = due.pop() {
                    self.begin(trouble);
                    over.push((now + trouble.lasts, trouble));
                }
            }
            for (_, trouble) in over.extract_if(.., |(until, _)| *until <= now) {
                self.end(trouble);
            }
            self.processes.step()?;
            thread::sleep(STEP);
        }
        Ok(())
    }

    fn begin(&mut self, trouble: &Trouble) {
        self.records.trouble_began(trouble);
        match &trouble.kind {
            TroubleKind::Terminate(which) => self.processes.terminate(which),
            TroubleKind::Kill(which) => self.processes.kill(which),
            TroubleKind::Pause(which) => self.processes.pause(which),
            TroubleKind::Reload => self.processes.reload(),
            TroubleKind::Drain(which) => self.servers.drain(which),
            TroubleKind::Vanish(which) => self.servers.vanish(which),
            TroubleKind::Hang(which) => self.servers.hang(which, true),
            TroubleKind::DiscoveryDown => self.discovery(crate::sockets::Trouble::Down),
            TroubleKind::DiscoveryStale => self.discovery(crate::sockets::Trouble::Stale),
            TroubleKind::Crowd(which) => self.processes.crowd(*which),
            TroubleKind::NoDescriptors(which) => self.processes.limit_descriptors(which, true),
            TroubleKind::DiscoverySilent => self.discovery(crate::sockets::Trouble::Silent),
        }
    }

    fn end(&mut self, trouble: &Trouble) {
        match &trouble.kind {
            TroubleKind::Pause(which) => self.processes.go_on(which),
            TroubleKind::Vanish(which) => self.servers.come_back(which),
            TroubleKind::Hang(which) => self.servers.hang(which, false),
            TroubleKind::NoDescriptors(which) => self.processes.limit_descriptors(which, false),
            TroubleKind::DiscoveryDown | TroubleKind::DiscoveryStale | TroubleKind::DiscoverySilent => {
                self.discovery(crate::sockets::Trouble::None);
            }
            TroubleKind::Crowd(_) => self.processes.crowd_leaves(),
            _ => {}
        }
    }

    fn discovery(&self, trouble: crate::sockets::Trouble) {
        self.discoveries.iter().for_each(|discovery| discovery.set_trouble(trouble));
    }
}

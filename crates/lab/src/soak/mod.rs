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
pub use plan::{Fault, FaultKind, Plan};

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
pub fn run(plan: &Plan, program: &Path) -> Result<Verdict, String> {
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
    discoveries.iter().for_each(|discovery| discovery.stop());
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
        let mut due: Vec<&Fault> = self.plan.faults.iter().collect();
        due.sort_by_key(|trouble| std::cmp::Reverse(trouble.at));
        let mut over: Vec<(Duration, &Fault)> = Vec::new();
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

    fn begin(&mut self, trouble: &Fault) {
        self.records.trouble_began(trouble);
        match &trouble.kind {
            FaultKind::Terminate(which) => self.processes.terminate(which),
            FaultKind::Kill(which) => self.processes.kill(which),
            FaultKind::Pause(which) => self.processes.pause(which),
            FaultKind::Reload => self.processes.reload(),
            FaultKind::Drain(which) => self.servers.drain(which),
            FaultKind::Vanish(which) => self.servers.vanish(which),
            FaultKind::Hang(which) => self.servers.hang(which, true),
            FaultKind::DiscoveryDown => self.discovery(crate::sockets::DiscoveryFault::Down),
            FaultKind::DiscoveryStale => self.discovery(crate::sockets::DiscoveryFault::Stale),
            FaultKind::Crowd(which) => self.processes.crowd(*which),
            FaultKind::NoDescriptors(which) => self.processes.limit_descriptors(which, true),
            FaultKind::DiscoverySilent => self.discovery(crate::sockets::DiscoveryFault::Silent),
        }
    }

    fn end(&mut self, trouble: &Fault) {
        match &trouble.kind {
            FaultKind::Pause(which) => self.processes.go_on(which),
            FaultKind::Vanish(which) => self.servers.come_back(which),
            FaultKind::Hang(which) => self.servers.hang(which, false),
            FaultKind::NoDescriptors(which) => self.processes.limit_descriptors(which, false),
            FaultKind::DiscoveryDown | FaultKind::DiscoveryStale | FaultKind::DiscoverySilent => {
                self.discovery(crate::sockets::DiscoveryFault::None);
            }
            FaultKind::Crowd(_) => self.processes.crowd_leaves(),
            _ => {}
        }
    }

    fn discovery(&self, trouble: crate::sockets::DiscoveryFault) {
        self.discoveries.iter().for_each(|discovery| discovery.set_fault(trouble));
    }
}

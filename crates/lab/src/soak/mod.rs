//! The soak test: a few dozen real sidecar processes on loopback under load, while faults of servers, clients,
//! discovery and processes overlap, two or three at a time, chosen by a seed. The observations of the test servers and
//! clients are checked against the rules that sidecars must keep under any fault; violated invariants are read from the
//! logs.
//!
//! `plan` draws the faults, `processes`, `server` and `client` inject them, `record` stores the observations, and
//! `judge` checks the rules.

mod client;
mod judge;
mod plan;
mod processes;
mod record;
mod server;

pub use judge::{Rule, SoakResult, Violation};
pub use plan::{Fault, FaultKind, Plan};

use crate::sockets::{Discovery, run_dir};
use client::Clients;
use processes::Processes;
use record::Recorder;
use server::Servers;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// No fault begins in this last part of a run, so that the effects of all faults are observed.
const SETTLE: Duration = Duration::from_secs(5);
/// Interval at which the schedule and the processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a plan with this program and checks the rules. An error means that the test setup failed: nothing was checked.
pub fn run(plan: &Plan, program: &Path) -> Result<SoakResult, String> {
    let describe = |error: io::Error| format!("test setup: {error}");
    let dir = run_dir(&format!("soak-{}", plan.seed))?;
    let recorder = Arc::new(Recorder::new());
    let discoveries = [Discovery::start().map_err(describe)?, Discovery::start().map_err(describe)?];
    let servers = Servers::start(plan, &discoveries, &recorder).map_err(describe)?;
    let processes = Processes::start(plan, program, &dir, &discoveries, &recorder)?;
    let clients = Clients::start(plan, &processes.client_access(), &recorder);
    let mut run = Run { plan, recorder: &recorder, discoveries: &discoveries, servers, processes };
    let execution = run.execute();
    clients.stop();
    let crashes = run.processes.stop_all();
    execution?;
    let result = judge::check(plan, &recorder.observations(), crashes);
    discoveries.iter().for_each(|discovery| discovery.stop());
    if result.violations.is_empty() {
        // The files are only of use after a violation.
        let _ = std::fs::remove_dir_all(&dir);
    }
    Ok(result)
}

/// A running soak test.
struct Run<'a> {
    plan: &'a Plan,
    recorder: &'a Recorder,
    discoveries: &'a [Arc<Discovery>; 2],
    servers: Servers,
    processes: Processes,
}

impl Run<'_> {
    fn execute(&mut self) -> Result<(), String> {
        let mut due: Vec<&Fault> = self.plan.faults.iter().collect();
        due.sort_by_key(|fault| std::cmp::Reverse(fault.at));
        let mut active: Vec<(Duration, &Fault)> = Vec::new();
        while self.recorder.now() < self.plan.duration {
            let now = self.recorder.now();
            while due.last().is_some_and(|fault| fault.at <= now) {
                if let Some(fault) = due.pop() {
                    self.begin(fault);
                    active.push((now + fault.duration, fault));
                }
            }
            for (_, fault) in active.extract_if(.., |(until, _)| *until <= now) {
                self.end(fault);
            }
            self.processes.update()?;
            thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    fn begin(&mut self, fault: &Fault) {
        self.recorder.record_fault(fault);
        match &fault.kind {
            FaultKind::Terminate(numbers) => self.processes.terminate(numbers),
            FaultKind::Kill(numbers) => self.processes.kill(numbers),
            FaultKind::Pause(numbers) => self.processes.pause(numbers),
            FaultKind::Reload => self.processes.reload(),
            FaultKind::Drain(numbers) => self.servers.drain(numbers),
            FaultKind::Vanish(numbers) => self.servers.vanish(numbers),
            FaultKind::Hang(numbers) => self.servers.hang(numbers, true),
            FaultKind::DiscoveryDown => self.set_discovery_fault(crate::sockets::DiscoveryFault::Down),
            FaultKind::DiscoveryStale => self.set_discovery_fault(crate::sockets::DiscoveryFault::Stale),
            FaultKind::Crowd(number) => self.processes.open_idle_connections(*number),
            FaultKind::NoDescriptors(numbers) => self.processes.limit_descriptors(numbers, true),
            FaultKind::DiscoverySilent => self.set_discovery_fault(crate::sockets::DiscoveryFault::Silent),
        }
    }

    fn end(&mut self, fault: &Fault) {
        match &fault.kind {
            FaultKind::Pause(numbers) => self.processes.resume(numbers),
            FaultKind::Vanish(numbers) => self.servers.restart(numbers),
            FaultKind::Hang(numbers) => self.servers.hang(numbers, false),
            FaultKind::NoDescriptors(numbers) => self.processes.limit_descriptors(numbers, false),
            FaultKind::DiscoveryDown | FaultKind::DiscoveryStale | FaultKind::DiscoverySilent => {
                self.set_discovery_fault(crate::sockets::DiscoveryFault::None);
            }
            FaultKind::Crowd(_) => self.processes.close_idle_connections(),
            _ => {}
        }
    }

    fn set_discovery_fault(&self, fault: crate::sockets::DiscoveryFault) {
        self.discoveries.iter().for_each(|discovery| discovery.set_fault(fault));
    }
}

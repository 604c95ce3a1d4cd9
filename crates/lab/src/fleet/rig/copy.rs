//! One replica of the rig: its sidecar process and configuration, its list source, and queries to its console.

use super::RunOptions;
use super::words::DatagramProxies;
use crate::fleet::plan::{Fault, FaultKind, FleetPlan};
use crate::fleet::views::ProcessState;
use crate::fleet::zones::ZoneView;
use crate::sockets::{Discovery, Entry, Peer, Sidecar, unused_address_v4};
use rustix::process::Signal;
use serde_json::Value;
use std::fmt::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Response-time goal of all request classes.
pub const GOAL: Duration = Duration::from_millis(400);
/// Time limit of all request classes.
pub const LIMIT: Duration = Duration::from_millis(1000);
/// Time after which a cold server is warm.
pub const WARM_AFTER: Duration = Duration::from_secs(8);
/// Replicas that each replica contacts to join the fleet.
const SEEDS: usize = 3;
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);

/// A running or stopped replica.
pub struct ReplicaProcess {
    pub sidecar: Sidecar,
    pub state: ProcessState,
    discovery: Arc<Discovery>,
    /// Entries of all servers, including those that no list contains yet.
    entries: Vec<Entry>,
    console: SocketAddr,
    with_fleet: bool,
    zones: Vec<String>,
}

fn error_text(error: std::io::Error) -> String {
    error.to_string()
}

impl ReplicaProcess {
    /// Starts the process without waiting until it is ready. `servers` are the proxy addresses of the servers.
    pub fn start(
        plan: &FleetPlan,
        options: &RunOptions,
        number: usize,
        servers: &[SocketAddr],
        proxies: &DatagramProxies,
    ) -> Result<ReplicaProcess, String> {
        let discovery = Discovery::start().map_err(error_text)?;
        let entries: Vec<Entry> = servers.iter().enumerate().map(|at| entry(plan, at)).collect();
        let starts_later = |server: usize| {
            let starts =
                |fault: &Fault| fault.kind == FaultKind::Start && fault.affects_server(server, &plan.zones);
            plan.faults.iter().any(starts)
        };
        let listed = entries.iter().enumerate().filter(|(server, _)| !starts_later(*server));
        listed.for_each(|(_, entry)| discovery.publish(entry.clone()));
        let (listen, console) = (unused_address_v4().into(), unused_address_v4().into());
        let text = config(plan, options, number, (listen, console, discovery.address), proxies);
        let file = format!("c{number}.toml");
        let sidecar = Sidecar::launch(options.program, options.dir, &file, &text, listen)?;
        Ok(ReplicaProcess {
            sidecar,
            state: ProcessState::Runs,
            discovery,
            entries,
            console,
            with_fleet: options.with_fleet,
            zones: plan.zones.clone(),
        })
    }

    /// Returns an error if the process has ended by itself.
    pub fn check_running(&mut self) -> Result<(), String> {
        if self.state == ProcessState::Down { Ok(()) } else { self.sidecar.check_running() }
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        self.sidecar.kill();
        self.state = ProcessState::Down;
    }

    /// Sends SIGTERM. The other replicas should regard the process as gone from then on.
    pub fn terminate(&mut self) {
        self.sidecar.signal(Signal::TERM);
        self.state = ProcessState::Down;
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&mut self) {
        if self.state == ProcessState::Runs {
            self.sidecar.signal(Signal::STOP);
            self.state = ProcessState::Still;
        }
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&mut self) {
        if self.state == ProcessState::Still {
            self.sidecar.signal(Signal::CONT);
            self.state = ProcessState::Runs;
        }
    }

    /// Restarts the process. One that is still shutting down is killed first, since both would use the same
    /// addresses.
    pub fn restart(&mut self, build: Option<&Path>) -> Result<(), String> {
        if self.state != ProcessState::Down {
            return Ok(());
        }
        if !self.sidecar.has_exited() {
            self.sidecar.kill();
        }
        self.sidecar.relaunch(build)?;
        self.state = ProcessState::Runs;
        Ok(())
    }

    /// Updates the replica's list after the start of a server.
    pub fn announce_started(&self, server: usize) {
        if let Some(entry) = self.entries.get(server) {
            self.discovery.publish(Entry { started: Some(SystemTime::now()), ..entry.clone() });
        }
    }

    /// Addresses of the live members in the replica's view, itself excluded; `None` if it can't be queried.
    pub fn live_members(&self) -> Option<Vec<String>> {
        if self.state != ProcessState::Runs || !self.with_fleet {
            return None;
        }
        let fleet = self.get_json("/fleet")?;
        let members = fleet.get("members")?.as_array()?;
        let is_live = |member: &&Value| matches!(member["standing"].as_str(), Some("alive" | "suspect"));
        Some(
            members
                .iter()
                .filter(is_live)
                .filter_map(|member| member["address"].as_str().map(str::to_string))
                .collect(),
        )
    }

    /// The replica's view of each zone; `None` if it can't be queried.
    pub fn zone_views(&self) -> Option<Vec<ZoneView>> {
        if self.state != ProcessState::Runs {
            return None;
        }
        let zones = self.get_json("/zones")?;
        let rows = zones.get("zones")?.as_array()?;
        let view = |zone: &String| {
            let row = rows.iter().find(|row| row["zone"].as_str() == Some(zone))?;
            Some(ZoneView { share: row["share"].as_f64()?, by_operator: row["operators"].as_bool()? })
        };
        self.zones.iter().map(view).collect()
    }

    /// Sends an operator's command to evacuate a zone or to return it to service. Returns whether it was accepted.
    pub fn send_zone_command(&self, zone: &str, leave: bool) -> bool {
        let path = if leave { "/zones/leave" } else { "/zones/return" };
        let length = zone.len();
        let request = format!("PUT {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {length}\r\n\r\n{zone}");
        let send = || {
            let mut peer = Peer::new(TcpStream::connect_timeout(&self.console, QUERY_TIMEOUT).ok()?);
            peer.set_read_timeout(Some(QUERY_TIMEOUT));
            peer.write(request.as_bytes()).ok()?;
            peer.read_response().ok()?.status()
        };
        send() == Some(200)
    }

    fn get_json(&self, path: &str) -> Option<Value> {
        let stream = TcpStream::connect_timeout(&self.console, QUERY_TIMEOUT).ok()?;
        let mut peer = Peer::new(stream);
        peer.set_read_timeout(Some(QUERY_TIMEOUT));
        let request = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nAccept: application/json\r\n\r\n");
        peer.write(request.as_bytes()).ok()?;
        let response = peer.read_response().ok().filter(|response| response.status() == Some(200))?;
        serde_json::from_slice(&response.body).ok()
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.sidecar.kill();
        self.discovery.stop();
    }
}

fn entry(plan: &FleetPlan, (index, address): (usize, &SocketAddr)) -> Entry {
    Entry {
        id: format!("s{index}"),
        address: *address,
        zone: plan.zones[index % plan.zones.len()].clone(),
        cell: 0,
        state: "ready",
        weight: 1.0,
        started: None,
    }
}

fn config(
    plan: &FleetPlan,
    options: &RunOptions,
    number: usize,
    (listen, console, discovery): (SocketAddr, SocketAddr, SocketAddr),
    proxies: &DatagramProxies,
) -> String {
    let zones: Vec<String> = plan.zones.iter().map(|zone| format!("{zone:?}")).collect();
    let (zones, zone) = (zones.join(", "), &plan.zones[number % plan.zones.len()]);
    let (replicas, seed) = (plan.processes, options.seed + number as u64);
    let mut text = format!(
        "name = \"c{number}\"\nlisten = \"{listen}\"\nseed = {seed}\nzones = [{zones}]\nzone = {zone:?}\n\
         copies = {replicas}\nordinal = {number}\nconsole = \"{console}\"\n\n[discovery]\naddress = \"{discovery}\"\n\n"
    );
    let (goal, limit) = (GOAL.as_millis(), LIMIT.as_millis());
    for (name, retry_safety, extra_keys) in [
        ("view", "pure", ""),
        ("hold", "receipted", "group = \"all\"\nmemory = \"30s\"\n"),
        ("confirm", "effectful", ""),
    ] {
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "[[verbs]]\nname = \"{name}\"\nrepeats = \"{retry_safety}\"\n{extra_keys}goal = \"{goal}ms\"\nlimit = \"{limit}ms\"\n\n"
        );
    }
    text += "[[tenants]]\nname = \"acme\"\n\n[limits]\nsockets = 512\nmemory_mb = 32\n\n";
    let _ = write!(text, "[rules]\ncold_share = 0.3\nwarm_after = \"{}s\"\n\n", WARM_AFTER.as_secs());
    if options.with_fleet {
        let (listen_address, advertised_address) =
            (proxies.listen_addresses[number], proxies.advertised_addresses[number]);
        let seeds: Vec<String> =
            proxies.advertised_addresses.iter().take(SEEDS).map(|seed| format!("\"{seed}\"")).collect();
        let _ = write!(
            text,
            "[fleet]\nname = \"lab\"\nlisten = \"{listen_address}\"\nadvertise = \"{advertised_address}\"\nseeds = [{}]\n",
            seeds.join(", ")
        );
    }
    if options.with_fleet && plan.localities && options.with_localities {
        text += "\n[localities]\n";
    }
    text
}

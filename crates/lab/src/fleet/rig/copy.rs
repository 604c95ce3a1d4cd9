//! One copy: its process, its list source, and what it says of its members. It owns its configuration.

use super::Ways;
use super::words::Words;
use crate::fleet::plan::{Fault, FleetPlan, Kind};
use crate::fleet::views::Truth;
use crate::fleet::zones::Held;
use crate::sockets::{Discovery, Entry, Peer, Sidecar, unused_address_v4};
use rustix::process::Signal;
use serde_json::Value;
use std::fmt::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

pub const GOAL: Duration = Duration::from_millis(400);
pub const LIMIT: Duration = Duration::from_millis(1000);
pub const WARM_AFTER: Duration = Duration::from_secs(8);
const SEEDS: usize = 3;
const ASK_WITHIN: Duration = Duration::from_millis(250);

pub struct Copy {
    pub sidecar: Sidecar,
    pub truth: Truth,
    discovery: Arc<Discovery>,
    /// Of all servers, also such as no list names yet.
    entries: Vec<Entry>,
    console: SocketAddr,
    with_fleet: bool,
    zones: Vec<String>,
}

fn told(wrong: std::io::Error) -> String {
    wrong.to_string()
}

impl Copy {
    /// Starts it and does not wait until it is ready. `servers` are the addresses by which it reaches each of them.
    pub fn start(
        plan: &FleetPlan,
        ways: &Ways,
        number: usize,
        servers: &[SocketAddr],
        words: &Words,
    ) -> Result<Copy, String> {
        let discovery = Discovery::start().map_err(told)?;
        let entries: Vec<Entry> = servers.iter().enumerate().map(|at| entry(plan, at)).collect();
        let new = |server: usize| {
            let starts = |fault: &Fault| fault.kind == Kind::Start && fault.has_server(server, &plan.zones);
            plan.faults.iter().any(starts)
        };
        let listed = entries.iter().enumerate().filter(|(server, _)| !new(*server));
        listed.for_each(|(_, entry)| discovery.publish(entry.clone()));
        let (listen, console) = (unused_address_v4().into(), unused_address_v4().into());
        let text = config(plan, ways, number, (listen, console, discovery.address), words);
        let file = format!("c{number}.toml");
        let sidecar = Sidecar::launch(ways.program, ways.dir, &file, &text, listen)?;
        Ok(Copy {
            sidecar,
            truth: Truth::Runs,
            discovery,
            entries,
            console,
            with_fleet: ways.with_fleet,
            zones: plan.zones.clone(),
        })
    }

    pub fn must_run(&mut self) -> Result<(), String> {
        if self.truth == Truth::Down { Ok(()) } else { self.sidecar.check_running() }
    }

    pub fn kill(&mut self) {
        self.sidecar.kill();
        self.truth = Truth::Down;
    }

    /// Told to end: for the others it is gone from that moment on.
    pub fn term(&mut self) {
        self.sidecar.signal(Signal::TERM);
        self.truth = Truth::Down;
    }

    pub fn stop(&mut self) {
        if self.truth == Truth::Runs {
            self.sidecar.signal(Signal::STOP);
            self.truth = Truth::Still;
        }
    }

    pub fn go_on(&mut self) {
        if self.truth == Truth::Still {
            self.sidecar.signal(Signal::CONT);
            self.truth = Truth::Runs;
        }
    }

    /// A process that is still ending is ended first: both would have one address.
    pub fn start_again(&mut self, build: Option<&Path>) -> Result<(), String> {
        if self.truth != Truth::Down {
            return Ok(());
        }
        if !self.sidecar.has_exited() {
            self.sidecar.kill();
        }
        self.sidecar.relaunch(build)?;
        self.truth = Truth::Runs;
        Ok(())
    }

    /// Its list says that a server has started just now.
    pub fn say_started(&self, server: usize) {
        if let Some(entry) = self.entries.get(server) {
            self.discovery.publish(Entry { started: Some(SystemTime::now()), ..entry.clone() });
        }
    }

    /// The addresses of those that it counts, but for itself; none where it can't be asked.
    pub fn counts(&self) -> Option<Vec<String>> {
        if self.truth != Truth::Runs || !self.with_fleet {
            return None;
        }
        let fleet = self.ask("/fleet")?;
        let members = fleet.get("members")?.as_array()?;
        let counts = |member: &&Value| matches!(member["standing"].as_str(), Some("alive" | "suspect"));
        Some(
            members.iter().filter(counts).filter_map(|m| m["address"].as_str().map(str::to_string)).collect(),
        )
    }

    /// What it holds of each zone; none where it can't be asked.
    pub fn holds(&self) -> Option<Vec<Held>> {
        if self.truth != Truth::Runs {
            return None;
        }
        let told = self.ask("/zones")?;
        let rows = told.get("zones")?.as_array()?;
        let row = |zone: &String| {
            let row = rows.iter().find(|row| row["zone"].as_str() == Some(zone))?;
            Some(Held { share: row["share"].as_f64()?, operators: row["operators"].as_bool()? })
        };
        self.zones.iter().map(row).collect()
    }

    /// Operators say at its console that the fleet leaves a zone, or takes it back. Whether it says yes.
    pub fn say_zone(&self, zone: &str, leave: bool) -> bool {
        let path = if leave { "/zones/leave" } else { "/zones/return" };
        let length = zone.len();
        let said = format!("PUT {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {length}\r\n\r\n{zone}");
        let call = || {
            let mut peer = Peer::new(TcpStream::connect_timeout(&self.console, ASK_WITHIN).ok()?);
            peer.set_read_timeout(Some(ASK_WITHIN));
            peer.write(said.as_bytes()).ok()?;
            peer.read_response().ok()?.status()
        };
        call() == Some(200)
    }

    fn ask(&self, path: &str) -> Option<Value> {
        let stream = TcpStream::connect_timeout(&self.console, ASK_WITHIN).ok()?;
        let mut peer = Peer::new(stream);
        peer.set_read_timeout(Some(ASK_WITHIN));
        let ask = format!("GET {path} HTTP/1.1\r\nHost: lab\r\nAccept: application/json\r\n\r\n");
        peer.write(ask.as_bytes()).ok()?;
        let heard = peer.read_response().ok().filter(|heard| heard.status() == Some(200))?;
        serde_json::from_slice(&heard.body).ok()
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        self.sidecar.kill();
        self.discovery.stop();
    }
}

fn entry(plan: &FleetPlan, (place, address): (usize, &SocketAddr)) -> Entry {
    Entry {
        id: format!("s{place}"),
        address: *address,
        zone: plan.zones[place % plan.zones.len()].clone(),
        cell: 0,
        state: "ready",
        weight: 1.0,
        started: None,
    }
}

fn config(
    plan: &FleetPlan,
    ways: &Ways,
    number: usize,
    (listen, console, discovery): (SocketAddr, SocketAddr, SocketAddr),
    words: &Words,
) -> String {
    let zones: Vec<String> = plan.zones.iter().map(|zone| format!("{zone:?}")).collect();
    let (zones, zone) = (zones.join(", "), &plan.zones[number % plan.zones.len()]);
    let (copies, seed) = (plan.processes, ways.seed + number as u64);
    let mut text = format!(
        "name = \"c{number}\"\nlisten = \"{listen}\"\nseed = {seed}\nzones = [{zones}]\nzone = {zone:?}\n\
         copies = {copies}\nordinal = {number}\nconsole = \"{console}\"\n\n[discovery]\naddress = \"{discovery}\"\n\n"
    );
    let (goal, limit) = (GOAL.as_millis(), LIMIT.as_millis());
    for (name, repeats, more) in [
        ("view", "pure", ""),
        ("hold", "receipted", "group = \"all\"\nmemory = \"30s\"\n"),
        ("confirm", "effectful", ""),
    ] {
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "[[verbs]]\nname = \"{name}\"\nrepeats = \"{repeats}\"\n{more}goal = \"{goal}ms\"\nlimit = \"{limit}ms\"\n\n"
        );
    }
    text += "[[tenants]]\nname = \"acme\"\n\n[limits]\nsockets = 512\nmemory_mb = 32\n\n";
    let _ = write!(text, "[rules]\ncold_share = 0.3\nwarm_after = \"{}s\"\n\n", WARM_AFTER.as_secs());
    if ways.with_fleet {
        let (own, front) = (words.own[number], words.fronts[number]);
        let seeds: Vec<String> = words.fronts.iter().take(SEEDS).map(|seed| format!("\"{seed}\"")).collect();
        let _ = write!(
            text,
            "[fleet]\nname = \"lab\"\nlisten = \"{own}\"\nadvertise = \"{front}\"\nseeds = [{}]\n",
            seeds.join(", ")
        );
    }
    if ways.with_fleet && plan.localities && ways.with_localities {
        text += "\n[localities]\n";
    }
    text
}

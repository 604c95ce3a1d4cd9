//! Fault plans for a fleet, read from TOML: their keys, defaults and validation.

use landingspread_files::{FileError, parse_toml};
use serde::{Deserialize, Serialize};

/// Bound on the number of replicas in a plan.
pub const MAX_PROCESSES: usize = 5_000;
/// Upper bound of `hot_replica_factor` in a plan.
const MAX_HOT_REPLICA_FACTOR: usize = 100;

/// A fleet, its load and its faults. Times are seconds since the start of the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    /// Name of the plan.
    pub name: String,
    /// One-line description for lists and reports.
    #[serde(default)]
    pub about: String,
    /// Length of the run, in seconds.
    #[serde(default = "plan_seconds")]
    pub seconds: f64,
    /// Number of replicas.
    #[serde(default = "processes")]
    pub processes: usize,
    /// Zones to which replicas and servers are assigned round-robin.
    #[serde(default = "zones")]
    pub zones: Vec<String>,
    /// Number of stand-in servers (real processes only).
    #[serde(default = "servers")]
    pub servers: usize,
    /// Requests per second that arrive at each replica (real processes only).
    #[serde(rename = "rate_each", default = "rate")]
    pub rate_per_replica: f64,
    /// Load of every fourth replica as a multiple of the others' load, with `rate_each` as the mean (real
    /// processes only).
    #[serde(rename = "uneven", default = "even", skip_serializing_if = "is_even")]
    pub hot_replica_factor: usize,
    /// Mean service time of a request, in seconds.
    #[serde(default = "work")]
    pub work: f64,
    /// Number of cores of each server.
    #[serde(default = "cores")]
    pub cores: usize,
    /// Time in seconds within which all replicas must agree on a death.
    #[serde(default = "death_within")]
    pub death_within: f64,
    /// Time in seconds within which all replicas must agree on any other change.
    #[serde(default = "agree_within")]
    pub agree_within: f64,
    /// Time in seconds within which each side of a partition must remove the other side.
    #[serde(default = "cut_within")]
    pub cut_within: f64,
    /// Whether the replicas evacuate and restore zones as a fleet.
    #[serde(default)]
    pub localities: bool,
    /// Time in seconds during which replicas that can't reach a zone may still send requests to it.
    #[serde(default = "left_within")]
    pub left_within: f64,
    /// Time in seconds after the end of a zone loss within which all replicas must send the zone its normal traffic.
    #[serde(default = "back_within")]
    pub back_within: f64,
    /// Bound on trials of a lost zone, per second over all replicas.
    #[serde(rename = "trials_most", default = "trials_most")]
    pub max_trials_per_s: f64,
    /// Maximum number of times that one replica may evacuate one zone; unbounded if absent.
    #[serde(rename = "departures_most", default, skip_serializing_if = "Option::is_none")]
    pub max_departures: Option<u32>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What a fault does to processes, paths, servers or load.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes are killed (SIGKILL) and start again after `for`.
    Kill,
    /// Processes are terminated gracefully (SIGTERM) and start again after `for`.
    Term,
    /// Processes are paused (SIGSTOP) and resume after `for`.
    Stop,
    /// Processes get a tenth of the processor time.
    Starve,
    /// No message passes between the group and the others.
    Cut,
    /// A fraction `share` of the datagrams is lost.
    Loss,
    /// A fraction `share` of the datagrams is duplicated.
    Double,
    /// A fraction `share` of the datagrams is corrupted.
    Garble,
    /// Messages are delayed by `delay`; datagrams may be reordered.
    Delay,
    /// Connections on the group's paths are reset.
    Reset,
    /// Processes of the named servers, or of a zone's servers, end and restart cold (real processes only).
    Crash,
    /// The named servers are new: they appear on no list before the fault begins and then start cold (real
    /// processes only).
    Start,
    /// No message reaches the servers or leaves them.
    Silent,
    /// The servers take `factor` times as long (real processes only).
    Slow,
    /// Clients send `factor` times as many requests (real processes only).
    Surge,
    /// An operator evacuates the zone through the first running replica of `copies`, and returns it to service
    /// after `for` (real processes only).
    Leave,
}

/// Direction of the messages that a fault affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// Messages that the group sends and messages that it receives.
    #[default]
    Both,
    /// Only messages that the group sends.
    Out,
    /// Only messages that are sent to the group.
    In,
}

/// Paths that a fault affects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum PathScope {
    /// All paths.
    #[default]
    All,
    /// Only paths between replicas.
    #[serde(rename = "copies")]
    Replicas,
    /// Only paths between replicas and servers.
    Servers,
}

/// One fault of a plan: its kind, its time, and what it affects.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds since the start of the run.
    pub at: f64,
    /// Duration of the fault, in seconds.
    #[serde(rename = "for")]
    pub duration: f64,
    /// The group: these replicas, all replicas of `zone` (and its servers), or a fraction `part` of the
    /// replicas, selected by the seed. All replicas if none of the three is given.
    #[serde(rename = "copies", default, skip_serializing_if = "Vec::is_empty")]
    pub replicas: Vec<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub fraction: Option<f64>,
    /// Indices of the affected servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<usize>,
    /// Replicas on the other side of the affected paths; all others if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<usize>,
    #[serde(rename = "way", default, skip_serializing_if = "is_default")]
    pub direction: Direction,
    #[serde(default, skip_serializing_if = "is_default")]
    pub paths: PathScope,
    /// Probability that a datagram is lost, duplicated or corrupted.
    #[serde(rename = "share", default, skip_serializing_if = "Option::is_none")]
    pub probability: Option<f64>,
    /// Added latency of `delay` faults, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay: Option<f64>,
    /// Multiple of the service time or of the request rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Whether killed or terminated processes restart in the old build.
    #[serde(default, skip_serializing_if = "is_default")]
    pub old_build: bool,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn plan_seconds() -> f64 {
    30.0
}

fn processes() -> usize {
    24
}

fn zones() -> Vec<String> {
    ["a", "b", "c"].map(String::from).into()
}

fn servers() -> usize {
    6
}

fn rate() -> f64 {
    10.0
}

fn even() -> usize {
    1
}

fn is_even(factor: &usize) -> bool {
    *factor == 1
}

fn work() -> f64 {
    0.01
}

fn cores() -> usize {
    4
}

fn death_within() -> f64 {
    2.0
}

fn cut_within() -> f64 {
    4.0
}

fn agree_within() -> f64 {
    3.0
}

fn left_within() -> f64 {
    1.0
}

fn back_within() -> f64 {
    14.0
}

fn trials_most() -> f64 {
    5.0
}

impl Fault {
    /// A fault on all replicas and paths, without parameters.
    pub fn new(kind: FaultKind, at: f64, duration: f64) -> Fault {
        Fault {
            kind,
            at,
            duration,
            replicas: Vec::new(),
            zone: None,
            fraction: None,
            to: Vec::new(),
            servers: Vec::new(),
            direction: Direction::Both,
            paths: PathScope::All,
            probability: None,
            delay: None,
            factor: None,
            old_build: false,
        }
    }

    /// Restricts the fault to these replicas.
    pub fn on_replicas(self, replicas: &[usize]) -> Fault {
        Fault { replicas: replicas.to_vec(), ..self }
    }

    /// Whether the fault affects servers rather than paths or replicas.
    pub fn affects_servers(&self) -> bool {
        matches!(self.kind, FaultKind::Crash | FaultKind::Start | FaultKind::Silent | FaultKind::Slow)
    }

    /// Whether the fault affects the server with this index.
    pub fn affects_server(&self, server: usize, zones: &[String]) -> bool {
        let is_in_zone = |zone: &String| zones.get(server % zones.len()) == Some(zone);
        self.affects_servers()
            && (self.servers.contains(&server) || self.zone.as_ref().is_some_and(is_in_zone))
    }

    /// A short description of the fault for progress lines and reports.
    pub fn label(&self) -> String {
        let kind = format!("{:?}", self.kind).to_lowercase();
        let group = match (&self.zone, self.fraction) {
            _ if !self.servers.is_empty() => format!("servers {:?}", self.servers),
            (Some(zone), _) => format!("zone {zone}"),
            (None, Some(fraction)) => format!("{:.0}% of copies", fraction * 100.0),
            (None, None) if self.replicas.is_empty() => "all".into(),
            (None, None) => format!("copies {:?}", self.replicas),
        };
        let probability =
            self.probability.map(|probability| format!(" {:.0}%", probability * 100.0)).unwrap_or_default();
        let direction = match self.direction {
            Direction::Both => "",
            Direction::Out => ", their messages to others",
            Direction::In => ", others' messages to them",
        };
        format!("{kind}{probability} {group}{direction}")
    }

    /// Whether the fault affects the replicas' processes rather than paths or servers.
    pub fn affects_processes(&self) -> bool {
        matches!(self.kind, FaultKind::Kill | FaultKind::Term | FaultKind::Stop | FaultKind::Starve)
    }
}

/// Parses and validates a plan. `processes` overrides the plan's own number.
pub fn read(file: &str, text: &str, processes: Option<usize>) -> Result<FleetPlan, FileError> {
    let mut plan: FleetPlan = parse_toml(file, text)?;
    plan.processes = processes.unwrap_or(plan.processes);
    match first_error(&plan) {
        Some((key, message)) => Err(FileError::at_key(file, text, &key, message)),
        None => Ok(plan),
    }
}

fn first_error(plan: &FleetPlan) -> Option<(String, String)> {
    let error = |key: &str, message: &str| Some((key.to_string(), message.to_string()));
    let positive = |value: f64| value.is_finite() && value > 0.0;
    if !(1..=MAX_PROCESSES).contains(&plan.processes) {
        return error("processes", &format!("{} is outside 1 to {MAX_PROCESSES}", plan.processes));
    }
    if plan.zones.is_empty() {
        return error("zones", "expected at least one zone");
    }
    for (key, value) in [
        ("seconds", plan.seconds),
        ("rate_each", plan.rate_per_replica),
        ("work", plan.work),
        ("death_within", plan.death_within),
        ("agree_within", plan.agree_within),
        ("cut_within", plan.cut_within),
        ("left_within", plan.left_within),
        ("back_within", plan.back_within),
        ("trials_most", plan.max_trials_per_s),
    ] {
        if !positive(value) {
            return error(key, &format!("{value} is not a finite number above 0"));
        }
    }
    if !(1..=MAX_HOT_REPLICA_FACTOR).contains(&plan.hot_replica_factor) {
        return error(
            "uneven",
            &format!("{} is outside 1 to {MAX_HOT_REPLICA_FACTOR}", plan.hot_replica_factor),
        );
    }
    plan.faults.iter().enumerate().find_map(|(at, fault)| {
        let key = |leaf: &str| format!("faults.{at}.{leaf}");
        if !fault.at.is_finite() || fault.at < 0.0 {
            return error(&key("at"), "expected seconds since the start, 0 or more");
        }
        if !positive(fault.duration) {
            return error(&key("for"), "expected seconds above 0");
        }
        if fault.zone.as_ref().is_some_and(|zone| !plan.zones.contains(zone)) {
            return error(&key("zone"), "the zone is not among the plan's zones");
        }
        let out_of_range = |server: &usize| *server >= plan.servers;
        let named = !fault.servers.is_empty();
        if fault.servers.iter().any(out_of_range) || (named && !fault.affects_servers()) {
            return error(
                &key("servers"),
                "expected indices of the plan's servers, and only for a fault that affects servers",
            );
        }
        if fault.affects_servers() && !named && fault.zone.is_none() {
            return error(&key("servers"), "expected servers or a zone");
        }
        if fault.kind == FaultKind::Leave && fault.zone.is_none() {
            return error(&key("zone"), "expected the zone that operators evacuate");
        }
        if matches!(fault.kind, FaultKind::Slow | FaultKind::Surge) && !fault.factor.is_some_and(positive) {
            return error(&key("factor"), "expected a finite number above 0");
        }
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        if fault.fraction.is_some_and(|fraction| !is_fraction(fraction)) {
            return error(&key("part"), "expected a number from 0 to 1");
        }
        let needs_probability = matches!(fault.kind, FaultKind::Loss | FaultKind::Double | FaultKind::Garble);
        if needs_probability && !fault.probability.is_some_and(is_fraction) {
            return error(&key("share"), "expected a number from 0 to 1");
        }
        if fault.kind == FaultKind::Delay && !fault.delay.is_some_and(|delay| (0.0..=10.0).contains(&delay)) {
            return error(&key("delay"), "expected a delay from 0 to 10 s");
        }
        None
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn plan_errors_name_line_and_key() {
        let error_text =
            |text: &str| read("p.toml", text, None).expect_err("the plan is invalid").to_string();
        assert!(error_text("name = \"x\"\nzone = 3\n").starts_with("p.toml:2: unknown field `zone`"));
        assert!(error_text("name = \"x\"\nprocesses = 0\n").contains("p.toml:2: processes: 0"));
        let fault_error =
            |rest: &str| error_text(&format!("name = \"x\"\n[[faults]]\nat = 1\nfor = 1\n{rest}\n"));
        assert!(fault_error("kind = \"loss\"").contains("faults.0.share: "));
        assert!(fault_error("kind = \"loss\"\nshare = nan").contains("faults.0.share: "));
        assert!(fault_error("kind = \"cut\"\nzone = \"q\"").contains("p.toml:6: faults.0.zone: "));
        assert!(fault_error("kind = \"crash\"\nservers = [6]").contains("faults.0.servers: "));
        assert!(fault_error("kind = \"delay\"\ndelay = 11.0").contains("faults.0.delay: "));
        let plan = read("p.toml", "name = \"x\"\n", Some(7)).expect("the plan is valid");
        assert_eq!((plan.processes, plan.servers, plan.zones.len()), (7, 6, 3));
    }
}

//! A plan of faults round a fleet, as a TOML file says it. It owns this form's names, its defaults and its checks.

use landingspread_files::{FileError, parse_toml};
use serde::{Deserialize, Serialize};

pub const PROCESSES_MOST: usize = 5_000;
const UNEVEN_MOST: usize = 100;

/// A fleet, its load, and what befalls it. Times are seconds since the start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    pub name: String,
    #[serde(default)]
    pub about: String,
    #[serde(default = "plan_seconds")]
    pub seconds: f64,
    #[serde(default = "processes")]
    pub processes: usize,
    /// Copies and servers stand in them in turn.
    #[serde(default = "zones")]
    pub zones: Vec<String>,
    /// Stand-in servers, on processes.
    #[serde(default = "servers")]
    pub servers: usize,
    /// Commands a second that come to each copy, on processes.
    #[serde(default = "rate")]
    pub rate_each: f64,
    /// Each fourth copy gets so many times what the others get, on processes; `rate_each` is the mean.
    #[serde(default = "even", skip_serializing_if = "is_even")]
    pub uneven: usize,
    /// Mean time that a server takes for one.
    #[serde(default = "work")]
    pub work: f64,
    /// Cores of each server.
    #[serde(default = "cores")]
    pub cores: usize,
    /// How long all copies together may take to agree on a death, and on all else.
    #[serde(default = "death_within")]
    pub death_within: f64,
    #[serde(default = "agree_within")]
    pub agree_within: f64,
    /// How long the parts of a cut may take to see that they are alone.
    #[serde(default = "cut_within")]
    pub cut_within: f64,
    /// Whether copies leave zones and take them back as a fleet.
    #[serde(default)]
    pub localities: bool,
    /// How long copies that can't reach a zone may go on sending commands there.
    #[serde(default = "left_within")]
    pub left_within: f64,
    /// How long after a loss all have to use the zone as ever.
    #[serde(default = "back_within")]
    pub back_within: f64,
    /// Trials of a lost zone by all copies together, a second.
    #[serde(default = "trials_most")]
    pub trials_most: f64,
    /// How many times a copy may leave one zone; any number where it is not said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departures_most: Option<u32>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Processes end at once (SIGKILL), and start again after `for`.
    Kill,
    /// They are told to end (SIGTERM), and start again after `for`.
    Term,
    /// They stand still (SIGSTOP) and go on.
    Stop,
    /// They get a tenth of their time.
    Starve,
    /// Nothing passes between the group and the others.
    Cut,
    /// So many datagrams are lost, doubled or garbled, by `share`.
    Loss,
    Double,
    Garble,
    /// All takes so much longer, by `delay`; datagrams overtake each other.
    Delay,
    /// Connections through the group's paths are reset.
    Reset,
    /// The servers named, or those of a zone, end, and start again cold (on processes).
    Crash,
    /// The servers named are new: no list names them before, and they start cold then (on processes).
    Start,
    /// Nothing comes through to or from them.
    Silent,
    /// They take `factor` times as long (on processes).
    Slow,
    /// Callers send `factor` times as much (on processes).
    Surge,
    /// Operators say at the first of `copies` that the fleet leaves the zone, and after `for` that it takes it back (on
    /// processes).
    Leave,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    #[default]
    Both,
    /// What the group sends.
    Out,
    /// What is sent to it.
    In,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Paths {
    #[default]
    All,
    /// Those between copies alone.
    Copies,
    /// Those between copies and servers alone.
    Servers,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    pub at: f64,
    #[serde(rename = "for")]
    pub lasts: f64,
    /// The group: these copies, or all of a zone (its servers too), or so many of the copies by the seed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub copies: Vec<usize>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// Servers by their numbers, for those that end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<usize>,
    /// The other side of the paths, where it is not all others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<usize>,
    #[serde(default, skip_serializing_if = "is_default")]
    pub way: Way,
    #[serde(default, skip_serializing_if = "is_default")]
    pub paths: Paths,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// They start again in the build that was named as the old one.
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

fn is_even(times: &usize) -> bool {
    *times == 1
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
    /// One of which nothing but these is said.
    pub fn new(kind: Kind, at: f64, lasts: f64) -> Fault {
        Fault {
            kind,
            at,
            lasts,
            copies: Vec::new(),
            zone: None,
            part: None,
            to: Vec::new(),
            servers: Vec::new(),
            way: Way::Both,
            paths: Paths::All,
            share: None,
            delay: None,
            factor: None,
            old_build: false,
        }
    }

    pub fn of(self, copies: &[usize]) -> Fault {
        Fault { copies: copies.to_vec(), ..self }
    }

    /// Whether it befalls servers, and not paths or copies.
    pub fn of_servers(&self) -> bool {
        matches!(self.kind, Kind::Crash | Kind::Start | Kind::Silent | Kind::Slow)
    }

    /// Whether it befalls this server.
    pub fn has_server(&self, server: usize, zones: &[String]) -> bool {
        let of_zone = |zone: &String| zones.get(server % zones.len()) == Some(zone);
        self.of_servers() && (self.servers.contains(&server) || self.zone.as_ref().is_some_and(of_zone))
    }

    pub fn label(&self) -> String {
        let kind = format!("{:?}", self.kind).to_lowercase();
        let whom = match (&self.zone, self.part) {
            _ if !self.servers.is_empty() => format!("servers {:?}", self.servers),
            (Some(zone), _) => format!("zone {zone}"),
            (None, Some(part)) => format!("{:.0}% of copies", part * 100.0),
            (None, None) if self.copies.is_empty() => "all".into(),
            (None, None) => format!("copies {:?}", self.copies),
        };
        let share = self.share.map(|share| format!(" {:.0}%", share * 100.0)).unwrap_or_default();
        let way = match self.way {
            Way::Both => "",
            Way::Out => ", their words to others",
            Way::In => ", others' words to them",
        };
        format!("{kind}{share} {whom}{way}")
    }

    /// Whether it befalls copies' processes, and neither paths nor servers.
    pub fn of_processes(&self) -> bool {
        matches!(self.kind, Kind::Kill | Kind::Term | Kind::Stop | Kind::Starve)
    }
}

/// Reads and checks a plan. `processes` goes before what it says of their number.
pub fn read(file: &str, text: &str, processes: Option<usize>) -> Result<FleetPlan, FileError> {
    let mut plan: FleetPlan = parse_toml(file, text)?;
    plan.processes = processes.unwrap_or(plan.processes);
    match first_fault(&plan) {
        Some((key, what)) => Err(FileError::at_key(file, text, &key, what)),
        None => Ok(plan),
    }
}

fn first_fault(plan: &FleetPlan) -> Option<(String, String)> {
    let found = |key: &str, what: &str| Some((key.to_string(), what.to_string()));
    let positive = |figure: f64| figure.is_finite() && figure > 0.0;
    if !(1..=PROCESSES_MOST).contains(&plan.processes) {
        return found("processes", &format!("{} does not lie from 1 to {PROCESSES_MOST}", plan.processes));
    }
    if plan.zones.is_empty() {
        return found("zones", "at least one is wanted");
    }
    for (key, figure) in [
        ("seconds", plan.seconds),
        ("rate_each", plan.rate_each),
        ("work", plan.work),
        ("death_within", plan.death_within),
        ("agree_within", plan.agree_within),
        ("cut_within", plan.cut_within),
        ("left_within", plan.left_within),
        ("back_within", plan.back_within),
        ("trials_most", plan.trials_most),
    ] {
        if !positive(figure) {
            return found(key, &format!("{figure} is no figure above 0"));
        }
    }
    if !(1..=UNEVEN_MOST).contains(&plan.uneven) {
        return found("uneven", &format!("{} does not lie from 1 to {UNEVEN_MOST}", plan.uneven));
    }
    plan.faults.iter().enumerate().find_map(|(at, fault)| {
        let key = |leaf: &str| format!("faults.{at}.{leaf}");
        if !fault.at.is_finite() || fault.at < 0.0 {
            return found(&key("at"), "it is no time since the start");
        }
        if !positive(fault.lasts) {
            return found(&key("for"), "it is no time above 0");
        }
        if fault.zone.as_ref().is_some_and(|zone| !plan.zones.contains(zone)) {
            return found(&key("zone"), "it is none of the plan's zones");
        }
        let beyond = |server: &usize| *server >= plan.servers;
        let named = !fault.servers.is_empty();
        if fault.servers.iter().any(beyond) || (named && !fault.of_servers()) {
            return found(
                &key("servers"),
                "what befalls servers names such of the plan, and nothing else does",
            );
        }
        if fault.of_servers() && !named && fault.zone.is_none() {
            return found(&key("servers"), "servers or a zone are wanted");
        }
        if fault.kind == Kind::Leave && fault.zone.is_none() {
            return found(&key("zone"), "operators leave a zone");
        }
        if matches!(fault.kind, Kind::Slow | Kind::Surge) && !fault.factor.is_some_and(positive) {
            return found(&key("factor"), "it is no figure above 0, or is missing");
        }
        let share = |figure: f64| (0.0..=1.0).contains(&figure);
        if fault.part.is_some_and(|part| !share(part)) {
            return found(&key("part"), "it does not lie from 0 to 1");
        }
        let wants_share = matches!(fault.kind, Kind::Loss | Kind::Double | Kind::Garble);
        if wants_share && !fault.share.is_some_and(share) {
            return found(&key("share"), "it does not lie from 0 to 1, or is missing");
        }
        if fault.kind == Kind::Delay && !fault.delay.is_some_and(|delay| (0.0..=10.0).contains(&delay)) {
            return found(&key("delay"), "it does not lie from 0 to 10 s, or is missing");
        }
        None
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_with_a_plan_is_told_by_line_and_key() {
        let told = |text: &str| read("p.toml", text, None).expect_err("a fault").to_string();
        assert!(told("name = \"x\"\nzone = 3\n").starts_with("p.toml:2: unknown field `zone`"));
        assert!(told("name = \"x\"\nprocesses = 0\n").contains("p.toml:2: processes: 0"));
        let of = |rest: &str| told(&format!("name = \"x\"\n[[faults]]\nat = 1\nfor = 1\n{rest}\n"));
        assert!(of("kind = \"loss\"").contains("faults.0.share: "));
        assert!(of("kind = \"loss\"\nshare = nan").contains("faults.0.share: "));
        assert!(of("kind = \"cut\"\nzone = \"q\"").contains("p.toml:6: faults.0.zone: "));
        assert!(of("kind = \"crash\"\nservers = [6]").contains("faults.0.servers: "));
        assert!(of("kind = \"delay\"\ndelay = 11.0").contains("faults.0.delay: "));
        let plan = read("p.toml", "name = \"x\"\n", Some(7)).expect("a plan");
        assert_eq!((plan.processes, plan.servers, plan.zones.len()), (7, 6, 3));
    }
}

//! What both forms of the configuration come to, and the defaults that they share.

use super::operator_form::control::Control;
use crate::catalog::Catalog;
use crate::clock::Clock;
use landingspread_decisions::settings::Settings;
use landingspread_localities::Paces;
use landingspread_membership::{Address, Budget};
use std::fmt;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::time::Duration;

pub const SOCKETS: u64 = 1024;
pub const SOCKETS_LEAST: u64 = 40;
pub const MEMORY_MB: u64 = 192;
pub const MEMORY_MB_LEAST: u64 = 16;
pub const CONN_IDLE: Duration = Duration::from_secs(30);
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(100);
pub const MAX_OPEN: u64 = 20_000;

/// No verb's time limit is longer.
const LIMIT_MOST: Duration = Duration::from_secs(600);
const UTILITY_MOST: f64 = 1e9;

/// A key and what is wrong with it.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

pub fn config_error(key: &str, wrong: impl fmt::Display) -> ConfigError {
    ConfigError(format!("{key}: {wrong}"))
}

/// NODE_FD names the descriptor of the listening socket that this process inherits, where it does.
pub fn inherited(told: &dyn Fn(&str) -> Option<String>) -> Result<Option<RawFd>, ConfigError> {
    let number = |text: String| {
        let fd = text.parse().ok().filter(|fd: &RawFd| *fd >= 0);
        fd.ok_or_else(|| config_error("NODE_FD", format_args!("{text:?} is no descriptor's number")))
    };
    told("NODE_FD").map(number).transpose()
}

/// What a front must know of a verb to read its commands; the rest of it is the module's.
#[derive(Clone)]
pub struct RequestClass {
    pub name: String,
    pub method: &'static str,
    pub idempotency_keyed: bool,
    pub time_limit: Duration,
}

/// What is wrong with a verb's spans and utilities, and the keys that are at fault together, the likeliest first.
pub fn verb_fault(
    goal: Duration,
    limit: Duration,
    utility: f64,
    overdue: f64,
) -> Option<(&'static [&'static str], String)> {
    let outside = |figure: f64, most: f64| !figure.is_finite() || !(0.0..=most).contains(&figure);
    if limit.is_zero() || limit > LIMIT_MOST {
        return Some((&["limit"], format!("{limit:?} does not lie within {LIMIT_MOST:?}")));
    }
    if goal.is_zero() || goal > limit {
        return Some((&["goal", "limit"], "it is nothing, or longer than the limit".into()));
    }
    if outside(utility, UTILITY_MOST) {
        return Some((&["utility"], format!("{utility} does not lie from 0 to {UTILITY_MOST}")));
    }
    if outside(overdue, utility) {
        let what = format!("{overdue} does not lie from 0 to {utility}");
        return Some((&["overdue_utility", "utility"], what));
    }
    None
}

/// How this copy takes part in a fleet.
#[derive(Debug)]
pub struct Fleet {
    pub name: String,
    /// Where it hears other copies, and where they send to.
    pub listen: Address,
    pub advertise: Address,
    /// Whether it hears them by the peers' socket.
    pub uses_peer_socket: bool,
    pub seeds: Vec<Address>,
    pub zone: String,
    pub budget: Budget,
    /// Copies by configuration, until others are heard.
    pub configured_replicas: f64,
}

pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the list of servers is watched; none where the configuration lists them itself.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub max_sockets: usize,
    pub memory_mb: usize,
    pub clock: Clock,
    pub initial_catalog: Catalog,
    pub zones: Vec<String>,
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<String>,
    pub idle_connection_timeout: Duration,
    pub connect_timeout: Duration,
    pub max_open_requests: usize,
    pub policy: Settings,
    /// Every copy's address for words between them, by its number; none where they tell each other nothing.
    pub peers: Vec<SocketAddr>,
    /// None where the copy takes part in no fleet.
    pub fleet: Option<Fleet>,
    /// None where configuration comes from the file alone.
    pub control: Option<Control>,
    /// None where zones are not left by the fleet.
    pub localities: Option<Paces>,
    /// The header in which callers say a command's work, in milliseconds on a standard core.
    pub work_header: Option<String>,
    /// The file through which what was learnt of endpoints outlives the process.
    pub statistics_file: Option<PathBuf>,
    /// Where operators call.
    pub console: Option<SocketAddr>,
    /// The descriptor of the listening socket that the platform holds for every process of this sidecar.
    pub inherited_listener: Option<RawFd>,
    /// The folder through which a process hands over to the next.
    pub state_folder: Option<PathBuf>,
}

impl fmt::Display for Configuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Configuration { name, listen, max_sockets: sockets, memory_mb, .. } = self;
        write!(f, "{name} listens at {listen} and ")?;
        match self.discovery {
            Some(discovery) => writeln!(f, "follows discovery at {discovery}")?,
            None => writeln!(f, "goes by the servers that its configuration lists")?,
        }
        if let Some(console) = self.console {
            writeln!(f, "operators call at {console}")?;
        }
        if let Some(fleet) = &self.fleet {
            let (name, listen, seeds) = (&fleet.name, fleet.listen, fleet.seeds.len());
            writeln!(f, "one of the fleet {name:?}, heard at {listen}, with {seeds} seeds")?;
        }
        if let Some(control) = &self.control {
            let (scope, machines) = (&control.scope, control.machines.len());
            writeln!(f, "follows the configuration of {scope} at {machines} control machines")?;
        }
        if self.localities.is_some() {
            writeln!(f, "leaves and takes back the zones {} with the fleet", self.zones.join(", "))?;
        }
        writeln!(
            f,
            "at most {sockets} sockets and {memory_mb} MB; {} servers known",
            self.initial_catalog.entries.len()
        )?;
        write!(f, "sends to tier {}; verbs:", self.policy.tier)?;
        self.classes.iter().try_for_each(|verb| write!(f, " {}", verb.name))
    }
}

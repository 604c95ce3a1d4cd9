//! The checked configuration that both forms come to, and the defaults and minima that they share.

use crate::catalog::Catalog;
use crate::clock::Clock;
use landingspread_control::ControlMachine;
use landingspread_decisions::settings::Settings;
use landingspread_localities::RecoveryTimings;
use landingspread_membership::{Address, Budget};
use std::fmt;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::time::Duration;

/// File descriptors where the configuration sets no bound.
pub const DEFAULT_MAX_SOCKETS: u64 = 1024;
/// With fewer file descriptors the process can't serve.
pub const MINIMUM_SOCKETS: u64 = 40;
/// Memory in MB where the configuration sets no bound.
pub const DEFAULT_MEMORY_MB: u64 = 192;
/// With less memory, in MB, the process can't serve.
pub const MINIMUM_MEMORY_MB: u64 = 16;
/// How long servers keep idle connections by default.
pub const DEFAULT_IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// How long connecting to a server may take by default.
pub const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Open requests where the configuration sets no bound.
pub const DEFAULT_MAX_OPEN_REQUESTS: u64 = 20_000;

/// What the front has to know of a class of requests, a verb of the file, to read them; the rest is in the decisions'
/// settings.
#[derive(Clone)]
pub struct RequestClass {
    pub name: String,
    pub method: &'static str,
    /// Whether its requests bear an idempotency key.
    pub idempotency_keyed: bool,
    /// The longest time limit of a request.
    pub time_limit: Duration,
}

/// How this copy takes part in a fleet.
#[derive(Debug)]
pub struct FleetSettings {
    pub name: String,
    /// The address at which it receives datagrams of other copies.
    pub listen: Address,
    /// The address that other copies send to.
    pub advertise: Address,
    /// Whether it receives datagrams by the peers' socket.
    pub uses_peer_socket: bool,
    pub seeds: Vec<Address>,
    pub zone: String,
    pub budget: Budget,
    /// The number of copies by configuration, which holds until others are heard.
    pub configured_replicas: f64,
}

/// How this sidecar follows its service's configuration.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The service whose configuration it follows.
    pub scope: String,
    /// Machines of the same region are polled first.
    pub region: String,
    pub machines: Vec<ControlMachine>,
    /// Caches the last good version for the next process.
    pub cache_file: Option<PathBuf>,
}

/// All that a sidecar is configured with, checked.
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the endpoint list is watched; none where the configuration lists the servers itself.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    /// The most file descriptors that are open at a time.
    pub max_sockets: usize,
    pub memory_mb: usize,
    pub clock: Clock,
    /// The servers that are known before the first list of discovery.
    pub initial_catalog: Catalog,
    pub zones: Vec<String>,
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<String>,
    /// Servers close connections that were idle for so long.
    pub idle_connection_timeout: Duration,
    pub connect_timeout: Duration,
    /// The most requests that are open at a time.
    pub max_open_requests: usize,
    /// The settings of the decisions.
    pub policy: Settings,
    /// Every copy's address for messages between copies, by its ordinal; empty where they send each other none.
    pub peers: Vec<SocketAddr>,
    /// None where the copy takes part in no fleet.
    pub fleet: Option<FleetSettings>,
    /// None where the file is the only source of configuration.
    pub control: Option<ControlSettings>,
    /// None where the fleet leaves no zones.
    pub localities: Option<RecoveryTimings>,
    /// The header in which callers state a request's work, in milliseconds on a standard core.
    pub work_header: Option<String>,
    /// Holds the statistics learned of servers for the next process.
    pub statistics_file: Option<PathBuf>,
    /// The address of the operators' console.
    pub console: Option<SocketAddr>,
    /// The descriptor of the listening socket that the platform holds for every process of this sidecar.
    pub inherited_listener: Option<RawFd>,
    /// The folder through which a process hands over to its successor.
    pub state_folder: Option<PathBuf>,
}

impl fmt::Display for Configuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} listens at {} and ", self.name, self.listen)?;
        match self.discovery {
            Some(discovery) => writeln!(f, "follows discovery at {discovery}")?,
            None => writeln!(f, "goes by the servers that its configuration lists")?,
        }
        self.write_optional_parts(f)?;
        let (sockets, memory_mb, servers) =
            (self.max_sockets, self.memory_mb, self.initial_catalog.entries.len());
        writeln!(f, "at most {sockets} sockets and {memory_mb} MB; {servers} servers known")?;
        write!(f, "sends to tier {}; verbs:", self.policy.tier)?;
        self.classes.iter().try_for_each(|class| write!(f, " {}", class.name))
    }
}

impl Configuration {
    fn write_optional_parts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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
        Ok(())
    }
}

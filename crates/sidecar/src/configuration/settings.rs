//! The checked configuration that results from both forms, with the defaults and minima that they share.

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

/// The default maximum number of open file descriptors.
pub const DEFAULT_MAX_SOCKETS: u64 = 1024;
/// The smallest accepted maximum of file descriptors. With fewer the process can't serve.
pub const MIN_SOCKETS: u64 = 40;
/// The default memory bound in MB.
pub const DEFAULT_MEMORY_MB: u64 = 192;
/// The smallest accepted memory bound in MB. With less the process can't serve.
pub const MIN_MEMORY_MB: u64 = 16;
/// The default length of the longest request body in MB.
pub const DEFAULT_MAX_BODY_MB: u64 = 64;
/// The default time after which servers close idle connections.
pub const DEFAULT_IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// The default timeout for connecting to a server.
pub const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The default maximum number of open requests.
pub const DEFAULT_MAX_OPEN_REQUESTS: u64 = 20_000;

/// The settings of a request class (a verb in the file) that the client side needs to parse requests. All others are in
/// the settings of the decisions.
#[derive(Clone)]
pub struct RequestClass {
    /// The class's name, the first segment of the path.
    pub name: String,
    /// The HTTP method of requests of the class.
    pub method: &'static str,
    /// Whether requests of the class must have an idempotency key.
    pub idempotency_keyed: bool,
    /// The maximum time limit of a request.
    pub time_limit: Duration,
}

/// The settings of this replica's membership in a fleet.
#[derive(Debug)]
pub struct FleetSettings {
    pub name: String,
    /// The address at which this replica receives datagrams of others.
    pub listen: Address,
    /// The address to which other replicas send.
    pub advertise: Address,
    /// Whether datagrams of the fleet are received on the socket for peer messages.
    pub uses_peer_socket: bool,
    pub seeds: Vec<Address>,
    pub zone: String,
    pub budget: Budget,
    /// The configured number of replicas, which applies until other members of the fleet are discovered.
    pub configured_replicas: f64,
}

/// The settings by which this sidecar follows its service's configuration.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The scope, which is the name of the service.
    pub scope: String,
    /// The sidecar's region; control machines of the same region are polled first.
    pub region: String,
    pub machines: Vec<ControlMachine>,
    /// The file that caches the version in force for the next process.
    pub cache_file: Option<PathBuf>,
}

/// The complete, checked configuration of a sidecar.
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    /// The address at which the endpoint list is watched; `None` if the configuration lists the servers.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    /// The maximum number of open file descriptors.
    pub max_sockets: usize,
    pub memory_mb: usize,
    /// The length of the longest request body.
    pub max_body_mb: usize,
    pub clock: Clock,
    /// The servers that are known before discovery sends the first endpoint list.
    pub initial_catalog: Catalog,
    pub zones: Vec<String>,
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<String>,
    /// The time after which servers close idle connections.
    pub idle_connection_timeout: Duration,
    pub connect_timeout: Duration,
    /// The maximum number of open requests.
    pub max_open_requests: usize,
    /// The settings that the decisions use.
    pub policy: Settings,
    /// The addresses for messages between replicas, indexed by ordinal; empty if replicas exchange no messages.
    pub peers: Vec<SocketAddr>,
    /// The fleet of this replica; `None` if it belongs to no fleet.
    pub fleet: Option<FleetSettings>,
    /// The control machines to follow; `None` if the file is the only source of configuration.
    pub control: Option<ControlSettings>,
    /// The timings of the failover between zones; `None` if the fleet never evacuates a zone.
    pub localities: Option<RecoveryTimings>,
    /// The header in which clients state the work of a request, in milliseconds on a standard core.
    pub work_header: Option<String>,
    /// The file that keeps the statistics of servers for the next process.
    pub statistics_file: Option<PathBuf>,
    /// The listening address of the operators' console.
    pub console: Option<SocketAddr>,
    /// The file descriptor of the listening socket that the platform passes to every process of this sidecar.
    pub inherited_listener: Option<RawFd>,
    /// The folder through which a process hands over its state to its successor.
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

//! What the sidecar is told at its start, and again by SIGHUP. It owns the only reading of the environment and
//! of the configuration file; a fault names its key. It must never change what the sidecar goes by, which is for
//! its caller, nor decide anything about a command.
//!
//! Two forms give one checked type: the platform's JSON (`platform.rs`) and the operators' TOML (`file.rs`).

mod file;
mod platform;

pub use file::EXAMPLE;

use crate::catalog::Catalog;
use crate::clock::Clock;
use landingspread_decisions::terms::Terms;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const SOCKETS: u64 = 1024;
const SOCKETS_LEAST: u64 = 40;
const MEMORY_MB: u64 = 192;
const MEMORY_MB_LEAST: u64 = 16;
const CONN_IDLE: Duration = Duration::from_secs(30);
const DIAL_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_OPEN: u64 = 20_000;

/// A key and what is wrong with it.
#[derive(Debug)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn fault(key: &str, wrong: impl fmt::Display) -> Fault {
    Fault(format!("{key}: {wrong}"))
}

/// What a front must know of a verb to read its commands; the rest of it is the module's.
#[derive(Clone)]
pub struct Verb {
    pub name: String,
    pub method: &'static str,
    pub receipted: bool,
    pub limit: Duration,
}

pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the list of servers is watched; none where the configuration lists them itself.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub clock: Clock,
    pub known: Catalog,
    pub zones: Vec<String>,
    pub verbs: Vec<Verb>,
    pub tenants: Vec<String>,
    pub conn_idle: Duration,
    pub dial_timeout: Duration,
    pub max_open: usize,
    pub terms: Terms,
}

impl fmt::Display for Launch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Launch { name, listen, sockets, memory_mb, .. } = self;
        write!(f, "{name} listens at {listen} and ")?;
        match self.discovery {
            Some(discovery) => writeln!(f, "follows discovery at {discovery}")?,
            None => writeln!(f, "goes by the servers that its configuration lists")?,
        }
        writeln!(
            f,
            "at most {sockets} sockets and {memory_mb} MB; {} servers known",
            self.known.entries.len()
        )?;
        write!(f, "sends to tier {}; verbs:", self.terms.tier)?;
        self.verbs.iter().try_for_each(|verb| write!(f, " {}", verb.name))
    }
}

/// A variable of the environment; an empty one says nothing.
fn told(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

/// How much is logged: NODE_LOG is error, warn, info, debug or trace.
pub fn log_level() -> Result<tracing::Level, Fault> {
    let Some(text) = told("NODE_LOG") else { return Ok(tracing::Level::INFO) };
    text.parse().map_err(|_| fault("NODE_LOG", format_args!("{text:?} is no level")))
}

/// Whether the log is one JSON object a line: NODE_LOG_FORMAT is text or json.
pub fn log_as_json() -> Result<bool, Fault> {
    match told("NODE_LOG_FORMAT").as_deref() {
        None | Some("text") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => Err(fault("NODE_LOG_FORMAT", format_args!("{other:?} is neither text nor json"))),
    }
}

/// Reads the file named, or the one that NODE_CONFIG names. Where the environment and the file both tell a
/// thing, the environment is nearer to what the platform does now.
pub fn read(path: Option<&Path>) -> Result<Launch, Fault> {
    take(path, &told)
}

/// Reads the file once more. A process keeps the environment that it began with: what the file says of
/// discovery by now is newer.
pub fn read_again(path: Option<&Path>) -> Result<Launch, Fault> {
    take(path, &|name| told(name).filter(|_| name != "NODE_DISCOVERY"))
}

/// A file whose name ends in .toml is the operators' form, any other the platform's.
fn take(path: Option<&Path>, told: &dyn Fn(&str) -> Option<String>) -> Result<Launch, Fault> {
    let path = match path {
        Some(path) => path.to_path_buf(),
        None => told("NODE_CONFIG").map(PathBuf::from).ok_or_else(|| fault("NODE_CONFIG", "is not set"))?,
    };
    if path.extension().is_some_and(|ending| ending == "toml") {
        file::read(&path, told)
    } else {
        platform::read(&path, told)
    }
}

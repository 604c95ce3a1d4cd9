//! The settings file of a control machine: its keys, defaults and checks.

use landingspread_files::{FileError, parse_toml, read_text};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The maximum number of control machines, including this one.
const MAX_MACHINES: usize = 64;
/// The default of the key `connections`.
const DEFAULT_MAX_CONNECTIONS: usize = 12_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    /// The addresses of all machines, including this one.
    machines: Vec<SocketAddr>,
    #[serde(rename = "state")]
    state_folder: Option<PathBuf>,
    #[serde(default = "default_max_connections", rename = "connections")]
    max_connections: usize,
}

/// The checked settings of a control machine.
pub struct Settings {
    /// The address at which this machine listens.
    pub listen: SocketAddr,
    /// The addresses of all other machines.
    pub peers: Vec<SocketAddr>,
    /// The folder of stored versions; `None` if versions are not kept across restarts.
    pub state_folder: Option<PathBuf>,
    /// The maximum number of open connections.
    pub max_connections: usize,
}

fn default_max_connections() -> usize {
    DEFAULT_MAX_CONNECTIONS
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Settings, FileError> {
        let (name, text) = read_text(path)?;
        let File { listen, mut machines, state_folder, max_connections } = parse_toml(&name, &text)?;
        let invalid = |key: &str, reason: &str| Err(FileError::at_key(&name, &text, key, reason));
        if !machines.contains(&listen) || machines.len() > MAX_MACHINES {
            return invalid("machines", "`listen` is not among them, or there are more than 64");
        }
        if max_connections == 0 {
            return invalid("connections", "0 is under 1");
        }
        machines.retain(|address| *address != listen);
        machines.sort();
        machines.dedup();
        Ok(Settings { listen, peers: machines, state_folder, max_connections })
    }
}

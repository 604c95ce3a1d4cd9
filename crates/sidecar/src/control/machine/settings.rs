//! A control machine's file: its keys, defaults and checks.

use landingspread_files::{FileError, parse_toml, read_text};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Machines that one list may have, this one included.
const MAX_MACHINES: usize = 64;
const DEFAULT_MAX_CONNECTIONS: usize = 12_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    /// All machines, this one too.
    machines: Vec<SocketAddr>,
    state: Option<PathBuf>,
    #[serde(default = "default_max_connections", rename = "connections")]
    max_connections: usize,
}

/// A control machine's settings, checked.
pub struct Settings {
    /// This machine's own address.
    pub listen: SocketAddr,
    /// All other machines.
    pub peers: Vec<SocketAddr>,
    /// The folder where versions are stored; none where nothing outlives the process.
    pub state: Option<PathBuf>,
    /// Connections at a time.
    pub max_connections: usize,
}

fn default_max_connections() -> usize {
    DEFAULT_MAX_CONNECTIONS
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Settings, FileError> {
        let (name, text) = read_text(path)?;
        let File { listen, mut machines, state, max_connections } = parse_toml(&name, &text)?;
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
        Ok(Settings { listen, peers: machines, state, max_connections })
    }
}

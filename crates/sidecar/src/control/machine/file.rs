//! A control machine's file: its names, defaults and checks.

use landingspread_files::{FileError, parse_toml, read_text};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    /// All machines, this one too.
    machines: Vec<SocketAddr>,
    state: Option<PathBuf>,
    #[serde(default = "connections")]
    connections: usize,
}

pub struct Checked {
    pub listen: SocketAddr,
    pub others: Vec<SocketAddr>,
    /// The folder where versions are kept.
    pub state: Option<PathBuf>,
    pub connections: usize,
}

const MACHINES_MOST: usize = 64;

fn connections() -> usize {
    12_000
}

pub fn read(path: &Path) -> Result<Checked, String> {
    let (name, text) = read_text(path).map_err(|wrong| wrong.to_string())?;
    let file: File = parse_toml(&name, &text).map_err(|wrong| wrong.to_string())?;
    let File { listen, mut machines, state, connections } = file;
    let fault = |key: &str, what: &str| Err(FileError::at_key(&name, &text, key, what).to_string());
    if !machines.contains(&listen) || machines.len() > MACHINES_MOST {
        return fault("machines", "`listen` is not among them, or there are more than 64");
    }
    if connections == 0 {
        return fault("connections", "0 is under 1");
    }
    machines.retain(|address| *address != listen);
    machines.sort();
    machines.dedup();
    Ok(Checked { listen, others: machines, state, connections })
}

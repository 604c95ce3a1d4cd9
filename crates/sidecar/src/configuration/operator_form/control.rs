//! The `[control]` part of the operators' form: its names, defaults and checks.

use landingspread_control::{Machine, NAME_MOST, is_scope};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    pub scope: String,
    #[serde(default)]
    pub region: String,
    pub machines: Vec<At>,
    pub kept: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct At {
    address: SocketAddr,
    #[serde(default)]
    region: String,
}

const MACHINES_MOST: usize = 64;

/// How this sidecar follows its service's configuration.
#[derive(Clone, Debug)]
pub struct Control {
    /// The service whose configuration it goes by.
    pub scope: String,
    /// Machines that stand in the same one are asked first.
    pub region: String,
    pub machines: Vec<Machine>,
    /// The file through which the last good version outlives the process.
    pub kept: Option<PathBuf>,
}

impl Part {
    /// The first key whose value can't be gone by; `name` is the sidecar's.
    pub fn first_fault(&self, name: &str) -> Option<(String, String)> {
        let found = |key: &str, what: &str| Some((key.to_string(), what.to_string()));
        if name.is_empty() || name.len() > NAME_MOST || name.chars().any(char::is_control) {
            return found("name", "machines know sidecars by it: it is empty, too long or no plain text");
        }
        if !is_scope(&self.scope) {
            return found(
                "control.scope",
                "it is empty, too long, or has other signs than a-z, 0-9, -, _ and .",
            );
        }
        if self.machines.is_empty() || self.machines.len() > MACHINES_MOST {
            return found("control.machines", "from one to 64 are wanted");
        }
        let twice =
            |(at, one): (usize, &At)| self.machines[..at].iter().any(|other| other.address == one.address);
        if self.machines.iter().enumerate().any(twice) {
            return found("control.machines", "one address stands there twice");
        }
        None
    }

    pub fn checked(self) -> Control {
        let machine = |at: At| Machine { address: at.address, region: at.region };
        let machines = self.machines.into_iter().map(machine).collect();
        Control { scope: self.scope, region: self.region, machines, kept: self.kept }
    }
}

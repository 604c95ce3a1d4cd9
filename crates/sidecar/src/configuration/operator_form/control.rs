//! The `[control]` table of the operators' form: its keys, defaults and checks.

use crate::configuration::error::{BrokenRule, Refusal};
use crate::configuration::settings::ControlSettings;
use landingspread_control::{ControlMachine, MAX_NAME_BYTES, is_valid_scope};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The keys of the `[control]` table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Part")]
pub struct ControlTable {
    scope: String,
    #[serde(default)]
    region: String,
    machines: Vec<MachineEntry>,
    #[serde(rename = "kept")]
    cache_file: Option<PathBuf>,
}

/// An entry of the key `machines`: a control machine.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct At")]
pub struct MachineEntry {
    address: SocketAddr,
    #[serde(default)]
    region: String,
}

/// The maximum number of control machines in the table.
const MAX_MACHINES: usize = 64;

impl ControlTable {
    /// The first key whose value is refused. `name` is the sidecar's name, by which control machines identify it.
    pub fn first_refusal(&self, name: &str) -> Option<Refusal> {
        let refuse = |key: &str, rule: BrokenRule| Some(Refusal::new(key, rule));
        if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
            return refuse("name", BrokenRule::SidecarName);
        }
        if !is_valid_scope(&self.scope) {
            return refuse("control.scope", BrokenRule::ServiceName);
        }
        if self.machines.is_empty() || self.machines.len() > MAX_MACHINES {
            return refuse("control.machines", BrokenRule::ControlMachineCount);
        }
        if self.has_duplicate_machine() {
            return refuse("control.machines", BrokenRule::DistinctControlMachines);
        }
        None
    }

    fn has_duplicate_machine(&self) -> bool {
        let mut machines = self.machines.iter().enumerate();
        machines.any(|(index, machine)| {
            self.machines[..index].iter().any(|other| other.address == machine.address)
        })
    }

    /// Converts a table in which no key was refused into settings.
    pub fn checked(self) -> ControlSettings {
        let machine =
            |machine: MachineEntry| ControlMachine { address: machine.address, region: machine.region };
        let machines = self.machines.into_iter().map(machine).collect();
        ControlSettings { scope: self.scope, region: self.region, machines, cache_file: self.cache_file }
    }
}

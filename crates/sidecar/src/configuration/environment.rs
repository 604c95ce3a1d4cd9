//! Environment variables that the configuration reads.

use super::error::{ConfigError, Problem, at_key};
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// The configuration file.
pub const NODE_CONFIG: &str = "NODE_CONFIG";
/// The address of the operators' console.
pub const NODE_CONSOLE: &str = "NODE_CONSOLE";
/// The address of discovery.
pub const NODE_DISCOVERY: &str = "NODE_DISCOVERY";
/// The descriptor of the inherited listening socket.
pub const NODE_FD: &str = "NODE_FD";
/// The address that callers connect to.
pub const NODE_LISTEN: &str = "NODE_LISTEN";
/// The lowest level that is logged: error, warn, info, debug or trace.
pub const NODE_LOG: &str = "NODE_LOG";
/// The format of the log: text or json.
pub const NODE_LOG_FORMAT: &str = "NODE_LOG_FORMAT";
/// The sidecar's name.
pub const NODE_NAME: &str = "NODE_NAME";
/// The platform's private folder of the sidecar.
pub const TMPDIR: &str = "TMPDIR";

/// Which variables a reader sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Environment {
    /// All variables of the process.
    Process,
    /// Those of the process but the address of discovery: on a reload the file's is newer.
    Reload,
    /// None at all.
    Empty,
}

impl Environment {
    /// The value of a variable; an empty one counts as unset.
    pub fn get(self, variable: &str) -> Option<String> {
        match self {
            Environment::Empty => None,
            Environment::Reload if variable == NODE_DISCOVERY => None,
            Environment::Process | Environment::Reload => {
                std::env::var(variable).ok().filter(|text| !text.is_empty())
            }
        }
    }

    /// The address that a variable holds; None where it is unset.
    pub fn address(self, variable: &str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.get(variable) else { return Ok(None) };
        match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(at_key(variable, Problem::NotAnAddress(text))),
        }
    }

    /// The descriptor of the listening socket that this process inherits, by NODE_FD.
    pub fn inherited_listener(self) -> Result<Option<RawFd>, ConfigError> {
        let Some(text) = self.get(NODE_FD) else { return Ok(None) };
        match text.parse().ok().filter(|descriptor: &RawFd| *descriptor >= 0) {
            Some(descriptor) => Ok(Some(descriptor)),
            None => Err(at_key(NODE_FD, Problem::NotADescriptor(text))),
        }
    }
}

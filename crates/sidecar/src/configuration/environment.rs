//! The environment variables that the configuration reads.

use super::error::{ConfigError, Problem, at_key};
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// The path of the configuration file.
pub const NODE_CONFIG: &str = "NODE_CONFIG";
/// The listening address of the operators' console.
pub const NODE_CONSOLE: &str = "NODE_CONSOLE";
/// The address of discovery.
pub const NODE_DISCOVERY: &str = "NODE_DISCOVERY";
/// The file descriptor of the inherited listening socket.
pub const NODE_FD: &str = "NODE_FD";
/// The listening address for clients.
pub const NODE_LISTEN: &str = "NODE_LISTEN";
/// The least severe level that is logged: error, warn, info, debug or trace.
pub const NODE_LOG: &str = "NODE_LOG";
/// The format of the log: text or json.
pub const NODE_LOG_FORMAT: &str = "NODE_LOG_FORMAT";
/// The name of the sidecar.
pub const NODE_NAME: &str = "NODE_NAME";
/// The private folder that the platform gives the sidecar.
pub const TMPDIR: &str = "TMPDIR";

/// The set of environment variables that a reader uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Environment {
    /// All variables of the process.
    Process,
    /// All variables except the address of discovery, because on a reload the file's address is newer.
    Reload,
    /// None of the variables, as if all were unset.
    Empty,
}

impl Environment {
    /// The value of a variable; `None` if it is unset or empty.
    pub fn get(self, variable: &str) -> Option<String> {
        match self {
            Environment::Empty => None,
            Environment::Reload if variable == NODE_DISCOVERY => None,
            Environment::Process | Environment::Reload => {
                std::env::var(variable).ok().filter(|text| !text.is_empty())
            }
        }
    }

    /// The address in a variable; `None` if it is unset or empty.
    pub fn address(self, variable: &str) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.get(variable) else { return Ok(None) };
        match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(at_key(variable, Problem::NotAnAddress(text))),
        }
    }

    /// The file descriptor of the inherited listening socket, from NODE_FD; `None` if it is unset or empty.
    pub fn inherited_listener(self) -> Result<Option<RawFd>, ConfigError> {
        let Some(text) = self.get(NODE_FD) else { return Ok(None) };
        match text.parse().ok().filter(|descriptor: &RawFd| *descriptor >= 0) {
            Some(descriptor) => Ok(Some(descriptor)),
            None => Err(at_key(NODE_FD, Problem::NotADescriptor(text))),
        }
    }
}

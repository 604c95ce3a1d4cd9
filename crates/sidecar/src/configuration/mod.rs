//! Reads and checks the configuration, at the start and again on SIGHUP.
//!
//! This is the only reader of the environment and of the configuration file. Two forms come to one checked type,
//! [`Configuration`]: the operators' TOML (`operator_form`) and the platform's JSON (`platform_form`). An error names
//! the key or the variable at fault. Applying a change is left to the caller.

mod class_limits;
mod environment;
mod error;
mod operator_form;
mod platform_form;
mod runtime_change;
mod settings;

pub use error::ConfigError;
pub use operator_form::EXAMPLE;
pub use runtime_change::{RuntimeChange, RuntimeSettings};
pub use settings::{Configuration, ControlSettings, FleetSettings, RequestClass};

use environment::{Environment, NODE_CONFIG, NODE_LOG, NODE_LOG_FORMAT};
use error::{BrokenRule, Problem, at_key};
use std::path::{Path, PathBuf};

/// The lowest level that is logged, by the variable NODE_LOG.
///
/// # Errors
/// The variable names no level.
pub fn log_level() -> Result<tracing::Level, ConfigError> {
    let Some(text) = Environment::Process.get(NODE_LOG) else { return Ok(tracing::Level::INFO) };
    text.parse().map_err(|_| at_key(NODE_LOG, Problem::UnknownLogLevel(text)))
}

/// Whether the log is one JSON object a line, by the variable NODE_LOG_FORMAT.
///
/// # Errors
/// The variable names no format.
pub fn log_as_json() -> Result<bool, ConfigError> {
    match Environment::Process.get(NODE_LOG_FORMAT).as_deref() {
        None | Some("text") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => Err(at_key(NODE_LOG_FORMAT, Problem::UnknownLogFormat(other.into()))),
    }
}

/// Reads the named file, or the one that NODE_CONFIG names. Where the environment and the file both set a value, the
/// environment's counts: it is nearer to what the platform does now.
///
/// # Errors
/// The first key or variable whose value is refused.
pub fn read(path: Option<&Path>) -> Result<Configuration, ConfigError> {
    read_with(path, Environment::Process)
}

/// Reads the file again for SIGHUP. A process keeps the environment that it started with, so that the file's address of
/// discovery is the newer one.
///
/// # Errors
/// As [`read`].
pub fn read_again(path: Option<&Path>) -> Result<Configuration, ConfigError> {
    read_with(path, Environment::Reload)
}

/// Parses one configuration in the operators' form, whatever the environment says. `name` stands for the file in errors.
///
/// # Errors
/// The first key whose value is refused, with its line.
pub fn parse(name: &str, text: &str) -> Result<Configuration, ConfigError> {
    operator_form::parse(name, text, Environment::Empty)
}

/// A file whose name ends in `.toml` is in the operators' form, any other in the platform's.
fn read_with(path: Option<&Path>, environment: Environment) -> Result<Configuration, ConfigError> {
    let path = match path {
        Some(path) => path.to_path_buf(),
        None => configured_path(environment)?,
    };
    if path.extension().is_some_and(|extension| extension == "toml") {
        operator_form::read(&path, environment)
    } else {
        platform_form::read(&path, environment)
    }
}

fn configured_path(environment: Environment) -> Result<PathBuf, ConfigError> {
    let path = environment.get(NODE_CONFIG).map(PathBuf::from);
    path.ok_or_else(|| at_key(NODE_CONFIG, BrokenRule::Set))
}

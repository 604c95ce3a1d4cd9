//! Reads and checks the configuration, at the start and again on SIGHUP. Callers apply it.
//!
//! Only this module reads the environment and the configuration file. Both forms of the file, the operators' TOML
//! (`operator_form`) and the platform's JSON (`platform_form`), result in one checked type, [`Configuration`]. An error
//! names the invalid key or variable.

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

/// The least severe level that is logged, from the variable NODE_LOG; `INFO` if it is unset.
///
/// # Errors
/// The value of the variable is not a level.
pub fn log_level() -> Result<tracing::Level, ConfigError> {
    let Some(text) = Environment::Process.get(NODE_LOG) else { return Ok(tracing::Level::INFO) };
    text.parse().map_err(|_| at_key(NODE_LOG, Problem::UnknownLogLevel(text)))
}

/// Whether each line of the log is a JSON object, from the variable NODE_LOG_FORMAT.
///
/// # Errors
/// The value of the variable is neither `text` nor `json`.
pub fn log_as_json() -> Result<bool, ConfigError> {
    match Environment::Process.get(NODE_LOG_FORMAT).as_deref() {
        None | Some("text") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => Err(at_key(NODE_LOG_FORMAT, Problem::UnknownLogFormat(other.into()))),
    }
}

/// Reads the file at `path`, or else the file that NODE_CONFIG names. If the environment and the file both set a value,
/// the environment's applies, because it reflects the platform's current state.
///
/// # Errors
/// The first key or variable whose value is refused.
pub fn read(path: Option<&Path>) -> Result<Configuration, ConfigError> {
    read_with(path, Environment::Process)
}

/// Reads the file again on SIGHUP. The address of discovery in the environment is ignored: the environment never
/// changes after the start, so the file's address is newer.
///
/// # Errors
/// The same errors as [`read`].
pub fn read_again(path: Option<&Path>) -> Result<Configuration, ConfigError> {
    read_with(path, Environment::Reload)
}

/// Parses a configuration in the operators' form and ignores the environment. Errors refer to the file as `name`.
///
/// # Errors
/// The first key whose value is refused, with its line.
pub fn parse(name: &str, text: &str) -> Result<Configuration, ConfigError> {
    operator_form::parse(name, text, Environment::Empty)
}

/// Reads a file with the extension `toml` in the operators' form and any other file in the platform's form.
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
    path.ok_or_else(|| at_key(NODE_CONFIG, BrokenRule::VariableRequired))
}

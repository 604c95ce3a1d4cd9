//! What the sidecar is told at its start, and again by SIGHUP. It owns the only reading of the environment and
//! of the configuration file; a fault names its key. It must never change what the sidecar goes by, which is for
//! its caller, nor decide anything about a command.
//!
//! Two forms give one checked type: the platform's JSON (`platform.rs`) and the operators' TOML (`file.rs`).

mod operator_form;
mod platform_form;
mod runtime_change;
mod settings;

pub use operator_form::EXAMPLE;
pub use operator_form::control::Control;
pub use runtime_change::{Changed, Live};
pub use settings::{ConfigError, Configuration, Fleet, RequestClass};

use settings::config_error;
use std::path::{Path, PathBuf};

/// A variable of the environment; an empty one says nothing.
fn told(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

/// How much is logged: NODE_LOG is error, warn, info, debug or trace.
pub fn log_level() -> Result<tracing::Level, ConfigError> {
    let Some(text) = told("NODE_LOG") else { return Ok(tracing::Level::INFO) };
    text.parse().map_err(|_| config_error("NODE_LOG", format_args!("{text:?} is no level")))
}

/// Whether the log is one JSON object a line: NODE_LOG_FORMAT is text or json.
pub fn log_as_json() -> Result<bool, ConfigError> {
    match told("NODE_LOG_FORMAT").as_deref() {
        None | Some("text") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => {
            Err(config_error("NODE_LOG_FORMAT", format_args!("{other:?} is neither text nor json")))
        }
    }
}

/// Reads the file named, or the one that NODE_CONFIG names. Where the environment and the file both tell a
/// thing, the environment is nearer to what the platform does now.
pub fn read(path: Option<&Path>) -> Result<Configuration, ConfigError> {
    take(path, &told)
}

/// One configuration in the operators' form, whatever the environment says.
pub fn of_text(name: &str, text: &str) -> Result<Configuration, ConfigError> {
    operator_form::take(name, text, &|_| None)
}

/// Reads the file once more. A process keeps the environment that it began with: what the file says of
/// discovery by now is newer.
pub fn read_again(path: Option<&Path>) -> Result<Configuration, ConfigError> {
    take(path, &|name| told(name).filter(|_| name != "NODE_DISCOVERY"))
}

/// A file whose name ends in .toml is the operators' form, any other the platform's.
fn take(path: Option<&Path>, told: &dyn Fn(&str) -> Option<String>) -> Result<Configuration, ConfigError> {
    let path = match path {
        Some(path) => path.to_path_buf(),
        None => {
            told("NODE_CONFIG").map(PathBuf::from).ok_or_else(|| config_error("NODE_CONFIG", "is not set"))?
        }
    };
    if path.extension().is_some_and(|ending| ending == "toml") {
        operator_form::read(&path, told)
    } else {
        platform_form::read(&path, told)
    }
}

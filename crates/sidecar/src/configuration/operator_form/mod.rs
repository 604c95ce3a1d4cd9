//! The operators' form of the configuration: a TOML file, `landingspread.toml`.
//!
//! Owns the keys of this form with their defaults and checks (`schema`, `checks` and a module for each optional table);
//! `build` converts a checked file into a [`Configuration`]. An error names the file, the line and the key.

mod build;
mod checks;
mod control;
mod fleet;
mod localities;
mod schema;

use super::environment::{Environment, NODE_CONSOLE, NODE_DISCOVERY, NODE_LISTEN, NODE_NAME};
use super::error::ConfigError;
use super::settings::Configuration;
use landingspread_files::{FileError, parse_toml, read_text};
use schema::{DiscoveryTable, File, WatchStart};
use std::path::Path;

/// The example file that `landingspread init` prints.
pub const EXAMPLE: &str = include_str!("example.toml");

/// Reads and checks a file in the operators' form.
pub fn read(path: &Path, environment: Environment) -> Result<Configuration, ConfigError> {
    let (name, text) = read_text(path)?;
    parse(&name, &text, environment)
}

/// Parses and checks the text of a file. Errors refer to the file as `name`.
pub fn parse(name: &str, text: &str, environment: Environment) -> Result<Configuration, ConfigError> {
    let mut file: File = parse_toml(name, text)?;
    apply_environment(environment, &mut file)?;
    if let Some(refusal) = checks::first_refusal(&file) {
        return Err(FileError::at_key(name, text, &refusal.key, refusal.problem).into());
    }
    let inherited_listener = environment.inherited_listener()?;
    Ok(build::configuration(file, inherited_listener))
}

/// Overrides values of the file by the environment variables that are set.
fn apply_environment(environment: Environment, file: &mut File) -> Result<(), ConfigError> {
    if let Some(address) = environment.address(NODE_LISTEN)? {
        file.listen = address;
    }
    if let Some(address) = environment.address(NODE_CONSOLE)? {
        file.console = Some(address);
    }
    if let Some(address) = environment.address(NODE_DISCOVERY)? {
        let watch_start =
            file.discovery.take().map_or(WatchStart::Automatic, |discovery| discovery.watch_start);
        file.discovery = Some(DiscoveryTable { address, watch_start });
    }
    if let Some(name) = environment.get(NODE_NAME) {
        file.name = name;
    }
    Ok(())
}

#[cfg(test)]
#[path = "operator_form_tests.rs"]
mod tests;

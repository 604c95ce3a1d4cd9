//! The operators' form of the configuration: one TOML file, `landingspread.toml`.
//!
//! It owns the names of this form, every default and every check of them (`schema`, `checks` and one file for each
//! optional table); `build` turns what was checked into a [`Configuration`]. An error names the file, the line and the
//! key.

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

/// What `landingspread init` prints.
pub const EXAMPLE: &str = include_str!("example.toml");

/// Reads and checks a file.
pub fn read(path: &Path, environment: Environment) -> Result<Configuration, ConfigError> {
    let (name, text) = read_text(path)?;
    parse(&name, &text, environment)
}

/// Checks the text of a file; `name` stands for it in errors.
pub fn parse(name: &str, text: &str, environment: Environment) -> Result<Configuration, ConfigError> {
    let mut file: File = parse_toml(name, text)?;
    override_by(environment, &mut file)?;
    if let Some(refusal) = checks::first_refusal(&file) {
        return Err(FileError::at_key(name, text, &refusal.key, refusal.problem).into());
    }
    let inherited_listener = environment.inherited_listener()?;
    Ok(build::configuration(file, inherited_listener))
}

/// Puts the variables of the environment in the place of the file's values.
fn override_by(environment: Environment, file: &mut File) -> Result<(), ConfigError> {
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

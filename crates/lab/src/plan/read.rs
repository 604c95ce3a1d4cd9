//! Reads and validates scenario files.

use super::check;
use super::scenario::Scenario;
use landingspread_files::{FileError, parse_toml, read_text};
use std::path::Path;

/// Reads and checks the scenario in a file.
pub fn read(path: &Path) -> Result<Scenario, FileError> {
    let (file, text) = read_text(path)?;
    parse(&file, &text)
}

/// Parses and checks the text of a scenario; `file` is its name in errors.
pub fn parse(file: &str, text: &str) -> Result<Scenario, FileError> {
    let scenario: Scenario = parse_toml(file, text)?;
    match check::first_error(&scenario) {
        None => Ok(scenario),
        Some((key, what)) => Err(FileError::at_key(file, text, &key, what)),
    }
}

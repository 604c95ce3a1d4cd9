//! Files into scenarios that can be played.

use super::check;
use super::scenario::Scenario;
use landingspread_files::{Wrong, from_toml, text_of};
use std::path::Path;

/// Reads and checks the scenario in a file.
pub fn read(path: &Path) -> Result<Scenario, Wrong> {
    let (file, text) = text_of(path)?;
    parse(&file, &text)
}

/// Takes a scenario's text; `file` is what messages call it.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Wrong> {
    let scenario: Scenario = from_toml(file, text)?;
    match check::fault_of(&scenario) {
        None => Ok(scenario),
        Some((key, what)) => Err(Wrong::at_key(file, text, &key, what)),
    }
}

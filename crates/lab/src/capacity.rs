//! The sub-command `capacity`: reads the size and slopes files, and prints the tables or replaces them in a page. The
//! capacity crate computes the figures.

use crate::args::Capacity;
use landingspread_capacity::{
    BUILT_IN, BUILT_IN_AFTER, BUILT_IN_SLOPES, Size, Slopes, marked_text, replace_sections, sections,
};
use landingspread_files::{FileError, read_text};
use std::path::Path;

/// Parses and checks the file at `path`, or the built-in text if there is no path.
///
/// # Errors
/// The file and the reason why it cannot be read or is invalid.
fn parse_file_or_built_in<T>(
    path: Option<&Path>,
    (name, built_in): (&str, &str),
    parse: fn(&str, &str) -> Result<T, FileError>,
) -> Result<T, String> {
    let (file, text) = match path {
        Some(path) => read_text(path).map_err(|error| error.to_string())?,
        None => (name.into(), built_in.into()),
    };
    parse(&file, &text).map_err(|error| error.to_string())
}

/// Runs the sub-command: prints the built-in size file or the tables, or updates the page at `into`.
///
/// # Errors
/// The file that cannot be read, parsed or written, with the reason.
pub fn capacity(options: &Capacity) -> Result<(), String> {
    if options.show {
        print!("{BUILT_IN}");
        return Ok(());
    }
    let size = parse_file_or_built_in(options.size.as_deref(), ("the built-in size", BUILT_IN), Size::read)?;
    let built_in = ("the built-in slopes", BUILT_IN_SLOPES);
    let slopes = parse_file_or_built_in(options.slopes.as_deref(), built_in, Slopes::read)?;
    let built_in = ("the built-in slopes after", BUILT_IN_AFTER);
    let after = parse_file_or_built_in(options.after.as_deref(), built_in, Slopes::read)?;
    let sections = sections(&size, &slopes, &after);
    let Some(path) = &options.into else {
        print!("{}", marked_text(&sections));
        return Ok(());
    };
    let with_path = |error: String| format!("{}: {error}", path.display());
    let (_, page) = read_text(path).map_err(|error| error.to_string())?;
    let page = replace_sections(&page, &sections).map_err(with_path)?;
    std::fs::write(path, page).map_err(|error| with_path(error.to_string()))
}

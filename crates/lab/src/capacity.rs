//! The sub-command that works out what each role needs at a size. It owns which files are read and where the tables go;
//! all arithmetic is the capacity crate's.

use crate::args::Capacity;
use landingspread_capacity::{BUILT_IN, BUILT_IN_AFTER, BUILT_IN_SLOPES, Size, Slopes, put, sections, text};
use landingspread_files::{FileError, read_text};
use std::path::Path;

/// A file that is named, or the built-in one, read and checked.
fn found<T>(
    named: Option<&Path>,
    (name, built_in): (&str, &str),
    read: fn(&str, &str) -> Result<T, FileError>,
) -> Result<T, String> {
    let (file, text) = match named {
        Some(path) => read_text(path).map_err(|wrong| wrong.to_string())?,
        None => (name.into(), built_in.into()),
    };
    read(&file, &text).map_err(|wrong| wrong.to_string())
}

pub fn capacity(wanted: &Capacity) -> Result<(), String> {
    if wanted.show {
        print!("{BUILT_IN}");
        return Ok(());
    }
    let size = found(wanted.size.as_deref(), ("the built-in size", BUILT_IN), Size::read)?;
    let built_in = ("the built-in slopes", BUILT_IN_SLOPES);
    let slopes = found(wanted.slopes.as_deref(), built_in, Slopes::read)?;
    let built_in = ("the built-in slopes after", BUILT_IN_AFTER);
    let after = found(wanted.after.as_deref(), built_in, Slopes::read)?;
    let sections = sections(&size, &slopes, &after);
    let Some(path) = &wanted.into else {
        print!("{}", text(&sections));
        return Ok(());
    };
    let told = |wrong: String| format!("{}: {wrong}", path.display());
    let (_, page) = read_text(path).map_err(|wrong| wrong.to_string())?;
    let page = put(&page, &sections).map_err(told)?;
    std::fs::write(path, page).map_err(|wrong| told(wrong.to_string()))
}

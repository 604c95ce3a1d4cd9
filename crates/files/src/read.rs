//! Reading a file's text and parsing it.

use crate::error::{FileError, FileErrorKind};
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;

/// The name by which messages call the file, and its text.
///
/// # Errors
/// [`FileErrorKind::Unreadable`] with the system's message.
pub fn read_text(path: &Path) -> Result<(String, String), FileError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(FileError::unreadable(file, error)),
    }
}

/// Parses TOML into a type; an unknown key is reported with the nearest known name where the type denies unknown fields.
///
/// # Errors
/// [`FileErrorKind::Malformed`] with the line where the parser stopped.
pub fn parse_toml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, FileError> {
    toml::from_str(text).map_err(|error| FileError {
        file: file.into(),
        line: error.span().map(|span| line_at(text, &span)),
        kind: FileErrorKind::Malformed(with_suggestion(error.message())),
    })
}

fn line_at(text: &str, span: &Range<usize>) -> usize {
    let before = text.get(..span.start).unwrap_or(text);
    1 + before.matches('\n').count()
}

/// Adds the nearest known name to a message about an unknown one.
fn with_suggestion(message: &str) -> String {
    if !message.starts_with("unknown") {
        return message.into();
    }
    // Serde names the unknown word first and the known ones after it, all between backticks.
    let mut words = message.split('`').skip(1).step_by(2);
    let Some(unknown) = words.next() else { return message.into() };
    let distance = |known: &&str| strsim::damerau_levenshtein(unknown, known);
    match words.min_by_key(distance) {
        Some(nearest) if distance(&nearest) <= 1 + unknown.len() / 3 => {
            format!("{message}; did you mean `{nearest}`?")
        }
        _ => message.into(),
    }
}

//! Reads a file and parses its text.

use crate::error::{FileError, FileErrorKind};
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;

/// Reads a file and returns its name for messages and its text.
///
/// # Errors
/// [`FileErrorKind::Unreadable`] with the message of the operating system.
pub fn read_text(path: &Path) -> Result<(String, String), FileError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(FileError::unreadable(file, error)),
    }
}

/// Parses TOML into a type. If the type denies unknown fields, an unknown key is reported with the nearest known name.
///
/// # Errors
/// [`FileErrorKind::Malformed`] with the line at which the parser failed.
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

/// Adds the nearest known name to the parser's message about an unknown name.
fn with_suggestion(message: &str) -> String {
    if !message.starts_with("unknown") {
        return message.into();
    }
    // Serde's message has the unknown name first and the known names after it, each in backticks.
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

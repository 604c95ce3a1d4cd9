//! Errors of a file, with the line and the key where they occur.

use crate::key_line::line_of_key;
use std::fmt;

/// An error in a file, with its position.
///
/// It is displayed as `FILE:LINE: MESSAGE`, or as `FILE: MESSAGE` if no line is known.
#[derive(Debug, PartialEq, Eq)]
pub struct FileError {
    /// The name of the file in messages, usually its path.
    pub file: String,
    /// The line, counted from 1; `None` if no line is known.
    pub line: Option<usize>,
    /// The kind of the error, with its message.
    pub kind: FileErrorKind,
}

/// The kinds of errors in a file.
#[derive(Debug, PartialEq, Eq)]
pub enum FileErrorKind {
    /// The file can't be read, with the message of the operating system.
    Unreadable(String),
    /// The text is not TOML or doesn't have the expected structure, with the parser's message.
    Malformed(String),
    /// The caller's checks reject the value at a key.
    InvalidValue {
        /// The path of the key, such as `faults.2.servers`.
        key: String,
        /// The reason why its value is rejected.
        reason: String,
    },
}

impl fmt::Display for FileErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileErrorKind::Unreadable(message) | FileErrorKind::Malformed(message) => f.write_str(message),
            FileErrorKind::InvalidValue { key, reason } => write!(f, "{key}: {reason}"),
        }
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file, self.kind),
            None => write!(f, "{}: {}", self.file, self.kind),
        }
    }
}

impl std::error::Error for FileError {}

impl FileError {
    /// Creates the error of a file that can't be read.
    pub fn unreadable(file: impl Into<String>, message: impl fmt::Display) -> FileError {
        FileError { file: file.into(), line: None, kind: FileErrorKind::Unreadable(message.to_string()) }
    }

    /// Creates the error of a rejected value at a key such as `faults.2.servers`. Its line is found in `text`.
    pub fn at_key(file: &str, text: &str, key: &str, reason: impl fmt::Display) -> FileError {
        FileError::at_line(file, line_of_key(text, key), key, reason)
    }

    /// Creates the error of a rejected value at a key, on a line that the caller provides.
    pub fn at_line(file: &str, line: Option<usize>, key: &str, reason: impl fmt::Display) -> FileError {
        let kind = FileErrorKind::InvalidValue { key: key.into(), reason: reason.to_string() };
        FileError { file: file.into(), line, kind }
    }
}

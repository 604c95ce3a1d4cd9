//! The error of a file: where it is and what is wrong there.

use crate::key_line::line_of_key;
use std::fmt;

/// What is wrong with a file, and where.
///
/// Its text is `FILE:LINE: MESSAGE`, or `FILE: MESSAGE` where no line is known.
#[derive(Debug, PartialEq, Eq)]
pub struct FileError {
    /// The file as messages call it, usually its path.
    pub file: String,
    /// The line, counted from 1; none where the error lies on no line.
    pub line: Option<usize>,
    /// What is wrong.
    pub kind: FileErrorKind,
}

/// The kinds of errors that a file can have.
#[derive(Debug, PartialEq, Eq)]
pub enum FileErrorKind {
    /// The file can't be read; the message is the system's.
    Unreadable(String),
    /// The text is not TOML, or not of the expected shape.
    Malformed(String),
    /// The value at a key is rejected by the reader's own checks.
    InvalidValue {
        /// The path of the key, such as `faults.2.servers`.
        key: String,
        /// Why its value is rejected.
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
    /// A file that can't be read.
    pub fn unreadable(file: impl Into<String>, message: impl fmt::Display) -> FileError {
        FileError { file: file.into(), line: None, kind: FileErrorKind::Unreadable(message.to_string()) }
    }

    /// A rejected value at a key such as `faults.2.servers`; its line is looked up in the file's text.
    pub fn at_key(file: &str, text: &str, key: &str, reason: impl fmt::Display) -> FileError {
        FileError::at_line(file, line_of_key(text, key), key, reason)
    }

    /// A rejected value at a key whose line the caller knows.
    pub fn at_line(file: &str, line: Option<usize>, key: &str, reason: impl fmt::Display) -> FileError {
        let kind = FileErrorKind::InvalidValue { key: key.into(), reason: reason.to_string() };
        FileError { file: file.into(), line, kind }
    }
}

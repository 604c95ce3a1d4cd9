//! Reads TOML files that people write into plain types, and reports what is wrong with one by file, line, key, expected
//! value and nearest known name.
//!
//! The crate knows nothing about what a file configures: each reader brings its own types and checks.
#![warn(missing_docs)]

mod error;
mod key_line;
mod read;

pub use error::{FileError, FileErrorKind};
pub use read::{parse_toml, read_text};

//! Parses hand-written TOML files into plain types. Errors name the file, the line, the key, the expected value and the
//! nearest known name.
//!
//! The crate is independent of what a file configures: callers provide the types and the checks.
#![warn(missing_docs)]

mod error;
mod key_line;
mod read;

pub use error::{FileError, FileErrorKind};
pub use read::{parse_toml, read_text};

//! The errors that a line of the wire may have.

use landingspread_decisions::settings::SettingError;
use std::fmt;

/// Why a line was rejected. Fields and messages have their names on the wire.
#[derive(Debug, PartialEq, Eq)]
pub enum MalformedLine {
    /// A required field is missing, empty or `-`.
    MissingField(&'static str),
    /// The text of a field does not parse as the field's type.
    UnreadableField {
        /// The name of the field.
        field: &'static str,
        /// The text of the field in the line.
        text: String,
    },
    /// The text of a field is not one of the field's values.
    UnknownValue {
        /// The name of the field.
        field: &'static str,
        /// The text of the field in the line.
        text: String,
    },
    /// The text of a field that holds bytes is not hexadecimal.
    NotHex {
        /// The name of the field.
        field: &'static str,
        /// The text of the field in the line.
        text: String,
    },
    /// An ITEM beyond the number of entries that its list's MANIFEST announced.
    ItemOutsideList,
    /// A TOPOLOGY refers to a list that no MANIFEST announced.
    UnknownList,
    /// A message of this name addresses an instance that is not running.
    NoSuchInstance(String),
    /// The wire has no message of this name.
    UnknownMessage(String),
    /// The settings of a new instance are invalid.
    Settings(SettingError),
}

impl fmt::Display for MalformedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedLine::MissingField(field) => write!(f, "{field} is missing"),
            MalformedLine::UnreadableField { field, text } => write!(f, "{field} can't be read: {text:?}"),
            MalformedLine::UnknownValue { field, text } => {
                write!(f, "{field} has an unknown value: {text:?}")
            }
            MalformedLine::NotHex { field, text } => write!(f, "{field} is not hexadecimal: {text:?}"),
            MalformedLine::ItemOutsideList => f.write_str("ITEM outside a list"),
            MalformedLine::UnknownList => f.write_str("TOPOLOGY refers to a list that no MANIFEST announced"),
            MalformedLine::NoSuchInstance(message) => {
                write!(f, "{message} for an instance that is not running")
            }
            MalformedLine::UnknownMessage(message) => write!(f, "unknown message {message:?}"),
            MalformedLine::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for MalformedLine {}

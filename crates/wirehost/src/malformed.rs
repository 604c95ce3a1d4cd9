//! What can be wrong with a line of the wire.

use landingspread_decisions::settings::SettingError;
use std::fmt;

/// A line that can't be taken. Fields and messages have the wire's own names.
#[derive(Debug, PartialEq, Eq)]
pub enum MalformedLine {
    /// A field is missing or empty.
    MissingField(&'static str),
    /// A field's text is not of its type.
    UnreadableField {
        /// The field.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// A field's text is none of those that it may have.
    UnknownValue {
        /// The field.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// A field that holds bytes is not hexadecimal.
    NotHex {
        /// The field.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// An endpoint beyond those that its list announced.
    ItemOutsideList,
    /// A list is used that was never given.
    UnknownList,
    /// A message of this name, for an instance that does not run.
    NoSuchInstance(String),
    /// A message of a name that the wire does not have.
    UnknownMessage(String),
    /// The settings of a new instance can't be read.
    Settings(SettingError),
}

impl fmt::Display for MalformedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MalformedLine::MissingField(field) => write!(f, "{field} is missing"),
            MalformedLine::UnreadableField { field, text } => write!(f, "{field} can't be read: {text:?}"),
            MalformedLine::UnknownValue { field, text } => write!(f, "{field} is unknown: {text:?}"),
            MalformedLine::NotHex { field, text } => write!(f, "{field} is no hex: {text:?}"),
            MalformedLine::ItemOutsideList => f.write_str("ITEM outside a list"),
            MalformedLine::UnknownList => f.write_str("TOPOLOGY names a list that was never given"),
            MalformedLine::NoSuchInstance(message) => {
                write!(f, "{message} for an instance that does not run")
            }
            MalformedLine::UnknownMessage(message) => write!(f, "unknown message {message:?}"),
            MalformedLine::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for MalformedLine {}

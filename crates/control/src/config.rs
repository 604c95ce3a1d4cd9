//! The contents of a scope: keys and values, with bounds on both. Only the [`crate::ConfigHost`] interprets keys.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The maximum number of keys in a scope.
pub const MAX_KEYS: usize = 1024;
/// The maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 160;
/// The maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 256;

/// The number of characters of an invalid key that an error quotes.
const MAX_SHOWN_KEY_CHARS: usize = 40;

/// An invalid key of a scope's contents, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// The key that is invalid or has an invalid value.
    pub key: String,
    /// The reason why the key or its value is invalid.
    #[serde(rename = "what")]
    pub reason: String,
}

impl ConfigError {
    /// Creates an error for `key`.
    pub fn new(key: &str, reason: impl fmt::Display) -> ConfigError {
        ConfigError { key: key.into(), reason: reason.to_string() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// The keys and values of a scope, ordered by key. For a missing key the value of the sidecar's own file applies.
pub type Contents = BTreeMap<String, String>;

/// Checks the number of keys and the length and characters of each key and value.
///
/// # Errors
/// The first key that violates a bound.
pub(crate) fn check_bounds(contents: &Contents) -> Result<(), ConfigError> {
    let is_plain = |text: &str| !text.chars().any(char::is_control);
    for (number, (key, value)) in contents.iter().enumerate() {
        if number == MAX_KEYS {
            return Err(ConfigError::new(key, format_args!("there are more than {MAX_KEYS} keys")));
        }
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_plain(key) {
            let shown: String = key.chars().filter(|c| !c.is_control()).take(MAX_SHOWN_KEY_CHARS).collect();
            return Err(ConfigError::new(&shown, "it is empty, too long or no plain text"));
        }
        if value.len() > MAX_VALUE_BYTES || !is_plain(value) {
            return Err(ConfigError::new(key, "its value is too long or no plain text"));
        }
    }
    Ok(())
}

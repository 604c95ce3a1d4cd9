//! The contents of a scope: values by key, with their bounds. What a key means is up to the [`crate::ConfigHost`].

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Keys of one scope.
pub const MAX_KEYS: usize = 1024;
/// Bytes of a key.
pub const MAX_KEY_BYTES: usize = 160;
/// Bytes of a value.
pub const MAX_VALUE_BYTES: usize = 256;

/// Characters of an invalid key that an error repeats.
const MAX_SHOWN_KEY_CHARS: usize = 40;

/// Why contents can't be used: the key at fault and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// The key at fault.
    pub key: String,
    /// What is wrong with it or with its value.
    #[serde(rename = "what")]
    pub reason: String,
}

impl ConfigError {
    /// An error of this key.
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

/// All keys of a scope with their values, in order. A key that is missing keeps the value of the sidecar's own file.
pub type Contents = BTreeMap<String, String>;

/// Fails with the first key that is out of bounds.
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

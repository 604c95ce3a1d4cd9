//! A scope's contents: texts by key, with their bounds. What a key means is the host's to say.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

pub const KEYS_MOST: usize = 1024;
/// Bytes of a key and of a value.
pub const KEY_MOST: usize = 160;
pub const VALUE_MOST: usize = 256;

/// The key at fault, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub key: String,
    pub what: String,
}

impl Fault {
    pub fn of(key: &str, what: impl fmt::Display) -> Fault {
        Fault { key: key.into(), what: what.to_string() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.what)
    }
}

impl std::error::Error for Fault {}

/// All keys of a scope with their values, in order. What is not named here is as the sidecar's own file says.
pub type Contents = BTreeMap<String, String>;

/// The first key that no contents may have.
pub(crate) fn bounded(contents: &Contents) -> Result<(), Fault> {
    for (number, (key, value)) in contents.iter().enumerate() {
        let plain = |text: &str| !text.chars().any(char::is_control);
        if number == KEYS_MOST {
            return Err(Fault::of(key, format_args!("there are more than {KEYS_MOST} keys")));
        }
        if key.is_empty() || key.len() > KEY_MOST || !plain(key) {
            let short: String = key.chars().filter(|c| !c.is_control()).take(40).collect();
            return Err(Fault::of(&short, "it is empty, too long or no plain text"));
        }
        if value.len() > VALUE_MOST || !plain(value) {
            return Err(Fault::of(key, "its value is too long or no plain text"));
        }
    }
    Ok(())
}

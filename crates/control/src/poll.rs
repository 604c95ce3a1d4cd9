//! A sidecar's call as the query of a path, both ways. It owns the names of its parts and how odd signs are written.

use crate::version::Version;
use std::fmt::Write;
use std::time::Duration;

pub const SCOPE_MOST: usize = 64;
/// Bytes of a sidecar's name.
pub const NAME_MOST: usize = 128;
const WAIT_MOST: Duration = Duration::from_secs(60);
/// Bytes of what a refusal says.
const REFUSED_MOST: usize = 400;

/// What a sidecar tells with each call, and asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    pub scope: String,
    /// The sidecar's.
    pub name: String,
    /// In force there: what is acknowledged.
    pub have: Option<Version>,
    /// The last one that was refused since, with the key and what is wrong with it.
    pub refused: Option<(Version, String)>,
    /// A snapshot is wanted, whatever the base.
    pub whole: bool,
    /// How long the machine may wait for a change.
    pub wait: Duration,
}

/// The part of a call that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Odd(pub &'static str);

/// A service's name, also usable as a file's.
pub fn is_scope(text: &str) -> bool {
    let sign =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.');
    (1..=SCOPE_MOST).contains(&text.len()) && text.bytes().all(sign) && !text.starts_with('.')
}

fn escaped(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => out.push(byte as char),
            // Writing to a String cannot fail.
            _ => _ = write!(out, "%{byte:02X}"),
        }
    }
    out
}

fn unescaped(text: &str) -> Option<String> {
    let (mut out, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first != b'%' {
            out.push(*first);
            continue;
        }
        let digits = rest.get(..2).filter(|digits| digits.iter().all(u8::is_ascii_hexdigit))?;
        out.push(u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?);
        rest = &rest[2..];
    }
    String::from_utf8(out).ok()
}

impl Poll {
    /// `scope=...&name=...`, behind a path's question mark.
    pub fn query(&self) -> String {
        let mut text = format!("scope={}&name={}", escaped(&self.scope), escaped(&self.name));
        if let Some(have) = self.have {
            let _ = write!(text, "&have={have}");
        }
        if let Some((version, why)) = &self.refused {
            let most =
                (0..=why.len().min(REFUSED_MOST)).rev().find(|at| why.is_char_boundary(*at)).unwrap_or(0);
            let _ = write!(text, "&refused={version}&why={}", escaped(&why[..most]));
        }
        if self.whole {
            text.push_str("&whole=1");
        }
        let _ = write!(text, "&wait_ms={}", self.wait.as_millis());
        text
    }

    /// The reverse; parts that nothing here knows are passed over, as a later build may send them.
    pub fn read(query: &str) -> Result<Poll, Odd> {
        let part = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
        };
        let text = |name: &'static str| part(name).map(|raw| unescaped(raw).ok_or(Odd(name))).transpose();
        let version = |name: &'static str| {
            part(name).map(|raw| raw.parse::<Version>().map_err(|_| Odd(name))).transpose()
        };
        let scope = text("scope")?.filter(|scope| is_scope(scope)).ok_or(Odd("scope"))?;
        let plain =
            |name: &String| (1..=NAME_MOST).contains(&name.len()) && !name.chars().any(char::is_control);
        let name = text("name")?.filter(plain).ok_or(Odd("name"))?;
        let why = text("why")?.unwrap_or_default();
        if why.len() > REFUSED_MOST || why.chars().any(char::is_control) {
            return Err(Odd("why"));
        }
        let refused = version("refused")?.map(|version| (version, why));
        let wait = part("wait_ms").map_or(Ok(0), |raw| raw.parse::<u64>().map_err(|_| Odd("wait_ms")))?;
        let wait = Duration::from_millis(wait).min(WAIT_MOST);
        Ok(Poll { scope, name, have: version("have")?, refused, whole: part("whole") == Some("1"), wait })
    }
}

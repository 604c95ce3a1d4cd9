//! Encodes and decodes a sidecar's poll as a URL query. Owns the names of the parameters and the percent-encoding.

use crate::version::Version;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Write};
use std::time::Duration;

/// The maximum length of a scope's name in bytes.
pub const MAX_SCOPE_BYTES: usize = 64;
/// The maximum length of a sidecar's name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The maximum time for which a machine holds a poll.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The maximum length of a refusal's reason in bytes; a longer one is truncated.
const MAX_REASON_BYTES: usize = 400;

/// A sidecar's report that it refused a version. Its JSON is the list `[VERSION, REASON]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Version, String)", into = "(Version, String)")]
pub struct ReportedRefusal {
    /// The version that the sidecar refused.
    pub version: Version,
    /// The invalid key and the reason.
    pub reason: String,
}

impl From<(Version, String)> for ReportedRefusal {
    fn from((version, reason): (Version, String)) -> ReportedRefusal {
        ReportedRefusal { version, reason }
    }
}

impl From<ReportedRefusal> for (Version, String) {
    fn from(refusal: ReportedRefusal) -> (Version, String) {
        (refusal.version, refusal.reason)
    }
}

/// A sidecar's request for a newer version, with the report of its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The service whose configuration is requested.
    pub scope: String,
    /// The sidecar's name, unique within the scope.
    pub name: String,
    /// The version in force at the sidecar, which the poll acknowledges.
    pub acknowledged: Option<Version>,
    /// The last refusal since the acknowledged version came into force.
    pub refused: Option<ReportedRefusal>,
    /// Whether the answer must be a snapshot even if the machine has the base of a delta.
    pub wants_snapshot: bool,
    /// How long the machine may hold the poll until it has a newer version.
    pub wait: Duration,
}

/// A query that is not a poll, with the name of the first parameter that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedPoll(pub &'static str);

impl fmt::Display for MalformedPoll {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is missing or odd", self.0)
    }
}

impl std::error::Error for MalformedPoll {}

/// Whether a text is a valid name of a scope. Every valid name is also a safe file name.
pub fn is_valid_scope(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.');
    (1..=MAX_SCOPE_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) && !text.starts_with('.')
}

fn percent_encoded(text: &str) -> String {
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

fn percent_decoded(text: &str) -> Option<String> {
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

/// The longest prefix of the text that has at most `max` bytes and ends at a character boundary.
fn truncated(text: &str, max: usize) -> &str {
    let end = (0..=text.len().min(max)).rev().find(|at| text.is_char_boundary(*at));
    &text[..end.unwrap_or(0)]
}

/// A query string with access to its parameters.
struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// The undecoded value of a parameter; the first if it occurs more than once.
    fn raw(&self, name: &str) -> Option<&'a str> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    fn text(&self, name: &'static str) -> Result<Option<String>, MalformedPoll> {
        let decoded = |raw| percent_decoded(raw).ok_or(MalformedPoll(name));
        self.raw(name).map(decoded).transpose()
    }

    fn version(&self, name: &'static str) -> Result<Option<Version>, MalformedPoll> {
        let parsed = |raw: &str| raw.parse::<Version>().map_err(|_| MalformedPoll(name));
        self.raw(name).map(parsed).transpose()
    }
}

impl Poll {
    /// Encodes the poll as the query `scope=...&name=...`, without the question mark.
    pub fn to_query(&self) -> String {
        let (scope, name) = (percent_encoded(&self.scope), percent_encoded(&self.name));
        let mut query = format!("scope={scope}&name={name}");
        // Writing to a String cannot fail.
        if let Some(version) = self.acknowledged {
            let _ = write!(query, "&have={version}");
        }
        if let Some(ReportedRefusal { version, reason }) = &self.refused {
            let reason = percent_encoded(truncated(reason, MAX_REASON_BYTES));
            let _ = write!(query, "&refused={version}&why={reason}");
        }
        if self.wants_snapshot {
            query.push_str("&whole=1");
        }
        let _ = write!(query, "&wait_ms={}", self.wait.as_millis());
        query
    }

    /// Parses a query. Unknown parameters are ignored, because a later release may send them.
    ///
    /// # Errors
    /// The first parameter that is missing or invalid.
    pub fn from_query(query: &str) -> Result<Poll, MalformedPoll> {
        let query = Query(query);
        let scope = query.text("scope")?.filter(|scope| is_valid_scope(scope));
        let scope = scope.ok_or(MalformedPoll("scope"))?;
        let is_valid_name =
            |name: &String| (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
        let name = query.text("name")?.filter(is_valid_name).ok_or(MalformedPoll("name"))?;
        let reason = query.text("why")?.unwrap_or_default();
        if reason.len() > MAX_REASON_BYTES || reason.chars().any(char::is_control) {
            return Err(MalformedPoll("why"));
        }
        let refused = query.version("refused")?.map(|version| ReportedRefusal { version, reason });
        let wait_ms = query.raw("wait_ms").map_or(Ok(0), str::parse::<u64>);
        let wait_ms = wait_ms.map_err(|_| MalformedPoll("wait_ms"))?;
        Ok(Poll {
            scope,
            name,
            acknowledged: query.version("have")?,
            refused,
            wants_snapshot: query.raw("whole") == Some("1"),
            wait: Duration::from_millis(wait_ms).min(MAX_WAIT),
        })
    }
}

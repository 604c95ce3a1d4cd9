//! The console's answers as HTTP.

use crate::net::http;

/// An answer, without its head.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub text: String,
    json: bool,
    /// The method that the path takes, where another one was used.
    allow: Option<&'static str>,
}

impl Reply {
    /// A plain text.
    pub fn text(status: u16, text: &str) -> Reply {
        Reply { status, text: text.to_string(), json: false, allow: None }
    }

    /// A report, as JSON or as plain text.
    pub fn report(text: &str, json: bool) -> Reply {
        Reply { json, ..Reply::text(200, text) }
    }

    /// The call failed, for this reason.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::text(status, &format!("no: {reason}\n"))
    }

    /// The path takes another method.
    pub fn method_not_allowed(allow: &'static str) -> Reply {
        Reply { allow: Some(allow), ..Reply::error(405, "the call takes another method") }
    }

    /// The head that goes before the text.
    pub fn head(&self) -> Vec<u8> {
        let reason = http::reason_phrase(self.status);
        let allow = self.allow.map(|allow| format!("Allow: {allow}\r\n")).unwrap_or_default();
        let (status, length) = (self.status, self.text.len());
        let content_type = if self.json { "application/json" } else { "text/plain" };
        format!(
            "HTTP/1.1 {status} {reason}\r\n{allow}Content-Type: {content_type}\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n"
        )
        .into_bytes()
    }
}

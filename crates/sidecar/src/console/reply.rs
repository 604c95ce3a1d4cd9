//! Replies of the console, written as HTTP responses.

use crate::net::http;

/// The reply to one request.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The body of the response.
    pub text: String,
    json: bool,
    /// The method that the path supports, if the request used another one.
    allow: Option<&'static str>,
}

impl Reply {
    /// A reply with a plain text body.
    pub fn text(status: u16, text: &str) -> Reply {
        Reply { status, text: text.to_string(), json: false, allow: None }
    }

    /// A successful reply with a report, either JSON or plain text.
    pub fn report(text: &str, json: bool) -> Reply {
        Reply { json, ..Reply::text(200, text) }
    }

    /// A reply that states why the request failed.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::text(status, &format!("no: {reason}\n"))
    }

    /// The reply to a request with a method that the path does not support.
    pub fn method_not_allowed(allow: &'static str) -> Reply {
        Reply { allow: Some(allow), ..Reply::error(405, "the call takes another method") }
    }

    /// Formats the head of the HTTP response.
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

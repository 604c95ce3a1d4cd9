//! A control machine's answers as HTTP.

use crate::net::http;

/// An answer, without its head.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Empty where there is nothing to send.
    pub body: String,
    json: bool,
}

impl Reply {
    /// A plain text.
    pub fn text(status: u16, body: String) -> Reply {
        Reply { status, body, json: false }
    }

    /// A JSON text.
    pub fn json(status: u16, body: String) -> Reply {
        Reply { status, body, json: true }
    }

    /// The call succeeded and there is nothing to send.
    pub fn no_content() -> Reply {
        Reply::text(204, String::new())
    }

    /// The call failed, for this reason.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::text(status, format!("no: {reason}\n"))
    }

    /// The head that goes before the body.
    pub fn head(&self, keep_alive: bool) -> Vec<u8> {
        let (status, reason, length) = (self.status, http::reason_phrase(self.status), self.body.len());
        let end = if keep_alive { "" } else { "Connection: close\r\n" };
        if status == 204 {
            return format!("HTTP/1.1 204 {reason}\r\n{end}\r\n").into_bytes();
        }
        let content_type = if self.json { "application/json" } else { "text/plain" };
        let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n");
        format!("{head}Content-Length: {length}\r\n{end}\r\n").into_bytes()
    }
}

//! The HTTP replies of a control machine.

use crate::net::http;

/// A reply's status and body, from which its head is generated.
pub struct Reply {
    /// The HTTP status of the reply.
    pub status: u16,
    /// The body; empty if there is none.
    pub body: String,
    json: bool,
}

impl Reply {
    /// Creates a reply with a plain text body.
    pub fn text(status: u16, body: String) -> Reply {
        Reply { status, body, json: false }
    }

    /// Creates a reply with a JSON body.
    pub fn json(status: u16, body: String) -> Reply {
        Reply { status, body, json: true }
    }

    /// Creates the reply 204 without a body.
    pub fn no_content() -> Reply {
        Reply::text(204, String::new())
    }

    /// Creates the reply to a failed call with the reason as its body.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::text(status, format!("no: {reason}\n"))
    }

    /// Generates the HTTP head.
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

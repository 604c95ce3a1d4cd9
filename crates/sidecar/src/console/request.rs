//! Parses HTTP messages into typed requests of the console, without any socket.

use super::reply::Reply;
use crate::net::http;
use landingspread_localities::OperatorCommand;

/// The maximum length of a server's id or a zone's name, in bytes.
const MAX_ID_BYTES: usize = 256;

/// An operator's request to the console.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// Report whether this process is ready to serve requests.
    Status,
    /// Report all counters.
    Counters,
    /// List the servers in maintenance.
    ListMaintenance,
    /// Report the members of the fleet, as JSON or as text.
    Members { json: bool },
    /// Report the state of each zone, as JSON or as text.
    Zones { json: bool },
    /// Report which configuration is in force, as JSON or as text.
    Control { json: bool },
    /// Evacuate a zone in the whole fleet, or return it to use.
    SetZone { zone: String, command: OperatorCommand },
    /// Start or end the maintenance of a server, for this sidecar only.
    SetMaintenance { server: String, in_maintenance: bool },
}

impl Request {
    /// Parses an HTTP message.
    ///
    /// # Errors
    /// Returns the reply to an invalid request.
    pub fn parse(head: &[u8], body: &[u8]) -> Result<Request, Reply> {
        let mut headers = http::empty_headers();
        let mut parsed = httparse::Request::new(&mut headers);
        if parsed.parse(head).is_err() {
            return Err(Reply::error(400, "this is no HTTP/1.1 message"));
        }
        let path = http::path_of_target(parsed.path.unwrap_or(""));
        let path = path.split('?').next().unwrap_or("");
        let allow = match path {
            "/status" | "/counters" | "/maintenance" | "/fleet" | "/zones" | "/control" => "GET",
            "/maintenance/enter" | "/maintenance/exit" | "/zones/leave" | "/zones/return" => "PUT",
            _ => return Err(Reply::error(404, "no such call")),
        };
        if parsed.method.unwrap_or("") != allow {
            return Err(Reply::method_not_allowed(allow));
        }
        match path {
            "/status" => Ok(Request::Status),
            "/counters" => Ok(Request::Counters),
            "/maintenance" => Ok(Request::ListMaintenance),
            "/fleet" => Ok(Request::Members { json: accepts_json(parsed.headers) }),
            "/zones" => Ok(Request::Zones { json: accepts_json(parsed.headers) }),
            "/control" => Ok(Request::Control { json: accepts_json(parsed.headers) }),
            "/zones/leave" | "/zones/return" => {
                let zone = plain_text(body).ok_or_else(|| Reply::error(400, "the body is no zone's name"))?;
                let command = match path {
                    "/zones/leave" => OperatorCommand::Evacuate,
                    _ => OperatorCommand::Return,
                };
                Ok(Request::SetZone { zone, command })
            }
            path => {
                let server =
                    plain_text(body).ok_or_else(|| Reply::error(400, "the body is no endpoint's id"))?;
                Ok(Request::SetMaintenance { server, in_maintenance: path == "/maintenance/enter" })
            }
        }
    }
}

fn accepts_json(headers: &[httparse::Header<'_>]) -> bool {
    let mut accept_headers = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("accept"));
    accept_headers.any(|header| contains(header.value, b"application/json"))
}

/// Whether a header's value contains `part`, which must be lowercase; the case of the value is ignored.
fn contains(value: &[u8], part: &[u8]) -> bool {
    value.to_ascii_lowercase().windows(part.len()).any(|window| window == part)
}

/// The trimmed body if it is UTF-8 text of 1 to [`MAX_ID_BYTES`] bytes without control characters; otherwise None.
fn plain_text(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).map_or("", str::trim);
    let is_plain = (1..=MAX_ID_BYTES).contains(&text.len()) && !text.chars().any(char::is_control);
    is_plain.then(|| text.to_string())
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;

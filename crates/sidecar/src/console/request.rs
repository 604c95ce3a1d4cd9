//! The console's calls, parsed into a typed request. No sockets.

use super::reply::Reply;
use crate::net::http;
use landingspread_localities::OperatorCommand;

/// Bytes of an endpoint's id and of a zone's name.
const MAX_ID_BYTES: usize = 256;

/// What an operator asks of the console.
#[derive(Debug, PartialEq)]
pub enum Request {
    /// Whether this process can serve.
    Status,
    /// All counters.
    Counters,
    /// The endpoints that are in maintenance.
    ListMaintenance,
    /// The members of the fleet, as JSON or as text.
    Members { json: bool },
    /// How zones stand, as JSON or as text.
    Zones { json: bool },
    /// Which configuration is in force, as JSON or as text.
    Control { json: bool },
    /// The whole fleet takes a zone out of use, or puts it back.
    SetZone { zone: String, command: OperatorCommand },
    /// This sidecar takes an endpoint out of use, or puts it back.
    SetMaintenance { server: String, in_maintenance: bool },
}

impl Request {
    /// Parses a message; the error is the answer to it.
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
    let mut accepted = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("accept"));
    accepted.any(|header| contains(header.value, b"application/json"))
}

/// Whether a header's value contains these bytes, in any case.
fn contains(value: &[u8], part: &[u8]) -> bool {
    value.to_ascii_lowercase().windows(part.len()).any(|window| window == part)
}

/// A body that is a plain, short text.
fn plain_text(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).map_or("", str::trim);
    let is_plain = (1..=MAX_ID_BYTES).contains(&text.len()) && !text.chars().any(char::is_control);
    is_plain.then(|| text.to_string())
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;

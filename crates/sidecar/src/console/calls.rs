//! The console's calls as text: what a message asks for, and what is said to it. No sockets.

use crate::net::http;

const ID_MOST: usize = 256;

#[derive(Debug, PartialEq)]
pub enum Call {
    Status,
    /// What was done and why, counted.
    Counters,
    WhoIsOut,
    /// The members of the fleet, as JSON or as text.
    Members {
        json: bool,
    },
    /// How zones stand, as JSON or as text.
    Zones {
        json: bool,
    },
    /// Which configuration is in force, as JSON or as text.
    Control {
        json: bool,
    },
    /// The whole fleet takes a zone out of use, or puts it back.
    Zone {
        zone: String,
        leave: bool,
    },
    Maintenance {
        server: String,
        out: bool,
    },
}

#[derive(Debug, PartialEq)]
pub struct Said {
    pub status: u16,
    pub text: String,
    json: bool,
    /// What a wrong method could have been.
    allow: Option<&'static str>,
}

pub fn said(status: u16, text: &str) -> Said {
    Said { status, text: text.to_string(), json: false, allow: None }
}

pub fn figures(text: &str, json: bool) -> Said {
    Said { json, ..said(200, text) }
}

pub fn turned(status: u16, why: &str) -> Said {
    said(status, &format!("no: {why}\n"))
}

impl Said {
    pub fn head(&self) -> Vec<u8> {
        let reason = http::reason_phrase(self.status);
        let allow = self.allow.map(|allow| format!("Allow: {allow}\r\n")).unwrap_or_default();
        let (status, length) = (self.status, self.text.len());
        let kind = if self.json { "application/json" } else { "text/plain" };
        format!(
            "HTTP/1.1 {status} {reason}\r\n{allow}Content-Type: {kind}\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n"
        )
        .into_bytes()
    }
}

pub fn understand(head: &[u8], body: &[u8]) -> Result<Call, Said> {
    let mut headers = http::no_headers();
    let mut cmd = httparse::Request::new(&mut headers);
    if cmd.parse(head).is_err() {
        return Err(turned(400, "this is no HTTP/1.1 message"));
    }
    let method = cmd.method.unwrap_or("");
    let path = http::path_of_target(cmd.path.unwrap_or(""));
    let path = path.split('?').next().unwrap_or("");
    let allow = match path {
        "/status" | "/counters" | "/maintenance" | "/fleet" | "/zones" | "/control" => "GET",
        "/maintenance/enter" | "/maintenance/exit" | "/zones/leave" | "/zones/return" => "PUT",
        _ => return Err(turned(404, "no such call")),
    };
    if method != allow {
        return Err(Said { allow: Some(allow), ..turned(405, "the call takes another method") });
    }
    match path {
        "/status" => Ok(Call::Status),
        "/counters" => Ok(Call::Counters),
        "/maintenance" => Ok(Call::WhoIsOut),
        "/fleet" | "/zones" | "/control" => {
            let accepts = cmd.headers.iter().filter(|header| header.name.eq_ignore_ascii_case("accept"));
            let json = accepts.map(|header| header.value).any(|value| holds(value, b"application/json"));
            Ok(match path {
                "/fleet" => Call::Members { json },
                "/zones" => Call::Zones { json },
                _ => Call::Control { json },
            })
        }
        "/zones/leave" | "/zones/return" => {
            let zone = plain(body).ok_or_else(|| turned(400, "the body is no zone's name"))?;
            Ok(Call::Zone { zone, leave: path == "/zones/leave" })
        }
        path => maintenance(body, path == "/maintenance/enter"),
    }
}

fn holds(value: &[u8], part: &[u8]) -> bool {
    value.to_ascii_lowercase().windows(part.len()).any(|window| window == part)
}

fn maintenance(body: &[u8], out: bool) -> Result<Call, Said> {
    let server = plain(body).ok_or_else(|| turned(400, "the body is no endpoint's id"))?;
    Ok(Call::Maintenance { server, out })
}

/// A body that is a plain, short text.
fn plain(body: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(body).map(str::trim).unwrap_or("");
    let plain = (1..=ID_MOST).contains(&text.len()) && !text.chars().any(char::is_control);
    plain.then(|| text.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(line: &str, body: &str) -> Result<Call, u16> {
        understand(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes(), body.as_bytes())
            .map_err(|said| said.status)
    }

    #[test]
    fn calls_are_understood_and_others_are_a_no() {
        let out = |server: &str, out| Ok(Call::Maintenance { server: server.into(), out });
        assert_eq!(told("GET /status", ""), Ok(Call::Status));
        assert_eq!(told("GET /counters", ""), Ok(Call::Counters));
        assert_eq!(told("PUT /counters", ""), Err(405));
        assert_eq!(told("GET http://a:1/status?x", ""), Ok(Call::Status));
        assert_eq!(told("GET /fleet", ""), Ok(Call::Members { json: false }));
        let asks =
            understand(b"GET /fleet HTTP/1.1\r\nAccept: text/html, Application/JSON;q=0.9\r\n\r\n", b"");
        assert_eq!(asks, Ok(Call::Members { json: true }));
        assert_eq!(told("PUT /fleet", ""), Err(405));
        assert_eq!(told("GET /zones", ""), Ok(Call::Zones { json: false }));
        assert_eq!(told("GET /control", ""), Ok(Call::Control { json: false }));
        assert_eq!(told("PUT /control", ""), Err(405));
        let zone = |leave| Ok(Call::Zone { zone: "b".into(), leave });
        assert_eq!(told("PUT /zones/leave", "b\n"), zone(true));
        assert_eq!(told("PUT /zones/return", "b"), zone(false));
        assert_eq!(told("PUT /zones/return", " "), Err(400));
        assert_eq!(told("GET /zones/leave", "b"), Err(405));
        assert_eq!(told("PUT /maintenance/enter", "s1\r\n"), out("s1", true));
        assert_eq!(told("PUT /maintenance/exit", " s1 "), out("s1", false));
        assert_eq!(told("PUT /maintenance/exit", "\n"), Err(400));
        assert_eq!(told("PUT /maintenance/exit", &"s".repeat(257)), Err(400));
        assert_eq!(told("PUT /maintenance", ""), Err(405));
        assert_eq!(told("POST /maintenance/enter", "s1"), Err(405));
        assert_eq!(told("GET /", ""), Err(404));
        let wrong = understand(b"GET /maintenance/exit HTTP/1.1\r\n\r\n", b"").expect_err("a no");
        assert!(String::from_utf8_lossy(&wrong.head()).contains("Allow: PUT\r\n"));
    }
}

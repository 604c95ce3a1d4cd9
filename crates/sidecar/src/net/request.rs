//! Parses the head of a client's message into a request, and builds the heads that are sent to a server and back to the
//! client. Does no I/O.

use super::http::{self, HttpError};
use crate::configuration::RequestClass;
use landingspread_decisions::host::Id;
use std::time::Duration;

/// The largest time limit in `X-Expires-In-Ms`, in milliseconds.
const MAX_TIME_LIMIT_MS: u64 = 3_600_000;
/// The work that a request declares must be below this, in milliseconds.
const MAX_DECLARED_WORK_MS: f64 = 3_600_000.0;
/// The longest valid request id in bytes.
const MAX_ID_LENGTH: usize = 128;

/// An error response to a message that does not reach the decision engine. `reason` is the body, without its line end.
pub struct Rejection {
    pub status: u16,
    pub reason: &'static str,
}

/// Creates a rejection with this status code and body.
pub fn rejection(status: u16, reason: &'static str) -> Rejection {
    Rejection { status, reason }
}

/// A request as parsed from its head.
pub struct Request {
    pub id: Id,
    /// The index of the configured request class.
    pub class: usize,
    /// The index of the configured tenant; one past the last for all other tenants.
    pub tenant: usize,
    /// How long the client waits for the response, counted from the request's last byte.
    pub time_limit: Duration,
    /// The work that the request declares in the cost header.
    pub declared_work: Option<Duration>,
    /// The head of every attempt, without the headers for framing and for the remaining time.
    pub head: Vec<u8>,
}

/// A valid message of a client: a health check of this sidecar, or a request.
pub enum ParsedMessage {
    Health,
    Request(Request),
}

/// Parses heads of requests by the configured request classes and tenants.
pub struct RequestParser {
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<String>,
    /// The name of the header in which a request declares its work, if configured.
    pub cost_header: Option<String>,
}

impl RequestParser {
    /// Parses a head. `time_limits` are the current time limits by request class, for requests that give none.
    pub fn parse(&self, bytes: &[u8], time_limits: &[Duration]) -> Result<ParsedMessage, Rejection> {
        let mut headers = http::empty_headers();
        let mut head = httparse::Request::new(&mut headers);
        if head.parse(bytes).is_err() {
            return Err(rejection(400, "this is no HTTP/1.1 message"));
        }
        let (method, path) = (head.method.unwrap_or(""), http::path_of_target(head.path.unwrap_or("")));
        if method == "GET" && path == "/_health" {
            return Ok(ParsedMessage::Health);
        }
        let (number, class) = self.find_class(method, path)?;
        let header = |name: &str| http::header(head.headers, name);
        if class.idempotency_keyed && header("idempotency-key").is_none_or(str::is_empty) {
            return Err(rejection(400, "a receipted verb needs an Idempotency-Key"));
        }
        let valid_id =
            |id: &&str| (1..=MAX_ID_LENGTH).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
        let id = header("x-trace-id").filter(valid_id);
        let id = id.ok_or(rejection(400, "X-Trace-Id is missing or odd"))?.into();
        let time_limit = match header("x-expires-in-ms").map(str::parse::<u64>) {
            None => time_limits.get(number).copied().unwrap_or(class.time_limit),
            Some(Ok(ms)) if (1..=MAX_TIME_LIMIT_MS).contains(&ms) => Duration::from_millis(ms),
            Some(_) => return Err(rejection(400, "X-Expires-In-Ms is odd")),
        };
        // Tenants that are not configured share the index after the last one.
        let tenant = header("x-customer");
        let tenant = tenant.and_then(|name| self.tenants.iter().position(|known| known == name));
        let tenant = tenant.unwrap_or(self.tenants.len());
        let declared_work = self.cost_header.as_ref().and_then(|name| header(name));
        let declared_work = declared_work.map(read_declared_work).transpose()?;
        let head = outgoing_head(method, path, head.headers);
        Ok(ParsedMessage::Request(Request { id, class: number, tenant, time_limit, declared_work, head }))
    }

    fn find_class(&self, method: &str, path: &str) -> Result<(usize, &RequestClass), Rejection> {
        let name = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
        let class = self.classes.iter().enumerate().find(|(_, class)| class.name == name);
        let (number, class) = class.ok_or(rejection(404, "no such verb"))?;
        if method != class.method {
            return Err(rejection(405, "the verb takes another method"));
        }
        Ok((number, class))
    }
}

fn read_declared_work(text: &str) -> Result<Duration, Rejection> {
    match text.parse::<f64>() {
        Ok(ms) if ms > 0.0 && ms < MAX_DECLARED_WORK_MS => Ok(Duration::from_secs_f64(ms / 1000.0)),
        _ => Err(rejection(400, "the command's cost is odd")),
    }
}

/// The response to a message that could not be read; None if the connection has ended.
pub fn rejection_for(error: HttpError) -> Option<Rejection> {
    match error {
        HttpError::Malformed => Some(rejection(400, "this is no HTTP/1.1 message")),
        HttpError::TooLarge => Some(rejection(413, "a head is too large")),
        HttpError::BodyTooLong => Some(rejection(413, "a body is too long")),
        HttpError::FramingTooLarge => Some(rejection(413, "chunk extensions or trailers are too large")),
        HttpError::TimedOut => Some(rejection(408, "it took too long to come")),
        HttpError::Closed | HttpError::Broken => None,
    }
}

fn add_header(to: &mut Vec<u8>, header: &httparse::Header<'_>) {
    to.extend_from_slice(header.name.as_bytes());
    to.extend_from_slice(b": ");
    to.extend_from_slice(header.value);
    to.extend_from_slice(b"\r\n");
}

fn outgoing_head(method: &str, path: &str, headers: &[httparse::Header<'_>]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    // Each attempt adds this header with its own remaining time.
    let forwarded = |header: &&httparse::Header<'_>| {
        http::is_end_to_end(header.name) && !header.name.eq_ignore_ascii_case("x-expires-in-ms")
    };
    headers.iter().filter(forwarded).for_each(|header| add_header(&mut head, header));
    head
}

/// Builds the head with which a server's 200 response is passed on to the client; `framing` holds the framing headers.
pub fn response_head(from_server: &[u8], framing: &str, keep_alive: bool) -> Vec<u8> {
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let mut head = format!("HTTP/1.1 200 OK\r\n{close}").into_bytes();
    let mut headers = http::empty_headers();
    let mut response = httparse::Response::new(&mut headers);
    // The head was parsed before, when its end was determined, so parsing cannot fail here.
    if response.parse(from_server).is_ok() {
        let forwarded = response.headers.iter().filter(|header| http::is_end_to_end(header.name));
        forwarded.for_each(|header| add_header(&mut head, header));
    }
    head.extend_from_slice(framing.as_bytes());
    head.extend_from_slice(b"\r\n");
    head
}

//! What a client's message asks for, read from its head; and the heads that go out for it, to a server and back to the
//! client. No sockets: bytes in, plain values or bytes out.

use super::http::{self, Bad};
use crate::configuration::RequestClass;
use landingspread_decisions::host::Id;
use std::time::Duration;

const LEFT_MOST_MS: u64 = 3_600_000;
const COST_MOST_MS: f64 = 3_600_000.0;
const ID_MOST: usize = 128;

/// A message that is answered before the decisions hear of it.
pub struct Rejection {
    pub status: u16,
    pub why: &'static str,
}

/// Shorthand for a rejection's two parts.
pub fn rejection(status: u16, why: &'static str) -> Rejection {
    Rejection { status, why }
}

/// A request as its head tells it.
pub struct Request {
    pub id: Id,
    pub verb: usize,
    pub tenant: usize,
    /// How long the client waits, from the request's last byte.
    pub left: Duration,
    /// The work that it is said to take.
    pub cost: Option<Duration>,
    /// The head of each attempt, but for what differs between attempts.
    pub head: Vec<u8>,
}

/// What a message asks for.
pub enum Asked {
    Health,
    Request(Request),
}

/// What the settings say of requests.
pub struct Reader {
    pub verbs: Vec<RequestClass>,
    pub tenants: Vec<String>,
    pub cost_header: Option<String>,
}

impl Reader {
    /// Reads a head; `limits` are the verbs' time limits by now, for requests that tell none of their own.
    pub fn read(&self, bytes: &[u8], limits: &[Duration]) -> Result<Asked, Rejection> {
        let mut headers = http::no_headers();
        let mut head = httparse::Request::new(&mut headers);
        if head.parse(bytes).is_err() {
            return Err(rejection(400, "this is no HTTP/1.1 message"));
        }
        let (method, path) = (head.method.unwrap_or(""), http::path_of(head.path.unwrap_or("")));
        let first = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
        if method == "GET" && path == "/_health" {
            return Ok(Asked::Health);
        }
        let Some((number, verb)) = self.verbs.iter().enumerate().find(|(_, verb)| verb.name == first) else {
            return Err(rejection(404, "no such verb"));
        };
        if method != verb.method {
            return Err(rejection(405, "the verb takes another method"));
        }
        let header = |name: &str| http::header(head.headers, name);
        if verb.idempotency_keyed && header("idempotency-key").is_none_or(str::is_empty) {
            return Err(rejection(400, "a receipted verb needs an Idempotency-Key"));
        }
        let plain = |id: &&str| (1..=ID_MOST).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
        let id = header("x-trace-id").filter(plain);
        let id = id.ok_or(rejection(400, "X-Trace-Id is missing or odd"))?.into();
        let left = match header("x-expires-in-ms").map(str::parse::<u64>) {
            None => limits.get(number).copied().unwrap_or(verb.time_limit),
            Some(Ok(ms)) if (1..=LEFT_MOST_MS).contains(&ms) => Duration::from_millis(ms),
            Some(_) => return Err(rejection(400, "X-Expires-In-Ms is odd")),
        };
        // A tenant that the settings don't name has no share of its own.
        let tenant =
            header("x-customer").and_then(|name| self.tenants.iter().position(|known| known == name));
        let tenant = tenant.unwrap_or(self.tenants.len());
        let cost = match self.cost_header.as_ref().and_then(|name| header(name)).map(str::parse::<f64>) {
            None => None,
            Some(Ok(ms)) if ms > 0.0 && ms < COST_MOST_MS => Some(Duration::from_secs_f64(ms / 1000.0)),
            Some(_) => return Err(rejection(400, "the command's cost is odd")),
        };
        let head = outgoing_head(method, path, head.headers);
        Ok(Asked::Request(Request { id, verb: number, tenant, left, cost, head }))
    }
}

/// What is said of a message that is none; None where its sender has gone.
pub fn rejection_of(bad: Bad) -> Option<Rejection> {
    match bad {
        Bad::Malformed => Some(rejection(400, "this is no HTTP/1.1 message")),
        Bad::TooLarge => Some(rejection(413, "a head is too large")),
        Bad::Late => Some(rejection(408, "it took too long to come")),
        Bad::Ended | Bad::Broken => None,
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
    // Each attempt tells the time that it has itself.
    let passed = |header: &&httparse::Header<'_>| {
        http::passes_on(header.name) && !header.name.eq_ignore_ascii_case("x-expires-in-ms")
    };
    headers.iter().filter(passed).for_each(|header| add_header(&mut head, header));
    head
}

/// The head of an answer as it is passed on to the client.
pub fn answer_head(of: &[u8], framing: &str, keep: bool) -> Vec<u8> {
    let close = if keep { "" } else { "Connection: close\r\n" };
    let mut head = format!("HTTP/1.1 200 OK\r\n{close}").into_bytes();
    let mut headers = http::no_headers();
    let mut rsp = httparse::Response::new(&mut headers);
    // It was parsed once already, when its end was looked for.
    if rsp.parse(of).is_ok() {
        let passed = rsp.headers.iter().filter(|header| http::passes_on(header.name));
        passed.for_each(|header| add_header(&mut head, header));
    }
    head.extend_from_slice(framing.as_bytes());
    head.extend_from_slice(b"\r\n");
    head
}

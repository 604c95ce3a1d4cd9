//! Parses the head of a message: its headers, and the framing of the body that they specify.

use super::body::{BodyDecoder, Framing};
use super::error::HttpError;

/// The most headers in a head; a head with more is rejected.
const MAX_HEADERS: usize = 96;

/// Empty space for the headers of one head, which httparse fills.
pub fn empty_headers<'a>() -> [httparse::Header<'a>; MAX_HEADERS] {
    [httparse::EMPTY_HEADER; MAX_HEADERS]
}

/// The value of a header. A value that is not UTF-8 must not look like a missing header, so it becomes U+FFFD, which no
/// parser here accepts.
fn value_text<'a>(header: &httparse::Header<'a>) -> &'a str {
    std::str::from_utf8(header.value).map_or("\u{fffd}", str::trim)
}

/// The value of the first header with this name, ignoring case.
pub fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(value_text)
}

/// Whether a header is forwarded. Headers that concern one connection or its framing are not.
pub fn is_end_to_end(name: &str) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ];
    !HOP_BY_HOP.iter().any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop))
}

/// The path and query of a request target, which may be in absolute form.
pub fn path_of_target(target: &str) -> &str {
    match target.split_once("://") {
        Some((scheme, rest)) if !scheme.contains('/') => rest.find('/').map_or("/", |at| &rest[at..]),
        _ => target,
    }
}

/// The status code of a response's head.
pub fn status(head: &[u8]) -> Option<u16> {
    let mut headers = empty_headers();
    let mut response = httparse::Response::new(&mut headers);
    response.parse(head).ok()?;
    response.code
}

/// The reason phrase of a status code that this program sends.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        507 => "Insufficient Storage",
        _ => "Service Unavailable",
    }
}

/// Whether these bytes begin with a complete request, including its body.
pub fn is_complete_request(bytes: &[u8]) -> bool {
    let Ok(Some(head)) = ParsedHead::parse_request(bytes) else { return false };
    let body = &bytes[head.length..];
    match head.framing {
        Framing::Length(length) => body.len() >= length,
        Framing::Chunked => {
            matches!(BodyDecoder::new(Framing::Chunked).decode_chunks(&mut body.to_vec(), &mut 0), Ok(true))
        }
        // A request is never framed by the end of its connection.
        Framing::UntilClose => false,
    }
}

/// The properties of a message that its head specifies.
pub(super) struct ParsedHead {
    /// The length of the head in bytes.
    pub(super) length: usize,
    /// The minor version: 0 for HTTP/1.0.
    pub(super) minor: u8,
    pub(super) framing: Framing,
    pub(super) keep_alive: bool,
    pub(super) expects_continue: bool,
    /// Whether this is an interim response (1xx), which a final response follows.
    pub(super) interim: bool,
}

impl ParsedHead {
    fn from_headers(
        length: usize,
        minor: u8,
        headers: &[httparse::Header<'_>],
        default_framing: Framing,
    ) -> Result<ParsedHead, HttpError> {
        let values = |name: &'static str| {
            headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(value_text)
        };
        let contains = |name, word: &str| values(name).any(|text| text.to_ascii_lowercase().contains(word));
        let codings: Vec<&str> = values("transfer-encoding").collect();
        // Identical repeated lengths count as one.
        let mut lengths: Vec<&str> = values("content-length").collect();
        lengths.dedup();
        // Different lengths, a length together with a transfer coding, or a coding that another parser may read
        // differently would allow request smuggling.
        let framing = match (codings.as_slice(), lengths.as_slice()) {
            ([], []) => default_framing,
            ([coding], []) if minor == 1 && coding.eq_ignore_ascii_case("chunked") => Framing::Chunked,
            ([], [length]) if !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit()) => {
                Framing::Length(length.parse().map_err(|_| HttpError::TooLarge)?)
            }
            _ => return Err(HttpError::Malformed),
        };
        let keep_alive =
            minor == 1 && !contains("connection", "close") && !matches!(framing, Framing::UntilClose);
        let expects_continue = contains("expect", "100-continue");
        Ok(ParsedHead { length, minor, framing, keep_alive, expects_continue, interim: false })
    }

    /// Parses a request's head; None while it is incomplete.
    pub(super) fn parse_request(bytes: &[u8]) -> Result<Option<ParsedHead>, HttpError> {
        let mut headers = empty_headers();
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => {
                Self::from_headers(length, head.version.unwrap_or(1), head.headers, Framing::Length(0))
                    .map(Some)
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(httparse::Error::TooManyHeaders) => Err(HttpError::TooLarge),
            Err(_) => Err(HttpError::Malformed),
        }
    }

    /// Parses a response's head; None while it is incomplete.
    pub(super) fn parse_response(bytes: &[u8]) -> Result<Option<ParsedHead>, HttpError> {
        let mut headers = empty_headers();
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => {
                let interim = matches!(head.code, Some(100..200));
                let default_framing = match head.code {
                    Some(100..200 | 204 | 304) => Framing::Length(0),
                    _ => Framing::UntilClose,
                };
                let parsed =
                    Self::from_headers(length, head.version.unwrap_or(1), head.headers, default_framing)?;
                Ok(Some(ParsedHead { interim, ..parsed }))
            }
            Ok(httparse::Status::Partial) => Ok(None),
            Err(_) => Err(HttpError::Malformed),
        }
    }
}

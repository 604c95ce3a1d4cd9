//! Reads what a server's response means: the response to pass on, the attempt's outcome, and the load report in its
//! headers.

use super::pool::{ConnectionPool, Target, UpstreamConnection};
use crate::net::http::{self, HttpError, IncomingMessage};
use crate::net::timeout::timeout;
use landingspread_decisions::host::{Id, LoadReport, Outcome};
use std::rc::Rc;
use std::time::Duration;

/// An exchange is given up if a read of the response or a write of a streamed body makes no progress for this long; a
/// write also if it makes none for the request's time limit.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A 200 response: complete, or the part that has arrived and the connection on which the rest arrives.
pub struct UpstreamResponse {
    pub message: IncomingMessage,
    pub(super) connection: Option<UpstreamConnection>,
    pub(super) from: Target,
    pub(super) pool: Rc<ConnectionPool>,
}

impl UpstreamResponse {
    /// Reads more of the body. The bytes read before must have been taken or discarded.
    pub async fn read_more(&mut self) -> Result<(), HttpError> {
        let Some(connection) = &self.connection else { return Err(HttpError::Closed) };
        let read = self.message.read_more(&connection.stream);
        timeout(STALL_TIMEOUT, read).await.unwrap_or(Err(HttpError::Broken))
    }

    /// The server that sent the response.
    pub fn server(&self) -> &Id {
        &self.from.server
    }

    /// Ends a response that was passed on. Its connection returns to the pool if it may carry another request.
    pub fn finish(self) {
        let reusable = self.message.is_complete() && is_connection_reusable(&self.message);
        if let Some(connection) = self.connection.filter(|_| reusable) {
            self.pool.put_back(&self.from, connection);
        }
    }
}

/// Whether the connection may carry another request after this response, and no bytes followed the response.
pub(super) fn is_connection_reusable(response: &IncomingMessage) -> bool {
    response.keep_alive && response.surplus().is_empty()
}

/// The result of an attempt.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub load: LoadReport,
    pub response: Option<UpstreamResponse>,
    /// Whether a part of the request was sent that cannot be sent again.
    pub consumed: bool,
}

impl AttemptResult {
    /// Creates a result without a response and without a load report.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, load: LoadReport::default(), response: None, consumed: false }
    }
}

/// The outcome and the load report that a response's head gives.
pub(super) fn read_outcome(head: &[u8]) -> (Outcome, LoadReport) {
    let mut headers = http::empty_headers();
    let mut response = httparse::Response::new(&mut headers);
    // The head was parsed before, when its end was determined, so parsing cannot fail here.
    if response.parse(head).is_err() {
        return (Outcome::Error, LoadReport::default());
    }
    let load = http::header(response.headers, "endpoint-load-metrics").map(read_load_report);
    let load = load.unwrap_or_default();
    let never_ran = http::header(response.headers, "x-never-ran") == Some("1");
    let outcome = match response.code {
        Some(200) => Outcome::Ok,
        Some(503 | 504) if never_ran => Outcome::Overloaded,
        _ => Outcome::Error,
    };
    (outcome, load)
}

/// Parses a load report such as `TEXT inflight=7, queue=2, util=0.61`. The names `waiting`, `active` and `cpu`, which
/// the settings use for these values, are accepted too.
pub(super) fn read_load_report(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    for pair in text.split(',') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match key.trim() {
            "queue" | "waiting" => load.queued = value,
            "inflight" | "active" => load.in_flight = value,
            "util" | "cpu" => load.utilization = value,
            _ => {}
        }
    }
    load
}

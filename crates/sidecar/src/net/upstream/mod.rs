//! Sends attempts and health checks to servers. It tracks for each attempt whether the last byte was written, and reads
//! the response. It never sends a message twice, chooses no server, and never returns a connection to the pool whose
//! last response was incomplete.

mod exchange;
mod idle_breaks;
mod outgoing;
mod pool;
mod response;
mod response_digest;

pub use outgoing::{AttemptStage, BodyEvent, OutgoingRequest, StreamedBody};
pub use pool::{ConnectionPool, Target};
pub use response::{AttemptResult, UpstreamResponse};

use super::buffers::{MAX_BUFFERED_BODY, ResourcePool};
use super::http::{self, HttpError, IncomingMessage};
use super::timeout::timeout;
use crate::configuration::Configuration;
use async_io::Timer;
use futures_lite::future::{or, pending};
use landingspread_decisions::host::{LoadReport, Outcome};
use pool::{Purpose, ResponseOrigin, UpstreamConnection};
use response::{is_connection_reusable, read_load_report, read_outcome};
use response_digest::ResponseDigest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a response of unknown length is buffered, in case it is short; after that it is passed on as it arrives.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(50);

/// Sends attempts and health checks to servers.
pub struct UpstreamClient {
    pool: Rc<ConnectionPool>,
    resources: Rc<ResourcePool>,
    /// The path that health checks request: `/ping`, or `/_load`, whose response also reports the load.
    health_path: &'static str,
}

impl UpstreamClient {
    /// Creates a client that uses this pool's connections.
    pub fn new(
        configuration: &Configuration,
        pool: Rc<ConnectionPool>,
        resources: Rc<ResourcePool>,
    ) -> UpstreamClient {
        let health_path = if configuration.policy.health_checks_report_load { "/_load" } else { "/ping" };
        UpstreamClient { pool, resources, health_path }
    }

    /// Sends the request once and waits for the result, until `deadline` at most. For a streamed body, the deadline
    /// that arrives with the end of the body replaces it.
    pub async fn attempt(
        self: &Rc<Self>,
        to: &Target,
        request: &OutgoingRequest,
        number: u32,
        deadline: Instant,
        stage: &Cell<AttemptStage>,
    ) -> AttemptResult {
        let response_due = Cell::new(deadline);
        let timed_out = async {
            Timer::at(deadline).await;
            let written = stage.get() == AttemptStage::Written;
            AttemptResult::without_response(if written { Outcome::Timeout } else { Outcome::ConnectFailed })
        };
        let exchange = self.exchange(to, request, number, &response_due, stage);
        let result = if request.rest.is_none() { or(exchange, timed_out).await } else { exchange.await };
        AttemptResult { consumed: !request.can_be_sent_again(), ..result }
    }

    async fn exchange(
        self: &Rc<Self>,
        to: &Target,
        request: &OutgoingRequest,
        number: u32,
        response_due: &Cell<Instant>,
        stage: &Cell<AttemptStage>,
    ) -> AttemptResult {
        let may_start = || request.begin_attempt(number, to.location);
        let write = async |connection: &UpstreamConnection, last_byte_written: &Cell<bool>| {
            stage.set(AttemptStage::Started);
            let on_last_byte = || {
                last_byte_written.set(true);
                stage.set(AttemptStage::Written);
            };
            let head = exchange::head_with_time(request, response_due.get());
            exchange::write_request(connection, &head, request, response_due, &on_last_byte).await
        };
        let after_write = async || {
            streamed_body_late(request, response_due).await;
            Outcome::Timeout
        };
        let (pool, resources) = (&self.pool, &self.resources);
        let purpose = if request.run_once { Purpose::RunOnceRequest } else { Purpose::RetryableRequest };
        let sent = exchange::send_once(pool, resources, to, purpose, may_start, write, after_write).await;
        match sent {
            Ok((message, connection)) => {
                self.read_response(to, request, response_due, message, connection).await
            }
            Err(outcome) => AttemptResult::without_response(outcome),
        }
    }

    /// Reads the rest of a response whose head has arrived.
    async fn read_response(
        &self,
        to: &Target,
        request: &OutgoingRequest,
        response_due: &Cell<Instant>,
        mut message: IncomingMessage,
        connection: UpstreamConnection,
    ) -> AttemptResult {
        let (outcome, load) = read_outcome(&message.head);
        let is_ok = outcome == Outcome::Ok;
        let timed_out = async {
            streamed_body_late(request, response_due).await;
            Err(HttpError::Broken)
        };
        match or(self.buffer_response(to, &mut message, connection, is_ok), timed_out).await {
            Ok(connection) => {
                let pool = self.pool.clone();
                let response = || UpstreamResponse { message, connection, from: to.clone(), pool };
                let response = is_ok.then(response);
                AttemptResult { load, response, ..AttemptResult::without_response(outcome) }
            }
            Err(error) => {
                tracing::debug!("no response from server {}: {error}", to.server);
                // A status other than 200 gives the outcome even if the rest of the response is missing.
                AttemptResult::without_response(if is_ok { Outcome::Reset } else { outcome })
            }
        }
    }

    /// Reads a response to its end if it is short enough, and returns its connection to the pool. If it is longer and
    /// to be `forwarded`, returns the connection on which the rest of it arrives.
    async fn buffer_response(
        &self,
        to: &Target,
        message: &mut IncomingMessage,
        mut connection: UpstreamConnection,
        forwarded: bool,
    ) -> Result<Option<UpstreamConnection>, HttpError> {
        let long = message.length().is_some_and(|length| length > MAX_BUFFERED_BODY as u64);
        let buffered = match message.length() {
            _ if long => None,
            Some(_) => {
                Some(message.read_to_end(&connection.stream, &self.resources, MAX_BUFFERED_BODY).await)
            }
            None => {
                let read = message.read_to_end(&connection.stream, &self.resources, MAX_BUFFERED_BODY);
                timeout(BUFFER_TIMEOUT, read).await
            }
        };
        let digest = ResponseDigest::of(message);
        match self.pool.record_response(&to.server, &mut connection, digest, forwarded) {
            ResponseOrigin::Own => {}
            ResponseOrigin::Uncertain => message.keep_alive = false,
            ResponseOrigin::LateCopy => {
                tracing::debug!("server {} sent a late copy of an earlier response", to.server);
                return Err(HttpError::Broken);
            }
        }
        match buffered {
            Some(Ok(())) => {
                if is_connection_reusable(message) {
                    self.pool.put_back(to, connection);
                } else if !message.surplus().is_empty() {
                    self.pool.record_surplus(&to.server);
                }
                Ok(None)
            }
            Some(Err(HttpError::TooLarge)) | None if forwarded => Ok(Some(connection)),
            Some(Err(error)) => Err(error),
            None => Ok(None),
        }
    }

    /// Checks a server's health. Reads its load report if the health check requests one.
    pub async fn check_health(&self, to: &Target) -> (Outcome, LoadReport) {
        let timed_out = (Outcome::Timeout, LoadReport::default());
        timeout(HEALTH_CHECK_TIMEOUT, self.request_health(to)).await.unwrap_or(timed_out)
    }

    async fn request_health(&self, to: &Target) -> (Outcome, LoadReport) {
        let path = self.health_path;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", to.address);
        let write = async |connection: &UpstreamConnection, last_byte_written: &Cell<bool>| {
            let written = http::write(&connection.stream, head.as_bytes(), b"").await;
            written.map_err(|_| Outcome::ConnectFailed)?;
            last_byte_written.set(true);
            Ok(())
        };
        let after_write = async || pending().await;
        let (pool, resources) = (&self.pool, &self.resources);
        let sent =
            exchange::send_once(pool, resources, to, Purpose::HealthCheck, || true, write, after_write).await;
        let (mut response, connection) = match sent {
            Ok(response) => response,
            Err(outcome) => return (outcome, LoadReport::default()),
        };
        if self.buffer_response(to, &mut response, connection, false).await.is_err() {
            return (Outcome::Reset, LoadReport::default());
        }
        let load = std::str::from_utf8(&response.body_bytes()).map(read_load_report).unwrap_or_default();
        match http::status(&response.head) {
            Some(200) => (Outcome::Ok, load),
            Some(503) => (Outcome::Overloaded, load),
            _ => (Outcome::Error, LoadReport::default()),
        }
    }
}

/// Returns when the response to a streamed body is late; never for a buffered body, whose deadline is fixed from the
/// start.
async fn streamed_body_late(request: &OutgoingRequest, response_due: &Cell<Instant>) {
    match &request.rest {
        None => pending().await,
        Some(_) => {
            Timer::at(response_due.get()).await;
        }
    }
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;

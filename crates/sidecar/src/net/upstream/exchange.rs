//! One exchange with a server: writes the request once, and awaits the response at the same time.

use super::outgoing::{BodyEvent, OutgoingRequest, StreamedBody};
use super::pool::{ConnectionPool, Purpose, Target, UpstreamConnection};
use crate::net::buffers::ResourcePool;
use crate::net::executor::until_operation_allowed;
use crate::net::http::{self, BodyEncoding, BodyPart, HttpError, IncomingMessage};
use crate::net::timeout::timeout;
use async_io::Timer;
use futures_lite::future::or;
use landingspread_decisions::host::Outcome;
use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a response is awaited after a write failed, as the server may have sent it before the connection broke.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);

/// How often a write that waits is tried again. The system reports a socket as writable only once a third of its buffer
/// is free, for which a slow server may need seconds.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Writes one message to a server and reads the head of the response. `write` builds the message once there is a
/// connection, as the remaining time shrinks while the connection is established, and sets the cell when the last byte
/// is written. If the server responds before the message is complete, nothing has run and the connection is not used
/// again.
pub(super) async fn send_once(
    pool: &ConnectionPool,
    resources: &Rc<ResourcePool>,
    to: &Target,
    purpose: Purpose,
    may_start: impl FnOnce() -> bool,
    write: impl AsyncFnOnce(&UpstreamConnection, &Cell<bool>) -> Result<(), Outcome>,
    after_write: impl AsyncFnOnce() -> Outcome,
) -> Result<(IncomingMessage, UpstreamConnection), Outcome> {
    let (connection, idle) = pool.connection(to, purpose).await?;
    // Nothing may come between the check and the first write, so a yield that is due precedes the check.
    until_operation_allowed().await;
    if !may_start() {
        pool.put_back(to, connection);
        return Err(Outcome::NotSent);
    }
    let buffer = resources.buffer().ok_or(Outcome::NotSent)?;
    let last_byte_written = Cell::new(false);
    let writes = async {
        let failure = match write(&connection, &last_byte_written).await {
            Ok(()) => return Err(after_write().await),
            Err(failure) => failure,
        };
        Timer::after(LAST_RESPONSE_TIMEOUT).await;
        // A message that was written to its last byte may have run, whatever ended the attempt.
        Err(if last_byte_written.get() && failure.never_ran() { Outcome::Reset } else { failure })
    };
    let reads = async { Ok(IncomingMessage::read_response(&connection.stream, buffer).await) };
    let response = or(writes, reads).await?;
    if let Some(idle) = idle {
        let broke = matches!(response, Err(HttpError::Closed | HttpError::Broken));
        pool.record_reuse(idle, broke);
    }
    match response {
        // The response began before the message was complete: it is a late duplicate of another request's response.
        Ok(message) if !last_byte_written.get() && http::status(&message.head) == Some(200) => {
            Err(Outcome::ConnectFailed)
        }
        Ok(mut message) => {
            message.keep_alive &= last_byte_written.get();
            Ok((message, connection))
        }
        Err(error) => {
            tracing::debug!("no response from server {}: {error}", to.server);
            Err(if last_byte_written.get() { Outcome::Reset } else { Outcome::ConnectFailed })
        }
    }
}

/// The head of one attempt: the request's head and the remaining time. For a streamed body this is the full time limit,
/// which counts from the last byte.
pub(super) fn head_with_time(request: &OutgoingRequest, response_due: Instant) -> Vec<u8> {
    let remaining = response_due.saturating_duration_since(Instant::now());
    let remaining = request.rest.as_ref().map_or(remaining, |rest| rest.time_limit).as_millis();
    [&request.head[..], format!("X-Expires-In-Ms: {remaining}\r\n\r\n").as_bytes()].concat()
}

/// Writes a request. The rest of a streamed body is written as it arrives.
pub(super) async fn write_request(
    connection: &UpstreamConnection,
    head: &[u8],
    request: &OutgoingRequest,
    response_due: &Cell<Instant>,
    on_last_byte: &dyn Fn(),
) -> Result<(), Outcome> {
    let buffered = request.body.iter().map(BodyPart::bytes);
    let Some(rest) = &request.rest else {
        let written = http::write_body_part(&connection.stream, head, buffered, BodyEncoding::Identity).await;
        written.map_err(|_| Outcome::ConnectFailed)?;
        on_last_byte();
        return Ok(());
    };
    let buffered_len: usize = request.body.iter().map(|part| part.bytes().len()).sum();
    let write = http::write_body_part(&connection.stream, head, buffered, rest.encoding);
    write_in_time(rest.stall_timeout(), write).await?;
    write_rest(connection, rest, buffered_len, response_due, on_last_byte).await
}

/// Writes the rest of a streamed body as the client side passes it on.
async fn write_rest(
    connection: &UpstreamConnection,
    rest: &StreamedBody,
    buffered_len: usize,
    response_due: &Cell<Instant>,
    on_last_byte: &dyn Fn(),
) -> Result<(), Outcome> {
    let mut missing = rest.length.map(|length| length.saturating_sub(buffered_len as u64));
    loop {
        match rest.events.recv().await {
            Ok(BodyEvent::Part { part, return_buffer }) => {
                rest.consumed.set(true);
                let bytes = std::iter::once(part.bytes());
                let write = http::write_body_part(&connection.stream, b"", bytes, rest.encoding);
                write_in_time(rest.stall_timeout(), write).await?;
                missing = missing.map(|missing| missing.saturating_sub(part.bytes().len() as u64));
                if let Some(return_buffer) = return_buffer {
                    // The client side may have left in the meantime, and the buffer returns to its pool.
                    let _ = return_buffer.try_send(part.into_buffer());
                }
                // The server may respond before the client side reports that this was the last part.
                if missing == Some(0) {
                    on_last_byte();
                }
            }
            Ok(BodyEvent::Complete(due)) => {
                rest.consumed.set(true);
                let write = http::write_body_end(&connection.stream, rest.encoding);
                write_in_time(rest.stall_timeout(), write).await?;
                on_last_byte();
                response_due.set(due);
                return Ok(());
            }
            // The client has left: this attempt is about to be cancelled.
            Err(_) => return Err(Outcome::NotSent),
        }
    }
}

/// Completes a write of a part of a body, which fails if it takes longer than `limit`.
async fn write_in_time(limit: Duration, write: impl Future<Output = io::Result<()>>) -> Result<(), Outcome> {
    let deadline = Instant::now() + limit;
    let mut write = pin!(write);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(Outcome::ConnectFailed);
        }
        // The end of the timeout polls the write again.
        let written = timeout(remaining.min(WRITE_RETRY_INTERVAL), &mut write).await;
        if let Some(written) = written {
            return written.map_err(|_| Outcome::ConnectFailed);
        }
    }
}

//! Reads a request: its head, and its body as far as it is buffered.

use super::state::{ClientSide, FIRST_REQUEST_TIMEOUT, PartialRequest, WRITE_TIMEOUT};
use crate::counters::{self, CloseReason, RefusalReason};
use crate::net::buffers::{BUFFER_SIZE, Buffer, MAX_BUFFERED_BODY};
use crate::net::http::{self, HttpError, IncomingMessage};
use crate::net::read_ahead::ReadAhead;
use crate::net::request::{ParsedMessage, Rejection, rejection, rejection_for};
use crate::net::timeout::timeout;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// How long the head of a client's later requests may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a body may take to be buffered, and again to be passed on; the request has no other deadline until then.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(900);
/// A client that sends nothing for this long within a request counts as stopped: it must get a response within 3 s.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(2300);
/// The stall timeout of a new client once `FIRST_REQUEST_TIMEOUT` has elapsed.
const LATE_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why no valid message was read.
enum ReadError {
    /// No response is sent: the client has left, or its connection is closed to free a socket.
    NoResponse(CloseReason),
    Rejected(Rejection),
}

impl From<HttpError> for ReadError {
    fn from(error: HttpError) -> ReadError {
        rejection_for(error)
            .map_or(ReadError::NoResponse(CloseReason::ClientDisconnected), ReadError::Rejected)
    }
}

/// Registers a new client's partial request as one that may be closed to free a socket, until the guard is dropped.
struct PartialRequestGuard<'a> {
    clients: &'a ClientSide,
    number: u64,
    last_read: Rc<Cell<Duration>>,
    closed: Receiver<()>,
}

impl<'a> PartialRequestGuard<'a> {
    fn register(clients: &'a ClientSide) -> PartialRequestGuard<'a> {
        let (close, closed) = async_channel::bounded(1);
        let (number, last_read) = (clients.next_number(), Rc::new(Cell::new(clients.clock.now())));
        let partial = PartialRequest { last_read: last_read.clone(), close };
        clients.partial_requests.borrow_mut().insert(number, partial);
        PartialRequestGuard { clients, number, last_read, closed }
    }
}

impl Drop for PartialRequestGuard<'_> {
    fn drop(&mut self) {
        self.clients.partial_requests.borrow_mut().remove(&self.number);
    }
}

impl ClientSide {
    /// Reads a message, and rejects an invalid one. The error is the reason to close the connection.
    pub(super) async fn read_or_reject(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
        connected_at: Option<Duration>,
    ) -> Result<(IncomingMessage, ParsedMessage), CloseReason> {
        let read = async {
            match connected_at {
                Some(connected_at) => self.read_first_request(stream, buffer, connected_at).await,
                None => self.read_request(stream, buffer, None, &Cell::new(self.clock.now())).await,
            }
        };
        let reading_closed = async {
            self.reading.closed().await;
            Err(ReadError::Rejected(rejection(503, "ending")))
        };
        match or(read, reading_closed).await {
            Ok(read) => Ok(read),
            Err(ReadError::NoResponse(reason)) => Err(reason),
            Err(ReadError::Rejected(rejected)) => {
                let shutdown = self.reading.is_closed();
                let refusal = if shutdown { RefusalReason::Shutdown } else { RefusalReason::BadRequest };
                counters::request_refused("", refusal);
                let _ = self.reject(stream, &rejected, false).await;
                Err(if shutdown { CloseReason::Shutdown } else { CloseReason::BadRequest })
            }
        }
    }

    /// Reads a new client's first request. In the meantime its connection may be closed to free a socket.
    async fn read_first_request(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
        connected_at: Duration,
    ) -> Result<(IncomingMessage, ParsedMessage), ReadError> {
        let partial = PartialRequestGuard::register(self);
        let closed = async {
            let _ = partial.closed.recv().await;
            tracing::debug!("client connection with a partial request closed to make room");
            Err(ReadError::NoResponse(CloseReason::ResourcesExhausted))
        };
        or(self.read_request(stream, buffer, Some(connected_at), &partial.last_read), closed).await
    }

    /// Reads a complete request, or the beginning of one that is too long to be buffered. Sets `last_read` whenever
    /// bytes arrive.
    async fn read_request(
        &self,
        stream: &Async<TcpStream>,
        buffer: Buffer,
        connected_at: Option<Duration>,
        last_read: &Cell<Duration>,
    ) -> Result<(IncomingMessage, ParsedMessage), ReadError> {
        let on_read = || last_read.set(self.clock.now());
        let head = async {
            let limit = connected_at.map_or(HEAD_TIMEOUT, |at| self.first_request_time_left(at));
            let head = IncomingMessage::read_request(stream, buffer, &on_read);
            timeout(limit, head).await.unwrap_or(Err(HttpError::TimedOut))
        };
        let mut message = or(head, self.stalled(last_read, connected_at)).await?;
        let parsed = self.parser.parse(&message.head, &self.time_limits.borrow());
        let parsed = parsed.map_err(ReadError::Rejected)?;
        message.limit_body(self.max_body_bytes)?;
        if matches!(parsed, ParsedMessage::Request(_)) && !message.is_complete() {
            let body = self.buffer_body(stream, &mut message, &on_read);
            let body = async { timeout(BODY_TIMEOUT, body).await.unwrap_or(Err(HttpError::TimedOut)) };
            or(body, self.stalled(last_read, connected_at)).await?;
        }
        Ok((message, parsed))
    }

    /// Returns an error once the client counts as stopped: it has sent nothing for its stall timeout.
    async fn stalled<T>(
        &self,
        last_read: &Cell<Duration>,
        connected_at: Option<Duration>,
    ) -> Result<T, HttpError> {
        loop {
            let stalled_at = last_read.get() + STALL_TIMEOUT;
            // A new client has a time limit for its whole request, after which it may continue as long as bytes keep
            // arriving within the shorter `LATE_STALL_TIMEOUT`.
            let until = connected_at.map_or(stalled_at, |connected_at| {
                stalled_at
                    .min((connected_at + FIRST_REQUEST_TIMEOUT).max(last_read.get() + LATE_STALL_TIMEOUT))
            });
            let remaining = until.saturating_sub(self.clock.now());
            if remaining.is_zero() {
                return Err(HttpError::TimedOut);
            }
            Timer::after(remaining).await;
        }
    }

    /// Reads a body that is short enough to be buffered to its end, and only the beginning of a longer one.
    async fn buffer_body(
        &self,
        stream: &Async<TcpStream>,
        message: &mut IncomingMessage,
        on_read: &dyn Fn(),
    ) -> Result<(), HttpError> {
        if message.expects_continue {
            let proceed = http::write(stream, b"HTTP/1.1 100 Continue\r\n\r\n", b"");
            timeout(WRITE_TIMEOUT, proceed).await.unwrap_or(Ok(()))?;
        }
        let long = message.length().is_some_and(|length| length > MAX_BUFFERED_BODY as u64);
        let max = if long { BUFFER_SIZE } else { MAX_BUFFERED_BODY };
        while !message.is_complete() && message.ensure_space(&self.resources, max) {
            message.read_more(stream).await?;
            on_read();
        }
        Ok(())
    }

    /// Whether the connection stays open after the response to this message; the error is the reason to close it. If
    /// another complete request is stored, it stays open unless the client asked to close.
    pub(super) fn may_keep_alive(
        &self,
        message: &IncomingMessage,
        on_spare_permit: bool,
        read_ahead: &ReadAhead,
    ) -> Result<(), CloseReason> {
        match () {
            () if !message.is_complete() => Err(CloseReason::BadRequest),
            () if !message.keep_alive => Err(CloseReason::ClientRequested),
            () if read_ahead.has_complete_request() => Ok(()),
            () if self.closing_connections.get() => Err(CloseReason::Shutdown),
            () if on_spare_permit || read_ahead.has_overflowed() => Err(CloseReason::ResourcesExhausted),
            () => Ok(()),
        }
    }
}

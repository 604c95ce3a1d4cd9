//! Serves one request: passes it to the owner, passes on the rest of a long body as it arrives, and awaits and writes
//! the final response.

use super::read::{BODY_TIMEOUT, STALL_TIMEOUT};
use super::state::ClientSide;
use crate::counters::{self, CloseReason, RefusalReason};
use crate::net::attempts::{AttemptGuard, RetryRule};
use crate::net::http::{BodyEncoding, HttpError, IncomingMessage};
use crate::net::leaving::{self, ClientPresence};
use crate::net::owner::{Event, FinalResponse, IncomingRequest};
use crate::net::read_ahead::ReadAhead;
use crate::net::request::{Request, rejection_for};
use crate::net::timeout::timeout;
use crate::net::upstream::{BodyEvent, OutgoingRequest, StreamedBody};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future::{or, pending};
use landingspread_decisions::host::{Id, RequestArrival};
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// A long body while the rest of it is passed on.
struct BodyUpload {
    id: Id,
    number: u64,
    /// How long the client waits for the response after the last byte has arrived.
    time_limit: Duration,
    events: Sender<BodyEvent>,
}

impl ClientSide {
    /// Answers a request. `message` is complete, or too long to be buffered; then the rest of it is passed on as it
    /// arrives. `arrived_at` is the arrival time of the last byte that was read. The error is the reason to close the
    /// connection.
    pub(super) async fn serve_request(
        &self,
        stream: &Rc<Async<TcpStream>>,
        request: Request,
        mut message: IncomingMessage,
        arrived_at: Duration,
        on_spare_permit: bool,
        read_ahead: &ReadAhead,
    ) -> Result<(), CloseReason> {
        counters::request_accepted();
        let (complete, number) = (message.is_complete(), self.next_number());
        // The time limit of a request counts from its last byte.
        let deadline = if complete {
            self.deadline(arrived_at, request.time_limit)
        } else {
            self.clock.now() + BODY_TIMEOUT
        };
        let (id, class, time_limit) = (request.id.clone(), request.class, request.time_limit);
        let arrival = RequestArrival {
            id: id.clone(),
            class,
            deadline,
            body_incomplete: !complete,
            tenant: request.tenant,
            declared_work: request.declared_work,
        };
        let (events, body_events) = async_channel::bounded(1);
        let outgoing = self.outgoing_request(stream, request, &mut message, body_events);
        let (responder, response) = async_channel::bounded(1);
        let incoming = IncomingRequest { number, arrival, outgoing, responder };
        self.queue.push(Event::RequestArrived(Box::new(incoming)));
        let upload = BodyUpload { id: id.clone(), number, time_limit, events };
        let response = async { response.recv().await.map_err(|_| HttpError::Closed) };
        let client_left = self.until_client_left(stream, &mut message, complete, &upload, read_ahead);
        let response = match or(response, client_left).await {
            Ok(response) => response,
            Err(error) => return Err(self.request_aborted(stream, id, number, error).await),
        };
        let keep_alive = self.may_keep_alive(&message, on_spare_permit, read_ahead);
        let written = self.write_final(stream, response, class, keep_alive, message.http_minor).await;
        let outcome = written.and(keep_alive);
        // After an incomplete response, or with the client gone, there is no response that a reset could discard.
        if !matches!(outcome, Ok(()) | Err(CloseReason::ResponseBroken | CloseReason::ClientDisconnected)) {
            self.linger(stream).await;
        }
        outcome
    }

    /// The deadline of a request whose last byte arrived at `arrived_at`, no later than the shutdown deadline.
    fn deadline(&self, arrived_at: Duration, time_limit: Duration) -> Duration {
        let deadline = arrived_at + time_limit;
        self.shutdown_deadline.get().map_or(deadline, |shutdown| shutdown.min(deadline))
    }

    /// Builds the request as its attempts send it, with the part of the body that has arrived, which is taken out of
    /// `message`.
    fn outgoing_request(
        &self,
        stream: &Rc<Async<TcpStream>>,
        request: Request,
        message: &mut IncomingMessage,
        events: Receiver<BodyEvent>,
    ) -> OutgoingRequest {
        let Request { id, class, time_limit, mut head, .. } = request;
        let complete = message.is_complete();
        let run_once = !complete || self.parser.classes[class].method != "GET";
        let (encoding, framing) = match message.length() {
            Some(0) if self.parser.classes[class].method == "GET" => (BodyEncoding::Identity, String::new()),
            Some(length) => (BodyEncoding::Identity, format!("Content-Length: {length}\r\n")),
            None => (BodyEncoding::Chunked, "Transfer-Encoding: chunked\r\n".to_string()),
        };
        head.extend_from_slice(framing.as_bytes());
        let body = message.take_parts(&self.resources);
        let rest = (!complete).then(|| StreamedBody {
            events,
            encoding,
            length: message.length(),
            time_limit,
            consumed: Cell::new(false),
        });
        let rule = self.retry_rules[class];
        let guard = AttemptGuard::new(RetryRule { hedging: rule.hedging && complete, ..rule });
        OutgoingRequest { id, head, body, rest, run_once, client: ClientPresence::of(stream), guard }
    }

    /// Passes on the rest of the body, if any, and then watches the connection. Returns only with an error: when the
    /// client has left, or when its body cannot be read.
    async fn until_client_left(
        &self,
        stream: &Rc<Async<TcpStream>>,
        message: &mut IncomingMessage,
        complete: bool,
        upload: &BodyUpload,
        read_ahead: &ReadAhead,
    ) -> Result<FinalResponse, HttpError> {
        if !complete {
            let reading_closed = async {
                self.reading.closed().await;
                Err(HttpError::TimedOut)
            };
            let rest = async {
                let rest = timeout(BODY_TIMEOUT, self.pass_on_body(stream, message, upload, read_ahead));
                rest.await.unwrap_or(Err(HttpError::TimedOut))
            };
            let arrived_at = or(rest, reading_closed).await?;
            let deadline = self.deadline(arrived_at, upload.time_limit);
            self.queue.push(Event::BodyComplete(upload.id.clone(), upload.number, deadline));
            let end = async {
                // Sending fails if the request has finished, as nothing receives it then.
                let _ = upload.events.send(BodyEvent::Complete(self.clock.instant(deadline))).await;
                Ok(())
            };
            or(end, client_disconnected(stream)).await?;
        }
        // During a shutdown nothing more is read, as each request that is read must get a response.
        read_ahead.until_disconnected(stream, || !self.closing_connections.get()).await;
        Err(HttpError::Closed)
    }

    /// Handles a client that has left or whose body cannot be read. Returns the reason to close the connection.
    async fn request_aborted(
        &self,
        stream: &Async<TcpStream>,
        id: Id,
        number: u64,
        error: HttpError,
    ) -> CloseReason {
        self.queue.push(Event::ClientLeft(id.clone(), number));
        let Some(rejected) = rejection_for(error) else { return CloseReason::ClientDisconnected };
        counters::request_refused(&id, RefusalReason::BadRequest);
        let _ = self.reject(stream, &rejected, false).await;
        CloseReason::BadRequest
    }

    /// Passes on the rest of a body part by part, as fast as an attempt accepts it. Returns the arrival time of the
    /// last byte. If no part is accepted for the request's time limit, reports this to the owner, and returns only once the
    /// client has left.
    async fn pass_on_body(
        &self,
        stream: &Async<TcpStream>,
        message: &mut IncomingMessage,
        upload: &BodyUpload,
        read_ahead: &ReadAhead,
    ) -> Result<Duration, HttpError> {
        let mut arrived_at = self.clock.now();
        loop {
            // While no part is accepted nothing is read, so reading would not detect that the client has left.
            let pass_on = async {
                let pass_on = self.pass_on_parts(message, &upload.events);
                Ok(timeout(upload.time_limit, pass_on).await.is_some())
            };
            let left = async { client_disconnected(stream).await.map(|()| false) };
            if !or(pass_on, left).await? {
                self.queue.push(Event::BodyStalled(upload.id.clone(), upload.number));
                client_disconnected(stream).await?;
            }
            if message.is_complete() {
                return Ok(arrived_at);
            }
            let read = timeout(STALL_TIMEOUT, message.read_more(stream)).await;
            read.unwrap_or(Err(HttpError::TimedOut))?;
            let surplus = if message.is_complete() { message.surplus().len() } else { 0 };
            arrived_at = read_ahead.record_message(message.take_bytes_read(), surplus);
            if message.is_complete() {
                read_ahead.store(message.surplus());
                message.drop_surplus();
            }
        }
    }

    /// Passes on the parts that have arrived. Returns once `message` can be read on: if there is no other buffer for
    /// that, when an attempt has written the last part and returns its buffer.
    async fn pass_on_parts(&self, message: &mut IncomingMessage, events: &Sender<BodyEvent>) {
        for part in message.take_parts(&self.resources) {
            send_event(events, BodyEvent::Part { part, return_buffer: None }).await;
        }
        if let Some(part) = message.take_buffer(&self.resources) {
            let (return_buffer, returned) = async_channel::bounded(1);
            send_event(events, BodyEvent::Part { part, return_buffer: Some(return_buffer) }).await;
            match returned.recv().await {
                Ok(buffer) => message.continue_in(buffer),
                // The attempt has failed within the body, so the request's final response is on its way.
                Err(_) => pending().await,
            }
        }
    }
}

/// Passes an event on to the attempt that sends the body. Never returns if the request has finished, as its final
/// response is on its way.
async fn send_event(events: &Sender<BodyEvent>, event: BodyEvent) {
    if events.send(event).await.is_err() {
        pending::<()>().await;
    }
}

/// Returns an error when the client's connection has ended, as detected without reading from it.
async fn client_disconnected(stream: &Async<TcpStream>) -> Result<(), HttpError> {
    leaving::until_disconnected(stream).await;
    Err(HttpError::Closed)
}

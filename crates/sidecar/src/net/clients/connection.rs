//! One client's connection: waits for a request, answers it, and repeats this until there is a reason to close.

use super::state::ClientSide;
use crate::counters::{self, CloseReason, RefusalReason};
use crate::invariants::must_hold;
use crate::net::buffers::SocketPermit;
use crate::net::read_ahead::ReadAhead;
use crate::net::request::{ParsedMessage, rejection};
use async_io::Async;
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Counts a request as open until the guard is dropped.
struct OpenRequestGuard<'a>(&'a Cell<usize>);

impl<'a> OpenRequestGuard<'a> {
    fn new(open_requests: &'a Cell<usize>) -> OpenRequestGuard<'a> {
        open_requests.set(open_requests.get() + 1);
        OpenRequestGuard(open_requests)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ClientSide {
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        _permit: SocketPermit,
        on_spare_permit: bool,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let mut connected_at = Some(self.clock.now());
        let read_ahead = ReadAhead::new(&self.resources, &self.clock);
        let reason = loop {
            if read_ahead.is_empty()
                && let Err(reason) = self.wait_for_request(&stream, connected_at).await
            {
                break reason;
            }
            if let Err(reason) = self.serve_message(&stream, connected_at, on_spare_permit, &read_ahead).await
            {
                break reason;
            }
            connected_at = None;
        };
        // A client that has left or asked to close expects no response, and none can follow an invalid request or an
        // incomplete response.
        let answer_owed = !matches!(
            reason,
            CloseReason::ClientDisconnected
                | CloseReason::ClientRequested
                | CloseReason::BadRequest
                | CloseReason::ResponseBroken
        );
        must_hold!(
            Closing,
            !(answer_owed && read_ahead.has_complete_request()),
            "connection closed as {} with a complete request unanswered",
            reason.name()
        );
        counters::connection_closed(reason);
    }

    /// Reads the next message and answers it. `connected_at` is set for the first message of a new client. The error is
    /// the reason to close the connection.
    async fn serve_message(
        &self,
        stream: &Rc<Async<TcpStream>>,
        connected_at: Option<Duration>,
        on_spare_permit: bool,
        read_ahead: &ReadAhead,
    ) -> Result<(), CloseReason> {
        let Some(buffer) = read_ahead.take().or_else(|| self.resources.buffer()) else {
            let _ = self.reject(stream, &rejection(503, "no buffer is free"), false).await;
            counters::request_refused("", RefusalReason::NoBuffer);
            return Err(CloseReason::ResourcesExhausted);
        };
        let (mut message, parsed) = self.read_or_reject(stream, buffer, connected_at).await?;
        let surplus = if message.is_complete() { message.surplus().len() } else { 0 };
        let arrived_at = read_ahead.record_message(message.take_bytes_read(), surplus);
        if message.is_complete() {
            read_ahead.store(message.surplus());
            message.drop_surplus();
        }
        let keep_alive = self.may_keep_alive(&message, on_spare_permit, read_ahead);
        let outcome = match parsed {
            ParsedMessage::Health if self.shutdown_deadline.get().is_some() => {
                let _ = self.reject(stream, &rejection(503, "ending"), false).await;
                Err(CloseReason::Shutdown)
            }
            ParsedMessage::Health => {
                let written = self.write_short(stream, 200, b"", b"ready\n", keep_alive.is_ok()).await;
                self.start.health_check_answered();
                written.and(keep_alive)
            }
            ParsedMessage::Request(request)
                if on_spare_permit || self.open_requests.get() >= self.max_open_requests =>
            {
                counters::request_refused(&request.id, RefusalReason::ResourcesExhausted);
                let too_many = rejection(503, "too many commands are open");
                self.reject(stream, &too_many, keep_alive.is_ok()).await.and(keep_alive)
            }
            ParsedMessage::Request(request) => {
                let _open = OpenRequestGuard::new(&self.open_requests);
                self.serve_request(stream, request, message, arrived_at, on_spare_permit, read_ahead).await
            }
        };
        if read_ahead.has_overflowed() { outcome.and(Err(CloseReason::ResourcesExhausted)) } else { outcome }
    }
}

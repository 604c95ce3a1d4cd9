//! The connections of sidecars, operators and other machines. A connection whose poll waits holds no buffer.

use super::Server;
use super::reply::Reply;
use crate::net::executor::Executor;
use crate::net::http::{self, IncomingMessage};
use crate::net::socket;
use crate::net::timeout::timeout;
use async_io::{Async, Timer};
use landingspread_control::MAX_DELTA_BYTES;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The maximum time to read a request after its first byte, and the maximum time to write the reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection on which no request begins is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits until the stream has bytes, is closed or fails. Peeking sorts out spurious wake-ups.
pub async fn readable(stream: &Async<TcpStream>) {
    let is_spurious =
        |error: &io::Error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted);
    while stream.get_ref().peek(&mut [0]).is_err_and(|error| is_spurious(&error)) {
        if stream.readable().await.is_err() {
            return;
        }
    }
}

impl Server {
    /// Accepts connections without end and spawns a task for each.
    pub(super) async fn accept(self: Rc<Self>, listener: Async<TcpListener>, executor: Rc<Executor>) {
        loop {
            match socket::accept(&listener).await {
                // The connection is closed beyond the maximum, and the sidecar polls the next machine.
                Ok(_) if self.connections.get() >= self.max_connections => {}
                Ok((stream, _)) => {
                    self.connections.set(self.connections.get() + 1);
                    let server = self.clone();
                    let serve = async move {
                        server.serve(stream).await;
                        server.connections.set(server.connections.get() - 1);
                    };
                    executor.spawn(serve).detach();
                }
                Err(error) => {
                    tracing::warn!("control machine: accept failed: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        while timeout(IDLE_TIMEOUT, readable(&stream)).await.is_some() {
            let request = timeout(REQUEST_TIMEOUT, self.read_request(&stream)).await;
            let (reply, keep_alive) = match request {
                Some(Ok(request)) => {
                    let (keep_alive, head, body) =
                        (request.keep_alive, request.head.clone(), request.body_bytes());
                    // The request's buffers must not be held while a poll waits.
                    drop(request);
                    match self.handle(&stream, &head, &body).await {
                        Some(reply) => (reply, keep_alive),
                        None => return,
                    }
                }
                None
                | Some(Err(http::HttpError::TimedOut | http::HttpError::Closed | http::HttpError::Broken)) => {
                    return;
                }
                Some(Err(
                    http::HttpError::TooLarge
                    | http::HttpError::BodyTooLong
                    | http::HttpError::FramingTooLarge,
                )) => (Reply::error(413, "the call is too large"), false),
                Some(Err(http::HttpError::Malformed)) => {
                    (Reply::error(400, "this is no HTTP/1.1 message"), false)
                }
            };
            let head = reply.head(keep_alive);
            let written = http::write(&stream, &head, reply.body.as_bytes());
            let failed = timeout(REQUEST_TIMEOUT, written).await.is_none_or(|result| result.is_err());
            if failed || !keep_alive {
                return;
            }
        }
    }

    async fn read_request(&self, stream: &Async<TcpStream>) -> Result<IncomingMessage, http::HttpError> {
        let buffer = self.resources.wait_for_buffer().await;
        let mut request = IncomingMessage::read_request(stream, buffer, &|| ()).await?;
        request.read_to_end(stream, &self.resources, MAX_DELTA_BYTES).await?;
        Ok(request)
    }
}

//! The connections of sidecars, operators and other machines. A connection that waits holds no buffer.

use super::Server;
use super::reply::Reply;
use crate::net::http::{self, IncomingMessage};
use crate::net::timeout::timeout;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use landingspread_control::MAX_DELTA_BYTES;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// For a request to arrive once it has begun, and for an answer to be taken.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection without a request is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for bytes, an end or an error: a wake-up alone may be spurious.
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
    /// Accepts connections for ever, each served by a task of its own.
    pub(super) async fn accept(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        loop {
            match listener.accept().await {
                // A sidecar that finds no room goes to the next machine.
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
                    // Its buffers must not be held while a poll waits.
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
                Some(Err(http::HttpError::TooLarge)) => (Reply::error(413, "the call is too large"), false),
                Some(Err(http::HttpError::Malformed)) => {
                    (Reply::error(400, "this is no HTTP/1.1 message"), false)
                }
            };
            let head = reply.head(keep_alive);
            let written = http::write(&stream, &head, reply.body.as_bytes());
            let failed = timeout(REQUEST_TIMEOUT, written).await.is_none_or(|done| done.is_err());
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

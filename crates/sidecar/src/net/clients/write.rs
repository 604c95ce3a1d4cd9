//! Writes responses to clients.

use super::state::{ClientSide, WRITE_TIMEOUT};
use crate::counters::CloseReason;
use crate::net::http::{self, BodyEncoding};
use crate::net::owner::{Event, FinalResponse};
use crate::net::request::{Rejection, response_head};
use crate::net::timeout::timeout;
use crate::net::upstream::UpstreamResponse;
use async_io::Async;
use std::net::TcpStream;
use std::time::Duration;

impl ClientSide {
    /// Writes the final response. The error is the reason to close the connection, within the response or after it.
    pub(super) async fn write_final(
        &self,
        stream: &Async<TcpStream>,
        response: FinalResponse,
        class: usize,
        keep_alive: Result<(), CloseReason>,
        http_minor: u8,
    ) -> Result<(), CloseReason> {
        match response {
            FinalResponse::Response(response) => {
                self.pass_on_response(stream, *response, class, keep_alive, http_minor).await
            }
            FinalResponse::Rejected(retry_after) => {
                let header = retry_after.map(|delay| format!("Retry-After: {:.3}\r\n", delay.as_secs_f64()));
                let header = header.as_deref().unwrap_or("").as_bytes();
                self.write_short(stream, 503, header, b"declined\n", keep_alive.is_ok()).await
            }
            FinalResponse::Failed => {
                self.write_short(stream, 502, b"", b"terminated\n", keep_alive.is_ok()).await
            }
        }
    }

    /// Passes on a server's response: what has arrived of it, and the rest as it arrives.
    async fn pass_on_response(
        &self,
        stream: &Async<TcpStream>,
        mut response: UpstreamResponse,
        class: usize,
        keep_alive: Result<(), CloseReason>,
        http_minor: u8,
    ) -> Result<(), CloseReason> {
        let length = response.message.length();
        let (encoding, framing) = match length {
            Some(length) => (BodyEncoding::Identity, format!("Content-Length: {length}\r\n")),
            None if http_minor > 0 => (BodyEncoding::Chunked, "Transfer-Encoding: chunked\r\n".to_string()),
            // For an HTTP/1.0 client the end of the connection marks the end of the response.
            None => (BodyEncoding::Identity, String::new()),
        };
        let ends_connection = length.is_none() && encoding == BodyEncoding::Identity;
        let head = response_head(&response.message.head, &framing, keep_alive.is_ok() && !ends_connection);
        let mut written = self.write_buffered(stream, &head, &response, encoding).await;
        while written && !response.message.is_complete() {
            response.message.discard_buffered();
            if response.read_more().await.is_err() {
                self.queue.push(Event::ResponseInterrupted(response.server().clone(), class));
                if ends_connection {
                    // Only a reset shows the client that the response is incomplete.
                    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
                }
                return Err(CloseReason::ResponseBroken);
            }
            written = self.write_buffered(stream, b"", &response, encoding).await;
        }
        let ended = written && timeout(WRITE_TIMEOUT, http::write_body_end(stream, encoding)).await.is_some();
        response.finish();
        match ended {
            false => Err(CloseReason::ResponseBroken),
            true if ends_connection => Err(CloseReason::ClientRequested),
            true => Ok(()),
        }
    }

    async fn write_buffered(
        &self,
        stream: &Async<TcpStream>,
        head: &[u8],
        response: &UpstreamResponse,
        encoding: BodyEncoding,
    ) -> bool {
        let write = http::write_body_part(stream, head, response.message.buffered(), encoding);
        matches!(timeout(WRITE_TIMEOUT, write).await, Some(Ok(())))
    }

    /// Sends an error response to a message that does not reach the decision engine. Returns an error if it could not
    /// be written.
    pub(super) async fn reject(
        &self,
        stream: &Async<TcpStream>,
        rejected: &Rejection,
        keep_alive: bool,
    ) -> Result<(), CloseReason> {
        let Rejection { status, reason: why } = rejected;
        tracing::debug!(status, why, "request rejected");
        let written = self.write_short(stream, *status, b"", format!("{why}\n").as_bytes(), keep_alive).await;
        if !keep_alive {
            self.linger(stream).await;
        }
        written
    }

    /// Writes a short response of this process. Returns an error if it could not be written.
    pub(super) async fn write_short(
        &self,
        stream: &Async<TcpStream>,
        status: u16,
        headers: &[u8],
        body: &[u8],
        keep_alive: bool,
    ) -> Result<(), CloseReason> {
        let close = if keep_alive { "" } else { "Connection: close\r\n" };
        let length = body.len();
        let mut head = format!("HTTP/1.1 {status} {}\r\n{close}", http::reason_phrase(status)).into_bytes();
        head.extend_from_slice(headers);
        head.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
        match timeout(WRITE_TIMEOUT, http::write(stream, &head, body)).await {
            Some(Ok(())) => Ok(()),
            _ => Err(CloseReason::ClientDisconnected),
        }
    }
}

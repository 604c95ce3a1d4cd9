//! The HTTP client with which sidecars and other control machines call a control machine.

use super::status::ControlStatus;
use crate::net::buffers::{self, ResourcePool};
use crate::net::http;
use crate::net::timeout::timeout;
use async_io::Async;
use landingspread_control::{Follower, MAX_DELTA_BYTES, Poll};
use std::fmt;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The maximum time to connect, and the maximum time to write a request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of buffers for a response with the largest delta and its head.
const DELTA_BUFFERS: usize = MAX_DELTA_BYTES / buffers::BUFFER_SIZE + 1;
/// The approximate size of a poll's head without the request target, in bytes.
const REQUEST_HEAD_BYTES: usize = 40;
/// The approximate size of the head of a response with a delta, in bytes.
const DELTA_HEAD_BYTES: usize = 72;
/// The approximate size of a response without a delta, in bytes.
const NO_CONTENT_BYTES: usize = 27;

/// Why a call to a control machine failed.
#[derive(Debug)]
pub enum CallError {
    /// Connecting, writing the request or waiting for the response took longer than this.
    Timeout(Duration),
    /// The connection can't be established, or it failed.
    Io(io::Error),
    /// The response is not a usable HTTP message.
    Http(http::HttpError),
    /// The response has this status, which doesn't signal success.
    Status(u16),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Timeout(time) => write!(f, "nothing within {time:?}"),
            CallError::Io(error) => error.fmt(f),
            CallError::Http(error) => error.fmt(f),
            CallError::Status(status) => write!(f, "status {status}"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> CallError {
        CallError::Io(error)
    }
}

impl From<http::HttpError> for CallError {
    fn from(error: http::HttpError) -> CallError {
        CallError::Http(error)
    }
}

/// A request to a control machine, with the bounds of its response.
pub struct Request<'a> {
    /// The method and the path with its query, separated by a space.
    pub target: &'a str,
    /// The body; empty if the request has none.
    pub body: &'a [u8],
    /// The maximum number of buffers for the response.
    pub max_buffers: usize,
    /// The maximum time from the end of writing the request to the end of the response.
    pub timeout: Duration,
}

/// A control machine's response.
pub struct Response {
    /// The HTTP status; 0 if the head has none.
    pub status: u16,
    /// The body without the head.
    pub body: Vec<u8>,
}

/// A client of control machines that reuses its connection between calls.
#[derive(Default)]
pub struct ControlClient(Option<Async<TcpStream>>);

impl ControlClient {
    /// Closes the connection. The next call opens a new one.
    pub fn close(&mut self) {
        self.0 = None;
    }

    /// Sends one request and returns the response. An error closes the connection.
    pub async fn call(
        &mut self,
        machine: SocketAddr,
        request: &Request<'_>,
        resources: &Rc<ResourcePool>,
    ) -> Result<Response, CallError> {
        let Request { target, body, max_buffers, timeout } = *request;
        let stream = match self.0.take() {
            Some(stream) => stream,
            None => with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(machine)).await?,
        };
        let _ = stream.get_ref().set_nodelay(true);
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("{target} HTTP/1.1\r\nHost: {machine}\r\n{length}\r\n");
        with_timeout(CONNECT_TIMEOUT, http::write(&stream, head.as_bytes(), body)).await?;
        let response = async {
            // Buffers are taken only once there is something to read.
            stream.readable().await.map_err(|_| http::HttpError::Broken)?;
            http::read_buffered_response(&stream, resources, max_buffers).await
        };
        let (status, keep_alive, reader) = with_timeout(timeout, response).await?;
        let mut body = Vec::new();
        reader.take((max_buffers * buffers::BUFFER_SIZE) as u64).read_to_end(&mut body)?;
        self.0 = keep_alive.then_some(stream);
        Ok(Response { status: status.unwrap_or(0), body })
    }

    /// Sends a sidecar's poll. Returns the JSON of a delta, or `None` if the machine has no newer version.
    pub async fn poll(
        &mut self,
        machine: SocketAddr,
        poll: &Poll,
        resources: &Rc<ResourcePool>,
        status: &ControlStatus,
    ) -> Result<Option<Vec<u8>>, CallError> {
        let target = format!("GET /control/v1/changes?{}", poll.to_query());
        let timeout = poll.wait + Follower::ANSWER_TIMEOUT;
        let request = Request { target: &target, body: b"", max_buffers: DELTA_BUFFERS, timeout };
        let response = self.call(machine, &request, resources).await?;
        let head = if response.status == 200 { DELTA_HEAD_BYTES } else { NO_CONTENT_BYTES };
        status.record_call(target.len() + REQUEST_HEAD_BYTES, response.body.len() + head);
        match response.status {
            200 => Ok(Some(response.body)),
            204 => Ok(None),
            other => Err(CallError::Status(other)),
        }
    }
}

async fn with_timeout<T, E>(time: Duration, work: impl Future<Output = Result<T, E>>) -> Result<T, CallError>
where
    CallError: From<E>,
{
    let result = timeout(time, work).await.ok_or(CallError::Timeout(time))?;
    Ok(result?)
}

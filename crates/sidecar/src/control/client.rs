//! HTTP calls to a control machine, by a sidecar and by other machines.

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

/// For connecting, and for writing a request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Buffers that a delta fits, with its head.
const DELTA_BUFFERS: usize = MAX_DELTA_BYTES / buffers::BUFFER_SIZE + 1;
/// About what a poll's head has besides the path, in bytes.
const REQUEST_HEAD_BYTES: usize = 40;
/// About what the head of an answer with a delta has, in bytes.
const DELTA_HEAD_BYTES: usize = 72;
/// About what an answer without a delta has, in bytes.
const NO_CONTENT_BYTES: usize = 27;

/// Why a call to a control machine failed.
#[derive(Debug)]
pub enum CallError {
    /// Connecting, writing or the answer took longer than this.
    Timeout(Duration),
    /// The connection could not be made, or broke.
    Io(io::Error),
    /// The answer is no HTTP message that can be used.
    Http(http::HttpError),
    /// The machine answered with this status.
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

/// What is asked of a machine, and the bounds of the answer.
pub struct Request<'a> {
    /// The method and the path.
    pub target: &'a str,
    /// Empty where there is none.
    pub body: &'a [u8],
    /// The buffers that the answer may take.
    pub max_buffers: usize,
    /// How long the answer may take once the request is written.
    pub timeout: Duration,
}

/// A machine's answer.
pub struct Response {
    /// 0 where the head has none.
    pub status: u16,
    /// Without the head.
    pub body: Vec<u8>,
}

/// A client of control machines, with a connection that is reused between calls.
#[derive(Default)]
pub struct ControlClient(Option<Async<TcpStream>>);

impl ControlClient {
    /// Closes the connection; the next call makes a new one.
    pub fn close(&mut self) {
        self.0 = None;
    }

    /// Makes one call. Any error closes the connection.
    pub async fn call(
        &mut self,
        machine: SocketAddr,
        request: &Request<'_>,
        resources: &Rc<ResourcePool>,
    ) -> Result<Response, CallError> {
        let Request { target, body, max_buffers, timeout } = *request;
        let stream = match self.0.take() {
            Some(stream) => stream,
            None => within(CONNECT_TIMEOUT, Async::<TcpStream>::connect(machine)).await?,
        };
        let _ = stream.get_ref().set_nodelay(true);
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("{target} HTTP/1.1\r\nHost: {machine}\r\n{length}\r\n");
        within(CONNECT_TIMEOUT, http::write(&stream, head.as_bytes(), body)).await?;
        let answer = async {
            // No buffer is taken before there is something to read.
            stream.readable().await.map_err(|_| http::HttpError::Broken)?;
            http::read_buffered_response(&stream, resources, max_buffers).await
        };
        let (status, keep_alive, reader) = within(timeout, answer).await?;
        let mut body = Vec::new();
        reader.take((max_buffers * buffers::BUFFER_SIZE) as u64).read_to_end(&mut body)?;
        self.0 = keep_alive.then_some(stream);
        Ok(Response { status: status.unwrap_or(0), body })
    }

    /// Sends a sidecar's poll. The answer is a delta as bytes, or none where the machine has no newer version.
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
        status.count_call(target.len() + REQUEST_HEAD_BYTES, response.body.len() + head);
        match response.status {
            200 => Ok(Some(response.body)),
            204 => Ok(None),
            other => Err(CallError::Status(other)),
        }
    }
}

async fn within<T, E>(time: Duration, work: impl Future<Output = Result<T, E>>) -> Result<T, CallError>
where
    CallError: From<E>,
{
    let done = timeout(time, work).await.ok_or(CallError::Timeout(time))?;
    Ok(done?)
}

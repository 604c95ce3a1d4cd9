//! One side's connection to a control machine. It owns the messages' form; what they say is the crate's.

use super::said::Shared;
use crate::net::buffers::Stock;
use crate::net::http;
use crate::net::timeout::timeout;
use async_io::Async;
use landingspread_control::{Follower, MAX_DELTA_BYTES, Poll};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const UP_IN: Duration = Duration::from_secs(1);

/// A connection that is kept between calls.
#[derive(Default)]
pub struct Line(Option<Async<TcpStream>>);

impl Line {
    pub fn close(&mut self) {
        self.0 = None;
    }

    /// A status and a body, within this time after the call was written. Anything wrong closes the connection.
    pub async fn call(
        &mut self,
        to: SocketAddr,
        head: &str,
        body: &[u8],
        stock: &Rc<Stock>,
        most: usize,
        time: Duration,
    ) -> Result<(u16, Vec<u8>), String> {
        let conn = match self.0.take() {
            Some(conn) => conn,
            None => in_time(UP_IN, Async::<TcpStream>::connect(to)).await?,
        };
        let _ = conn.get_ref().set_nodelay(true);
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!("{head} HTTP/1.1\r\nHost: {to}\r\n{length}\r\n");
        in_time(UP_IN, http::write(&conn, head.as_bytes(), body)).await?;
        let answer = async {
            // No buffer is taken before there is something to read.
            conn.readable().await.map_err(|_| http::Bad::Broken)?;
            http::read_long(&conn, stock, most).await
        };
        let (status, keep, long) = in_time(time, answer).await?;
        let mut bytes = Vec::new();
        long.take((most * crate::net::buffers::SIZE) as u64)
            .read_to_end(&mut bytes)
            .map_err(|wrong| wrong.to_string())?;
        self.0 = keep.then_some(conn);
        Ok((status.unwrap_or(0), bytes))
    }

    /// A sidecar's call: a change, or none where nothing is new.
    pub async fn poll(
        &mut self,
        machine: SocketAddr,
        poll: &Poll,
        stock: &Rc<Stock>,
        shared: &Shared,
    ) -> Result<Option<Vec<u8>>, String> {
        let head = format!("GET /control/v1/changes?{}", poll.to_query());
        let time = poll.wait + Follower::ANSWER_TIMEOUT;
        let most = MAX_DELTA_BYTES / crate::net::buffers::SIZE + 1;
        let (status, bytes) = self.call(machine, &head, b"", stock, most, time).await?;
        // With what the heads have besides.
        let (sent, received) = (head.len() + 40, bytes.len() + if status == 200 { 72 } else { 27 });
        shared.counted(sent, received);
        match status {
            200 => Ok(Some(bytes)),
            204 => Ok(None),
            other => Err(format!("status {other}")),
        }
    }
}

async fn in_time<T, E: std::fmt::Debug>(
    span: Duration,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    let done = timeout(span, work).await.ok_or_else(|| format!("nothing within {span:?}"))?;
    done.map_err(|wrong| format!("{wrong:?}"))
}

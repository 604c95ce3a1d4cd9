//! A test server with one scripted behavior for all requests, for tests that cause a single fault and check its effect.
//! `fleet.rs` has servers with cores, queues and processing times.

use super::message::{HttpMessage, Peer, response_bytes};
use super::ports::bind_loopback;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What the server does with each request.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedBehavior {
    /// Responds with status 200, with the request id in `X-Kept` and `ok:` before the request's body.
    Respond,
    /// Responds and closes the connection.
    RespondAndClose,
    /// Responds after this many milliseconds, or records that the client has left before.
    RespondAfterMs(u64),
    /// Closes the connection without a response.
    Disconnect,
    /// Responds, and reports this many requests in flight when its load is queried.
    ReportInFlight(u32),
    /// Responds with status 500.
    Fail,
    /// Responds with status 503 and a header that says that the request never ran.
    Reject,
    /// Responds, but closes the connection at a request that comes after more than this many idle milliseconds.
    CloseAfterIdleMs(u64),
    /// Responds, and sends the same response again 1 ms later.
    RespondTwice,
    /// Chooses another behavior for each request, by a hash of this seed and the request id.
    Random(u64),
}

impl ScriptedBehavior {
    /// The behavior for one request, with `Random` replaced by its choice.
    pub fn resolve(self, request: &HttpMessage) -> ScriptedBehavior {
        let ScriptedBehavior::Random(seed) = self else { return self };
        let mut hasher = DefaultHasher::new();
        (seed, request.header("x-trace-id")).hash(&mut hasher);
        match hasher.finish() % 12 {
            0 => ScriptedBehavior::Disconnect,
            1 => ScriptedBehavior::Fail,
            2 => ScriptedBehavior::Reject,
            3 => ScriptedBehavior::RespondAfterMs(2500),
            4 => ScriptedBehavior::RespondAfterMs(60),
            5 => ScriptedBehavior::RespondAndClose,
            _ => ScriptedBehavior::Respond,
        }
    }
}

/// What the server has received, without health checks and load queries.
#[derive(Debug, Default)]
pub struct ServerRecord {
    pub requests: Vec<HttpMessage>,
    /// Connections accepted, including those of health checks.
    pub connections: usize,
    /// Requests whose client left before the delayed response.
    pub cancelled: usize,
}

/// A running test server; its thread ends with the process.
pub struct ScriptedServer {
    /// Loopback address that the server listens at.
    pub address: SocketAddr,
    record: Arc<Mutex<ServerRecord>>,
}

fn lock(record: &Mutex<ServerRecord>) -> MutexGuard<'_, ServerRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ScriptedServer {
    /// Starts a server on an unused loopback port; an error if the port cannot be bound.
    pub fn start(behavior: ScriptedBehavior) -> io::Result<ScriptedServer> {
        let listener = bind_loopback()?;
        let address = listener.local_addr()?;
        let record = Arc::<Mutex<ServerRecord>>::default();
        let shared = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let record = shared.clone();
                thread::spawn(move || serve_connection(stream, behavior, &record));
            }
        });
        Ok(ScriptedServer { address, record })
    }

    /// Locks the server's record and returns it; the server waits for the lock meanwhile.
    pub fn record(&self) -> MutexGuard<'_, ServerRecord> {
        lock(&self.record)
    }

    /// Number of complete requests received, without health checks and load queries.
    pub fn request_count(&self) -> usize {
        self.record().requests.len()
    }
}

fn serve_connection(stream: TcpStream, behavior: ScriptedBehavior, record: &Mutex<ServerRecord>) {
    lock(record).connections += 1;
    let mut peer = Peer::new(stream);
    let mut answered = Instant::now();
    while let Ok(Some(request)) = peer.read_request() {
        let idle = answered.elapsed();
        if matches!(behavior, ScriptedBehavior::CloseAfterIdleMs(limit_ms) if idle > Duration::from_millis(limit_ms))
        {
            return;
        }
        let is_health_check = matches!(request.path(), "/ping" | "/_load");
        let behavior = if is_health_check && !matches!(behavior, ScriptedBehavior::ReportInFlight(_)) {
            ScriptedBehavior::Respond
        } else {
            behavior.resolve(&request)
        };
        let bytes = respond(behavior, &request, &mut peer, record, is_health_check);
        let Some(bytes) = bytes else { return };
        if peer.write(&bytes).is_err() || matches!(behavior, ScriptedBehavior::RespondAndClose) {
            return;
        }
        answered = Instant::now();
    }
}

/// The response to a request; None if the connection is closed instead.
fn respond(
    behavior: ScriptedBehavior,
    request: &HttpMessage,
    peer: &mut Peer,
    record: &Mutex<ServerRecord>,
    is_health_check: bool,
) -> Option<Vec<u8>> {
    if !is_health_check {
        lock(record).requests.push(request.clone());
    }
    let id_header = format!("X-Kept: {}\r\n", request.header("x-trace-id").unwrap_or(""));
    let ok = match behavior {
        ScriptedBehavior::ReportInFlight(in_flight) if is_health_check => {
            response_bytes(200, "", format!("TEXT inflight={in_flight}").as_bytes())
        }
        _ => response_bytes(200, &id_header, &[b"ok:", &request.body[..]].concat()),
    };
    match behavior {
        ScriptedBehavior::Respond
        | ScriptedBehavior::RespondAndClose
        | ScriptedBehavior::ReportInFlight(_)
        | ScriptedBehavior::CloseAfterIdleMs(_)
        | ScriptedBehavior::Random(_) => Some(ok),
        ScriptedBehavior::RespondTwice => {
            let _ = peer.write(&ok);
            thread::sleep(Duration::from_millis(1));
            Some(ok)
        }
        ScriptedBehavior::Disconnect => None,
        ScriptedBehavior::Fail => Some(response_bytes(500, "", b"")),
        ScriptedBehavior::Reject => Some(response_bytes(503, "X-Never-Ran: 1\r\n", b"")),
        ScriptedBehavior::RespondAfterMs(span) => {
            if closes_within(peer, Duration::from_millis(span)) {
                lock(record).cancelled += 1;
                return None;
            }
            Some(ok)
        }
    }
}

/// Whether the other side closes the connection within this span.
fn closes_within(peer: &mut Peer, span: Duration) -> bool {
    peer.set_read_timeout(Some(span));
    let closed = loop {
        match peer.stream.peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            peeked => break matches!(peeked, Ok(0)),
        }
    };
    peer.set_read_timeout(None);
    closed
}

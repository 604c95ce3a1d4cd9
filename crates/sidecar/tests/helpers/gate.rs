//! A test server that accepts connections only after it is opened, and the ways in which a client disconnects while its
//! request waits for a connection to that server.

use super::*;
use std::net::Shutdown;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// Maximum time after a client's disconnection within which its request may still be sent to a server.
pub const DEPARTURE_BOUND: Duration = Duration::from_millis(100);
/// The kernel retransmits an unanswered SYN after 1 s: after this time it has reached the opened server.
pub const DIAL_RETRY_WAIT: Duration = Duration::from_millis(1400);
pub const VERBS: [&str; 3] = ["view", "hold", "confirm"];

/// Recorded in place of a request id for health checks, which have none.
const HEALTH_CHECK_ID: &str = "health check";
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A server with a full accept queue until it is opened: connections to it hang in SYN-SENT.
pub struct Gate {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections that fill the accept queue.
    queue_fillers: Vec<TcpStream>,
    /// The id of each request and the time at which its first byte had arrived.
    pub received: Arc<Mutex<Vec<(String, Instant)>>>,
    /// No request is answered while this is false.
    pub answering: Arc<AtomicBool>,
    /// The bytes of every response; if empty, the connection is closed instead.
    pub response: Arc<Mutex<&'static [u8]>>,
}

impl Gate {
    pub fn start_closed() -> Gate {
        let listener = bind_unused_port();
        rustix::net::listen(&listener, 0).expect("failed to shorten the accept queue");
        let address = listener.local_addr().expect("listener has a local address");
        let mut queue_fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address, ms(60)) {
            queue_fillers.push(filler);
            assert!(queue_fillers.len() < 16, "accept queue of {address} is not full after 16 connections");
        }
        Gate { queue_fillers, ..Gate::new(listener) }
    }

    pub fn start_open() -> Gate {
        let mut gate = Gate::new(bind_unused_port());
        gate.open();
        gate
    }

    fn new(listener: TcpListener) -> Gate {
        let address = listener.local_addr().expect("listener has a local address");
        let (answering, response) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(OK)));
        Gate { address, listener, queue_fillers: Vec::new(), received: Arc::default(), answering, response }
    }

    /// Accepts all connections from now on and answers each request.
    pub fn open(&mut self) {
        self.queue_fillers.clear();
        let listener = self.listener.try_clone().expect("failed to clone the listener");
        rustix::net::listen(&listener, 1024).expect("failed to lengthen the accept queue");
        let (received, answering, response) =
            (self.received.clone(), self.answering.clone(), self.response.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (received, answering, response) = (received.clone(), answering.clone(), response.clone());
                thread::spawn(move || serve_connection(stream, &received, &answering, &response));
            }
        });
    }

    /// The requests that have at least begun to arrive, without health checks. An incomplete request has an empty id.
    pub fn received(&self) -> Vec<(String, Instant)> {
        let received = self.received.lock().expect("lock is not poisoned");
        received.iter().filter(|(id, _)| id != HEALTH_CHECK_ID).cloned().collect()
    }
}

fn serve_connection(
    stream: TcpStream,
    received: &Mutex<Vec<(String, Instant)>>,
    answering: &AtomicBool,
    response: &Mutex<&'static [u8]>,
) {
    let mut peer = Peer::new(stream);
    // A request is recorded at its first byte; its id is filled in once the request is complete.
    while matches!(peer.stream.peek(&mut [0]), Ok(1)) {
        let at = {
            let mut received = received.lock().expect("lock is not poisoned");
            received.push((String::new(), Instant::now()));
            received.len() - 1
        };
        let Ok(Some(request)) = peer.read_request() else { return };
        let id = if request.path() == "/ping" {
            HEALTH_CHECK_ID
        } else {
            request.header("x-trace-id").unwrap_or("")
        };
        received.lock().expect("lock is not poisoned")[at].0 = id.to_string();
        while !answering.load(Ordering::Relaxed) {
            thread::sleep(ms(5));
        }
        let bytes = if id == HEALTH_CHECK_ID { OK } else { *response.lock().expect("lock is not poisoned") };
        if bytes.is_empty() || peer.write(bytes).is_err() {
            return;
        }
    }
}

/// Number of connections from this machine to `to` in state SYN-SENT, read from `/proc/net/tcp`.
pub fn connecting_count(to: SocketAddr) -> usize {
    let SocketAddr::V4(to) = to else { return 0 };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(to.ip().octets()), to.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read /proc/net/tcp");
    let is_connecting = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        fields.next() == Some(&remote) && fields.next() == Some("02")
    };
    table.lines().filter(is_connecting).count()
}

/// Stops the process with SIGSTOP until `resume`.
pub fn pause(sidecar: &Sidecar) {
    sidecar.signal("-STOP");
}

pub fn resume(sidecar: &Sidecar) {
    sidecar.signal("-CONT");
}

/// An endpoint list with `count` servers at one address, so that each of them has few open requests.
pub fn servers_at(address: SocketAddr, count: usize) -> Value {
    let ids: Vec<String> = (0..count).map(|number| format!("g{number}")).collect();
    let entries: Vec<_> = ids.iter().map(|id| (id.as_str(), address, "ready")).collect();
    endpoint_list(1, &entries)
}

/// Raises the number of sockets, the dial timeout and the time limits so that no request reaches any of these limits in a test. `cancel`
/// says whether the sidecar may cancel attempts.
pub fn set_long_limits(config: &mut Value, cancel: bool) {
    config["limits"]["sockets"] = json!(1000);
    config["settings"]["PolicyLimits"]["MayCancel"] = json!(cancel);
    config["settings"]["PolicyLimits"]["DialTimeout"] = json!(4_000_000);
    for verb in config["settings"]["Verbs"].as_array_mut().expect("settings contain a Verbs array") {
        (verb["TimeLimit"], verb["ResponseGoal"]) = (json!(4_000_000), json!(3_900_000));
    }
}

/// The ways in which a client disconnects while its request waits for a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Departure {
    Closes,
    /// Shuts down only its sending side.
    HalfCloses,
    Resets,
    /// Has written more requests ahead than the sidecar reads at once.
    PipelinesManyRequests,
    /// Disconnects in the middle of a long body of which no byte was sent to a server.
    MidBody,
    /// Disconnects while the sidecar is stopped and its connection to the server is established.
    WhilePaused,
    /// Connects, writes and disconnects before the sidecar reads anything.
    BeforeFirstRead,
}

pub fn write_request(departure: Departure, stream: &mut TcpStream, verb: &str, id: &str) {
    let _ = stream.set_nonblocking(true);
    let mut text = request_text(verb, id, 3900);
    match departure {
        Departure::PipelinesManyRequests => {
            let next = request_text("view", &format!("{id}n"), 3900);
            text.extend(std::iter::repeat_n(next.as_str(), 40_000 / next.len()));
        }
        // A GET request usually has no body, but is allowed to have one.
        Departure::MidBody => {
            text = text.replace("Content-Length: 4\r\n", "").replace("\r\n\r\nbody", "\r\n\r\n");
            text = text.replace("\r\n\r\n", "\r\nContent-Length: 200000\r\n\r\n") + &"b".repeat(90_000);
        }
        _ => {}
    }
    stream.write_all(text.as_bytes()).expect("failed to write the request into the socket buffer");
}

pub fn disconnect(departure: Departure, stream: TcpStream) {
    match departure {
        Departure::HalfCloses => {
            let _ = stream.shutdown(Shutdown::Write);
            // The connection stays open, so the sidecar sees nothing but the end of its input.
            thread::spawn(move || {
                thread::sleep(ms(4000));
                drop(stream);
            });
        }
        Departure::Resets => {
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))
                .expect("failed to set SO_LINGER");
        }
        _ => drop(stream),
    }
}

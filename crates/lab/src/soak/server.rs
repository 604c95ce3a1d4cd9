//! Test servers with faults. Most requests get a response; others fail, are rejected or reset, hang, or get two
//! responses or a truncated one. Whole servers hang, drain, stop and start again cold. Every attempt is recorded.

use super::plan::Plan;
use super::record::{Attempt, ListChange, Recorder};
use crate::sockets::{Discovery, Entry, HttpMessage, Peer, bind_loopback};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

/// Interval at which a hanging request checks whether its server is stopped or its client has left.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time that a request hangs before its connection is closed.
const MAX_HANG: Duration = Duration::from_secs(4);
/// Servers are assigned to these zones in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];
const SERVERS_PER_CELL: usize = 2;
const THREAD_STACK_BYTES: usize = 128 << 10;

/// What a server does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerBehavior {
    Respond,
    /// Responds with status 500.
    Fail,
    /// Responds with status 503 and a header that says that the request never ran.
    Reject,
    /// Closes the connection with a reset.
    Reset,
    /// Sends nothing until the connection is closed.
    Hang,
    RespondTwice,
    RespondAndClose,
    /// Sends a response that is 2 bytes short, and closes the connection.
    RespondPartially,
    /// A response without a length, which ends with the connection.
    Unframed,
    /// A response after an interim response (103).
    Interim,
}

/// The behavior for a request, by a hash of the request id, the server and the seed; the ranges are shares in 1/1000.
fn behavior_for(hash: u64) -> ServerBehavior {
    match hash % 1000 {
        0..15 => ServerBehavior::Fail,
        15..45 => ServerBehavior::Reject,
        45..65 => ServerBehavior::Reset,
        65..75 => ServerBehavior::Hang,
        75..95 => ServerBehavior::RespondTwice,
        95..110 => ServerBehavior::RespondAndClose,
        110..115 => ServerBehavior::RespondPartially,
        115..125 => ServerBehavior::Unframed,
        125..130 => ServerBehavior::Interim,
        _ => ServerBehavior::Respond,
    }
}

/// One process of a server at one address.
struct Server {
    number: usize,
    id: String,
    seed: u64,
    zone: usize,
    cell: u32,
    hangs: AtomicBool,
    /// Set when the server stops: its listener and all its connections are closed.
    stopped: AtomicBool,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    recorder: Arc<Recorder>,
}

/// All servers of a run, and their entries at discovery.
pub struct Servers {
    seed: u64,
    discoveries: [Arc<Discovery>; 2],
    recorder: Arc<Recorder>,
    servers: Vec<Arc<Server>>,
    addresses: Vec<SocketAddr>,
    started_count: u64,
}

impl Servers {
    /// Starts the servers of the plan and publishes them as ready; an error if a port cannot be bound.
    pub fn start(
        plan: &Plan,
        discoveries: &[Arc<Discovery>; 2],
        recorder: &Arc<Recorder>,
    ) -> io::Result<Servers> {
        let (servers, addresses) = (Vec::new(), Vec::new());
        let mut servers = Servers {
            seed: plan.seed,
            discoveries: discoveries.clone(),
            recorder: recorder.clone(),
            servers,
            addresses,
            started_count: 0,
        };
        for number in 0..plan.servers {
            let listener = bind_loopback()?;
            servers.addresses.push(listener.local_addr()?);
            let server = servers.start_server(number, listener, format!("s{number}"));
            servers.servers.push(server.clone());
            servers.publish(&server, "ready", None);
        }
        Ok(servers)
    }

    fn start_server(&mut self, number: usize, listener: TcpListener, id: String) -> Arc<Server> {
        self.started_count += 1;
        let server = Arc::new(Server {
            number,
            id,
            seed: self.seed ^ self.started_count << 32,
            zone: number % ZONES.len(),
            cell: (number / ZONES.len() / SERVERS_PER_CELL * ZONES.len() + number % ZONES.len()) as u32,
            hangs: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            streams: Mutex::default(),
            recorder: self.recorder.clone(),
        });
        let shared = server.clone();
        thread::spawn(move || shared.accept(&listener));
        server
    }

    fn publish(&self, server: &Server, state: &'static str, started: Option<SystemTime>) {
        for discovery in &self.discoveries {
            discovery.publish(Entry {
                id: server.id.clone(),
                address: self.addresses[server.number],
                zone: ZONES[server.zone].to_string(),
                cell: server.cell,
                state,
                weight: 1.0,
                started,
            });
        }
    }

    /// These servers drain, and others with new ids and addresses start in their place.
    pub fn drain(&mut self, numbers: &[usize]) {
        for number in numbers {
            let old = self.servers[*number].clone();
            self.publish(&old, "draining", None);
            self.recorder.record_list_change(&old.id, ListChange::Draining);
            let Ok(listener) = bind_loopback() else { continue };
            let Ok(address) = listener.local_addr() else { continue };
            self.addresses[*number] = address;
            let new = self.start_server(*number, listener, format!("s{number}n{}", self.started_count));
            self.publish_started(&new);
            self.servers[*number] = new;
        }
    }

    fn publish_started(&self, server: &Server) {
        self.publish(server, "ready", Some(SystemTime::now()));
        self.recorder.record_list_change(&server.id, ListChange::Started);
    }

    /// Stops these servers without notice to discovery.
    pub fn vanish(&mut self, numbers: &[usize]) {
        numbers.iter().for_each(|number| self.servers[*number].stop());
    }

    /// Starts these servers again if they were stopped: cold, with the same addresses and ids.
    pub fn restart(&mut self, numbers: &[usize]) {
        for number in numbers {
            if !self.servers[*number].stopped.load(Ordering::Relaxed) {
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.addresses[*number]) else { continue };
            let id = self.servers[*number].id.clone();
            let new = self.start_server(*number, listener, id);
            self.publish_started(&new);
            self.servers[*number] = new;
        }
    }

    /// Makes these servers hang, or ends their hang.
    pub fn hang(&mut self, numbers: &[usize], hangs: bool) {
        numbers.iter().for_each(|number| self.servers[*number].hangs.store(hangs, Ordering::Relaxed));
    }
}

impl Server {
    fn accept(self: Arc<Self>, listener: &TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut count = 0u64;
        while !self.stopped.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            count += 1;
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.streams().insert(count, copy);
            }
            let shared = self.clone();
            let serve = move || {
                shared.serve_connection(stream);
                shared.streams().remove(&count);
            };
            // If there is no memory for a thread, the connection is closed.
            let _ = thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(serve);
        }
    }

    fn streams(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for stream in self.streams().values() {
            let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn request_hash(&self, request_id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.id, request_id).hash(&mut hasher);
        hasher.finish()
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut peer = Peer::new(stream);
        loop {
            // The attempt begins with its first byte.
            if !matches!(peer.stream.peek(&mut [0]), Ok(1..)) || self.stopped.load(Ordering::Relaxed) {
                return;
            }
            let began = self.recorder.now();
            let Ok(Some(request_message)) = peer.read_request() else { return };
            if request_message.path() == "/ping" {
                if self.hangs.load(Ordering::Relaxed) {
                    return self.hang(&mut peer);
                }
                if peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            if !self.attempt(&mut peer, &request_message, began) {
                return;
            }
        }
    }

    /// Handles a request; returns whether the connection stays open.
    fn attempt(&self, peer: &mut Peer, request_message: &HttpMessage, began: Duration) -> bool {
        let request_id = request_message.header("x-trace-id").unwrap_or("").to_string();
        let hash = self.request_hash(&request_id);
        let behavior =
            if self.hangs.load(Ordering::Relaxed) { ServerBehavior::Hang } else { behavior_for(hash) };
        let number = self.recorder.attempt_began(Attempt {
            request_id: request_id.clone(),
            server: self.id.clone(),
            zone: self.zone,
            cell: self.cell,
            began,
            remaining_ms: request_message.header("x-expires-in-ms").and_then(|text| text.trim().parse().ok()),
            ended: None,
            ran: behavior != ServerBehavior::Reject,
        });
        if matches!(behavior, ServerBehavior::Hang | ServerBehavior::Reset) {
            if behavior == ServerBehavior::Hang {
                self.hang(peer);
            } else {
                let _ = rustix::net::sockopt::set_socket_linger(&peer.stream, Some(Duration::ZERO));
            }
            self.recorder.attempt_ended(number, true);
            return false;
        }
        if behavior != ServerBehavior::Reject {
            thread::sleep(Duration::from_millis(2 + hash / 1000 % 20));
        }
        // Recorded before the response is sent, so that what the sidecar does next is recorded later.
        self.recorder.attempt_ended(number, behavior != ServerBehavior::Reject);
        self.respond(peer, &request_id, behavior, hash)
    }

    /// Sends the response; returns whether the connection stays open.
    fn respond(&self, peer: &mut Peer, request_id: &str, behavior: ServerBehavior, hash: u64) -> bool {
        let framed = |head: &str, body: &str| {
            format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        let ok = framed("200 OK", request_id);
        let text = match behavior {
            ServerBehavior::Fail => framed("500 Failed", ""),
            ServerBehavior::Reject => framed("503 Busy\r\nX-Never-Ran: 1", ""),
            ServerBehavior::RespondPartially => ok[..ok.len() - 2].to_string(),
            ServerBehavior::Unframed => format!("HTTP/1.1 200 OK\r\n\r\n{request_id}"),
            ServerBehavior::Interim => format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{ok}"),
            _ => ok.clone(),
        };
        if peer.write(text.as_bytes()).is_err() {
            return false;
        }
        match behavior {
            ServerBehavior::RespondTwice => {
                if let Ok(mut stream) = peer.stream.try_clone() {
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(hash / 7 % 20));
                        let _ = stream.write_all(ok.as_bytes());
                    });
                }
                true
            }
            ServerBehavior::RespondAndClose | ServerBehavior::RespondPartially | ServerBehavior::Unframed => {
                false
            }
            _ => true,
        }
    }

    /// Sends nothing until the other side closes the connection.
    fn hang(&self, peer: &mut Peer) {
        let until = self.recorder.now() + MAX_HANG;
        peer.set_read_timeout(Some(POLL_INTERVAL));
        while self.recorder.now() < until && !self.stopped.load(Ordering::Relaxed) {
            match peer.stream.peek(&mut [0]) {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                _ => return,
            }
        }
    }
}

//! Proxies for the connections from replicas to servers: one listener per pair, which identifies both ends. A
//! cut holds data back until it ends; a new connection during a cut is accepted but not forwarded until then.

use super::SharedFaults;
use crate::fleet::weather::Node;
use crate::fleet::zones::SentMessage;
use crate::sockets::{bind_loopback, read};
use rustix::net::sockopt::set_socket_linger;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Stack of a proxy thread, in bytes.
const STACK_BYTES: usize = 128 << 10;
/// Most bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Interval at which a blocked path is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const DIAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Log of the messages that replicas sent to servers.
#[derive(Clone, Default)]
pub struct SentLog(Arc<Mutex<Vec<(Instant, SentMessage)>>>);

/// Bound on the messages logged in a run.
const MAX_LOGGED_MESSAGES: usize = 4_000_000;

impl SentLog {
    fn record(&self, from: Node, to: Node, bytes: &[u8]) {
        let (Node::Replica(replica), Node::Server(server)) = (from, to) else { return };
        let is_check = bytes.starts_with(b"GET /ping") || bytes.starts_with(b"GET /_load");
        let mut messages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if messages.len() < MAX_LOGGED_MESSAGES {
            messages.push((Instant::now(), SentMessage { at: 0.0, replica, server, is_check }));
        }
    }

    /// All logged messages, with times relative to `began`.
    pub fn since(&self, began: Instant) -> Vec<SentMessage> {
        let messages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = |at: &Instant| at.saturating_duration_since(began).as_secs_f64();
        messages.iter().map(|(sent_at, message)| SentMessage { at: elapsed(sent_at), ..*message }).collect()
    }
}

/// Forwards connections between one replica and one server during a run.
#[derive(Clone)]
struct ConnectionProxy {
    from: Node,
    to: Node,
    faults: SharedFaults,
    stopped: Arc<AtomicBool>,
    sent_log: SentLog,
}

/// Starts the proxy of a pair and returns its address, which the replica uses for the server.
pub fn start_proxy(
    replica: usize,
    server: usize,
    server_address: SocketAddr,
    faults: &SharedFaults,
    stopped: &Arc<AtomicBool>,
    sent_log: &SentLog,
) -> io::Result<SocketAddr> {
    let listener = bind_loopback()?;
    let address = listener.local_addr()?;
    let (from, to) = (Node::Replica(replica), Node::Server(server));
    let proxy = ConnectionProxy {
        from,
        to,
        faults: faults.clone(),
        stopped: stopped.clone(),
        sent_log: sent_log.clone(),
    };
    thread::Builder::new().stack_size(STACK_BYTES).spawn(move || proxy.listen(&listener, server_address))?;
    Ok(address)
}

/// Connects to the address once, so that its listener sees that the run is over.
pub fn unblock_listener(address: SocketAddr) {
    let _ = TcpStream::connect_timeout(&address, DIAL_TIMEOUT);
}

impl ConnectionProxy {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn listen(&self, listener: &TcpListener, server_address: SocketAddr) {
        while let Ok((replica_stream, _)) = listener.accept() {
            if self.is_stopped() {
                return;
            }
            let proxy = self.clone();
            let forward = move || proxy.forward_connection(replica_stream, server_address);
            // Without memory for a thread the connection is closed.
            let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(forward);
        }
    }

    fn forward_connection(&self, replica_stream: TcpStream, server_address: SocketAddr) {
        // Data that a replica writes to a new connection is logged when it is written, though the cut holds it
        // back.
        let recorded = self.faults.path_effects(self.from, self.to).cut && self.record_first(&replica_stream);
        if !self.wait_until_open(self.from, self.to, &replica_stream) {
            return;
        }
        let Ok(server_stream) = TcpStream::connect_timeout(&server_address, DIAL_TIMEOUT) else {
            return reset(&replica_stream);
        };
        let (Ok(replica_clone), Ok(server_clone)) = (replica_stream.try_clone(), server_stream.try_clone())
        else {
            return;
        };
        let _ = (replica_stream.set_nodelay(true), server_stream.set_nodelay(true));
        let proxy = self.clone();
        let backward = move || proxy.forward_bytes(server_clone, replica_clone, (proxy.to, proxy.from), true);
        if thread::Builder::new().stack_size(STACK_BYTES).spawn(backward).is_ok() {
            self.forward_bytes(replica_stream, server_stream, (self.from, self.to), recorded);
        }
    }

    /// Logs data that arrives soon after the connection opened, and returns whether there was any.
    fn record_first(&self, replica_stream: &TcpStream) -> bool {
        let mut first = [0; 16];
        let _ = replica_stream.set_read_timeout(Some(POLL_INTERVAL * 5));
        match replica_stream.peek(&mut first) {
            Ok(length) if length > 0 => {
                self.sent_log.record(self.from, self.to, &first[..length]);
                true
            }
            _ => false,
        }
    }

    /// Waits until no cut blocks the path, and then for its delay. Returns false if the connection was reset
    /// instead.
    fn wait_until_open(&self, from: Node, to: Node, stream: &TcpStream) -> bool {
        loop {
            let effects = self.faults.path_effects(from, to);
            if effects.reset || self.is_stopped() {
                reset(stream);
                return false;
            }
            if !effects.cut {
                thread::sleep(effects.delay);
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Forwards data in one direction. `recorded` tells whether the first chunk has been logged.
    fn forward_bytes(
        &self,
        mut source: TcpStream,
        mut target: TcpStream,
        (from, to): (Node, Node),
        mut recorded: bool,
    ) {
        let mut bytes = vec![0; CHUNK_BYTES];
        let _ = source.set_read_timeout(Some(POLL_INTERVAL * 5));
        loop {
            match read(&mut source, &mut bytes) {
                Ok(0) => break,
                Ok(length) => {
                    if !std::mem::take(&mut recorded) {
                        self.sent_log.record(from, to, &bytes[..length]);
                    }
                    if !self.wait_until_open(from, to, &target) || target.write_all(&bytes[..length]).is_err()
                    {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.is_stopped() || self.faults.path_effects(from, to).reset {
                        reset(&target);
                        break;
                    }
                }
                Err(_) => {
                    reset(&target);
                    break;
                }
            }
        }
        // A cut blocks the end of a stream like any data.
        if self.wait_until_open(from, to, &target) {
            let _ = target.shutdown(Shutdown::Write);
        }
        let _ = source.shutdown(Shutdown::Read);
    }
}

/// Closes with a reset, so that the peer sees no orderly end.
fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

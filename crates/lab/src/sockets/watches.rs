//! A test discovery for many watches: one thread serves one endpoint list to any number of connections. Owns the counts
//! of requests and bytes and the thread's processor time. `discovery.rs` has a discovery with faults, for few watches.

use super::discovery::Entry;
use super::message::response_bytes;
use super::ports::bind_loopback;
use polling::{Event, Events, Poller};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The poller's key of the listener; connections have the keys from 0 on.
const LISTENER: usize = usize::MAX - 1;
/// The longest wait of a watch; longer requested waits are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// A connection that sends a longer request head is closed.
const MAX_REQUEST_BYTES: usize = 8 << 10;

#[derive(Default)]
struct EndpointList {
    generation: u64,
    /// By server id: the generation of the entry's last change, and the entry as JSON text.
    entries: BTreeMap<String, (u64, String)>,
}

/// Totals since the start; `open_connections` is the current number.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchCounts {
    /// Number of requests received.
    pub requests: u64,
    /// Number of responses sent.
    pub responses: u64,
    /// Number of bytes received.
    pub bytes_in: u64,
    /// Number of bytes sent.
    pub bytes_out: u64,
    /// Number of connections that are open now.
    pub open_connections: u64,
    /// Processor time of the serving thread, in nanoseconds; 0 if the system does not report it.
    pub cpu_ns: u64,
}

#[derive(Default)]
struct Counters {
    requests: AtomicU64,
    responses: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    open_connections: AtomicU64,
}

struct Shared {
    list: Mutex<EndpointList>,
    poller: Poller,
    counters: Counters,
    stopped: AtomicBool,
    /// Directory of the serving thread in `/proc`.
    thread_dir: OnceLock<std::path::PathBuf>,
}

/// A discovery server for watches of one endpoint list. Dropping it stops its thread.
pub struct WatchServer {
    /// Loopback address that the server listens at.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Conn {
    stream: TcpStream,
    received: Vec<u8>,
    unsent: Vec<u8>,
    /// For a waiting watch: the generation that its client has, and the end of the wait.
    watch: Option<(u64, Instant)>,
}

impl WatchServer {
    /// Starts the server on an unused loopback port; an error if the port, poller or thread cannot be created.
    pub fn start() -> io::Result<WatchServer> {
        let listener = bind_loopback()?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            list: Mutex::default(),
            poller: Poller::new()?,
            counters: Counters::default(),
            stopped: AtomicBool::new(false),
            thread_dir: OnceLock::new(),
        });
        // SAFETY: the polling thread owns the listener and removes it from the poller before closing it.
        unsafe { shared.poller.add(&listener, Event::readable(LISTENER))? };
        let loop_shared = shared.clone();
        let serve = move || {
            WatchLoop {
                shared: loop_shared,
                listener,
                conns: BTreeMap::new(),
                deadlines: BTreeSet::new(),
                next_key: 0,
            }
            .run();
        };
        let thread = thread::Builder::new().name("watches".into()).spawn(serve)?;
        Ok(WatchServer { address, shared, thread: Some(thread) })
    }

    /// Adds or replaces an entry and sends it to all watches.
    pub fn publish(&self, entry: &Entry) {
        self.publish_all(std::slice::from_ref(entry));
    }

    /// Adds or replaces these entries as one change.
    pub fn publish_all(&self, entries: &[Entry]) {
        let mut list = self.shared.list();
        list.generation += 1;
        let generation = list.generation;
        for entry in entries {
            list.entries.insert(entry.id.clone(), (generation, entry.value().to_string()));
        }
        drop(list);
        // If the notification fails, the change is sent at the poller's next event or timeout.
        let _ = self.shared.poller.notify();
    }

    /// Returns the totals since the start.
    pub fn counts(&self) -> WatchCounts {
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Counters { requests, responses, bytes_in, bytes_out, open_connections } = &self.shared.counters;
        let schedstat = self
            .shared
            .thread_dir
            .get()
            .and_then(|thread_dir| std::fs::read_to_string(thread_dir.join("schedstat")).ok());
        let cpu = schedstat.and_then(|text| text.split(' ').next()?.parse().ok());
        WatchCounts {
            requests: value(requests),
            responses: value(responses),
            bytes_in: value(bytes_in),
            bytes_out: value(bytes_out),
            open_connections: value(open_connections),
            cpu_ns: cpu.unwrap_or(0),
        }
    }

    /// Length in bytes of the response with the complete list, its head included.
    pub fn list_bytes(&self) -> usize {
        response_bytes(200, "", self.shared.list().complete_list().as_bytes()).len()
    }
}

impl Drop for WatchServer {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        let _ = self.shared.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointList {
    fn to_json<'a>(&self, complete: bool, entries: impl Iterator<Item = &'a str>) -> String {
        let entries: Vec<&str> = entries.collect();
        format!(
            "{{\"generation\":{},\"reset\":{complete},\"instances\":[{}]}}",
            self.generation,
            entries.join(",")
        )
    }

    fn complete_list(&self) -> String {
        self.to_json(true, self.entries.values().map(|(_, text)| text.as_str()))
    }

    fn changes_after(&self, after: u64) -> String {
        if after > self.generation {
            return self.complete_list();
        }
        let newer = self.entries.values().filter(|(generation, _)| *generation > after);
        self.to_json(false, newer.map(|(_, text)| text.as_str()))
    }
}

struct WatchLoop {
    shared: Arc<Shared>,
    listener: TcpListener,
    conns: BTreeMap<usize, Conn>,
    /// Ends of the waits of watches, with the keys of their connections.
    deadlines: BTreeSet<(Instant, usize)>,
    next_key: usize,
}

impl WatchLoop {
    fn run(mut self) {
        if let Ok(thread_dir) = std::fs::read_link("/proc/thread-self") {
            let _ = self.shared.thread_dir.set(std::path::Path::new("/proc").join(thread_dir));
        }
        let mut events = Events::new();
        let mut sent_generation = 0;
        while !self.shared.stopped.load(Ordering::Relaxed) {
            events.clear();
            let wait = self.deadlines.first().map(|(at, _)| at.saturating_duration_since(Instant::now()));
            if self.shared.poller.wait(&mut events, wait).is_err() {
                break;
            }
            let ready: Vec<(usize, bool)> = events.iter().map(|event| (event.key, event.readable)).collect();
            for (key, readable) in ready {
                if key == LISTENER {
                    self.accept();
                } else if !self.handle_ready(key, readable) {
                    self.close(key);
                }
            }
            let now = Instant::now();
            while let Some((at, key)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
                self.deadlines.remove(&(at, key));
                self.end_wait(key);
            }
            let generation = self.shared.list().generation;
            if generation != std::mem::replace(&mut sent_generation, generation) {
                self.send_changes(generation);
            }
        }
        let _ = self.shared.poller.delete(&self.listener);
        for conn in self.conns.values() {
            let _ = self.shared.poller.delete(&conn.stream);
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let (key, _) = (self.next_key, stream.set_nodelay(true));
            self.next_key += 1;
            // SAFETY: `close` and `run` remove the stream from the poller before it is closed.
            let added = stream.set_nonblocking(true).is_ok()
                && unsafe { self.shared.poller.add(&stream, Event::readable(key)) }.is_ok();
            if added {
                self.shared.counters.open_connections.fetch_add(1, Ordering::Relaxed);
                self.conns
                    .insert(key, Conn { stream, received: Vec::new(), unsent: Vec::new(), watch: None });
            }
        }
        let _ = self.shared.poller.modify(&self.listener, Event::readable(LISTENER));
    }

    fn close(&mut self, key: usize) {
        let Some(conn) = self.conns.remove(&key) else { return };
        let _ = self.shared.poller.delete(&conn.stream);
        if let Some((_, until)) = conn.watch {
            self.deadlines.remove(&(until, key));
        }
        self.shared.counters.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Reads and writes as much as possible without blocking; false if the connection has ended.
    fn handle_ready(&mut self, key: usize, readable: bool) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else { return true };
        if readable {
            let mut bytes = [0; 4096];
            loop {
                match conn.stream.read(&mut bytes) {
                    Ok(0) => return false,
                    Ok(count) => {
                        self.shared.counters.bytes_in.fetch_add(count as u64, Ordering::Relaxed);
                        conn.received.extend_from_slice(&bytes[..count]);
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return false,
                }
            }
            let end = conn.received.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let head = String::from_utf8_lossy(&conn.received[..end]).into_owned();
                conn.received.drain(..end + 4);
                self.handle_request(key, &head);
            } else if conn.received.len() > MAX_REQUEST_BYTES {
                return false;
            }
        }
        self.write(key)
    }

    fn handle_request(&mut self, key: usize, head: &str) {
        self.shared.counters.requests.fetch_add(1, Ordering::Relaxed);
        let path = head.split(' ').nth(1).unwrap_or("");
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let number_parameter = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            pair.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let Some(after) = number_parameter("after") else {
            let complete = self.shared.list().complete_list();
            return self.queue_response(key, &complete);
        };
        if after != self.shared.list().generation {
            let changes = self.shared.list().changes_after(after);
            return self.queue_response(key, &changes);
        }
        let wait = Duration::from_millis(number_parameter("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let until = Instant::now() + wait;
        self.deadlines.insert((until, key));
        if let Some(conn) = self.conns.get_mut(&key) {
            conn.watch = Some((after, until));
        }
    }

    fn queue_response(&mut self, key: usize, list: &str) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        self.shared.counters.responses.fetch_add(1, Ordering::Relaxed);
        conn.unsent.extend_from_slice(&response_bytes(200, "", list.as_bytes()));
    }

    /// Responds to a waiting watch with the changes since its generation, if any.
    fn end_wait(&mut self, key: usize) {
        let Some((after, _)) = self.conns.get_mut(&key).and_then(|conn| conn.watch.take()) else { return };
        let changes = self.shared.list().changes_after(after);
        self.queue_response(key, &changes);
        if !self.write(key) {
            self.close(key);
        }
    }

    /// Responds to all waiting watches. Most of their clients have the same generation, so that the changes are put
    /// together once for each generation.
    fn send_changes(&mut self, generation: u64) {
        let outdated_watch = |conn: &Conn| conn.watch.filter(|(after, _)| *after != generation);
        let waiting: Vec<(usize, u64, Instant)> = (self.conns.iter())
            .filter_map(|(key, conn)| outdated_watch(conn).map(|(after, until)| (*key, after, until)))
            .collect();
        let mut texts: BTreeMap<u64, String> = BTreeMap::new();
        for (key, after, until) in waiting {
            self.deadlines.remove(&(until, key));
            self.conns.get_mut(&key).into_iter().for_each(|conn| conn.watch = None);
            let text = texts.entry(after).or_insert_with(|| self.shared.list().changes_after(after)).clone();
            self.queue_response(key, &text);
            if !self.write(key) {
                self.close(key);
            }
        }
    }

    fn write(&mut self, key: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else { return true };
        while !conn.unsent.is_empty() {
            match conn.stream.write(&conn.unsent) {
                Ok(count) => {
                    self.shared.counters.bytes_out.fetch_add(count as u64, Ordering::Relaxed);
                    conn.unsent.drain(..count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        let interest = Event::new(key, true, !conn.unsent.is_empty());
        self.shared.poller.modify(&conn.stream, interest).is_ok()
    }
}

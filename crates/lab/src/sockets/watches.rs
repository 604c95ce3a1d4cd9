//! The stand-in list source for many watches: one thread, one list, any number of connections. It owns what was sent on
//! them and how much processor time that took; `discovery.rs` has the one with troubles, for few.

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

const LISTENER: usize = usize::MAX - 1;
const WAIT_MOST: Duration = Duration::from_secs(60);
/// A call is shorter than this; a longer one is given up.
const CALL_MOST: usize = 8 << 10;

#[derive(Default)]
struct EndpointList {
    generation: u64,
    /// Every entry as it is sent, by the generation that it has.
    entries: BTreeMap<String, (u64, String)>,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchCounts {
    pub requests: u64,
    pub responses: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Connections that are open now.
    pub open_connections: u64,
    /// Nanoseconds of processor time of its thread; 0 where the system does not tell.
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
    book: Mutex<EndpointList>,
    poller: Poller,
    counters: Counters,
    over: AtomicBool,
    /// Where the system tells of the thread.
    task: OnceLock<std::path::PathBuf>,
}

pub struct WatchServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Conn {
    stream: TcpStream,
    came: Vec<u8>,
    goes: Vec<u8>,
    /// What it knows, and until when it waits for more.
    waits: Option<(u64, Instant)>,
}

impl WatchServer {
    pub fn start() -> io::Result<WatchServer> {
        let listener = bind_loopback()?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            book: Mutex::default(),
            poller: Poller::new()?,
            counters: Counters::default(),
            over: AtomicBool::new(false),
            task: OnceLock::new(),
        });
        // SAFETY: the thread that polls owns the listener and takes it off before it is closed.
        unsafe { shared.poller.add(&listener, Event::readable(LISTENER))? };
        let own = shared.clone();
        let serve = move || {
            WatchLoop { shared: own, listener, conns: BTreeMap::new(), due: BTreeSet::new(), next: 0 }.run();
        };
        let thread = thread::Builder::new().name("watches".into()).spawn(serve)?;
        Ok(WatchServer { address, shared, thread: Some(thread) })
    }

    /// Takes an entry in; all watches hear of it.
    pub fn publish(&self, entry: &Entry) {
        self.publish_all(std::slice::from_ref(entry));
    }

    /// All of them as one change.
    pub fn publish_all(&self, entries: &[Entry]) {
        let mut book = self.shared.book();
        book.generation += 1;
        let generation = book.generation;
        for entry in entries {
            book.entries.insert(entry.id.clone(), (generation, entry.value().to_string()));
        }
        drop(book);
        // A poller that can't be told is told by the next call's time.
        let _ = self.shared.poller.notify();
    }

    pub fn counts(&self) -> WatchCounts {
        let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Counters { requests, responses, bytes_in, bytes_out, open_connections } = &self.shared.counters;
        let told =
            self.shared.task.get().and_then(|task| std::fs::read_to_string(task.join("schedstat")).ok());
        let cpu = told.and_then(|text| text.split(' ').next()?.parse().ok());
        WatchCounts {
            requests: of(requests),
            responses: of(responses),
            bytes_in: of(bytes_in),
            bytes_out: of(bytes_out),
            open_connections: of(open_connections),
            cpu_ns: cpu.unwrap_or(0),
        }
    }

    /// Bytes of the whole list as a new watch is told it, with its head.
    pub fn list_bytes(&self) -> usize {
        response_bytes(200, "", self.shared.book().whole().as_bytes()).len()
    }
}

impl Drop for WatchServer {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        let _ = self.shared.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn book(&self) -> MutexGuard<'_, EndpointList> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointList {
    fn told<'a>(&self, whole: bool, entries: impl Iterator<Item = &'a str>) -> String {
        let entries: Vec<&str> = entries.collect();
        format!(
            "{{\"generation\":{},\"reset\":{whole},\"instances\":[{}]}}",
            self.generation,
            entries.join(",")
        )
    }

    fn whole(&self) -> String {
        self.told(true, self.entries.values().map(|(_, text)| text.as_str()))
    }

    fn changes(&self, after: u64) -> String {
        if after > self.generation {
            return self.whole();
        }
        let newer = self.entries.values().filter(|(generation, _)| *generation > after);
        self.told(false, newer.map(|(_, text)| text.as_str()))
    }
}

struct WatchLoop {
    shared: Arc<Shared>,
    listener: TcpListener,
    conns: BTreeMap<usize, Conn>,
    /// The ends of waits.
    due: BTreeSet<(Instant, usize)>,
    next: usize,
}

impl WatchLoop {
    fn run(mut self) {
        if let Ok(task) = std::fs::read_link("/proc/thread-self") {
            let _ = self.shared.task.set(std::path::Path::new("/proc").join(task));
        }
        let mut events = Events::new();
        let mut told = 0;
        while !self.shared.over.load(Ordering::Relaxed) {
            events.clear();
            let wait = self.due.first().map(|(at, _)| at.saturating_duration_since(Instant::now()));
            if self.shared.poller.wait(&mut events, wait).is_err() {
                break;
            }
            let ready: Vec<(usize, bool)> = events.iter().map(|event| (event.key, event.readable)).collect();
            for (key, readable) in ready {
                if key == LISTENER {
                    self.accept();
                } else if !self.go_on(key, readable) {
                    self.close(key);
                }
            }
            let now = Instant::now();
            while let Some((at, key)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
                self.due.remove(&(at, key));
                self.tell_waiting(key);
            }
            let generation = self.shared.book().generation;
            if generation != std::mem::replace(&mut told, generation) {
                self.tell_news(generation);
            }
        }
        let _ = self.shared.poller.delete(&self.listener);
        for conn in self.conns.values() {
            let _ = self.shared.poller.delete(&conn.stream);
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let (key, _) = (self.next, stream.set_nodelay(true));
            self.next += 1;
            // SAFETY: it is taken off the poller before it is closed.
            let added = stream.set_nonblocking(true).is_ok()
                && unsafe { self.shared.poller.add(&stream, Event::readable(key)) }.is_ok();
            if added {
                self.shared.counters.open_connections.fetch_add(1, Ordering::Relaxed);
                self.conns.insert(key, Conn { stream, came: Vec::new(), goes: Vec::new(), waits: None });
            }
        }
        let _ = self.shared.poller.modify(&self.listener, Event::readable(LISTENER));
    }

    fn close(&mut self, key: usize) {
        let Some(conn) = self.conns.remove(&key) else { return };
        let _ = self.shared.poller.delete(&conn.stream);
        if let Some((_, until)) = conn.waits {
            self.due.remove(&(until, key));
        }
        self.shared.counters.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Reads and writes what can be; `false` where the connection is over.
    fn go_on(&mut self, key: usize, readable: bool) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else { return true };
        if readable {
            let mut bytes = [0; 4096];
            loop {
                match conn.stream.read(&mut bytes) {
                    Ok(0) => return false,
                    Ok(count) => {
                        self.shared.counters.bytes_in.fetch_add(count as u64, Ordering::Relaxed);
                        conn.came.extend_from_slice(&bytes[..count]);
                    }
                    Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return false,
                }
            }
            let end = conn.came.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let head = String::from_utf8_lossy(&conn.came[..end]).into_owned();
                conn.came.drain(..end + 4);
                self.call(key, &head);
            } else if conn.came.len() > CALL_MOST {
                return false;
            }
        }
        self.write(key)
    }

    fn call(&mut self, key: usize, head: &str) {
        self.shared.counters.requests.fetch_add(1, Ordering::Relaxed);
        let path = head.split(' ').nth(1).unwrap_or("");
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let figure = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            pair.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let Some(after) = figure("after") else {
            let whole = self.shared.book().whole();
            return self.say(key, &whole);
        };
        if after != self.shared.book().generation {
            let changes = self.shared.book().changes(after);
            return self.say(key, &changes);
        }
        let wait = Duration::from_millis(figure("wait_ms").unwrap_or(0)).min(WAIT_MOST);
        let until = Instant::now() + wait;
        self.due.insert((until, key));
        if let Some(conn) = self.conns.get_mut(&key) {
            conn.waits = Some((after, until));
        }
    }

    fn say(&mut self, key: usize, list: &str) {
        let Some(conn) = self.conns.get_mut(&key) else { return };
        self.shared.counters.responses.fetch_add(1, Ordering::Relaxed);
        conn.goes.extend_from_slice(&response_bytes(200, "", list.as_bytes()));
    }

    fn tell_waiting(&mut self, key: usize) {
        let Some((after, _)) = self.conns.get_mut(&key).and_then(|conn| conn.waits.take()) else { return };
        let changes = self.shared.book().changes(after);
        self.say(key, &changes);
        if !self.write(key) {
            self.close(key);
        }
    }

    /// Most know the same generation: what is newer is put together once for each.
    fn tell_news(&mut self, generation: u64) {
        let behind = |conn: &Conn| conn.waits.filter(|(after, _)| *after != generation);
        let waiting: Vec<(usize, u64, Instant)> = (self.conns.iter())
            .filter_map(|(key, conn)| behind(conn).map(|(after, until)| (*key, after, until)))
            .collect();
        let mut texts: BTreeMap<u64, String> = BTreeMap::new();
        for (key, after, until) in waiting {
            self.due.remove(&(until, key));
            self.conns.get_mut(&key).into_iter().for_each(|conn| conn.waits = None);
            let text = texts.entry(after).or_insert_with(|| self.shared.book().changes(after)).clone();
            self.say(key, &text);
            if !self.write(key) {
                self.close(key);
            }
        }
    }

    fn write(&mut self, key: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else { return true };
        while !conn.goes.is_empty() {
            match conn.stream.write(&conn.goes) {
                Ok(count) => {
                    self.shared.counters.bytes_out.fetch_add(count as u64, Ordering::Relaxed);
                    conn.goes.drain(..count);
                }
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        let wanted = Event::new(key, true, !conn.goes.is_empty());
        self.shared.poller.modify(&conn.stream, wanted).is_ok()
    }
}

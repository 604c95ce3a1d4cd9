//! Stand-in endpoints ("boxes"): a few cores, a queue, and answers that name the request for which they were made.

use crate::client::Random;
use crate::discovery::Entry;
use crate::http::{Message, read_message};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a box does.
#[derive(Clone, Copy)]
pub struct Behavior {
    pub cores: usize,
    /// How many requests may wait for a core; beyond that they are turned away.
    pub queue: usize,
    /// The time of one request on a core, by class.
    pub work: fn(&str) -> Duration,
    /// The fraction by which the work of single requests varies.
    pub spread: f64,
    /// Whether answers carry a load report.
    pub reports: bool,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A request that has come whole.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
}

/// Reads from a connection, slowly while the box reads slowly.
struct Gate {
    stream: TcpStream,
    server: Arc<Server>,
    /// The bytes that were read of the current message.
    read: usize,
}

/// A box reads this much of a message at full speed, also while it reads slowly.
const FAST_PART: usize = 128 << 10;

impl Read for Gate {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let count = self.stream.read(into)?;
        self.read += count;
        let rate = self.server.reading_rate.load(Ordering::SeqCst);
        if rate > 0 && self.read > FAST_PART {
            thread::sleep(Duration::from_secs_f64(count as f64 / rate as f64));
        }
        Ok(count)
    }
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    behavior: Behavior,
    record: Arc<Record>,
    load: Mutex<Load>,
    freed: Condvar,
    random: Mutex<Random>,
    arrivals: Mutex<Vec<Arrival>>,
    /// How many bytes of a long body the box reads in a second; 0 for as many as come.
    reading_rate: AtomicUsize,
    /// The bodies that clients send, by the id of the request, where the box compares them.
    sent: Mutex<Option<Arc<SentBodies>>>,
    /// The requests that came whole with a body that no client sent, by their ids.
    altered: Mutex<Vec<String>>,
}

/// The lengths of the bodies that clients send, by the id of the request.
pub type SentBodies = Mutex<BTreeMap<String, usize>>;

impl Server {
    pub fn start(number: usize, behavior: Behavior, record: Arc<Record>) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Server {
            id: format!("box-{number}"),
            address: listener.local_addr()?,
            behavior,
            record,
            load: Mutex::default(),
            freed: Condvar::new(),
            random: Mutex::new(Random::new(number as u64 + 7)),
            arrivals: Mutex::default(),
            reading_rate: AtomicUsize::new(0),
            sent: Mutex::default(),
            altered: Mutex::default(),
        });
        let shared = server.clone();
        thread::spawn(move || shared.accept(listener));
        Ok(server)
    }

    fn accept(self: Arc<Server>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let server = self.clone();
            thread::spawn(move || server.serve(stream));
        }
    }

    /// The entry of the endpoint list, for the one zone of galway.
    pub fn entry(&self) -> Entry {
        self.entry_in("galway", 1)
    }

    /// The entry of the endpoint list.
    pub fn entry_in(&self, zone: &'static str, cell: u32) -> Entry {
        let (id, address) = (self.id.clone(), self.address);
        Entry { id, address, zone, cell, lifecycle: "ready", started_at_ms: 0 }
    }

    /// From now on the box reads long bodies at this rate, in bytes a second.
    pub fn read_slowly(&self, rate: usize) {
        self.reading_rate.store(rate, Ordering::SeqCst);
    }

    /// From now on the box compares bodies with those that clients send.
    pub fn compare_with(&self, sent: &Arc<SentBodies>) {
        *self.sent.lock().unwrap() = Some(sent.clone());
    }

    /// The requests that came whole with a body that no client sent.
    pub fn altered(&self) -> Vec<String> {
        self.altered.lock().unwrap().clone()
    }

    /// Whether the body is the one that the client of this request sends.
    fn is_as_sent(&self, id: &str, body: &[u8]) -> bool {
        let sent = self.sent.lock().unwrap();
        let Some(sent) = &*sent else { return true };
        let sent = sent.lock().unwrap();
        let Some(expected) = sent.get(id) else { return true };
        if *expected == body.len() {
            return true;
        }
        self.record.say(&format!(
            "server  {} got {id} whole with a body of {} bytes; its client sent {}",
            self.id,
            body.len(),
            expected
        ));
        self.altered.lock().unwrap().push(id.to_string());
        false
    }

    /// The requests that came, health checks left out.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(self: Arc<Server>, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(Gate { stream, server: self.clone(), read: 0 });
        while let Ok(Some(message)) = read_message(&mut reader) {
            reader.get_mut().read = 0;
            let answer = match (message.target(), message.header("x-trace-id")) {
                ("/ping", _) => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string(),
                ("/_load", _) => self.load_report(),
                (_, Some(id)) => {
                    let id = id.to_string();
                    self.run(&message, &id, Instant::now())
                }
                _ => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string(),
            };
            writer.write_all(answer.as_bytes()).ok()?;
        }
        None
    }

    /// The load report, in the names that answers use.
    fn load_text(&self) -> String {
        let in_flight = {
            let load = self.load.lock().unwrap();
            load.running + load.waiting
        };
        let arrivals = self.arrivals.lock().unwrap();
        let recent =
            arrivals.iter().rev().take_while(|arrival| arrival.at.elapsed() < Duration::from_secs(1));
        format!("qps={}, inflight={in_flight}, eps=0", recent.count())
    }

    fn load_report(&self) -> String {
        let text = self.load_text();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
    }

    /// Runs a request, and returns the answer to it.
    fn run(&self, message: &Message, id: &str, at: Instant) -> String {
        let class = message.target().trim_start_matches('/').split('/').next().unwrap_or("").to_string();
        self.arrivals.lock().unwrap().push(Arrival { at, id: id.to_string() });
        self.record.line(&format!("server  {} got {id} {class} body {}", self.id, message.body.len()));
        if !self.is_as_sent(id, &message.body) {
            return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_string();
        }
        let expires = message.header("x-expires-in-ms").and_then(|text| text.parse().ok());
        let expires = at + Duration::from_millis(expires.unwrap_or(60_000));
        let never_ran =
            |status: &str| format!("HTTP/1.1 {status}\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        let mut load = self.load.lock().unwrap();
        if load.running >= self.behavior.cores {
            if load.waiting >= self.behavior.queue {
                self.record.line(&format!("server  {} turns {id} away: its queue is full", self.id));
                return never_ran("503 Service Unavailable");
            }
            load.waiting += 1;
            load = self.freed.wait_while(load, |load| load.running >= self.behavior.cores).unwrap();
            load.waiting -= 1;
            if Instant::now() >= expires {
                drop(load);
                self.freed.notify_one();
                self.record.line(&format!("server  {} turns {id} away: its time is over", self.id));
                return never_ran("504 Gateway Timeout");
            }
        }
        load.running += 1;
        drop(load);
        let factor = 1.0 + self.behavior.spread * (2.0 * self.random.lock().unwrap().next() - 1.0);
        thread::sleep((self.behavior.work)(&class).mul_f64(factor));
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_one();
        self.record.line(&format!("server  {} ran {id}", self.id));
        let body = format!("answer to {id}");
        // Boxes that report their load in answers say how busy their cores are.
        let util = self.load.lock().unwrap().running as f64 / self.behavior.cores as f64;
        let report = match self.behavior.reports {
            true => format!("Endpoint-Load-Metrics: TEXT util={util:.2}\r\n"),
            false => String::new(),
        };
        format!("HTTP/1.1 200 OK\r\n{report}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

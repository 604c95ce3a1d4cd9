//! Stand-in endpoints ("boxes"): a few cores, a queue, and answers that name the request for which they were made.

use crate::client::Random;
use crate::http::{Message, read_message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
    /// How long after an answer its second copy is sent, where one is sent.
    pub copy_after: Duration,
    /// How long each message is on its way, in either direction.
    pub one_way: Duration,
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
    pub class: String,
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
    connections: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
    /// The share of answers that a second copy follows, in percent.
    copy_percent: AtomicU64,
    copies: AtomicU64,
}

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
            connections: Mutex::default(),
            stopped: AtomicBool::new(false),
            copy_percent: AtomicU64::new(0),
            copies: AtomicU64::new(0),
        });
        let shared = server.clone();
        thread::spawn(move || shared.accept(listener));
        Ok(server)
    }

    fn accept(self: Arc<Server>, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut listener = Some(listener);
        loop {
            if self.stopped.load(Ordering::SeqCst) {
                // New connections are refused from here on.
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                listener.iter().for_each(|listener| _ = listener.set_nonblocking(true));
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(stream) = stream.try_clone() {
                        self.connections.lock().unwrap().push(stream);
                    }
                    let server = self.clone();
                    thread::spawn(move || server.serve(stream));
                }
                _ => thread::sleep(Duration::from_micros(500)),
            }
        }
    }

    /// Ends the box as a process that dies: connections end, new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("server  {} is stopped", self.id));
    }

    /// Starts the box again, at the same address.
    pub fn start_again(&self) {
        self.stopped.store(false, Ordering::SeqCst);
        self.record.line(&format!("server  {} is started again", self.id));
    }

    /// From now on second copies follow this share of the answers.
    pub fn send_copies(&self, percent: u64) {
        self.copy_percent.store(percent, Ordering::SeqCst);
    }

    /// The number of second copies that were sent.
    pub fn copies(&self) -> u64 {
        self.copies.load(Ordering::SeqCst)
    }

    /// The requests that came, health checks left out.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(self: Arc<Server>, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let last_request = Arc::new(Mutex::new(None));
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_message(&mut reader) {
            // The request is still on its way for a time.
            let at = Instant::now() + self.behavior.one_way;
            *last_request.lock().unwrap() = Some(at);
            thread::sleep(self.behavior.one_way);
            let answer = match (message.target(), message.header("x-trace-id")) {
                ("/ping", _) => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string(),
                ("/_load", _) => self.load_report(),
                (_, Some(id)) => {
                    let id = id.to_string();
                    self.run(&message, &id, at)
                }
                _ => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_string(),
            };
            if self.stopped.load(Ordering::SeqCst) {
                return None;
            }
            if answer.starts_with("HTTP/1.1 200") && message.header("x-trace-id").is_some() {
                self.copy(&writer, &last_request, &answer);
            }
            thread::sleep(self.behavior.one_way);
            writer.lock().unwrap().write_all(answer.as_bytes()).ok()?;
        }
        None
    }

    /// Sends a second copy of some answers, some milliseconds late, and only if nothing else waits on the connection
    /// then: no further request has come. `last_request` tells when the last one has come, which may still lie ahead.
    fn copy(
        self: &Arc<Server>,
        writer: &Arc<Mutex<TcpStream>>,
        last_request: &Arc<Mutex<Option<Instant>>>,
        answer: &str,
    ) {
        let percent = self.copy_percent.load(Ordering::SeqCst);
        if percent == 0 || self.random.lock().unwrap().next() * 100.0 >= percent as f64 {
            return;
        }
        let (server, writer, last_request) = (self.clone(), writer.clone(), last_request.clone());
        let (answer, answered_at) = (answer.to_string(), Instant::now());
        thread::spawn(move || {
            thread::sleep(server.behavior.copy_after);
            let now = Instant::now();
            let has_come = |at: Instant| at > answered_at && at <= now;
            if last_request.lock().unwrap().is_some_and(has_come) {
                return;
            }
            let body = answer.rsplit('\n').next().unwrap_or("");
            server.record.line(&format!("server  {} sends a second copy: {body}", server.id));
            thread::sleep(server.behavior.one_way);
            if writer.lock().unwrap().write_all(answer.as_bytes()).is_ok() {
                server.copies.fetch_add(1, Ordering::SeqCst);
            }
        });
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
        self.arrivals.lock().unwrap().push(Arrival { at, id: id.to_string(), class: class.clone() });
        self.record.line(&format!("server  {} got {id} {class} body {}", self.id, message.body.len()));
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
        let report = match self.behavior.reports {
            true => format!("Endpoint-Load-Metrics: TEXT {}\r\n", self.load_text()),
            false => String::new(),
        };
        let body = format!("answer to {id}");
        format!("HTTP/1.1 200 OK\r\n{report}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

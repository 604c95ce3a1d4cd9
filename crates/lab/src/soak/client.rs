//! Clients that misbehave: beside those that ask one request after another there are some that write many at once, leave
//! early, stop half way, write slowly or send noise. Each keeps account of every request.

use super::plan::Plan;
use super::processes::Front;
use super::record::{Asked, Effect, End, Records, Stalled};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const DIAL: Duration = Duration::from_millis(300);
/// So long past its time an answer is still waited for.
const WAITS_ON: Duration = Duration::from_millis(1500);
/// How long a client that stops waits for its word.
const STALLED_WAITS: Duration = Duration::from_millis(4000);
/// Time limits of requests, drawn.
const LIMITS_MS: [u64; 4] = [250, 500, 900, 1500];
/// Clients of each kind before each sidecar.
const STEADY: usize = 3;
/// Pauses between requests of one client.
const PAUSE_MS: u64 = 90;
const STACK: usize = 192 << 10;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// One request after another on a kept connection.
    Steady,
    /// Several requests at once.
    Pipelines,
    /// It leaves before its answer, or in the same moment.
    Leaves,
    /// It stops in the middle of a request and stays.
    Stops,
    /// It writes its requests in small pieces.
    WritesSlowly,
    /// It sends what is no request.
    SendsNoise,
}

/// All clients of a run; they end when they are told to.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(plan: &Plan, fronts: &[Arc<Front>], records: &Arc<Records>) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let count = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::new();
        for (sidecar, front) in fronts.iter().enumerate() {
            let others = [Manner::Pipelines, Manner::Leaves, Manner::Stops];
            let slow = [[Manner::WritesSlowly, Manner::SendsNoise][sidecar % 2]];
            let manners = [Manner::Steady; STEADY].into_iter().chain(others).chain(slow);
            for (number, manner) in manners.enumerate() {
                let seed = plan.seed << 16 ^ (sidecar * 16 + number) as u64;
                let mut client = Client {
                    manner,
                    sidecar,
                    front: front.clone(),
                    records: records.clone(),
                    stop: stop.clone(),
                    count: count.clone(),
                    rng: ChaCha8Rng::seed_from_u64(seed),
                    conn: None,
                };
                let run = move || client.run();
                threads.extend(thread::Builder::new().stack_size(STACK).spawn(run).ok());
            }
        }
        Clients { stop, threads }
    }

    /// Tells all to end, and comes back when they have.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

struct Client {
    manner: Manner,
    sidecar: usize,
    front: Arc<Front>,
    records: Arc<Records>,
    stop: Arc<AtomicBool>,
    /// Numbers given to requests, of all clients.
    count: Arc<AtomicU64>,
    rng: ChaCha8Rng,
    conn: Option<Conn>,
}

struct Request {
    id: String,
    effect: Effect,
    limit: Duration,
    bytes: Vec<u8>,
}

impl Client {
    fn run(&mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let pause = self.rng.random_range(0..PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            match self.manner {
                Manner::Steady | Manner::WritesSlowly => self.ask(1),
                Manner::Pipelines => {
                    let count = self.rng.random_range(2..9);
                    self.ask(count);
                }
                Manner::Leaves => self.leave(),
                Manner::Stops => self.stall(false),
                Manner::SendsNoise => self.stall(true),
            }
        }
    }

    /// A connection to write on; a new one only where clients are still sent to the process.
    fn connected(&mut self) -> Option<Conn> {
        if let Some(conn) = self.conn.take().filter(|conn| !conn.is_closed()) {
            return Some(conn);
        }
        if !self.front.takes_connections() {
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.front.address, DIAL).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Conn { stream, buffer: Vec::new(), connected: self.records.now(), carried: 0 })
    }

    /// `limit`: how long its client waits. Answers come in order, so what is written at once has one limit.
    fn request(&mut self, limit: u64) -> Request {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let common =
            format!("Host: soak\r\nX-Trace-Id: {id}\r\nX-Customer: t\r\nX-Expires-In-Ms: {limit}\r\n");
        let body = "Content-Length: 4\r\n\r\nbody";
        let (effect, text) = match self.rng.random_range(0..10) {
            0..6 => (Effect::Idempotent, format!("GET /view HTTP/1.1\r\n{common}\r\n")),
            6..8 => {
                let key = format!("Idempotency-Key: k{id}\r\n");
                (Effect::Deduplicated, format!("POST /hold HTTP/1.1\r\n{common}{key}{body}"))
            }
            _ => (Effect::AtMostOnce, format!("POST /confirm HTTP/1.1\r\n{common}{body}")),
        };
        Request { id, effect, limit: Duration::from_millis(limit), bytes: text.into_bytes() }
    }

    fn limit(&mut self) -> u64 {
        LIMITS_MS[self.rng.random_range(0..LIMITS_MS.len())]
    }

    fn record(&self, conn: &Conn, kept: bool, request: &Request, written: Duration, end: End) {
        self.records.asked(Asked {
            request: request.id.clone(),
            effect: request.effect,
            sidecar: self.sidecar,
            connected: conn.connected,
            kept,
            written,
            limit: request.limit,
            end,
            ended: self.records.now(),
        });
    }

    /// Writes so many requests and reads their answers.
    fn ask(&mut self, count: usize) {
        let Some(mut conn) = self.connected() else { return };
        let kept = conn.carried > 0;
        let limit = self.limit();
        let requests: Vec<Request> = (0..count).map(|_| self.request(limit)).collect();
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        let pieces = if self.manner == Manner::WritesSlowly { self.rng.random_range(2..6) } else { 1 };
        for (number, piece) in bytes.chunks(bytes.len() / pieces + 1).enumerate() {
            if number > 0 {
                thread::sleep(Duration::from_millis(self.rng.random_range(5..120)));
            }
            if conn.stream.write_all(piece).is_err() {
                if pieces == 1 {
                    requests.iter().for_each(|request| {
                        let end = End::ConnectionEnded { answer_begun: false };
                        self.record(&conn, kept, request, self.records.now(), end);
                    });
                }
                return;
            }
        }
        let written = self.records.now();
        for (number, request) in requests.iter().enumerate() {
            let wait = (written + request.limit + WAITS_ON).saturating_sub(self.records.now());
            let end = match conn.answer(wait.max(Duration::from_millis(1))) {
                Ok(answer) => {
                    let own_body = answer.status != 200 || answer.body == request.id.as_bytes();
                    self.record(
                        &conn,
                        kept,
                        request,
                        written,
                        End::Answered { status: answer.status, own_body },
                    );
                    conn.carried += 1;
                    if answer.closes {
                        // It is told that what it wrote behind this is not answered.
                        for unheard in &requests[number + 1..] {
                            let end = End::ConnectionEnded { answer_begun: false };
                            self.record(&conn, kept, unheard, written, end);
                        }
                        return;
                    }
                    continue;
                }
                Err(wrong) if matches!(wrong.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    End::NoAnswer
                }
                Err(_) => End::ConnectionEnded { answer_begun: !conn.buffer.is_empty() },
            };
            // Those behind it share its end.
            for unheard in &requests[number..] {
                self.record(&conn, kept, unheard, written, end.clone());
            }
            return;
        }
        self.conn = Some(conn);
    }

    fn leave(&mut self) {
        let Some(mut conn) = self.connected() else { return };
        let limit = self.limit();
        let request = self.request(limit);
        if conn.stream.write_all(&request.bytes).is_err() {
            return;
        }
        let written = self.records.now();
        thread::sleep(Duration::from_millis(self.rng.random_range(0..60)));
        if self.rng.random() {
            let _ = rustix::net::sockopt::set_socket_linger(&conn.stream, Some(Duration::ZERO));
        }
        let kept = conn.carried > 0;
        self.record(&conn, kept, &request, written, End::Left);
    }

    fn stall(&mut self, noise: bool) {
        let Some(mut conn) = self.connected() else { return };
        let limit = self.limit();
        let request = self.request(limit);
        let cut = self.rng.random_range(1..request.bytes.len());
        let bytes: Vec<u8> = if noise {
            (0..cut).map(|_| self.rng.random_range(0..=127)).chain(*b"\r\n\r\n").collect()
        } else {
            request.bytes[..cut].to_vec()
        };
        if conn.stream.write_all(&bytes).is_err() {
            return;
        }
        let since = self.records.now();
        let told = match conn.answer(STALLED_WAITS) {
            Err(wrong) if matches!(wrong.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            _ => Some(self.records.now()),
        };
        if !self.stop.load(Ordering::Relaxed) {
            self.records.stalled(Stalled { sidecar: self.sidecar, since, told });
        }
    }
}

struct Conn {
    stream: TcpStream,
    /// What came and was not taken for an answer yet.
    buffer: Vec<u8>,
    connected: Duration,
    /// How many requests it has carried.
    carried: usize,
}

struct Answer {
    status: u16,
    body: Vec<u8>,
    /// No other answer follows.
    closes: bool,
}

impl Conn {
    fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let looked = self.stream.peek(&mut [0]);
        let open = looked.is_err_and(|wrong| wrong.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_err() || !open
    }

    /// The next answer, whole, within this span.
    fn answer(&mut self, within: Duration) -> io::Result<Answer> {
        let until = std::time::Instant::now() + within;
        let mut ended = false;
        loop {
            if let Some((answer, taken)) = whole_answer(&self.buffer, ended)? {
                self.buffer.drain(..taken);
                return Ok(answer);
            }
            if ended {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let left = until.saturating_duration_since(std::time::Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => ended = true,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
                Err(wrong) => return Err(wrong),
            }
        }
    }
}

/// The answer that these bytes begin with, if it is whole, and how many of them it takes. `ended`: no more will come.
fn whole_answer(bytes: &[u8], ended: bool) -> io::Result<Option<(Answer, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let odd = |what: &str| io::Error::new(ErrorKind::InvalidData, what.to_string());
    let Ok(parsed) = head.parse(bytes) else { return Err(odd("this is no answer")) };
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let status = head.code.unwrap_or(0);
    let named = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let closes = named("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
    let rest = &bytes[length..];
    if named("transfer-encoding").is_some() {
        return Ok(whole_chunks(rest).map(|(body, taken)| (Answer { status, body, closes }, length + taken)));
    }
    match named("content-length").map(str::parse::<usize>) {
        Some(Ok(size)) if rest.len() >= size => {
            Ok(Some((Answer { status, body: rest[..size].to_vec(), closes }, length + size)))
        }
        Some(Ok(_)) => Ok(None),
        Some(Err(_)) => Err(odd("Content-Length is no number")),
        None if ended => Ok(Some((Answer { status, body: rest.to_vec(), closes: true }, bytes.len()))),
        None => Ok(None),
    }
}

fn whole_chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Ok(httparse::Status::Complete((line, size))) = httparse::parse_chunk_size(&bytes[at..]) else {
            return None;
        };
        let size = usize::try_from(size).ok()?;
        let begin = at + line;
        body.extend_from_slice(bytes.get(begin..begin + size)?);
        at = begin + size + 2;
        if bytes.len() < at {
            return None;
        }
        if size == 0 {
            return Some((body, at));
        }
    }
}

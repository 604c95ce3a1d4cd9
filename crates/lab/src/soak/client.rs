//! Test clients. Some send one request after another; others pipeline requests, leave early, stop in the middle of a
//! request, write slowly or send invalid data. Every request is recorded.

use super::plan::Plan;
use super::processes::ClientAccess;
use super::record::{Effect, Recorder, RequestOutcome, RequestRecord, StalledClient};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Responses are awaited this long past the time limit of the request.
const RESPONSE_GRACE: Duration = Duration::from_millis(1500);
/// How long a client that stops in the middle of a request waits for a response or a close.
const STALLED_CLIENT_WAIT: Duration = Duration::from_millis(4000);
/// Time limits of requests, chosen at random.
const TIME_LIMITS_MS: [u64; 4] = [250, 500, 900, 1500];
/// Number of steady clients of each sidecar; there is one of each other behavior.
const STEADY_CLIENTS: usize = 3;
/// Longest pause of a client between requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 90;
const THREAD_STACK_BYTES: usize = 192 << 10;

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehavior {
    /// Sends one request after another on a reused connection.
    Steady,
    /// Sends several requests at once.
    Pipeline,
    /// Leaves before its response, or at the same time.
    Leave,
    /// Stops in the middle of a request and stays connected.
    Stop,
    /// Writes its requests in small pieces.
    WriteSlowly,
    /// Sends invalid data.
    SendInvalidData,
}

/// All clients of a run.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts the clients of all sidecars, each in a thread of its own; clients whose thread cannot be created are
    /// left out.
    pub fn start(plan: &Plan, targets: &[Arc<ClientAccess>], recorder: &Arc<Recorder>) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let count = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::new();
        for (sidecar, target) in targets.iter().enumerate() {
            let others = [ClientBehavior::Pipeline, ClientBehavior::Leave, ClientBehavior::Stop];
            let slow = [[ClientBehavior::WriteSlowly, ClientBehavior::SendInvalidData][sidecar % 2]];
            let behaviors = [ClientBehavior::Steady; STEADY_CLIENTS].into_iter().chain(others).chain(slow);
            for (number, behavior) in behaviors.enumerate() {
                let seed = plan.seed << 16 ^ (sidecar * 16 + number) as u64;
                let mut client = Client {
                    behavior,
                    sidecar,
                    target: target.clone(),
                    recorder: recorder.clone(),
                    stop: stop.clone(),
                    count: count.clone(),
                    rng: ChaCha8Rng::seed_from_u64(seed),
                    connection: None,
                };
                let run = move || client.run();
                threads.extend(thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(run).ok());
            }
        }
        Clients { stop, threads }
    }

    /// Stops all clients and waits until they have ended.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

struct Client {
    behavior: ClientBehavior,
    sidecar: usize,
    target: Arc<ClientAccess>,
    recorder: Arc<Recorder>,
    stop: Arc<AtomicBool>,
    /// Number of requests of all clients, from which the request ids are made.
    count: Arc<AtomicU64>,
    rng: ChaCha8Rng,
    connection: Option<Connection>,
}

struct Request {
    id: String,
    effect: Effect,
    time_limit: Duration,
    bytes: Vec<u8>,
}

impl Client {
    fn run(&mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let pause = self.rng.random_range(0..MAX_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            match self.behavior {
                ClientBehavior::Steady | ClientBehavior::WriteSlowly => self.send_requests(1),
                ClientBehavior::Pipeline => {
                    let count = self.rng.random_range(2..9);
                    self.send_requests(count);
                }
                ClientBehavior::Leave => self.leave(),
                ClientBehavior::Stop => self.stall(false),
                ClientBehavior::SendInvalidData => self.stall(true),
            }
        }
    }

    /// A connection to the sidecar; a new one only while clients may connect to it.
    fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take().filter(|connection| !connection.is_closed()) {
            return Some(connection);
        }
        if !self.target.accepts_connections() {
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.target.address, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, buffer: Vec::new(), connected: self.recorder.now(), responses: 0 })
    }

    /// A new request with a time limit in milliseconds. Responses come in order, so pipelined requests share a limit.
    fn new_request(&mut self, time_limit: u64) -> Request {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let common =
            format!("Host: soak\r\nX-Trace-Id: {id}\r\nX-Customer: t\r\nX-Expires-In-Ms: {time_limit}\r\n");
        let body = "Content-Length: 4\r\n\r\nbody";
        let (effect, text) = match self.rng.random_range(0..10) {
            0..6 => (Effect::Idempotent, format!("GET /view HTTP/1.1\r\n{common}\r\n")),
            6..8 => {
                let key = format!("Idempotency-Key: k{id}\r\n");
                (Effect::Deduplicated, format!("POST /hold HTTP/1.1\r\n{common}{key}{body}"))
            }
            _ => (Effect::AtMostOnce, format!("POST /confirm HTTP/1.1\r\n{common}{body}")),
        };
        Request { id, effect, time_limit: Duration::from_millis(time_limit), bytes: text.into_bytes() }
    }

    fn random_time_limit(&mut self) -> u64 {
        TIME_LIMITS_MS[self.rng.random_range(0..TIME_LIMITS_MS.len())]
    }

    fn record(
        &self,
        connection: &Connection,
        reused: bool,
        request: &Request,
        written: Duration,
        outcome: RequestOutcome,
    ) {
        self.recorder.record_request(RequestRecord {
            request_id: request.id.clone(),
            effect: request.effect,
            sidecar: self.sidecar,
            connected: connection.connected,
            reused,
            written,
            time_limit: request.time_limit,
            outcome,
            ended: self.recorder.now(),
        });
    }

    /// Writes this many requests and reads their responses.
    fn send_requests(&mut self, count: usize) {
        let Some(mut connection) = self.connect() else { return };
        let reused = connection.responses > 0;
        let time_limit = self.random_time_limit();
        let requests: Vec<Request> = (0..count).map(|_| self.new_request(time_limit)).collect();
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        let pieces =
            if self.behavior == ClientBehavior::WriteSlowly { self.rng.random_range(2..6) } else { 1 };
        for (number, piece) in bytes.chunks(bytes.len() / pieces + 1).enumerate() {
            if number > 0 {
                thread::sleep(Duration::from_millis(self.rng.random_range(5..120)));
            }
            if connection.stream.write_all(piece).is_err() {
                if pieces == 1 {
                    requests.iter().for_each(|request| {
                        let outcome = RequestOutcome::ConnectionEnded { response_begun: false };
                        self.record(&connection, reused, request, self.recorder.now(), outcome);
                    });
                }
                return;
            }
        }
        let written = self.recorder.now();
        for (number, request) in requests.iter().enumerate() {
            let wait = (written + request.time_limit + RESPONSE_GRACE).saturating_sub(self.recorder.now());
            let outcome = match connection.read_response(wait.max(Duration::from_millis(1))) {
                Ok(response) => {
                    let body_matches = response.status != 200 || response.body == request.id.as_bytes();
                    self.record(
                        &connection,
                        reused,
                        request,
                        written,
                        RequestOutcome::Answered { status: response.status, body_matches },
                    );
                    connection.responses += 1;
                    if response.closes {
                        // The sidecar announces that it does not respond to the requests behind this one.
                        for unanswered in &requests[number + 1..] {
                            let outcome = RequestOutcome::ConnectionEnded { response_begun: false };
                            self.record(&connection, reused, unanswered, written, outcome);
                        }
                        return;
                    }
                    continue;
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    RequestOutcome::NoResponse
                }
                Err(_) => RequestOutcome::ConnectionEnded { response_begun: !connection.buffer.is_empty() },
            };
            // The requests behind it have the same outcome.
            for unanswered in &requests[number..] {
                self.record(&connection, reused, unanswered, written, outcome.clone());
            }
            return;
        }
        self.connection = Some(connection);
    }

    /// Sends a request and closes the connection soon after.
    fn leave(&mut self) {
        let Some(mut connection) = self.connect() else { return };
        let time_limit = self.random_time_limit();
        let request = self.new_request(time_limit);
        if connection.stream.write_all(&request.bytes).is_err() {
            return;
        }
        let written = self.recorder.now();
        thread::sleep(Duration::from_millis(self.rng.random_range(0..60)));
        if self.rng.random() {
            let _ = rustix::net::sockopt::set_socket_linger(&connection.stream, Some(Duration::ZERO));
        }
        let reused = connection.responses > 0;
        self.record(&connection, reused, &request, written, RequestOutcome::ClientLeft);
    }

    /// Sends a part of a request, or invalid data, and waits for a response or a close.
    fn stall(&mut self, invalid: bool) {
        let Some(mut connection) = self.connect() else { return };
        let time_limit = self.random_time_limit();
        let request = self.new_request(time_limit);
        let cut = self.rng.random_range(1..request.bytes.len());
        let bytes: Vec<u8> = if invalid {
            (0..cut).map(|_| self.rng.random_range(0..=127)).chain(*b"\r\n\r\n").collect()
        } else {
            request.bytes[..cut].to_vec()
        };
        if connection.stream.write_all(&bytes).is_err() {
            return;
        }
        let since = self.recorder.now();
        let notified = match connection.read_response(STALLED_CLIENT_WAIT) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            _ => Some(self.recorder.now()),
        };
        if !self.stop.load(Ordering::Relaxed) {
            self.recorder.record_stalled_client(StalledClient { sidecar: self.sidecar, since, notified });
        }
    }
}

struct Connection {
    stream: TcpStream,
    /// Received bytes that are not part of a returned response.
    buffer: Vec<u8>,
    connected: Duration,
    /// Number of responses received on the connection.
    responses: usize,
}

struct Response {
    status: u16,
    body: Vec<u8>,
    /// Whether no other response follows.
    closes: bool,
}

impl Connection {
    fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let open = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_err() || !open
    }

    /// The next complete response; an error if it does not arrive within this time.
    fn read_response(&mut self, within: Duration) -> io::Result<Response> {
        let deadline = std::time::Instant::now() + within;
        let mut ended = false;
        loop {
            if let Some((response, consumed)) = parse_response(&self.buffer, ended)? {
                self.buffer.drain(..consumed);
                return Ok(response);
            }
            if ended {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let remaining = deadline.saturating_duration_since(std::time::Instant::now());
            if remaining.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(remaining))?;
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => ended = true,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// The response at the start of these bytes, if it is complete, and its length. `ended`: no more bytes follow.
fn parse_response(bytes: &[u8], ended: bool) -> io::Result<Option<(Response, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let invalid_data = |what: &str| io::Error::new(ErrorKind::InvalidData, what.to_string());
    let Ok(parsed) = head.parse(bytes) else { return Err(invalid_data("invalid response")) };
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let status = head.code.unwrap_or(0);
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let closes = header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
    let rest = &bytes[length..];
    if header("transfer-encoding").is_some() {
        return Ok(
            parse_chunks(rest).map(|(body, consumed)| (Response { status, body, closes }, length + consumed))
        );
    }
    match header("content-length").map(str::parse::<usize>) {
        Some(Ok(size)) if rest.len() >= size => {
            Ok(Some((Response { status, body: rest[..size].to_vec(), closes }, length + size)))
        }
        Some(Ok(_)) => Ok(None),
        Some(Err(_)) => Err(invalid_data("Content-Length is not a number")),
        None if ended => Ok(Some((Response { status, body: rest.to_vec(), closes: true }, bytes.len()))),
        None => Ok(None),
    }
}

fn parse_chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
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

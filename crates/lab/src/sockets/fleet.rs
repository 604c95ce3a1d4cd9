//! Test servers: they read requests, take the processing time that the plan sets, and fail according to their state.
//! Each connection has a thread; each server has a number of cores and a bounded queue.

use super::ledger::RuleChecker;
use super::message::{HttpMessage, Peer, response_bytes};
use super::ports::bind_loopback;
use crate::cold::{ColdPeaks, OfferedWork, OverloadBound};
use crate::plan::{RetrySafety, WorkDistribution};
use crate::world::work_multiple;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Threads that serve connections need little stack, and there may be thousands of them.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// Interval at which waiting threads check whether they should go on waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request class as a server processes it.
#[derive(Clone, Debug)]
pub struct ServedRequestClass {
    pub name: String,
    pub retry_safety: RetrySafety,
    /// Mean processing time, in seconds of a core.
    pub mean_work: f64,
    pub work_distribution: WorkDistribution,
    /// Requests that the server sends to the next tier for each of these.
    pub downstream_calls: u32,
}

/// The request classes of a tier, shared by its servers.
pub type ServedRequestClasses = Arc<Vec<ServedRequestClass>>;

/// Address through which servers call the next tier; None at the last tier.
pub type NextTier = Option<SocketAddr>;

/// The state of a server, which faults change while it runs.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Factor on the processing time.
    pub slowdown: f64,
    /// Fraction of requests that fail at once.
    pub error_fraction: f64,
    /// The request class that fails; None if all classes do.
    pub error_class: Option<String>,
    /// Factor on the processing time of heavy requests.
    pub heavy_factor: f64,
    /// Fraction of requests that are heavy.
    pub heavy_fraction: f64,
    /// Starts no requests; they wait in the queue.
    pub paused: bool,
    /// Reads requests and sends no responses.
    pub silent: bool,
    /// Refuses connections, as if its process were down.
    pub down: bool,
    /// Connections that were opened before this time get no more responses.
    pub half_open_before: Option<Instant>,
    /// Start of the current process, from which the server warms up; None if it is warm.
    pub cold_since: Option<Instant>,
    /// Start of draining; `None` if the server is not draining.
    pub draining_since: Option<Instant>,
    /// A false load that is reported instead of the real one.
    pub false_load: Option<crate::plan::FalseLoad>,
}

impl Default for ServerState {
    fn default() -> ServerState {
        ServerState {
            slowdown: 1.0,
            error_fraction: 0.0,
            error_class: None,
            heavy_factor: 1.0,
            heavy_fraction: 0.0,
            paused: false,
            silent: false,
            down: false,
            half_open_before: None,
            cold_since: None,
            draining_since: None,
            false_load: None,
        }
    }
}

/// Properties of a server that do not change while it runs.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub name: String,
    /// Number of requests that are processed at the same time.
    pub cores: usize,
    pub queue_limit: usize,
    /// Speed when warm; 1 is nominal.
    pub speed: f64,
    /// Fraction of its speed that a cold server starts with.
    pub initial_fraction: f64,
    /// Time until a cold server has its full speed.
    pub warmup: Duration,
    /// The work that overloads a cold server; None if this is not checked.
    pub overload_limit: Option<OverloadLimit>,
    /// Time after the start of draining during which new requests are allowed.
    pub drain_grace: Duration,
    /// Whether responses carry a load report.
    pub reports_load: bool,
    pub next_tier: NextTier,
    pub seed: u64,
}

/// The limit of rule 4: a cold server is overloaded by more than `multiple` times the work that it can do in a window.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// Multiple of the work that the server can do in the window.
    pub multiple: f64,
    /// Length of the window.
    pub window: Duration,
    /// Fewer requests than this within a window never overload a server.
    pub min_requests: usize,
}

/// A running test server.
pub struct Server {
    /// Properties that do not change.
    pub config: ServerConfig,
    pub address: SocketAddr,
    state: Mutex<ServerState>,
    free_cores: Mutex<usize>,
    core_freed: Condvar,
    /// Start of the current cold process, the work sent to it, and the peaks of the cold processes before.
    cold_load: Mutex<(Option<Instant>, OfferedWork, ColdPeaks)>,
    queued: AtomicU32,
    in_flight: AtomicU32,
    /// Number of requests received, including rejected ones.
    pub received_requests: AtomicU64,
    /// The last true load report: requests in flight in the upper 32 bits, queued requests in the lower.
    last_report: AtomicU64,
    request_classes: ServedRequestClasses,
    rule_checker: Arc<RuleChecker>,
    stopped: AtomicBool,
}

/// The servers of a tier; dropping the group stops them.
pub struct ServerGroup {
    /// The servers, in the order in which they were added.
    pub servers: Vec<Arc<Server>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // A thread that panics leaves no value incomplete.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServerGroup {
    /// Creates a group without servers.
    pub fn empty() -> ServerGroup {
        ServerGroup { servers: Vec::new() }
    }

    /// Starts a server on an unused loopback port and adds it; an error if the port or thread cannot be created.
    pub fn add(
        &mut self,
        config: ServerConfig,
        request_classes: ServedRequestClasses,
        rule_checker: Arc<RuleChecker>,
    ) -> io::Result<Arc<Server>> {
        let listener = bind_loopback()?;
        let server = Arc::new(Server {
            address: listener.local_addr()?,
            free_cores: Mutex::new(config.cores),
            config,
            state: Mutex::default(),
            core_freed: Condvar::new(),
            cold_load: Mutex::default(),
            queued: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
            received_requests: AtomicU64::new(0),
            last_report: AtomicU64::new(0),
            request_classes,
            rule_checker,
            stopped: AtomicBool::new(false),
        });
        let shared = server.clone();
        thread::Builder::new()
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || shared.accept_connections(listener))?;
        self.servers.push(server.clone());
        Ok(server)
    }
}

impl Drop for ServerGroup {
    fn drop(&mut self) {
        self.servers.iter().for_each(|server| server.stop());
    }
}

impl Server {
    /// Changes the state and wakes the threads that wait for it.
    pub fn update_state(&self, change: impl FnOnce(&mut ServerState)) {
        change(&mut lock(&self.state));
        self.core_freed.notify_all();
        if lock(&self.state).down {
            self.wake_listener();
        }
    }

    /// Returns a copy of the current state.
    pub fn state(&self) -> ServerState {
        lock(&self.state).clone()
    }

    /// Requests in flight per core.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight.load(Ordering::Relaxed)) / self.config.cores as f64
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.wake_listener();
    }

    /// Connects to the server itself, so that the accepting thread checks the state.
    fn wake_listener(&self) {
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }

    fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        let mut listening = Some(listener);
        while !self.stopped.load(Ordering::Relaxed) {
            if self.state().down {
                // The listener is closed, so that connections are refused.
                listening = None;
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            let Some(listener) = listening.take().or_else(|| TcpListener::bind(self.address).ok()) else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            if let Ok((stream, _)) = listener.accept()
                && !self.state().down
                && !self.stopped.load(Ordering::Relaxed)
            {
                let shared = self.clone();
                let _ = thread::Builder::new()
                    .stack_size(THREAD_STACK_BYTES)
                    .spawn(move || shared.serve_connection(stream));
            }
            listening = Some(listener);
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let opened = Instant::now();
        let mut peer = Peer::new(stream);
        let mut rng = ChaCha8Rng::seed_from_u64(self.config.seed ^ u64::from(self.address.port()));
        let mut next_tier_connection: Option<Peer> = None;
        // A thread must not wait forever for a connection that the other side never closes.
        peer.set_read_timeout(Some(Duration::from_secs(300)));
        while let Ok(Some(request)) = peer.read_request() {
            let half_open = self.state().half_open_before.is_some_and(|before| opened < before);
            if half_open || self.state().silent {
                self.stay_silent(&peer, half_open);
                return;
            }
            let Some(bytes) = self.respond(&request, &mut rng, &mut next_tier_connection) else { return };
            if self.state().down || peer.write(&bytes).is_err() {
                return;
            }
        }
    }

    /// Keeps the connection open without a response until the other side closes it or the silence ends.
    fn stay_silent(&self, peer: &Peer, forever: bool) {
        peer.set_read_timeout(Some(Duration::from_millis(100)));
        while !self.stopped.load(Ordering::Relaxed) && (forever || self.state().silent) {
            match peer.stream.peek(&mut [0]) {
                Ok(0) => return,
                Ok(_) => thread::sleep(POLL_INTERVAL),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// The response to a request. None if the server goes down meanwhile: the connection is closed.
    fn respond(
        &self,
        request: &HttpMessage,
        rng: &mut ChaCha8Rng,
        next_tier_connection: &mut Option<Peer>,
    ) -> Option<Vec<u8>> {
        match request.path() {
            "/ping" => return Some(response_bytes(200, "", b"")),
            "/_load" => return Some(response_bytes(200, "", self.report().as_bytes())),
            _ => {}
        }
        let Some(class) = self.request_classes.iter().find(|class| class.name == request.request_class())
        else {
            return Some(response_bytes(404, "", b"no such verb"));
        };
        self.received_requests.fetch_add(1, Ordering::Relaxed);
        let request_id = request.header("x-trace-id").unwrap_or("");
        let state = self.state();
        if let Some(late) =
            state.draining_since.map(|since| since.elapsed()).filter(|late| *late > self.config.drain_grace)
        {
            self.rule_checker.attempt_after_grace(request_id, &self.config.name, late);
        }
        if let Some(cold_since) = state.cold_since {
            self.record_cold_work(cold_since, class.mean_work, &state);
        }
        if self.in_flight.load(Ordering::Relaxed) as usize >= self.config.queue_limit + self.config.cores {
            return Some(self.response_with_load(503, "X-Never-Ran: 1\r\n", b"full"));
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let response = self.process(request, class, request_id, rng, next_tier_connection);
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        response
    }

    fn process(
        &self,
        request: &HttpMessage,
        class: &ServedRequestClass,
        request_id: &str,
        rng: &mut ChaCha8Rng,
        next_tier_connection: &mut Option<Peer>,
    ) -> Option<Vec<u8>> {
        if !self.acquire_core() {
            return None;
        }
        self.rule_checker.attempt_started(request_id, &self.config.name, class.retry_safety);
        let state = self.state();
        let affected = state.error_class.as_ref().is_none_or(|failing| *failing == class.name);
        let fails = affected && state.error_fraction > 0.0 && rng.random::<f64>() < state.error_fraction;
        if !fails && class.mean_work > 0.0 {
            let heavy = state.heavy_fraction > 0.0 && rng.random::<f64>() < state.heavy_fraction;
            let work = class.mean_work
                * work_multiple(class.work_distribution, rng)
                * if heavy { state.heavy_factor } else { 1.0 };
            thread::sleep(Duration::from_secs_f64(work * state.slowdown / self.speed(&state)));
        }
        self.release_core();
        if self.state().down {
            return None;
        }
        let succeeded = !fails
            && (0..class.downstream_calls).all(|call_number| {
                self.send_to_next_tier(request, class, request_id, call_number, next_tier_connection)
            });
        Some(if succeeded {
            self.response_with_load(200, "", b"done")
        } else {
            self.response_with_load(500, "", b"failed")
        })
    }

    /// Records work sent to a cold server, including that of rejected requests, from all sidecars together. Overload is
    /// reported to the rule checker; the server continues.
    fn record_cold_work(&self, cold_since: Instant, work: f64, state: &ServerState) {
        let Some(limit) = self.config.overload_limit.filter(|_| cold_since.elapsed() < self.config.warmup)
        else {
            return;
        };
        let mean = self.request_classes.iter().map(|class| class.mean_work).sum::<f64>()
            / self.request_classes.len().max(1) as f64;
        let (mut offered_work, mean) = (lock(&self.cold_load), mean.max(1e-9));
        let (process_start, offered_work, peaks) = &mut *offered_work;
        if process_start.replace(cold_since) != Some(cold_since) {
            offered_work.finish_process(peaks);
        }
        let capacity = self.config.cores as f64 * self.speed(state) * limit.window.as_secs_f64();
        let bound = OverloadBound {
            window: limit.window,
            budget: limit.multiple * capacity / mean,
            min_requests: limit.min_requests,
        };
        if offered_work.record(&self.config.name, self.rule_checker.now(), work / mean, bound) {
            self.rule_checker.cold_server_overloaded(
                &self.config.name,
                offered_work.total() * mean,
                capacity,
            );
            offered_work.clear();
        }
    }

    /// Peaks of the work sent to the server while it was cold. Ends the record of the current process.
    pub fn cold_peaks(&self) -> ColdPeaks {
        let mut offered_work = lock(&self.cold_load);
        let (_, offered_work, peaks) = &mut *offered_work;
        offered_work.finish_process(peaks);
        peaks.clone()
    }

    fn speed(&self, state: &ServerState) -> f64 {
        let ServerConfig { speed, initial_fraction, warmup, .. } = &self.config;
        let Some(cold_since) = state.cold_since else { return *speed };
        let warmed = cold_since.elapsed().as_secs_f64() / warmup.as_secs_f64().max(1e-3);
        speed * (initial_fraction + (1.0 - initial_fraction) * warmed).min(1.0)
    }

    /// Waits for a core; false if the server goes down or is stopped meanwhile.
    fn acquire_core(&self) -> bool {
        self.queued.fetch_add(1, Ordering::Relaxed);
        let mut free_cores = lock(&self.free_cores);
        let acquired = loop {
            if self.stopped.load(Ordering::Relaxed) || self.state().down {
                break false;
            }
            if *free_cores > 0 && !self.state().paused {
                *free_cores -= 1;
                break true;
            }
            free_cores = self
                .core_freed
                .wait_timeout(free_cores, POLL_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        };
        drop(free_cores);
        self.queued.fetch_sub(1, Ordering::Relaxed);
        acquired
    }

    fn release_core(&self) {
        *lock(&self.free_cores) += 1;
        self.core_freed.notify_one();
    }

    /// Sends a request to the next tier, with an id of its own and the remaining time. Returns whether it succeeded.
    fn send_to_next_tier(
        &self,
        request: &HttpMessage,
        class: &ServedRequestClass,
        request_id: &str,
        call_number: u32,
        next_tier_connection: &mut Option<Peer>,
    ) -> bool {
        let Some(address) = self.config.next_tier else { return true };
        let remaining_ms: u64 =
            request.header("x-expires-in-ms").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let method = request.method();
        let key = match class.retry_safety {
            RetrySafety::Idempotent | RetrySafety::NonIdempotent => String::new(),
            _ => format!("Idempotency-Key: {request_id}.{call_number}\r\n"),
        };
        let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
        let bytes = format!(
            "{method} /{} HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: {request_id}.{}.{call_number}\r\nX-Customer: lab\r\n\
             X-Expires-In-Ms: {remaining_ms}\r\n{key}{length}\r\n",
            class.name, self.config.name
        );
        for _ in 0..2 {
            let reused = next_tier_connection.is_some();
            let peer = match next_tier_connection.take() {
                Some(peer) => Some(peer),
                None => TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok().map(Peer::new),
            };
            let Some(mut peer) = peer else { return false };
            peer.set_read_timeout(Some(Duration::from_millis(remaining_ms + 100)));
            let response = peer.write(bytes.as_bytes()).and_then(|()| peer.read_response());
            match response {
                Ok(response) => {
                    let closes =
                        response.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
                    *next_tier_connection = (!closes).then_some(peer);
                    return response.status() == Some(200);
                }
                // A reused connection may have been closed meanwhile; a request sent across the close was not read.
                Err(error) if reused && error.kind() != io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        false
    }

    fn report(&self) -> String {
        use crate::plan::FalseLoad;
        let (queued, in_flight) = match self.state().false_load {
            Some(FalseLoad::Idle) => (0, 0),
            Some(FalseLoad::Frozen) => {
                let last_report = self.last_report.load(Ordering::Relaxed);
                (last_report as u32, (last_report >> 32) as u32)
            }
            Some(FalseLoad::Busy) => (self.config.queue_limit as u32, self.config.queue_limit as u32),
            None => {
                let (queued, in_flight) =
                    (self.queued.load(Ordering::Relaxed), self.in_flight.load(Ordering::Relaxed));
                self.last_report.store(u64::from(in_flight) << 32 | u64::from(queued), Ordering::Relaxed);
                (queued, in_flight)
            }
        };
        format!("TEXT inflight={in_flight}, queue={queued}")
    }

    fn response_with_load(&self, status: u16, more: &str, body: &[u8]) -> Vec<u8> {
        if self.config.reports_load {
            response_bytes(status, &format!("{more}Endpoint-Load-Metrics: {}\r\n", self.report()), body)
        } else {
            response_bytes(status, more, body)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn breach_counts(requests: usize, cold: bool) -> [u64; 4] {
        let rule_checker = Arc::new(RuleChecker::new(Instant::now()));
        let config = ServerConfig {
            name: "s".into(),
            cores: 1,
            queue_limit: 64,
            speed: 1.0,
            initial_fraction: 0.3,
            warmup: Duration::from_secs(60),
            overload_limit: Some(OverloadLimit {
                multiple: 3.0,
                window: Duration::from_secs(2),
                min_requests: 8,
            }),
            drain_grace: Duration::ZERO,
            reports_load: false,
            next_tier: None,
            seed: 1,
        };
        let class = ServedRequestClass {
            name: "view".into(),
            retry_safety: RetrySafety::Idempotent,
            mean_work: 0.05,
            work_distribution: WorkDistribution::Fixed,
            downstream_calls: 0,
        };
        let mut group = ServerGroup::empty();
        let server = group
            .add(config, Arc::new(vec![class]), rule_checker.clone())
            .expect("failed to start the server");
        if cold {
            server.update_state(|state| state.cold_since = Some(Instant::now()));
        }
        let send_request = || {
            let mut peer = Peer::new(TcpStream::connect(server.address).expect("failed to connect"));
            peer.write(b"GET /view HTTP/1.1\r\nHost: x\r\n\r\n").expect("failed to send the request");
            peer
        };
        // All requests arrive before the first response: a core takes a sixth of a second for each.
        let connections: Vec<Peer> = (0..requests).map(|_| send_request()).collect();
        let start = Instant::now();
        while (server.received_requests.load(Ordering::Relaxed) as usize) < requests {
            assert!(start.elapsed() < Duration::from_secs(5), "not all requests arrived in time");
            thread::yield_now();
        }
        drop(connections);
        rule_checker.results().1
    }

    /// The cold server can do 0.6 s of work in the window and is overloaded by more than 1.8 s, which is 36 requests.
    #[test]
    fn excess_work_overloads_a_cold_server_only() {
        assert_eq!(breach_counts(30, true), [0; 4]);
        assert_eq!(breach_counts(45, true), [0, 0, 0, 1]);
        assert_eq!(breach_counts(45, false), [0; 4]);
    }
}

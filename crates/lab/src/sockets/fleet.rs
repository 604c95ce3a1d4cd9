//! Stand-in servers: they read the platform's commands, take the time that the plan gives, and fail as told.
//! A thread to each connection, a count of cores and a bounded queue to each server.

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

/// A thread that serves a connection needs little; there may be thousands.
const STACK: usize = 256 << 10;
/// How often what waits looks whether it still should.
const LOOK: Duration = Duration::from_millis(20);

/// A verb as a server does it.
#[derive(Clone, Debug)]
pub struct ServedRequestClass {
    pub name: String,
    pub retry_safety: RetrySafety,
    /// Mean seconds of a core.
    pub mean_work: f64,
    pub work_distribution: WorkDistribution,
    /// Calls to the next tier.
    pub downstream_calls: u32,
}

pub type ServedRequestClasses = Arc<Vec<ServedRequestClass>>;

/// By which address servers call the next tier.
pub type NextTier = Option<SocketAddr>;

/// How a server does by now; changed while it runs.
#[derive(Clone, Debug)]
pub struct ServerState {
    pub slowdown: f64,
    /// The share of commands that fails at once, and of which verb alone.
    pub error_fraction: f64,
    pub error_class: Option<String>,
    pub heavy_factor: f64,
    pub heavy_fraction: f64,
    pub paused: bool,
    /// Reads and says nothing.
    pub silent: bool,
    /// Its process is down: connections are refused.
    pub down: bool,
    /// Connections older than this moment get no answer any more.
    pub half_open_before: Option<Instant>,
    pub cold_since: Option<Instant>,
    pub draining_since: Option<Instant>,
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

/// What a server is from its start on.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub name: String,
    pub cores: usize,
    pub queue_limit: usize,
    pub speed: f64,
    pub initial_fraction: f64,
    pub warmup: Duration,
    /// A cold one is pushed over by more than so many times the work that it can do within the window; by any where the
    /// rule does not hold here.
    pub overload_limit: Option<OverloadLimit>,
    pub drain_grace: Duration,
    pub reports_load: bool,
    pub next_tier: NextTier,
    pub seed: u64,
}

/// Rule 4 as a server knows it.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    pub multiple: f64,
    pub window: Duration,
    /// Fewer commands than this within a window never push it over.
    pub min_requests: usize,
}

pub struct Server {
    pub config: ServerConfig,
    pub address: SocketAddr,
    state: Mutex<ServerState>,
    /// Free cores.
    free_cores: Mutex<usize>,
    core_freed: Condvar,
    /// What was brought to it while it was cold, and over all its lives before.
    cold_load: Mutex<(Option<Instant>, OfferedWork, ColdPeaks)>,
    queued: AtomicU32,
    in_flight: AtomicU32,
    pub received_requests: AtomicU64,
    /// What it reported last while it told the truth: in flight above, queue below.
    last_report: AtomicU64,
    request_classes: ServedRequestClasses,
    rule_checker: Arc<RuleChecker>,
    stopped: AtomicBool,
}

/// All servers of a scene.
pub struct ServerGroup {
    pub servers: Vec<Arc<Server>>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // What a panicking thread leaves behind here is still whole.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServerGroup {
    pub fn empty() -> ServerGroup {
        ServerGroup { servers: Vec::new() }
    }

    pub fn add(
        &mut self,
        make: ServerConfig,
        verbs: ServedRequestClasses,
        ledger: Arc<RuleChecker>,
    ) -> io::Result<Arc<Server>> {
        let listener = bind_loopback()?;
        let server = Arc::new(Server {
            address: listener.local_addr()?,
            free_cores: Mutex::new(make.cores),
            config: make,
            state: Mutex::default(),
            core_freed: Condvar::new(),
            cold_load: Mutex::default(),
            queued: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
            received_requests: AtomicU64::new(0),
            last_report: AtomicU64::new(0),
            request_classes: verbs,
            rule_checker: ledger,
            stopped: AtomicBool::new(false),
        });
        let own = server.clone();
        thread::Builder::new().stack_size(STACK).spawn(move || own.listen(listener))?;
        self.servers.push(server.clone());
        Ok(server)
    }
}

impl Drop for ServerGroup {
    fn drop(&mut self) {
        self.servers.iter().for_each(|server| server.end());
    }
}

impl Server {
    pub fn update_state(&self, what: impl FnOnce(&mut ServerState)) {
        what(&mut locked(&self.state));
        self.core_freed.notify_all();
        if locked(&self.state).down {
            self.wake_listener();
        }
    }

    pub fn state(&self) -> ServerState {
        locked(&self.state).clone()
    }

    /// Commands in it for each core.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight.load(Ordering::Relaxed)) / self.config.cores as f64
    }

    fn end(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.wake_listener();
    }

    /// A thread that waits for a connection looks around when one comes.
    fn wake_listener(&self) {
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listening = Some(listener);
        while !self.stopped.load(Ordering::Relaxed) {
            if self.state().down {
                // Closed, so that connections are refused.
                listening = None;
                thread::sleep(LOOK);
                continue;
            }
            let Some(listener) = listening.take().or_else(|| TcpListener::bind(self.address).ok()) else {
                thread::sleep(LOOK);
                continue;
            };
            if let Ok((stream, _)) = listener.accept()
                && !self.state().down
                && !self.stopped.load(Ordering::Relaxed)
            {
                let own = self.clone();
                let _ = thread::Builder::new().stack_size(STACK).spawn(move || own.talk(stream));
            }
            listening = Some(listener);
        }
    }

    fn talk(&self, stream: TcpStream) {
        let opened = Instant::now();
        let mut peer = Peer::new(stream);
        let mut rng = ChaCha8Rng::seed_from_u64(self.config.seed ^ u64::from(self.address.port()));
        let mut next: Option<Peer> = None;
        // A connection must not outlive the scene for ever.
        peer.set_read_timeout(Some(Duration::from_secs(300)));
        while let Ok(Some(heard)) = peer.read_request() {
            let forgotten = self.state().half_open_before.is_some_and(|before| opened < before);
            if forgotten || self.state().silent {
                self.stay_silent(&peer, forgotten);
                return;
            }
            let Some(bytes) = self.answer_to(&heard, &mut rng, &mut next) else { return };
            if self.state().down || peer.write(&bytes).is_err() {
                return;
            }
        }
    }

    /// Open and silent until the other side closes or the silence is over.
    fn stay_silent(&self, peer: &Peer, for_good: bool) {
        peer.set_read_timeout(Some(Duration::from_millis(100)));
        while !self.stopped.load(Ordering::Relaxed) && (for_good || self.state().silent) {
            match peer.stream.peek(&mut [0]) {
                Ok(0) => return,
                Ok(_) => thread::sleep(LOOK),
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// None where its process dies meanwhile: the connection breaks.
    fn answer_to(
        &self,
        heard: &HttpMessage,
        rng: &mut ChaCha8Rng,
        next: &mut Option<Peer>,
    ) -> Option<Vec<u8>> {
        match heard.path() {
            "/ping" => return Some(response_bytes(200, "", b"")),
            "/_load" => return Some(response_bytes(200, "", self.report().as_bytes())),
            _ => {}
        }
        let Some(doing) = self.request_classes.iter().find(|doing| doing.name == heard.request_class())
        else {
            return Some(response_bytes(404, "", b"no such verb"));
        };
        self.received_requests.fetch_add(1, Ordering::Relaxed);
        let cmd = heard.header("x-trace-id").unwrap_or("");
        let serving = self.state();
        if let Some(late) =
            serving.draining_since.map(|since| since.elapsed()).filter(|late| *late > self.config.drain_grace)
        {
            self.rule_checker.attempt_after_grace(cmd, &self.config.name, late);
        }
        if let Some(from) = serving.cold_since {
            self.bring(from, doing.mean_work, &serving);
        }
        if self.in_flight.load(Ordering::Relaxed) as usize >= self.config.queue_limit + self.config.cores {
            return Some(self.said(503, "X-Never-Ran: 1\r\n", b"full"));
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let done = self.work_on(heard, doing, cmd, rng, next);
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        done
    }

    fn work_on(
        &self,
        heard: &HttpMessage,
        doing: &ServedRequestClass,
        cmd: &str,
        rng: &mut ChaCha8Rng,
        next: &mut Option<Peer>,
    ) -> Option<Vec<u8>> {
        if !self.take_core() {
            return None;
        }
        self.rule_checker.attempt_started(cmd, &self.config.name, doing.retry_safety);
        let serving = self.state();
        let hit = serving.error_class.as_ref().is_none_or(|verb| *verb == doing.name);
        let fails = hit && serving.error_fraction > 0.0 && rng.random::<f64>() < serving.error_fraction;
        if !fails && doing.mean_work > 0.0 {
            let heavy = serving.heavy_fraction > 0.0 && rng.random::<f64>() < serving.heavy_fraction;
            let work = doing.mean_work
                * work_multiple(doing.work_distribution, rng)
                * if heavy { serving.heavy_factor } else { 1.0 };
            thread::sleep(Duration::from_secs_f64(work * serving.slowdown / self.speed(&serving)));
        }
        self.give_core();
        if self.state().down {
            return None;
        }
        let well = !fails && (0..doing.downstream_calls).all(|call| self.call(heard, doing, cmd, call, next));
        Some(if well { self.said(200, "", b"done") } else { self.said(500, "", b"failed") })
    }

    /// Work is brought to it while it may be cold, also what it turns away: too much pushes it over, whoever sent it. It
    /// goes on here all the same.
    fn bring(&self, from: Instant, work: f64, serving: &ServerState) {
        let Some(rule) = self.config.overload_limit.filter(|_| from.elapsed() < self.config.warmup) else {
            return;
        };
        let mean = self.request_classes.iter().map(|doing| doing.mean_work).sum::<f64>()
            / self.request_classes.len().max(1) as f64;
        let (mut brought, mean) = (locked(&self.cold_load), mean.max(1e-9));
        let (life, brought, peaks) = &mut *brought;
        if life.replace(from) != Some(from) {
            brought.finish_process(peaks);
        }
        let able = self.config.cores as f64 * self.speed(serving) * rule.window.as_secs_f64();
        let bound = OverloadBound {
            window: rule.window,
            budget: rule.multiple * able / mean,
            min_requests: rule.min_requests,
        };
        if brought.record(&self.config.name, self.rule_checker.now(), work / mean, bound) {
            self.rule_checker.cold_server_overloaded(&self.config.name, brought.total() * mean, able);
            brought.clear();
        }
    }

    /// What it was brought in its cold lives until now, which ends here.
    pub fn cold_peaks(&self) -> ColdPeaks {
        let mut brought = locked(&self.cold_load);
        let (_, brought, peaks) = &mut *brought;
        brought.finish_process(peaks);
        peaks.clone()
    }

    fn speed(&self, serving: &ServerState) -> f64 {
        let ServerConfig { speed, initial_fraction, warmup, .. } = &self.config;
        let Some(from) = serving.cold_since else { return *speed };
        let done = from.elapsed().as_secs_f64() / warmup.as_secs_f64().max(1e-3);
        speed * (initial_fraction + (1.0 - initial_fraction) * done).min(1.0)
    }

    /// Waits for a core; false where the process dies meanwhile.
    fn take_core(&self) -> bool {
        self.queued.fetch_add(1, Ordering::Relaxed);
        let mut free = locked(&self.free_cores);
        let taken = loop {
            if self.stopped.load(Ordering::Relaxed) || self.state().down {
                break false;
            }
            if *free > 0 && !self.state().paused {
                *free -= 1;
                break true;
            }
            free = self.core_freed.wait_timeout(free, LOOK).unwrap_or_else(PoisonError::into_inner).0;
        };
        drop(free);
        self.queued.fetch_sub(1, Ordering::Relaxed);
        taken
    }

    fn give_core(&self) {
        *locked(&self.free_cores) += 1;
        self.core_freed.notify_one();
    }

    /// A call to the next tier, with an id of its own and what is left of the time.
    fn call(
        &self,
        heard: &HttpMessage,
        doing: &ServedRequestClass,
        cmd: &str,
        call: u32,
        next: &mut Option<Peer>,
    ) -> bool {
        let Some(behind) = self.config.next_tier else { return true };
        let left: u64 = heard.header("x-expires-in-ms").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let method = heard.method();
        let key = match doing.retry_safety {
            RetrySafety::Idempotent | RetrySafety::NonIdempotent => String::new(),
            _ => format!("Idempotency-Key: {cmd}.{call}\r\n"),
        };
        let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
        let bytes = format!(
            "{method} /{} HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: {cmd}.{}.{call}\r\nX-Customer: lab\r\n\
             X-Expires-In-Ms: {left}\r\n{key}{length}\r\n",
            doing.name, self.config.name
        );
        for _ in 0..2 {
            let kept = next.is_some();
            let peer = match next.take() {
                Some(peer) => Some(peer),
                None => TcpStream::connect_timeout(&behind, Duration::from_millis(200)).ok().map(Peer::new),
            };
            let Some(mut peer) = peer else { return false };
            peer.set_read_timeout(Some(Duration::from_millis(left + 100)));
            let heard = peer.write(bytes.as_bytes()).and_then(|()| peer.read_response());
            match heard {
                Ok(heard) => {
                    let ends =
                        heard.header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
                    *next = (!ends).then_some(peer);
                    return heard.status() == Some(200);
                }
                // A kept connection may have been closed meanwhile, and what crosses that was not read.
                Err(wrong) if kept && wrong.kind() != io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        false
    }

    fn report(&self) -> String {
        use crate::plan::FalseLoad;
        let (queue, inside) = match self.state().false_load {
            Some(FalseLoad::Idle) => (0, 0),
            Some(FalseLoad::Frozen) => {
                let told = self.last_report.load(Ordering::Relaxed);
                (told as u32, (told >> 32) as u32)
            }
            Some(FalseLoad::Busy) => (self.config.queue_limit as u32, self.config.queue_limit as u32),
            None => {
                let (queue, inside) =
                    (self.queued.load(Ordering::Relaxed), self.in_flight.load(Ordering::Relaxed));
                self.last_report.store(u64::from(inside) << 32 | u64::from(queue), Ordering::Relaxed);
                (queue, inside)
            }
        };
        format!("TEXT inflight={inside}, queue={queue}")
    }

    fn said(&self, status: u16, more: &str, body: &[u8]) -> Vec<u8> {
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

    fn brought(commands: usize, cold: bool) -> [u64; 4] {
        let ledger = Arc::new(RuleChecker::new(Instant::now()));
        let make = ServerConfig {
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
        let doing = ServedRequestClass {
            name: "view".into(),
            retry_safety: RetrySafety::Idempotent,
            mean_work: 0.05,
            work_distribution: WorkDistribution::Fixed,
            downstream_calls: 0,
        };
        let mut fleet = ServerGroup::empty();
        let server = fleet.add(make, Arc::new(vec![doing]), ledger.clone()).expect("a port");
        if cold {
            server.update_state(|serving| serving.cold_since = Some(Instant::now()));
        }
        let asks = || {
            let mut peer = Peer::new(TcpStream::connect(server.address).expect("a connection"));
            peer.write(b"GET /view HTTP/1.1\r\nHost: x\r\n\r\n").expect("it is written");
            peer
        };
        // All are there before any is answered: a core takes a sixth of a second for one.
        let asked: Vec<Peer> = (0..commands).map(|_| asks()).collect();
        let begun = Instant::now();
        while (server.received_requests.load(Ordering::Relaxed) as usize) < commands {
            assert!(begun.elapsed() < Duration::from_secs(5), "all come");
            thread::yield_now();
        }
        drop(asked);
        ledger.results().1
    }

    /// It can do 0.6 s of work in the window, and stands 1.8 s of it: 36 commands.
    #[test]
    fn a_cold_server_is_pushed_over_by_too_much_and_a_warm_one_is_not() {
        assert_eq!(brought(30, true), [0; 4]);
        assert_eq!(brought(45, true), [0, 0, 0, 1]);
        assert_eq!(brought(45, false), [0; 4]);
    }
}
